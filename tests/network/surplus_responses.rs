//! Tests of targets that send a response a second time, some time after the first.

use crate::harness::*;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

/// A target whose responses hold the request's id, and which sends each a second time after this delay.
async fn start_repeating_target(delay: Duration) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let line = endpoint_entry(listener.local_addr().expect("bound"), 0, "active");
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                stream.set_nodelay(true).expect("the option is set");
                // The initiator closes the connection when it notices the second response.
                while let Some((head, _)) = read_message(&mut stream).await {
                    let id = header(&head, "x-correlation-id").expect("an id");
                    let response = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}", id.len());
                    if stream.write_all(response.as_bytes()).await.is_err() {
                        return;
                    }
                    tokio::time::sleep(delay).await;
                    if stream.write_all(response.as_bytes()).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    line
}

// Guards against serving a client the response to another request: a connection was used again 10 ms after its last
// response, and what came a little later was taken for the response to the next request.
#[test]
fn a_response_that_comes_again_some_milliseconds_later_is_nobodys() {
    const REQUESTS: usize = 100;
    for delay_ms in [5, 12] {
        run_test(async move {
            let line = start_repeating_target(Duration::from_millis(delay_ms)).await;
            let initiator = start_initiator(&[line], None, None).await;
            let mut client = TcpStream::connect(initiator.http).await.expect("connected");
            for number in 0..REQUESTS {
                let id = format!("s{number}");
                let answer = send_request_on(&mut client, &request("view", &id, 0, "")).await;
                assert!(
                    answer == format!("200 {id}") || answer.starts_with("503"),
                    "{delay_ms} ms: {id} got {answer}"
                );
                // Around the time from which on a connection is used again.
                tokio::time::sleep(Duration::from_millis(9 + number as u64 % 7)).await;
            }
        });
    }
}

// Once a target has been seen to send surplus bytes, its other connections rest for longer too.
#[test]
fn a_target_that_was_seen_to_repeat_a_response_is_trusted_later() {
    const REQUESTS: usize = 30;
    run_test(async {
        let line = start_repeating_target(Duration::from_millis(60)).await;
        let initiator = start_initiator(&[line], None, None).await;
        // The surplus of the first response is noticed while its connection is idle.
        assert_eq!(send_request(initiator.http, &request("view", "first", 0, "")).await, "200 first");
        tokio::time::sleep(Duration::from_millis(1_200)).await;
        let mut client = TcpStream::connect(initiator.http).await.expect("connected");
        for number in 0..REQUESTS {
            let id = format!("t{number}");
            let answer = send_request_on(&mut client, &request("view", &id, 0, "")).await;
            assert!(answer == format!("200 {id}") || answer.starts_with("503"), "{id} got {answer}");
            tokio::time::sleep(Duration::from_millis(20 + number as u64)).await;
        }
    });
}
