//! The program starts while discovery is down, cut off, silent or overbooked: it serves from the list in its
//! configuration.

use crate::harness::*;
use crate::late_connections::{Full, next_seen, sent};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

async fn ready(node: &Running) -> Duration {
    let begun = Instant::now();
    while send_request(node.http, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await != "200" {
        assert!(begun.elapsed() < Duration::from_secs(10), "not ready");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    begun.elapsed()
}

async fn serves_without(discovery: SocketAddr, what: &str, word: &str) {
    let target = peer(vec![ok("served")]).await;
    let change = |json: &mut serde_json::Value| json["settings"]["discovery"] = word.into();
    let node = start_with(&[endpoint_entry(target.addr, 0, "active")], Some(discovery), None, change).await;
    let took = ready(&node).await;
    assert!(took < Duration::from_secs(1), "{what} {word}: {took:?}");
    assert_eq!(send_request(node.http, &request("view", "s1", 0, "")).await, "200 served", "{what} {word}");
}

#[test]
fn it_is_ready_soon_whatever_discovery_does() {
    for word in ["on_request", "pushed"] {
        story(async move {
            let nobody = UnusedAddress::new();
            serves_without(nobody.addr, "down", word).await;
            let full = Full::new();
            serves_without(full.addr, "cut off", word).await;
            serves_without(peer(vec![]).await.addr, "silent", word).await;
            let refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
            let refusing = peer(vec![Step::Answer(refusal.into()); 100]).await;
            serves_without(refusing.addr, "overbooked", word).await;
            let noise = peer(vec![ok("{\"version\":1,\"full\":true,\"servers\":[{\"id\":7}]}"); 100]).await;
            serves_without(noise.addr, "gone mad", word).await;
        });
    }
}

// Lists may come indented, and with more in them than is known here.
#[test]
fn an_indented_list_is_a_list() {
    story(async {
        let mut target = peer(vec![ok("served")]).await;
        let text = format!(
            r#"{{"version":4,"full":true,"of":"more","servers":[{}]}}"#,
            endpoint_entry(target.addr, 0, "active")
        );
        let value: serde_json::Value = serde_json::from_str(&text).expect("JSON");
        let mut list =
            peer(vec![ok(&serde_json::to_string_pretty(&value).expect("text")), Step::Silence]).await;
        let node = start(&[], Some(list.addr), None).await;
        let (first, second) = (next_seen(&mut list).await, next_seen(&mut list).await);
        assert!(first.contains("/discovery/hosts"), "{first}");
        assert!(second.contains("from=4&"), "it was read: {first}, {second}");
        ready(&node).await;
        assert_eq!(send_request(node.http, &request("view", "s2", 0, "")).await, "200 served");
        next_seen(&mut target).await;
    });
}

// Many clients that send much at once and go, that send noise, or that say nothing: others are served
// meanwhile.
#[test]
fn floods_of_bad_clients_hinder_nobody() {
    story(async {
        let target = peer((0..20).map(|_| ok("served")).collect()).await;
        let node = start(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
        ready(&node).await;
        let http = node.http;
        let noise = vec![b'x'; 64 * 1024];
        let mut silent = Vec::new();
        let mut client = TcpStream::connect(http).await.expect("connected");
        for round in 0..10 {
            for i in 0..30 {
                // Places may be short for a moment: whoever finds none is told or closed.
                let Ok(mut bad) = TcpStream::connect(http).await else { continue };
                match i % 3 {
                    0 => drop(bad.try_write(&noise)),
                    1 => {
                        let behind = request("view", &format!("b{round}-{i}"), 1, "") + &"y".repeat(40_000);
                        drop(bad.try_write(behind.as_bytes()));
                    }
                    _ => {
                        let _ = bad.try_write(b"GET /view HTTP/1.1\r\nX-Pad: ");
                        silent.push(bad);
                        continue;
                    }
                }
                let _ = tokio::io::AsyncWriteExt::shutdown(&mut bad).await;
            }
            let asked = Instant::now();
            sent(&mut client, &request("view", &format!("g{round}"), 0, "")).await;
            assert!(read_message(&mut client).await.expect("answered").0.contains("200 OK"));
            assert!(asked.elapsed() < Duration::from_millis(500), "round {round}: {:?}", asked.elapsed());
        }
        assert_eq!(send_request(http, &request("view", "new", 0, "")).await, "200 served");
    });
}
