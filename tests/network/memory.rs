//! Tests of the memory of a real process beside clients that hold as much of it as they can.

use crate::harness::{request, run_test, send_request};
use crate::processes::{start_daemon, start_stub_site};
use rowanglade_test_fleet::{Daemon, Signal, StubSite, TargetPlan};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// The largest limits that the platform's pages name, scaled down to a third.
const MEMORY_MB: usize = 64;
const SOCKETS: usize = 342;
/// Clients, about as many as may connect.
const CLIENTS: usize = 200;
/// How long the clients hold what they have.
const HOLD: Duration = Duration::from_millis(500);

/// Starts a process, and waits until it serves.
async fn start_serving_daemon(site: &StubSite) -> Daemon {
    let daemon = start_daemon(site, |plan| (plan.memory_mb, plan.sockets) = (MEMORY_MB, SOCKETS));
    while send_request(daemon.http, &request("view", "up", 0, "")).await.starts_with("503") {}
    daemon
}

/// Opens connections that each send this text and keeps them open. Asserts that the process stays within its limit.
async fn assert_memory_holds_beside(text: impl Fn(usize) -> String) {
    let site = start_stub_site(&[TargetPlan::default()]).await;
    let mut daemon = start_serving_daemon(&site).await;
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let mut client = TcpStream::connect(daemon.http).await.expect("connected");
        let text = text(number);
        // The process need not read all of it.
        let writing = tokio::time::timeout(Duration::from_millis(20), client.write_all(text.as_bytes()));
        let _ = writing.await;
        clients.push(client);
    }
    tokio::time::sleep(HOLD).await;
    let answer = send_request(daemon.http, &request("view", "usual", 0, "")).await;
    assert!(answer.starts_with("200") || answer.starts_with("503"), "{answer}");
    assert_eq!(daemon.exit_status(), None, "{:?}", daemon.log());
    let peak = daemon.usage().peak_memory_bytes >> 20;
    assert!(peak <= MEMORY_MB as u64, "{peak} MB of {MEMORY_MB}; {:#?}", daemon.log());
}

// Guards against exceeding the memory limit, at which the platform kills the process: the heads of requests that
// clients send at once, without reading a response, were all decoded at once, into many times their size.
#[test]
fn floods_of_requests_stay_within_the_memory_limit() {
    const REQUESTS: usize = 100;
    run_test(async {
        let flood = |client: usize| -> String {
            (0..REQUESTS).map(|number| request("view", &format!("f{client}-{number}"), 0, "")).collect()
        };
        assert_memory_holds_beside(flood).await;
    });
}

// Guards against exceeding the memory limit: the requests that follow a short body were decoded with it.
#[test]
fn floods_of_requests_behind_a_body_stay_within_the_memory_limit() {
    const REQUESTS: usize = 100;
    run_test(async {
        let flood = |client: usize| -> String {
            let first = request("deposit", &format!("b{client}"), 0, "body");
            let more = (0..REQUESTS).map(|number| request("view", &format!("f{client}-{number}"), 0, ""));
            first + &more.collect::<String>()
        };
        assert_memory_holds_beside(flood).await;
    });
}

// Guards against exceeding the memory limit: what a body takes that stops before its end was counted at a part.
#[test]
fn bodies_that_stop_before_their_end_stay_within_the_memory_limit() {
    const SENT_BYTES: usize = 400_000;
    run_test(async {
        let upload = |client: usize| {
            let text = request("deposit", &format!("u{client}"), 0, "x");
            let head = text.replace("Length: 1\r\n\r\nx", "Length: 32000000\r\n\r\n");
            head + &"x".repeat(SENT_BYTES)
        };
        assert_memory_holds_beside(upload).await;
    });
}

// Guards against an end that nobody can explain: the platform kills a process over its memory limit without a word,
// and the log told nothing of its memory.
#[test]
fn the_status_tells_the_memory_by_part() {
    run_test(async {
        let site = start_stub_site(&[TargetPlan::default()]).await;
        let daemon = start_serving_daemon(&site).await;
        let mut client = TcpStream::connect(daemon.http).await.expect("connected");
        let upload = request("deposit", "u1", 0, "x").replace("Length: 1\r\n\r\nx", "Length: 9000\r\n\r\nx");
        client.write_all(upload.as_bytes()).await.expect("written");
        let line = loop {
            daemon.signal(Signal::SIGUSR1).expect("the process runs");
            tokio::time::sleep(Duration::from_millis(5)).await;
            let log = daemon.log();
            let found =
                log.iter().find(|line| line.contains("memory by part") && line.contains(" bodies=9000 "));
            if let Some(line) = found {
                break line.clone();
            }
        };
        let limit = MEMORY_MB << 20;
        assert!(line.contains(&format!(" limit={limit} ")) && line.contains(" clients_busy=1 "), "{line}");
    });
}
