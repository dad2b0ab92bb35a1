//! Tests of targets that write a response slowly: the body comes some time after the head, or in small pieces with pauses.

use crate::bodies::{encode_chunked, read_chunked, read_head, test_bytes};
use crate::harness::*;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longer than a body that fits into memory, so that it may be streamed.
const LONG_BODY_BYTES: usize = 160_000;

/// How a response marks the end of its body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
    Close,
}

/// How a target writes a response.
#[derive(Clone, Copy, Debug)]
struct Pace {
    /// The pause behind the first bytes of the head.
    in_head: Duration,
    /// The pause behind the head.
    behind_head: Duration,
    /// The number of pieces of the body, with a pause behind each.
    pieces: usize,
    behind_piece: Duration,
}

const fn pace(in_head_ms: u64, behind_head_ms: u64, pieces: usize, behind_piece_ms: u64) -> Pace {
    Pace {
        in_head: Duration::from_millis(in_head_ms),
        behind_head: Duration::from_millis(behind_head_ms),
        pieces,
        behind_piece: Duration::from_millis(behind_piece_ms),
    }
}

/// A target that writes each response at the same pace.
struct SlowTarget {
    addr: SocketAddr,
    /// Requests that it has received.
    requests: Rc<Cell<usize>>,
}

async fn start_slow_target(framing: Framing, pace: Pace, body: Vec<u8>) -> SlowTarget {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let target = SlowTarget { addr: listener.local_addr().expect("bound"), requests: Rc::new(Cell::new(0)) };
    let requests = Rc::clone(&target.requests);
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (requests, body) = (Rc::clone(&requests), body.clone());
            actix_rt::spawn(async move {
                read_message(&mut stream).await.expect("a request");
                requests.set(requests.get() + 1);
                // The initiator may close the connection.
                let _ = write_response(&mut stream, framing, pace, &body).await;
            });
        }
    });
    target
}

async fn write_response(
    stream: &mut TcpStream,
    framing: Framing,
    pace: Pace,
    body: &[u8],
) -> std::io::Result<()> {
    let (header, encoded) = match framing {
        Framing::Length => (format!("Content-Length: {}", body.len()), body.to_vec()),
        Framing::Chunked => ("Transfer-Encoding: chunked".to_string(), encode_chunked(body, 9_000)),
        Framing::Close => ("Connection: close".to_string(), body.to_vec()),
    };
    stream.set_nodelay(true)?;
    stream.write_all(b"HTTP/1.1 200 O").await?;
    tokio::time::sleep(pace.in_head).await;
    stream.write_all(format!("K\r\n{header}\r\n\r\n").as_bytes()).await?;
    tokio::time::sleep(pace.behind_head).await;
    for piece in encoded.chunks(encoded.len().div_ceil(pace.pieces)) {
        stream.write_all(piece).await?;
        tokio::time::sleep(pace.behind_piece).await;
    }
    Ok(())
}

/// Sends a request. Returns the status and the body of the response.
async fn exchange(addr: SocketAddr, text: &str) -> (String, Vec<u8>) {
    let mut client = TcpStream::connect(addr).await.expect("connected");
    client.write_all(text.as_bytes()).await.expect("written");
    let head = read_head(&mut client).await;
    let status = head.split(' ').nth(1).unwrap_or_default().to_string();
    if head.to_lowercase().contains("transfer-encoding: chunked") {
        return (status, read_chunked(&mut client).await);
    }
    let length = header(&head, "content-length").and_then(|length| length.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    client.read_exact(&mut body).await.expect("the complete body");
    (status, body)
}

// Guards against cutting off a sound response: a target whose body came 0.2 to 0.5 s after its head, or in small pieces,
// was taken for one that hangs. Each attempt was cut off, and the client got 503 after the third.
#[test]
fn a_long_response_that_pauses_behind_its_head_is_not_cut_off() {
    for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
        for pace in [pace(0, 200, 1, 0), pace(0, 500, 2, 0), pace(0, 450, 30, 30), pace(0, 0, 4, 450)] {
            run_test(async move {
                let body = test_bytes(LONG_BODY_BYTES);
                let target = start_slow_target(framing, pace, body.clone()).await;
                let initiator =
                    start_initiator(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
                let (status, received) = exchange(initiator.http, &request("view", "p1", 0, "")).await;
                assert_eq!(status, "200", "{framing:?} {pace:?}");
                assert!(received == body, "{framing:?} {pace:?}: {} bytes", received.len());
                assert_eq!(target.requests.get(), 1, "{framing:?} {pace:?}: attempts");
            });
        }
    }
}

// Guards against giving up every attempt of a request because its target is slow, not hung: one that stalls is repeated
// once, as long as the class permits, and the repeat has the time that is left.
#[test]
fn a_short_response_that_pauses_is_served_within_the_time_left() {
    for framing in [Framing::Length, Framing::Chunked, Framing::Close] {
        for pace in [pace(0, 400, 1, 0), pace(400, 0, 1, 0), pace(200, 200, 2, 100)] {
            run_test(async move {
                let body = test_bytes(90);
                let target = start_slow_target(framing, pace, body.clone()).await;
                let initiator =
                    start_initiator(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
                let (status, received) = exchange(initiator.http, &request("view", "p2", 0, "")).await;
                assert_eq!(status, "200", "{framing:?} {pace:?}");
                assert!(received == body, "{framing:?} {pace:?}: {} bytes", received.len());
                assert!(target.requests.get() <= 2, "{framing:?} {pace:?}: attempts");
            });
        }
    }
}

// Guards against losing what a target has decided: the status of an error is known with its head, and its body is not
// passed on, so a pause in that body changes nothing.
#[test]
fn an_error_response_that_pauses_behind_its_head_counts_as_complete() {
    run_test(async {
        let unprocessed = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 9\r\n\r\n";
        let target = scripted_server(vec![Step::Respond(unprocessed.into()); 4]).await;
        let initiator = start_initiator(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
        let answer = send_request(initiator.http, &request("deposit", "p3", 0, "x")).await;
        assert!(answer.starts_with("503"), "the deposit never ran: {answer}");
    });
}

// Guards against a response that never ends: its target falls silent, and the client is told within 2.5 s of the last byte
// that the response is not whole.
#[test]
fn a_short_response_without_a_length_that_never_ends_is_visibly_truncated() {
    run_test(async {
        let started = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n";
        let target = scripted_server(vec![Step::Respond(started.into()); 3]).await;
        let initiator = start_initiator(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
        let mut client = TcpStream::connect(initiator.http).await.expect("connected");
        client.write_all(request("view", "p4", 0, "").as_bytes()).await.expect("written");
        let mut received = Vec::new();
        let end = tokio::time::timeout(Duration::from_millis(2_700), client.read_to_end(&mut received)).await;
        let text = String::from_utf8_lossy(&received).into_owned();
        assert!(end.is_ok(), "the connection is closed: {text}");
        assert!(!text.ends_with("0\r\n\r\n"), "{text}");
    });
}
