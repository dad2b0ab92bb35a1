//! Tests of a start while discovery is down, unreachable, silent, overloaded or malfunctioning: the initiator
//! serves from the cached list in its configuration.

use crate::harness::*;
use crate::late_connections::{FullBacklog, next_received, write_text};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

async fn wait_until_ready(initiator: &RunningInitiator) -> Duration {
    let started = Instant::now();
    while send_request(initiator.http, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await != "200" {
        assert!(started.elapsed() < Duration::from_secs(10), "not ready within 10 s");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    started.elapsed()
}

async fn check_start(discovery: SocketAddr, fault: &str, discovery_mode: &str) {
    let target = scripted_server(vec![ok("served")]).await;
    let change = |json: &mut serde_json::Value| json["settings"]["discovery"] = discovery_mode.into();
    let initiator =
        start_initiator_with(&[endpoint_entry(target.addr, 0, "active")], Some(discovery), None, change)
            .await;
    let took = wait_until_ready(&initiator).await;
    assert!(took < Duration::from_secs(1), "{fault} {discovery_mode}: {took:?}");
    assert_eq!(
        send_request(initiator.http, &request("view", "s1", 0, "")).await,
        "200 served",
        "{fault} {discovery_mode}"
    );
}

#[test]
fn an_initiator_is_ready_within_a_second_whatever_fault_discovery_has() {
    for discovery_mode in ["on_request", "pushed"] {
        run_test(async move {
            let unused = UnusedAddress::new();
            check_start(unused.addr, "down", discovery_mode).await;
            let backlog = FullBacklog::new();
            check_start(backlog.addr, "unreachable", discovery_mode).await;
            check_start(scripted_server(vec![]).await.addr, "silent", discovery_mode).await;
            let rejection = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
            let rejecting = scripted_server(vec![Step::Respond(rejection.into()); 100]).await;
            check_start(rejecting.addr, "overloaded", discovery_mode).await;
            let noise =
                scripted_server(vec![ok("{\"version\":1,\"full\":true,\"servers\":[{\"id\":7}]}"); 100])
                    .await;
            check_start(noise.addr, "malformed", discovery_mode).await;
        });
    }
}

// The endpoint list may be indented and may have unknown fields.
#[test]
fn an_indented_list_with_unknown_fields_is_accepted() {
    run_test(async {
        let mut target = scripted_server(vec![ok("served")]).await;
        let text = format!(
            r#"{{"version":4,"full":true,"of":"more","servers":[{}]}}"#,
            endpoint_entry(target.addr, 0, "active")
        );
        let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        let mut discovery =
            scripted_server(vec![ok(&serde_json::to_string_pretty(&value).expect("text")), Step::Silence])
                .await;
        let initiator = start_initiator(&[], Some(discovery.addr), None).await;
        let (first, second) = (next_received(&mut discovery).await, next_received(&mut discovery).await);
        assert!(first.contains("/discovery/hosts"), "{first}");
        assert!(second.contains("from=4&"), "the list was not applied: {first}, {second}");
        wait_until_ready(&initiator).await;
        assert_eq!(send_request(initiator.http, &request("view", "s2", 0, "")).await, "200 served");
        next_received(&mut target).await;
    });
}

// Guards against clients that hinder others: many send a lot and disconnect, send noise, or never complete a
// request head.
#[test]
fn floods_of_misbehaving_clients_do_not_delay_others() {
    run_test(async {
        let target = scripted_server((0..20).map(|_| ok("served")).collect()).await;
        let initiator = start_initiator(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
        wait_until_ready(&initiator).await;
        let http = initiator.http;
        let noise = vec![b'x'; 64 * 1024];
        let mut silent = Vec::new();
        let mut client = TcpStream::connect(http).await.expect("connected");
        for round in 0..10 {
            for i in 0..30 {
                // Connections may run out for a moment; these clients are then rejected or closed.
                let Ok(mut stream) = TcpStream::connect(http).await else { continue };
                match i % 3 {
                    0 => drop(stream.try_write(&noise)),
                    1 => {
                        let with_trailing_bytes =
                            request("view", &format!("b{round}-{i}"), 1, "") + &"y".repeat(40_000);
                        drop(stream.try_write(with_trailing_bytes.as_bytes()));
                    }
                    _ => {
                        let _ = stream.try_write(b"GET /view HTTP/1.1\r\nX-Pad: ");
                        silent.push(stream);
                        continue;
                    }
                }
                let _ = tokio::io::AsyncWriteExt::shutdown(&mut stream).await;
            }
            let sent_at = Instant::now();
            write_text(&mut client, &request("view", &format!("g{round}"), 0, "")).await;
            assert!(read_message(&mut client).await.expect("answered").0.contains("200 OK"));
            assert!(sent_at.elapsed() < Duration::from_millis(500), "round {round}: {:?}", sent_at.elapsed());
        }
        assert_eq!(send_request(http, &request("view", "new", 0, "")).await, "200 served");
    });
}
