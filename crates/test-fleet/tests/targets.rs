//! Tests that stub targets inject faults on command and count the requests that they receive.

use rowanglade_test_fleet::{StubSite, TargetFault, TargetPlan};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::LocalSet;

/// Sends a request and returns the response's status. 0 if the connection ended before a response; `None` if
/// no connection could be opened or the request could not be sent.
async fn request_status(addr: SocketAddr, head: &str, body: usize) -> Option<u16> {
    let mut stream = TcpStream::connect(addr).await.ok()?;
    let request = format!(
        "{head} HTTP/1.1\r\nIdempotency-Key: k\r\nContent-Length: {body}\r\n\r\n{}",
        "x".repeat(body)
    );
    stream.write_all(request.as_bytes()).await.ok()?;
    let mut status_line = [0; 12];
    match stream.read_exact(&mut status_line).await {
        Ok(_) => std::str::from_utf8(&status_line[9..]).ok()?.parse().ok(),
        Err(_) => Some(0),
    }
}

async fn fetch_list(site: &StubSite, from: Option<u64>) -> String {
    let mut stream = TcpStream::connect(site.discovery.addr()).await.expect("connected");
    let query = from.map_or(String::new(), |v| format!("?from={v}&hold_ms=5000"));
    let request = format!("GET /discovery/hosts{query} HTTP/1.1\r\nHost: x\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("written");
    let mut text = String::new();
    let mut buffer = [0; 4096];
    while !text.contains("\"version\"") {
        let read = stream.read(&mut buffer).await.expect("read");
        assert!(read > 0, "connection closed before the list was complete: {text}");
        text.push_str(&String::from_utf8_lossy(&buffer[..read]));
    }
    text
}

#[test]
fn injected_faults_and_state_changes_show_in_responses_lists_and_counters() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, async {
        let plan = TargetPlan {
            initial_capacity: 0.25,
            warm_within: Duration::from_secs(3_600),
            default_service_time: Duration::from_millis(1),
            ..TargetPlan::default()
        };
        let site = StubSite::start(&[plan], "kingston", 1).await.expect("started");
        let (target, addr) = (&site.targets[0], site.targets[0].addr());
        assert_eq!(request_status(addr, "PUT /deposit/1/2", 10).await, Some(200));
        assert_eq!(request_status(addr, "PUT /deposit/1/2", 10).await, Some(200));
        assert_eq!((target.counters().writes_executed, target.counters().writes_suppressed), (1, 1));
        for (fault, status) in [
            (TargetFault { error_share: 1.0, ..TargetFault::default() }, 500),
            (TargetFault { rejects: true, ..TargetFault::default() }, 503),
            (TargetFault { reset_share: 1.0, ..TargetFault::default() }, 0),
        ] {
            target.inject(fault);
            assert_eq!(request_status(addr, "PUT /deposit/1/3", 10).await, Some(status));
        }
        target.inject(TargetFault::default());
        let counters = target.counters();
        assert_eq!(
            (counters.errors, counters.rejected, counters.resets, counters.received),
            (1, 1, 1, 4),
            "a request whose connection was reset is not counted as received"
        );

        assert!(fetch_list(&site, None).await.contains("\"active\""));
        site.drain(0);
        assert_eq!(request_status(addr, "GET /view/1/2", 0).await, Some(503));
        assert_eq!(target.counters().received_draining, 1);
        assert!(fetch_list(&site, Some(2)).await.contains("\"leaving\""));
        site.kill(0);
        assert!(fetch_list(&site, Some(3)).await.contains("\"left\""));
        // The watch waits for a change: the restart completes it.
        let restarted = async {
            site.restart(0).await.expect("the address is free");
        };
        let (update, ()) = tokio::join!(fetch_list(&site, Some(4)), restarted);
        assert!(update.contains("\"active\"") && target.started_ms() > 0, "{update}");
        assert!(target.capacity() < 0.3, "expected a cold start, found capacity {}", target.capacity());
        assert_eq!(request_status(addr, "GET /view/1/2", 0).await, Some(200));
    });
}
