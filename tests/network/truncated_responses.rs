//! Targets whose answers end wrongly: reset before, in or behind the head, half way, without a length, hung,
//! or never ending. What a client gets is whole, or it can tell that it is not; what may have run is repeated
//! only as its class permits.

use crate::harness::*;
use crate::late_connections::{next_seen, sent};
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

const AT_ONCE: Duration = Duration::ZERO;
/// Longer than an answer is held back to be tried for again: an eighth of the tightest aim, which is 300 ms.
const ON_ITS_WAY: Duration = Duration::from_millis(150);

const UNTIL_THE_END: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
const OF_NINE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// A reset is no end, also of an answer that says nothing of its length.
#[test]
fn a_response_that_is_reset_at_any_point_is_a_failed_attempt() {
    for head in ["", "HTTP/1.1 20", "HTTP/1.1 200 OK\r\nConn", UNTIL_THE_END, OF_NINE, CHUNKED] {
        for body in ["", "half"] {
            // A chunk that is whole, but not the last.
            let body = if head == CHUNKED && !body.is_empty() { "4\r\nhalf\r\n" } else { body };
            story(async move {
                let reset = Step::Reset(format!("{head}{body}"), AT_ONCE);
                let target =
                    peer(vec![reset.clone(), ok("whole"), reset.clone(), reset.clone(), reset]).await;
                let node = start(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
                let asked = Instant::now();
                let told = format!("{head:?} {body:?}");
                assert_eq!(
                    send_request(node.http, &request("view", "r1", 0, "")).await,
                    "200 whole",
                    "{told}"
                );
                // It may have run each time: it must not be refused as if it had not.
                assert_eq!(send_request(node.http, &request("deposit", "r2", 0, "x")).await, "500", "{told}");
                assert!(asked.elapsed() < Duration::from_millis(1_000), "{told}: {:?}", asked.elapsed());
            });
        }
    }
}

// What has begun to reach its client when it breaks off: the client can tell.
#[test]
fn a_response_reset_on_its_way_to_the_client_does_not_look_whole() {
    for (head, body) in [(UNTIL_THE_END, "half"), (CHUNKED, "4\r\nhalf\r\n"), (OF_NINE, "half")] {
        for version in ["1.1", "1.0"] {
            story(async move {
                let target =
                    peer(vec![Step::Reset(format!("{head}{body}"), ON_ITS_WAY), ok("whole"), ok("x")]).await;
                let node = start(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
                let mut client = TcpStream::connect(node.http).await.expect("connected");
                let asked = request("view", "r3", 0, "").replace("HTTP/1.1", &format!("HTTP/{version}"));
                sent(&mut client, &asked).await;
                let mut text = Vec::new();
                let end =
                    tokio::time::timeout(Duration::from_millis(700), client.read_to_end(&mut text)).await;
                let text = String::from_utf8_lossy(&text).into_owned();
                let told = format!("{head:?} {version}: {end:?} {text}");
                let chunked = text.to_lowercase().contains("transfer-encoding: chunked");
                match end {
                    // A reset tells by itself.
                    Ok(Err(_)) => {}
                    // The end of the connection is that of the body, unless a chunk or a length says
                    // otherwise.
                    Ok(Ok(_)) if text.contains("whole") => {}
                    Ok(Ok(_)) => assert!(chunked && !text.ends_with("0\r\n\r\n"), "{told}"),
                    // It was tried for again, and the connection stays.
                    Err(_) => assert!(text.contains("whole"), "{told}"),
                }
            });
        }
    }
}

// A target that hangs inside an answer, or goes on for ever with one that says no length, is left in time.
#[test]
fn a_response_that_hangs_half_way_is_retried() {
    for text in ["HTTP/1.1 200 O", OF_NINE, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"] {
        story(async move {
            let target = peer(vec![Step::Answer(text.into()), ok("whole")]).await;
            let node = start(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
            let asked = Instant::now();
            assert_eq!(send_request(node.http, &request("view", "r4", 0, "")).await, "200 whole", "{text:?}");
            assert!(asked.elapsed() < Duration::from_millis(600), "{text:?}: {:?}", asked.elapsed());
        });
    }
}

// Half a line on a connection that rests is nobody's answer: the connection is of no further use.
#[test]
fn stray_bytes_on_an_idle_connection_spoil_no_response() {
    story(async {
        let Step::Answer(first) = ok("one") else { unreachable!("it answers") };
        let mut target = peer(vec![Step::Answer(format!("{first}HTTP/1.1 200 O")), ok("two")]).await;
        let node = start(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
        let mut client = TcpStream::connect(node.http).await.expect("connected");
        assert_eq!(send_request_on(&mut client, &request("deposit", "r5", 0, "x")).await, "200 one");
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert_eq!(send_request_on(&mut client, &request("deposit", "r6", 0, "x")).await, "200 two");
        let seen = [next_seen(&mut target).await, next_seen(&mut target).await];
        assert!(seen[0].contains("r5") && seen[1].contains("r6"), "{seen:?}");
    });
}
