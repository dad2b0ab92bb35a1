//! Tests of the memory of a real process beside clients that hold as much of it as they can.

use crate::harness::{request, run_test, send_request};
use crate::processes::{start_daemon, start_stub_site};
use rowanglade_test_fleet::{Daemon, TargetPlan};
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
async fn start_serving_daemon(site: &rowanglade_test_fleet::StubSite) -> Daemon {
    let daemon = start_daemon(site, |plan| (plan.memory_mb, plan.sockets) = (MEMORY_MB, SOCKETS));
    while send_request(daemon.http, &request("view", "up", 0, "")).await.starts_with("503") {}
    daemon
}

/// Opens connections that each send this text, keeps them open, and returns the process's peak memory in MB.
async fn peak_memory_beside(text: impl Fn(usize) -> String) -> u64 {
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
    daemon.usage().peak_memory_bytes >> 20
}

// Guards against exceeding the memory limit, at which the platform kills the process: the heads of requests that
// clients send at once, without reading a response, were all decoded at once (303 MB of 192).
#[test]
fn floods_of_requests_stay_within_the_memory_limit() {
    const REQUESTS: usize = 100;
    run_test(async {
        let flood = |client: usize| -> String {
            (0..REQUESTS).map(|number| request("view", &format!("f{client}-{number}"), 0, "")).collect()
        };
        let peak = peak_memory_beside(flood).await;
        assert!(peak <= MEMORY_MB as u64, "{peak} MB of {MEMORY_MB}");
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
        let peak = peak_memory_beside(upload).await;
        assert!(peak <= MEMORY_MB as u64, "{peak} MB of {MEMORY_MB}");
    });
}
