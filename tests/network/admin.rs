//! Tests of the admin commands over the admin port.

use crate::harness::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

async fn start_with_admin_port(
    endpoints: &[String],
    discovery: Option<SocketAddr>,
) -> (RunningInitiator, SocketAddr) {
    let initiator =
        start_initiator_with(endpoints, discovery, None, |json| json["admin"] = "127.0.0.1:0".into()).await;
    let admin = initiator.admin.expect("the admin port is on");
    (initiator, admin)
}

async fn put(admin: SocketAddr, path: &str) -> String {
    send_request(admin, &format!("PUT {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")).await
}

/// Waits until the health check succeeds; the scripted discovery may not have answered yet.
async fn wait_until_healthy(admin: SocketAddr) {
    while send_request(admin, "GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n").await != "200 close" {
        tokio::task::yield_now().await;
    }
}

#[test]
fn each_admin_command_is_answered_and_its_connection_closed() {
    run_test(async {
        let target = scripted_server(vec![]).await;
        let (_initiator, admin) =
            start_with_admin_port(&[endpoint_entry(target.addr, 0, "active")], None).await;
        wait_until_healthy(admin).await;
        for (command, answer) in [
            ("PUT /targets/s-0/maint HTTP/1.1\r\nHost: x\r\n\r\n", "200 close"),
            ("PUT /targets/s-0/maint HTTP/1.1\r\nHost: x\r\n\r\n", "200 close"),
            ("PUT /targets/%73-0/ready HTTP/1.1\r\nHost: x\r\n\r\n", "200 close"),
            ("PUT /targets/s-9/maint HTTP/1.1\r\nHost: x\r\n\r\n", "404 close"),
            ("PUT /targets/s-9/ready HTTP/1.1\r\nHost: x\r\n\r\n", "404 close"),
            ("GET /targets/s-0/maint HTTP/1.1\r\nHost: x\r\n\r\n", "405 close"),
            ("GET /metrics HTTP/1.1\r\nHost: x\r\n\r\n", "404 close"),
            ("PUT /targets/%ff/maint HTTP/1.1\r\nHost: x\r\n\r\n", "400 close"),
            ("noise\r\n\r\n", "400 close"),
        ] {
            assert_eq!(send_request(admin, command).await, answer, "{command:?}");
        }
        let endless = format!("GET /healthcheck HTTP/1.1\r\nX-Pad: {}", "p".repeat(16 * 1024));
        assert_eq!(send_request(admin, &endless).await, "431 close");
    });
}

// Guards against unfinished admin commands that delay all others or use up their descriptors.
#[test]
fn unfinished_admin_commands_do_not_delay_others() {
    run_test(async {
        let target = scripted_server(vec![]).await;
        let (_initiator, admin) =
            start_with_admin_port(&[endpoint_entry(target.addr, 0, "active")], None).await;
        wait_until_healthy(admin).await;
        let mut unfinished = Vec::new();
        for _ in 0..3 * rowanglade::net::admin::MAX_CALLS {
            let mut stream = TcpStream::connect(admin).await.expect("connected");
            stream.write_all(b"PUT /targets/s-0/ma").await.expect("written");
            unfinished.push(stream);
        }
        let sent_at = Instant::now();
        assert_eq!(put(admin, "/targets/s-0/maint").await, "200 close");
        assert!(sent_at.elapsed() < Duration::from_secs(1), "operators' tools time out after 1 s");
        let mut oldest = unfinished.swap_remove(0);
        assert!(read_message(&mut oldest).await.is_none(), "at the connection limit the oldest is closed");
    });
}

// Discovery lists the target as active throughout. Its updates must not end a target's maintenance.
#[test]
fn a_target_in_maintenance_gets_no_requests_until_it_is_ready() {
    run_test(async {
        let target = scripted_server(vec![ok("before"), ok("after")]).await;
        let page = |version, started: u64| {
            let line = endpoint_entry(target.addr, 0, "active")
                .replace("\"started_ms\":0", &format!("\"started_ms\":{started}"));
            format!(r#"{{"version":{version},"full":true,"servers":[{line}]}}"#)
        };
        let respond_on_resume = |text: String| {
            Step::RespondOnResume(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()))
        };
        let mut discovery = scripted_server(vec![
            ok(&page(2, 0)),
            respond_on_resume(page(3, 1)),
            respond_on_resume(page(4, 1)),
        ])
        .await;
        let (initiator, admin) = start_with_admin_port(&[], Some(discovery.addr)).await;
        wait_until_healthy(admin).await;
        assert_eq!(send_request(initiator.http, &request("view", "m1", 0, "")).await, "200 before");
        assert_eq!(put(admin, "/targets/s-0/maint").await, "200 close");
        // Discovery sends the list again, with a restarted target. The third poll shows that the list was
        // applied.
        discovery.resume.notify_one();
        for _ in 0..3 {
            discovery.received.recv().await.expect("discovery runs");
        }
        assert_eq!(send_request(initiator.http, &request("view", "m2", 0, "")).await, "503 retry-after");
        assert_eq!(put(admin, "/targets/s-0/ready").await, "200 close");
        // The target returns as a cold one with its full slow-start budget and without a backoff, so the
        // request is sent at once.
        assert_eq!(send_request(initiator.http, &request("view", "m3", 0, "")).await, "200 after");
    });
}

// Connections to a target in maintenance are closed once they are idle, because one that outlived the target's
// restart would carry the first request after it. A request in flight is finished first.
#[test]
fn a_request_in_flight_is_finished_when_its_target_enters_maintenance() {
    run_test(async {
        let mut target = scripted_server(vec![
            ok("one"),
            Step::RespondOnResume("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo".into()),
        ])
        .await;
        let (initiator, admin) =
            start_with_admin_port(&[endpoint_entry(target.addr, 0, "active")], None).await;
        wait_until_healthy(admin).await;
        assert_eq!(send_request(initiator.http, &request("view", "c1", 0, "")).await, "200 one");
        target.received.recv().await.expect("the request");
        let http = initiator.http;
        let response =
            actix_rt::spawn(async move { send_request(http, &request("view", "c2", 0, "")).await });
        target.received.recv().await.expect("the request in flight");
        assert_eq!(put(admin, "/targets/s-0/maint").await, "200 close");
        target.resume.notify_one();
        assert_eq!(response.await.expect("joined"), "200 two", "the request in flight is finished");
    });
}
