//! Operators' calls, against the sockets of the program.

use crate::harness::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

async fn operated(lines: &[String], discovery: Option<SocketAddr>) -> (Running, SocketAddr) {
    let node = start_with(lines, discovery, None, |json| json["admin"] = "127.0.0.1:0".into()).await;
    let admin = node.admin.expect("operators can call");
    (node, admin)
}

async fn put(admin: SocketAddr, path: &str) -> String {
    send_request(admin, &format!("PUT {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")).await
}

/// Its status once the process is ready; stub discovery may need a moment.
async fn healthy(admin: SocketAddr) {
    while send_request(admin, "GET /healthcheck HTTP/1.1\r\nHost: x\r\n\r\n").await != "200 close" {
        tokio::task::yield_now().await;
    }
}

#[test]
fn each_admin_command_is_answered_and_its_connection_closed() {
    story(async {
        let target = peer(vec![]).await;
        let (_node, admin) = operated(&[endpoint_entry(target.addr, 0, "active")], None).await;
        healthy(admin).await;
        for (call, answer) in [
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
            assert_eq!(send_request(admin, call).await, answer, "{call:?}");
        }
        let endless = format!("GET /healthcheck HTTP/1.1\r\nX-Pad: {}", "p".repeat(16 * 1024));
        assert_eq!(send_request(admin, &endless).await, "431 close");
    });
}

// Callers who finish no call held up all others, or left no descriptor for them.
#[test]
fn unfinished_admin_commands_hold_up_nobody() {
    story(async {
        let target = peer(vec![]).await;
        let (_node, admin) = operated(&[endpoint_entry(target.addr, 0, "active")], None).await;
        healthy(admin).await;
        let mut half = Vec::new();
        for _ in 0..3 * rowanglade::net::admin::MAX_CALLS {
            let mut stream = TcpStream::connect(admin).await.expect("connected");
            stream.write_all(b"PUT /targets/s-0/ma").await.expect("written");
            half.push(stream);
        }
        let called = Instant::now();
        assert_eq!(put(admin, "/targets/s-0/maint").await, "200 close");
        assert!(called.elapsed() < Duration::from_secs(1), "a caller waits for a second");
        let mut oldest = half.swap_remove(0);
        assert!(read_message(&mut oldest).await.is_none(), "at the limit the oldest goes");
    });
}

// Discovery lists the target as up all the time. What it says must not bring back a target that is out.
#[test]
fn a_target_in_maintenance_gets_nothing_until_it_is_returned() {
    story(async {
        let target = peer(vec![ok("before"), ok("after")]).await;
        let again = |version, started: u64| {
            let line = endpoint_entry(target.addr, 0, "active")
                .replace("\"started_ms\":0", &format!("\"started_ms\":{started}"));
            format!(r#"{{"version":{version},"full":true,"servers":[{line}]}}"#)
        };
        let wait = |text: String| {
            Step::Wait(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}", text.len()))
        };
        let mut discovery = peer(vec![ok(&again(2, 0)), wait(again(3, 1)), wait(again(4, 1))]).await;
        let (node, admin) = operated(&[], Some(discovery.addr)).await;
        healthy(admin).await;
        assert_eq!(send_request(node.http, &request("view", "m1", 0, "")).await, "200 before");
        assert_eq!(put(admin, "/targets/s-0/maint").await, "200 close");
        // The list comes again, with a restart; the third call shows that it has been taken up.
        discovery.go.notify_one();
        for _ in 0..3 {
            discovery.seen.recv().await.expect("it lives");
        }
        assert_eq!(send_request(node.http, &request("view", "m2", 0, "")).await, "503 retry-after");
        assert_eq!(put(admin, "/targets/s-0/ready").await, "200 close");
        // Cold, with its budget untouched, and nothing left of its absence: at once.
        assert_eq!(send_request(node.http, &request("view", "m3", 0, "")).await, "200 after");
    });
}

// An idle connection to a target that is being restarted would carry the first request after it is back.
#[test]
fn connections_to_a_target_in_maintenance_end_and_carry_nothing() {
    story(async {
        let mut target =
            peer(vec![ok("one"), Step::Wait("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\ntwo".into())]).await;
        let (node, admin) = operated(&[endpoint_entry(target.addr, 0, "active")], None).await;
        healthy(admin).await;
        assert_eq!(send_request(node.http, &request("view", "c1", 0, "")).await, "200 one");
        target.seen.recv().await.expect("the request");
        let http = node.http;
        let open = actix_rt::spawn(async move { send_request(http, &request("view", "c2", 0, "")).await });
        target.seen.recv().await.expect("the request that is open");
        assert_eq!(put(admin, "/targets/s-0/maint").await, "200 close");
        target.go.notify_one();
        assert_eq!(open.await.expect("it ends"), "200 two", "what is open is finished");
    });
}
