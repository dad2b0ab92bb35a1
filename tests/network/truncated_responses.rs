//! Tests of targets whose responses end wrongly: reset before, in or after the head, truncated, without a
//! length, stalled or endless. A client gets a complete response or can detect the truncation, and a request
//! that may have been executed is retried only as its class permits.

use crate::harness::*;
use crate::late_connections::{next_received, write_text};
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

const NO_DELAY: Duration = Duration::ZERO;
/// Longer than a response is held back so that it can still be retried, which is an eighth of the tightest
/// latency objective of 300 ms.
const UNTIL_FORWARDED: Duration = Duration::from_millis(150);

const CLOSE_DELIMITED_HEAD: &str = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";
const NINE_BYTE_HEAD: &str = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n";
const CHUNKED_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// A reset is not the end of a body, even of a body without a declared length.
#[test]
fn a_response_that_is_reset_at_any_point_is_a_failed_attempt() {
    for head in
        ["", "HTTP/1.1 20", "HTTP/1.1 200 OK\r\nConn", CLOSE_DELIMITED_HEAD, NINE_BYTE_HEAD, CHUNKED_HEAD]
    {
        for body in ["", "half"] {
            // One complete chunk, without the last chunk.
            let body = if head == CHUNKED_HEAD && !body.is_empty() { "4\r\nhalf\r\n" } else { body };
            run_test(async move {
                let reset = Step::RespondAndReset(format!("{head}{body}"), NO_DELAY);
                let target =
                    scripted_server(vec![reset.clone(), ok("whole"), reset.clone(), reset.clone(), reset])
                        .await;
                let initiator =
                    start_initiator(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
                let started = Instant::now();
                let label = format!("{head:?} {body:?}");
                assert_eq!(
                    send_request(initiator.http, &request("view", "r1", 0, "")).await,
                    "200 whole",
                    "{label}"
                );
                // The deposit may have been executed each time, so it must fail rather than be rejected.
                assert_eq!(
                    send_request(initiator.http, &request("deposit", "r2", 0, "x")).await,
                    "500",
                    "{label}"
                );
                assert!(started.elapsed() < Duration::from_millis(1_000), "{label}: {:?}", started.elapsed());
            });
        }
    }
}

// A response whose first bytes the client has received when the target resets it: the client can detect that.
#[test]
fn a_response_reset_while_it_is_forwarded_is_visibly_truncated() {
    for (head, body) in
        [(CLOSE_DELIMITED_HEAD, "half"), (CHUNKED_HEAD, "4\r\nhalf\r\n"), (NINE_BYTE_HEAD, "half")]
    {
        for version in ["1.1", "1.0"] {
            run_test(async move {
                let target = scripted_server(vec![
                    Step::RespondAndReset(format!("{head}{body}"), UNTIL_FORWARDED),
                    ok("whole"),
                    ok("x"),
                ])
                .await;
                let initiator =
                    start_initiator(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
                let mut client = TcpStream::connect(initiator.http).await.expect("connected");
                let request_text =
                    request("view", "r3", 0, "").replace("HTTP/1.1", &format!("HTTP/{version}"));
                write_text(&mut client, &request_text).await;
                let mut text = Vec::new();
                let end =
                    tokio::time::timeout(Duration::from_millis(700), client.read_to_end(&mut text)).await;
                let text = String::from_utf8_lossy(&text).into_owned();
                let label = format!("{head:?} {version}: {end:?} {text}");
                let chunked = text.to_lowercase().contains("transfer-encoding: chunked");
                match end {
                    // The client's connection was reset, which it detects.
                    Ok(Err(_)) => {}
                    // Without a length or chunks the end of the connection is the end of the body, so a
                    // truncation has to show in a missing last chunk.
                    Ok(Ok(_)) if text.contains("whole") => {}
                    Ok(Ok(_)) => assert!(chunked && !text.ends_with("0\r\n\r\n"), "{label}"),
                    // The request was retried, and the client's connection stays open.
                    Err(_) => assert!(text.contains("whole"), "{label}"),
                }
            });
        }
    }
}

// Guards against waiting without limit for a target that stalls in the middle of a response.
#[test]
fn a_response_that_stalls_midway_is_retried() {
    for text in ["HTTP/1.1 200 O", NINE_BYTE_HEAD, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"] {
        run_test(async move {
            let target = scripted_server(vec![Step::Respond(text.into()), ok("whole")]).await;
            let initiator = start_initiator(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
            let started = Instant::now();
            assert_eq!(
                send_request(initiator.http, &request("view", "r4", 0, "")).await,
                "200 whole",
                "{text:?}"
            );
            assert!(started.elapsed() < Duration::from_millis(600), "{text:?}: {:?}", started.elapsed());
        });
    }
}

// Part of a status line on an idle connection belongs to no response, so the connection is not used again.
#[test]
fn stray_bytes_on_an_idle_connection_are_not_part_of_the_next_response() {
    run_test(async {
        let Step::Respond(first) = ok("one") else { unreachable!("ok() returns Step::Respond") };
        let mut target =
            scripted_server(vec![Step::Respond(format!("{first}HTTP/1.1 200 O")), ok("two")]).await;
        let initiator = start_initiator(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
        let mut client = TcpStream::connect(initiator.http).await.expect("connected");
        assert_eq!(send_request_on(&mut client, &request("deposit", "r5", 0, "x")).await, "200 one");
        tokio::time::sleep(Duration::from_millis(30)).await;
        assert_eq!(send_request_on(&mut client, &request("deposit", "r6", 0, "x")).await, "200 two");
        let received = [next_received(&mut target).await, next_received(&mut target).await];
        assert!(received[0].contains("r5") && received[1].contains("r6"), "{received:?}");
    });
}
