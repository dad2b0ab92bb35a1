//! Tests of real processes in a large fleet, with 1,024 targets in the cached list and on discovery and 1,024
//! instances in the settings, that start while discovery is down, slow or rejects every poll.

use crate::harness::{
    ScriptedServer, Step, UnusedAddress, ok, read_message, request, run_test, scripted_server, send_request,
    send_request_on,
};
use crate::processes::platform_settings;
use rowanglade_test_fleet::{Daemon, DaemonPlan, Endpoint, EndpointState};
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;

const TARGETS: usize = 1_024;
const INSTANCES: usize = 1_024;
/// The targets of shards divisible by this number listen; the others are only listed.
const LISTENING_EVERY: usize = 64;

/// The processes that restart together, and the size of the fleet in their settings.
const RESTARTED_PROCESSES: usize = 24;
const FLEET_SIZE: usize = 350;
/// Nine of ten restarted processes have to be ready within this time.
const READY_WITHIN: Duration = Duration::from_secs(10);

const READINESS_REQUEST: &str = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

/// The targets of a large fleet, of which only some listen.
struct Targets {
    listening: Vec<ScriptedServer>,
    entries: Vec<Value>,
}

impl Targets {
    async fn start() -> Targets {
        let (mut listening, mut entries) = (Vec::new(), Vec::new());
        for shard in 0..TARGETS {
            let addr = if shard.is_multiple_of(LISTENING_EVERY) {
                let target = scripted_server(vec![ok("served"); 1_000]).await;
                let addr = target.addr;
                listening.push(target);
                addr
            } else {
                // Nothing listens at this address.
                SocketAddr::from(([127, 9, (shard >> 8) as u8, shard as u8], 9))
            };
            entries.push(json!({
                "id": format!("s-{shard:08x}"), "addr": addr.to_string(), "zone": "kingston", "kind": "std-box",
                "cell": shard, "state": "active", "weight": 1.0, "started_ms": 0,
            }));
        }
        Targets { listening, entries }
    }

    /// A snapshot of all targets, in the format of discovery.
    fn page(&self, version: u64) -> Value {
        json!({"version": version, "full": true, "servers": self.entries})
    }

    /// A shard whose target listens.
    fn shard(&self, index: usize) -> i32 {
        (index % self.listening.len() * LISTENING_EVERY) as i32
    }
}

fn daemon_plan(name: &str, instances: usize, discovery: SocketAddr) -> DaemonPlan {
    DaemonPlan {
        name: name.to_string(),
        program: env!("CARGO_BIN_EXE_rowanglade").into(),
        args: Vec::new(),
        settings: platform_settings(instances, TARGETS),
        discovery,
        sockets: 1_024,
        memory_mb: 192,
        operator: None,
        handover: None,
        env: Vec::new(),
    }
}

/// Waits until the process is ready; returns how long after `started` that is.
async fn wait_until_ready(http: SocketAddr, started: Instant) -> Duration {
    while send_request(http, READINESS_REQUEST).await != "200" {
        assert!(started.elapsed() < 2 * READY_WITHIN, "not ready within 20 s");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    started.elapsed()
}

/// The addresses of all instances; the one at `me` can be bound.
fn peers(me: usize) -> Vec<SocketAddr> {
    let own = std::net::UdpSocket::bind("127.0.0.1:0").and_then(|s| s.local_addr()).expect("bound");
    let other = |i: usize| SocketAddr::from(([127, 8, (i >> 8) as u8, i as u8], 9));
    (0..INSTANCES).map(|i| if i == me { own } else { other(i) }).collect()
}

// Guards against costs that grow with the fleet: the endpoint list, the cached list, the peers and the
// subset.
#[test]
fn a_process_starts_with_1024_targets_and_1024_instances() {
    run_test(async {
        let targets = Targets::start().await;
        let page = serde_json::to_string_pretty(&targets.page(7)).expect("text");
        let discovery = scripted_server((0..3).flat_map(|_| [ok(&page), Step::Silence]).collect()).await;
        let me = INSTANCES - 1;
        let folder = tempfile::tempdir().expect("the folder is created");
        let key = folder.path().join("key");
        std::fs::write(&key, "5a".repeat(32)).expect("written");
        let all: Vec<String> = peers(me).iter().map(|addr| format!("\"{addr}\"")).collect();
        let fleet = format!("[fleet]\npeers = [{}]\nme = {me}\nkey_file = {key:?}\n", all.join(","));
        let subset = "[subset]\nsize = 16\n";
        for (label, operator) in [
            ("alone", String::new()),
            ("with peers", fleet.clone()),
            ("with peers and a subset", format!("{fleet}{subset}")),
        ] {
            let mut plan = daemon_plan("n1023", INSTANCES, discovery.addr);
            plan.settings["my-number"] = me.into();
            plan.operator = Some(operator);
            let started = Instant::now();
            let daemon = Daemon::start_with(&plan, |config| config["known"] = targets.page(6))
                .expect("the process serves");
            let took = wait_until_ready(daemon.http, started).await;
            let usage_when_ready = daemon.usage();
            // One request to each listening target, on one connection.
            let mut client = TcpStream::connect(daemon.http).await.expect("connected");
            for index in 0..targets.listening.len() {
                let text =
                    request("view", &format!("{label}-{index}").replace(' ', "-"), targets.shard(index), "");
                assert_eq!(send_request_on(&mut client, &text).await, "200 served", "{label} {index}");
            }
            let usage = daemon.usage();
            println!(
                "{label}: ready after {took:?}, {} KiB at most, {} s of the processor to be ready, {} s in all",
                usage.peak_memory_bytes >> 10,
                usage_when_ready.processor_seconds,
                usage.processor_seconds
            );
            assert!(took < READY_WITHIN, "{label}: ready after {took:?}");
            // Half of the memory that the platform grants the process.
            assert!(usage.peak_memory_bytes < 96 << 20, "{label}: {} KiB", usage.peak_memory_bytes >> 10);
        }
    });
}

/// How discovery behaves while many processes start.
#[derive(Clone, Copy, Debug)]
enum DiscoveryState {
    /// Nothing listens.
    Down,
    /// It answers polls one at a time, each after 400 ms.
    Slow,
    Rejecting,
}

/// Starts a discovery service that behaves like this and serves this page. The address of one that is down
/// stays bound while the second value exists, so that no other test gets its port.
async fn discovery(kind: DiscoveryState, page: String) -> (SocketAddr, Option<UnusedAddress>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let addr = listener.local_addr().expect("bound");
    let response = match kind {
        DiscoveryState::Down => {
            let unused = UnusedAddress::new();
            return (unused.addr, Some(unused));
        }
        DiscoveryState::Slow => format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{page}", page.len()),
        DiscoveryState::Rejecting => {
            "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".to_string()
        }
    };
    let (response, permit) = (Rc::new(response), Rc::new(Semaphore::new(1)));
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (response, permit) = (Rc::clone(&response), Rc::clone(&permit));
            actix_rt::spawn(async move {
                while read_message(&mut stream).await.is_some() {
                    if matches!(kind, DiscoveryState::Slow) {
                        let _permit = permit.acquire().await.expect("the semaphore stays open");
                        tokio::time::sleep(Duration::from_millis(400)).await;
                    }
                    if stream.write_all(response.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    (addr, None)
}

/// Starts many processes at once with all targets in their cached lists. All have to become ready, nine of
/// ten within the time limit.
async fn check_simultaneous_restart(kind: DiscoveryState, discovery_mode: &str) {
    let targets = Targets::start().await;
    let (addr, _down) = discovery(kind, targets.page(7).to_string()).await;
    let started = Instant::now();
    let starting: Vec<_> = (0..RESTARTED_PROCESSES)
        .map(|number| {
            let mut plan = daemon_plan(&format!("n{number}"), FLEET_SIZE, addr);
            plan.settings["my-number"] = number.into();
            plan.settings["discovery"] = discovery_mode.into();
            let cached_list = targets.page(6);
            tokio::task::spawn_blocking(move || {
                Daemon::start_with(&plan, |config| config["known"] = cached_list).expect("the process serves")
            })
        })
        .collect();
    let waiting: Vec<_> = starting
        .into_iter()
        .map(|starting| {
            actix_rt::spawn(async move {
                let daemon = starting.await.expect("started");
                let took = wait_until_ready(daemon.http, started).await;
                (daemon, took)
            })
        })
        .collect();
    let (mut daemons, mut times) = (Vec::new(), Vec::new());
    for process in waiting {
        let (daemon, took) = process.await.expect("joined");
        daemons.push(daemon);
        times.push(took);
    }
    times.sort();
    let peak_memory = daemons.iter().map(|d| d.usage().peak_memory_bytes).max().expect("processes run");
    println!(
        "discovery {kind:?}, {discovery_mode}: {RESTARTED_PROCESSES} of {FLEET_SIZE} ready after {:?} to {:?}, {:?} for nine of ten; {} KiB at most",
        times[0],
        times[RESTARTED_PROCESSES - 1],
        times[RESTARTED_PROCESSES * 9 / 10],
        peak_memory >> 10
    );
    assert!(times[RESTARTED_PROCESSES * 9 / 10] < READY_WITHIN, "{kind:?} {discovery_mode}: {times:?}");
    for (index, daemon) in daemons.iter().enumerate() {
        let text = request("view", &format!("r{index}"), targets.shard(index), "");
        assert_eq!(send_request(daemon.http, &text).await, "200 served", "{kind:?} {discovery_mode}");
    }
}

#[test]
fn a_fleet_that_starts_while_discovery_is_down_is_ready_in_time() {
    run_test(async {
        check_simultaneous_restart(DiscoveryState::Down, "on_request").await;
        check_simultaneous_restart(DiscoveryState::Down, "pushed").await;
    });
}

#[test]
fn a_fleet_that_starts_while_discovery_is_slow_is_ready_in_time() {
    run_test(async {
        check_simultaneous_restart(DiscoveryState::Slow, "on_request").await;
        check_simultaneous_restart(DiscoveryState::Slow, "pushed").await;
    });
}

#[test]
fn a_fleet_that_starts_while_discovery_rejects_every_poll_is_ready_in_time() {
    run_test(async {
        check_simultaneous_restart(DiscoveryState::Rejecting, "on_request").await;
        check_simultaneous_restart(DiscoveryState::Rejecting, "pushed").await;
    });
}

// Without a cached list and with discovery rejecting every poll, the process has no targets: it is not ready
// and rejects every request. It is ready soon after discovery answers.
#[test]
fn an_initiator_without_a_cached_list_is_ready_once_discovery_serves() {
    run_test(async {
        let target = scripted_server(vec![ok("served")]).await;
        let discovery = rowanglade_test_fleet::Discovery::start("kingston").await.expect("started");
        discovery.set_refusing(true);
        let daemon = Daemon::start(&daemon_plan("n0", 1, discovery.addr())).expect("the process serves");
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(
            send_request(daemon.http, READINESS_REQUEST).await.starts_with("503"),
            "a process without targets is not ready"
        );
        let started = Instant::now();
        let answer = send_request(daemon.http, &request("view", "e1", 0, "")).await;
        assert!(answer.starts_with("503") && answer.contains("retry-after"), "{answer}");
        assert!(started.elapsed() < Duration::from_secs(1), "rejected after {:?}", started.elapsed());
        discovery.upsert(Endpoint {
            id: "s-0".into(),
            addr: target.addr,
            shard: 0,
            state: EndpointState::Active,
            started_ms: 0,
            zone: None,
        });
        discovery.set_refusing(false);
        let took = wait_until_ready(daemon.http, Instant::now()).await;
        println!("no cached list: ready {took:?} after discovery answered");
        assert!(took < Duration::from_secs(6), "{took:?}");
        assert_eq!(send_request(daemon.http, &request("view", "e2", 0, "")).await, "200 served");
    });
}
