//! Tests of real processes that serve the platform's protocol under faults: a handover with signals and a
//! burst of clients, bodies that stall on both sides, exhausted descriptors.

use crate::harness::{
    endpoint_entry, ok, read_message, request, run_test, scripted_server, send_request, send_request_on,
};
use rowanglade_test_fleet::{
    Daemon, DaemonPlan, HandoverPaths, Signal, StubSite, TargetFault, TargetPlan, standard_settings,
};
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Operators' tools give an admin command this long to be answered.
const ADMIN_TIMEOUT: Duration = Duration::from_secs(1);

pub async fn start_stub_site(plans: &[TargetPlan]) -> StubSite {
    StubSite::start(plans, "kingston", 5).await.expect("started")
}

/// The settings that the platform gives each of `instances` instances, with classes and plans, for `shards`
/// shards.
pub fn platform_settings(instances: usize, shards: usize) -> serde_json::Value {
    standard_settings(instances, "kingston", shards).expect("the settings are valid")
}

pub fn start_daemon(site: &StubSite, change: impl FnOnce(&mut DaemonPlan)) -> Daemon {
    let mut plan = DaemonPlan {
        name: "n1".into(),
        program: env!("CARGO_BIN_EXE_rowanglade").into(),
        args: Vec::new(),
        settings: platform_settings(1, site.targets.len()),
        discovery: site.discovery.addr(),
        sockets: 256,
        memory_mb: 192,
        operator: None,
        handover: None,
        env: Vec::new(),
    };
    change(&mut plan);
    Daemon::start(&plan).expect("the process serves")
}

fn handover_paths(folder: &Path, listen: Option<SocketAddr>) -> Option<HandoverPaths> {
    Some(HandoverPaths { folder: folder.to_path_buf(), listen })
}

async fn send_admin_command(daemon: &Daemon, command: &str) -> String {
    let admin = daemon.admin.expect("the admin port is on");
    let sent_at = Instant::now();
    let answer = send_request(admin, &format!("{command} HTTP/1.1\r\nHost: x\r\n\r\n")).await;
    assert!(sent_at.elapsed() < ADMIN_TIMEOUT, "{command}: {answer} after {:?}", sent_at.elapsed());
    answer
}

async fn wait_until_healthy(daemon: &Daemon) {
    while send_admin_command(daemon, "GET /healthcheck").await != "200 close" {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

async fn wait_for_exit(daemon: &mut Daemon) {
    while !daemon.has_ended() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// A client whose deposit the first target has received, and stalls for 800 ms.
async fn start_stalled_deposit(site: &StubSite, daemon: &Daemon, body: &str) -> TcpStream {
    let until = tokio::time::Instant::now() + Duration::from_millis(800);
    site.targets[0].inject(TargetFault { stalled_until: Some(until), ..TargetFault::default() });
    let mut open = TcpStream::connect(daemon.http).await.expect("connected");
    open.write_all(request("deposit", "open", 0, body).as_bytes()).await.expect("written");
    while site.targets[0].counters().received == 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    open
}

// Guards against refused connections during a handover: both processes run, clients open a connection for
// every request, and both processes receive SIGHUP. Both run until they receive SIGTERM.
#[test]
fn no_connection_is_refused_during_a_handover_with_signals_and_a_burst_of_clients() {
    run_test(async {
        let site = start_stub_site(&[TargetPlan::default(), TargetPlan::default()]).await;
        let folder = tempfile::tempdir().expect("the folder is created");
        let mut first = start_daemon(&site, |plan| plan.handover = handover_paths(folder.path(), None));
        wait_until_healthy(&first).await;
        let http = first.http;
        let (stop, answered) = (Rc::new(Cell::new(false)), Rc::new(Cell::new(0)));
        let client = |name: usize| {
            let (stop, answered) = (Rc::clone(&stop), Rc::clone(&answered));
            async move {
                for i in 0.. {
                    let answer =
                        send_request(http, &request("view", &format!("c{name}-{i}"), i % 2, "")).await;
                    assert!(answer.starts_with("200") || answer.starts_with("503"), "{answer:?}");
                    answered.set(answered.get() + 1);
                    if stop.get() {
                        return;
                    }
                }
            }
        };
        let clients: Vec<_> = (0..16).map(|name| actix_rt::spawn(client(name))).collect();
        let progress = async |more: usize| {
            let until = answered.get() + more;
            while answered.get() < until {
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
        };
        progress(100).await;
        let mut second =
            start_daemon(&site, |plan| plan.handover = handover_paths(folder.path(), Some(http)));
        first.signal(Signal::SIGHUP).expect("the process runs");
        second.signal(Signal::SIGHUP).expect("the process runs");
        wait_until_healthy(&second).await;
        first.signal(Signal::SIGHUP).expect("the process runs");
        second.signal(Signal::SIGHUP).expect("the process runs");
        progress(200).await;
        assert!(!first.has_ended() && !second.has_ended(), "a process ended without SIGTERM");
        first.signal(Signal::SIGTERM).expect("the process runs");
        wait_for_exit(&mut first).await;
        progress(100).await;
        stop.set(true);
        for client in clients {
            client.await.expect("every request has a response");
        }
        assert!(!second.has_ended());
        assert_eq!(send_admin_command(&second, "GET /healthcheck").await, "200 close");
    });
}

// Guards against executing a deposit twice: it is in flight at the predecessor when its client times out and
// retries it at the successor, with the same idempotency key.
#[test]
fn a_deposit_in_flight_at_the_predecessor_and_retried_at_the_successor_is_executed_once() {
    run_test(async {
        let site = start_stub_site(&[TargetPlan::default()]).await;
        let folder = tempfile::tempdir().expect("the folder is created");
        let first = start_daemon(&site, |plan| plan.handover = handover_paths(folder.path(), None));
        wait_until_healthy(&first).await;
        let mut open = start_stalled_deposit(&site, &first, "bytes").await;
        let second =
            start_daemon(&site, |plan| plan.handover = handover_paths(folder.path(), Some(first.http)));
        wait_until_healthy(&second).await;
        first.signal(Signal::SIGTERM).expect("the process runs");
        assert_eq!(send_request(second.http, &request("deposit", "d2", 0, "bytes")).await, "200 kept");
        let (head, body) =
            read_message(&mut open).await.expect("the predecessor answers the request that it received");
        assert!(head.starts_with("HTTP/1.1 200") && body == b"kept", "{head}");
        let counters = site.targets[0].counters();
        assert_eq!((counters.writes_executed, counters.writes_suppressed), (1, 1), "{counters:?}");
    });
}

// Guards against unbounded buffering. Forty bodies stall midway, each far larger than the memory limit:
// twenty at targets that stop sending, twenty at clients that do not read. The process stays within its
// memory limit and serves other clients meanwhile.
#[test]
fn forty_stalled_bodies_stay_within_the_memory_limit_and_other_clients_are_served() {
    const LONG_BODY_BYTES: usize = 24 << 20;
    run_test(async {
        let site = start_stub_site(&[TargetPlan::default()]).await;
        // A second target, for requests of shard 1. Its responses are long, and it stops midway through
        // those to requests whose id says "stops".
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        site.discovery.upsert(rowanglade_test_fleet::Endpoint {
            id: "long".into(),
            addr: listener.local_addr().expect("bound"),
            shard: 1,
            ..rowanglade_test_fleet::Endpoint::of(
                &site.targets[0],
                rowanglade_test_fleet::EndpointState::Active,
            )
        });
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                actix_rt::spawn(async move {
                    while let Some((head, _)) = read_message(&mut stream).await {
                        let stalls = head.contains("stops");
                        let response_head =
                            format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n");
                        stream.write_all(response_head.as_bytes()).await?;
                        let piece = vec![b'.'; 1 << 16];
                        for _ in 0..if stalls { 4 } else { LONG_BODY_BYTES / piece.len() } {
                            stream.write_all(&piece).await?;
                        }
                        if stalls {
                            std::future::pending::<()>().await;
                        }
                    }
                    Ok::<_, std::io::Error>(())
                });
            }
        });
        let daemon = start_daemon(&site, |plan| {
            (plan.memory_mb, plan.sockets) = (32, 256);
            plan.settings["family-info"]["n-shards"] = 2.into();
        });
        while send_request(daemon.http, &request("view", "up", 0, "")).await.starts_with("503") {}
        let mut stalled = Vec::new();
        for i in 0..40 {
            let name = if i % 2 == 0 { "stops" } else { "unread" };
            let mut client = TcpStream::connect(daemon.http).await.expect("connected");
            let text = request("view", &format!("{name}-{i}"), 1, "");
            client.write_all(text.as_bytes()).await.expect("written");
            // The first bytes have arrived, so the response is in progress.
            let mut first = [0; 64];
            client.read_exact(&mut first).await.expect("the start of a response");
            let first = String::from_utf8_lossy(&first).into_owned();
            assert!(first.starts_with("HTTP/1.1 200"), "{first}");
            stalled.push(client);
        }
        for i in 0..50 {
            let answer = send_request(daemon.http, &request("view", &format!("usual-{i}"), 0, "")).await;
            assert!(answer.starts_with("200"), "{answer}");
        }
        let memory = daemon.usage().peak_memory_bytes;
        assert!(memory < 32 << 20, "{memory} bytes");
    });
}

// Guards against a process that is stuck when it runs out of descriptors: far more clients connect than it
// has descriptors, some silent, some with incomplete heads, some idle until all send at once. Requests in
// flight and admin commands are answered, and the endpoint list is still updated.
#[test]
fn with_all_descriptors_in_use_requests_admin_commands_and_list_updates_are_handled() {
    run_test(async {
        let site = start_stub_site(&[TargetPlan::default(), TargetPlan::default()]).await;
        let folder = tempfile::tempdir().expect("the folder is created");
        let daemon = start_daemon(&site, |plan| {
            (plan.sockets, plan.memory_mb) = (96, 32);
            plan.handover = handover_paths(folder.path(), None);
        });
        wait_until_healthy(&daemon).await;
        // This request stays in flight throughout the test.
        let mut open = start_stalled_deposit(&site, &daemon, "x").await;
        let mut incomplete_clients = Vec::new();
        let mut idle = Vec::new();
        for i in 0..240 {
            let mut stream = TcpStream::connect(daemon.http).await.expect("connected");
            match i % 3 {
                0 => {}
                1 => stream.write_all(b"GET /view/000000").await.expect("written"),
                _ => {
                    // If the connection was evicted for another client, there is no response and the
                    // connection ends.
                    let answer =
                        send_request_on(&mut stream, &request("view", &format!("i{i}"), 1, "")).await;
                    assert!(answer == "no response" || answer.starts_with("200"), "{answer}");
                    idle.push(stream);
                    continue;
                }
            }
            incomplete_clients.push(stream);
        }
        let descriptors =
            std::fs::read_dir(format!("/proc/{}/fd", daemon.pid())).expect("the process runs").count();
        assert!(descriptors <= 96, "{descriptors} descriptors");
        assert_eq!(send_admin_command(&daemon, "GET /healthcheck").await, "200 close");
        assert_eq!(send_admin_command(&daemon, "PUT /targets/box-1/maint").await, "200 close");
        assert_eq!(send_admin_command(&daemon, "PUT /targets/box-1/ready").await, "200 close");
        // All idle clients send at once.
        let responses = idle.into_iter().enumerate().map(|(i, mut stream)| async move {
            if stream.write_all(request("view", &format!("w{i}"), 1, "").as_bytes()).await.is_err() {
                return None;
            }
            read_message(&mut stream).await.map(|(head, _)| head)
        });
        let answers = futures_util::future::join_all(responses).await;
        let answered =
            answers.iter().flatten().filter(|a| a.contains(" 200 ") || a.contains(" 503 ")).count();
        assert_eq!(answered, answers.iter().flatten().count(), "{answers:?}");
        assert!(answered > 0, "no idle connection was served");
        // A new client is served and the endpoint list is updated: a target that was removed gets no
        // requests.
        assert!(send_request(daemon.http, &request("view", "late", 1, "")).await.starts_with("200"));
        site.kill(1);
        while send_request(daemon.http, &request("view", "gone", 1, "")).await.starts_with("200") {}
        let (head, _) = read_message(&mut open).await.expect("the request in flight is answered");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        drop(incomplete_clients);
    });
}

/// Discovery with outages: while it is down it closes all connections, including new ones.
struct UnreliableDiscovery {
    addr: SocketAddr,
    /// The endpoint list that it serves; `None` while it is down.
    page: tokio::sync::watch::Sender<Option<String>>,
    polls: tokio::sync::mpsc::UnboundedReceiver<String>,
}

impl UnreliableDiscovery {
    async fn start(page: String) -> UnreliableDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let addr = listener.local_addr().expect("bound");
        let (page, current_page) = tokio::sync::watch::channel(Some(page));
        let (sender, polls) = tokio::sync::mpsc::unbounded_channel();
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (mut current_page, sender) = (current_page.clone(), sender.clone());
                actix_rt::spawn(async move {
                    loop {
                        let page = current_page.borrow_and_update().clone();
                        let Some(page) = page else { return };
                        let request = tokio::select! {
                            request = read_message(&mut stream) => request,
                            _ = current_page.changed() => return,
                        };
                        let Some((head, _)) = request else { return };
                        let is_watch = head.contains("hold_ms") && !head.contains("hold_ms=1 ");
                        let _ = sender.send(head);
                        if is_watch {
                            let _ = current_page.changed().await;
                            return;
                        }
                        let answer =
                            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{page}", page.len());
                        if stream.write_all(answer.as_bytes()).await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        UnreliableDiscovery { addr, page, polls }
    }

    /// Returns once an initiator polls for the changes after this version.
    async fn wait_for_poll_from(&mut self, version: u32) {
        let parameter = format!("from={version}&");
        while !self.polls.recv().await.expect("the server runs").contains(&parameter) {}
    }
}

/// A client that sends one request, keeps its connection idle until the front closes it, and reconnects at
/// once.
async fn keep_idle_connections(http: SocketAddr) {
    loop {
        let Ok(mut stream) = TcpStream::connect(http).await else { continue };
        if stream.write_all(b"GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await.is_ok() {
            while let Ok(1..) = stream.read(&mut [0; 512]).await {}
        }
    }
}

// Guards against a missed drain: idle clients use all descriptors left to them while discovery is down, and
// reconnect in bursts; the system's limit equals the configured one. After discovery's return the list
// arrives in time, and a draining target gets no more requests.
#[test]
fn idle_clients_that_use_all_descriptors_do_not_delay_list_updates() {
    const SOCKETS: usize = 96;
    // Once discovery can be reached again, an initiator has to have its list within this time.
    const POLLED_WITHIN: Duration = Duration::from_secs(6);
    run_test(async {
        let mut target = scripted_server((0..99).map(|_| ok("served")).collect()).await;
        let page = |version: u32, state: &str| {
            let target = endpoint_entry(target.addr, 0, state);
            format!(r#"{{"version":{version},"full":true,"servers":[{target}]}}"#)
        };
        let mut discovery = UnreliableDiscovery::start(page(3, "active")).await;
        let site = start_stub_site(&[]).await;
        let daemon = start_daemon(&site, |plan| {
            (plan.sockets, plan.discovery) = (SOCKETS, discovery.addr);
            let limited = format!("ulimit -n {SOCKETS}; exec {} \"$@\"", plan.program.display());
            (plan.program, plan.args) = ("/bin/sh".into(), vec!["-c".into(), limited, "sh".into()]);
            plan.settings["family-info"]["n-shards"] = 1.into();
            plan.settings["rules"]["must-ask-in"] = 1_000_000.into();
        });
        discovery.wait_for_poll_from(3).await;
        assert_eq!(send_request(daemon.http, &request("view", "before", 0, "")).await, "200 served");
        discovery.page.send_replace(None);
        let idle_clients: Vec<_> =
            (0..250).map(|_| actix_rt::spawn(keep_idle_connections(daemon.http))).collect();
        let descriptors =
            || std::fs::read_dir(format!("/proc/{}/fd", daemon.pid())).map_or(0, Iterator::count);
        let mut max_descriptors = 0;
        for _ in 0..200 {
            tokio::time::sleep(Duration::from_millis(10)).await;
            max_descriptors = max_descriptors.max(descriptors());
        }
        let recovered_at = Instant::now();
        discovery.page.send_replace(Some(page(9, "leaving")));
        let polled = tokio::time::timeout(POLLED_WITHIN, discovery.wait_for_poll_from(9)).await;
        let (took, log) = (recovered_at.elapsed(), daemon.log().join("\n"));
        assert!(polled.is_ok(), "the list was not polled: {max_descriptors} descriptors\n{log}");
        assert!(
            !log.contains("Too many open files"),
            "{max_descriptors} descriptors, polled after {took:?}\n{log}"
        );
        assert!(max_descriptors <= SOCKETS, "{max_descriptors} descriptors");
        while target.received.try_recv().is_ok() {}
        for i in 0..20 {
            let answer = send_request(daemon.http, &request("view", &format!("after-{i}"), 0, "")).await;
            assert!(!answer.starts_with("200"), "{answer}");
        }
        assert!(target.received.try_recv().is_err(), "a draining target received a request");
        idle_clients.into_iter().for_each(|client| client.abort());
    });
}
