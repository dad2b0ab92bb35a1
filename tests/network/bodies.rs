//! Tests of bodies that are longer than the front buffers: they are streamed in both directions.

use crate::harness::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LONG_BODY_BYTES: usize = 3 << 20;

pub fn test_bytes(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i * 31 % 251) as u8).collect()
}

/// A listener for a target that the test scripts itself, and its entry in the endpoint list.
async fn bind_target() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let line = endpoint_entry(listener.local_addr().expect("bound"), 0, "active");
    (listener, line)
}

pub async fn read_head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a head"));
    }
    String::from_utf8(head).expect("UTF-8")
}

/// Encodes bytes as chunks of this size, with chunk extensions and a trailer.
pub fn encode_chunked(body: &[u8], chunk_size: usize) -> Vec<u8> {
    let mut encoded = Vec::new();
    for chunk in body.chunks(chunk_size) {
        encoded.extend_from_slice(format!("{:x};note=\"a b\"\r\n", chunk.len()).as_bytes());
        encoded.extend_from_slice(chunk);
        encoded.extend_from_slice(b"\r\n");
    }
    encoded.extend_from_slice(b"0\r\nX-Sum: 1\r\n\r\n");
    encoded
}

pub async fn read_chunked(stream: &mut TcpStream) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let mut size = Vec::new();
        while !size.ends_with(b"\r\n") {
            size.push(stream.read_u8().await.expect("a chunk"));
        }
        let text = String::from_utf8(size).expect("UTF-8");
        let size =
            usize::from_str_radix(text.trim().split(';').next().unwrap_or_default(), 16).expect("a size");
        let mut chunk = vec![0; size + 2];
        stream.read_exact(&mut chunk).await.expect("a chunk");
        if size == 0 {
            return body;
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

// Guards against a limit on response bodies: one longer than 64 KiB was taken for a malformed response, and
// its client got an error.
#[test]
fn a_long_response_is_streamed_to_its_client() {
    run_test(async {
        let (listener, line) = bind_target().await;
        let initiator = start_initiator(&[line], None, None).await;
        let body = test_bytes(LONG_BODY_BYTES);
        let sent = body.clone();
        let (resume, resumed) = tokio::sync::oneshot::channel::<()>();
        let serving = actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            read_head(&mut stream).await;
            let response_head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY_BYTES}\r\n\r\n");
            stream.write_all(response_head.as_bytes()).await.expect("written");
            stream.write_all(&sent[..1000]).await.expect("written");
            resumed.await.expect("resumed");
            for chunk in sent[1000..].chunks(70_001) {
                stream.write_all(chunk).await.expect("written");
            }
            // The connection is kept alive for the next request.
            read_head(&mut stream).await;
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext").await.expect("written");
        });
        let mut client = TcpStream::connect(initiator.http).await.expect("connected");
        client.write_all(request("view", "d1", 0, "").as_bytes()).await.expect("written");
        assert!(read_head(&mut client).await.contains(&LONG_BODY_BYTES.to_string()));
        let mut first = vec![0; 1000];
        client.read_exact(&mut first).await.expect("the first bytes, while the target waits");
        resume.send(()).expect("the receiver waits");
        let mut rest = vec![0; LONG_BODY_BYTES - 1000];
        client.read_exact(&mut rest).await.expect("the rest");
        assert!([first, rest].concat() == body, "the response body was changed");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        assert_eq!(send_request_on(&mut client, &request("view", "d2", 0, "")).await, "200 next");
        serving.await.expect("both requests came on one connection");
    });
}

// Covers each framing of a response body, to clients of HTTP/1.1 and HTTP/1.0.
#[test]
fn long_responses_of_every_framing_arrive_complete_and_truncation_is_visible() {
    run_test(async {
        let body = test_bytes(200_000);
        let plain = |head: &str| [head.as_bytes(), &body[..]].concat();
        let cut = |head: &str| [head.as_bytes(), &body[..150_000]].concat();
        for (version, answer, complete) in [
            ("1.1", plain("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"), true),
            (
                "1.1",
                [
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(),
                    encode_chunked(&body, 4_097),
                ]
                .concat(),
                true,
            ),
            ("1.1", plain("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"), true),
            ("1.1", plain("HTTP/1.0 200 OK\r\n\r\n"), true),
            (
                "1.1",
                plain("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"),
                true,
            ),
            (
                "1.0",
                [
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(),
                    encode_chunked(&body, 65_000),
                ]
                .concat(),
                true,
            ),
            ("1.1", cut("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"), false),
            (
                "1.1",
                [
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(),
                    encode_chunked(&body, 9_000)[..150_000].to_vec(),
                ]
                .concat(),
                false,
            ),
        ] {
            let (listener, line) = bind_target().await;
            let initiator = start_initiator(&[line], None, None).await;
            let label = String::from_utf8_lossy(&answer[..60]).into_owned();
            actix_rt::spawn(async move {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                read_head(&mut stream).await;
                stream.write_all(&answer).await.expect("written");
            });
            let mut client = TcpStream::connect(initiator.http).await.expect("connected");
            let request_text = request("view", "f1", 0, "").replace("HTTP/1.1", &format!("HTTP/{version}"));
            client.write_all(request_text.as_bytes()).await.expect("written");
            let head = read_head(&mut client).await;
            assert!(head.starts_with(&format!("HTTP/{version} 200")), "{label}: {head}");
            let mut received = Vec::new();
            if complete && head.to_lowercase().contains("chunked") {
                received = read_chunked(&mut client).await;
            } else if let Some(length) = header(&head, "content-length").filter(|_| complete) {
                received = vec![0; length.parse().expect("a number")];
                client.read_exact(&mut received).await.expect("the complete body");
            } else {
                client.read_to_end(&mut received).await.expect("the connection is closed");
                assert!(
                    complete || received.len() < body.len() + 100 && !received.ends_with(b"0\r\n\r\n"),
                    "{label}: the truncation is not visible"
                );
                assert!(
                    complete || head.to_lowercase().contains("chunked") || received.len() < body.len(),
                    "{label}"
                );
            }
            assert!(!complete || received == body, "{label}: {} bytes", received.len());
        }
    });
}

// Guards against a limit on request bodies, which rejected a body of 3 MB. The body is streamed: the target
// receives its first bytes before the client sends the rest.
#[test]
fn a_long_request_is_streamed_to_its_target() {
    run_test(async {
        for has_length in [true, false] {
            let (listener, line) = bind_target().await;
            let initiator = start_initiator(&[line], None, None).await;
            let body = test_bytes(LONG_BODY_BYTES);
            let (first_bytes_received, first_bytes) = tokio::sync::oneshot::channel::<()>();
            let serving = actix_rt::spawn(async move {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let head = read_head(&mut stream).await;
                let body = match header(&head, "content-length") {
                    Some(length) => {
                        let mut body = vec![0; length.parse().expect("a number")];
                        stream.read_exact(&mut body[..1000]).await.expect("the first bytes");
                        first_bytes_received.send(()).expect("the receiver waits");
                        stream.read_exact(&mut body[1000..]).await.expect("the rest");
                        body
                    }
                    None => {
                        first_bytes_received.send(()).expect("the receiver waits");
                        read_chunked(&mut stream).await
                    }
                };
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstored")
                    .await
                    .expect("written");
                body
            });
            let mut client = TcpStream::connect(initiator.http).await.expect("connected");
            let framing = match has_length {
                true => format!("Content-Length: {LONG_BODY_BYTES}\r\n"),
                false => "Transfer-Encoding: chunked\r\n".to_string(),
            };
            let head =
                request("deposit", "u1", 0, "").replace("Idempotency", &format!("{framing}Idempotency"));
            client.write_all(head.as_bytes()).await.expect("written");
            let encoded = if has_length { body.clone() } else { encode_chunked(&body, 50_000) };
            client.write_all(&encoded[..300_000]).await.expect("written");
            first_bytes.await.expect("the target has received a part");
            client.write_all(&encoded[300_000..]).await.expect("written");
            assert_eq!(send_request_on(&mut client, "").await, "200 stored");
            assert!(serving.await.expect("served") == body, "the request body was changed");
        }
    });
}

// The part of a long body that a target has received is no longer buffered, so the request cannot be retried
// and its client is answered at once.
#[test]
fn a_long_request_is_rejected_if_unprocessed_and_fails_if_it_may_have_been_executed() {
    run_test(async {
        let unprocessed = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
        for (answer, expected) in
            [(unprocessed, "503 close"), ("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "500 close")]
        {
            let (listener, line) = bind_target().await;
            let initiator = start_initiator(&[line], None, None).await;
            let serving = actix_rt::spawn(async move {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                read_head(&mut stream).await;
                stream.read_exact(&mut vec![0; 500_000]).await.expect("a part of the body");
                stream.write_all(answer.as_bytes()).await.expect("written");
                let _ = stream.read_to_end(&mut Vec::new()).await;
                listener
            });
            let mut client = TcpStream::connect(initiator.http).await.expect("connected");
            let head = request("deposit", "t1", 0, "")
                .replace("Idempotency", "Content-Length: 3000000\r\nIdempotency");
            client.write_all(head.as_bytes()).await.expect("written");
            client.write_all(&test_bytes(600_000)).await.expect("written");
            assert_eq!(send_request_on(&mut client, "").await, expected);
            let listener = serving.await.expect("the attempt's connection was closed");
            let retried =
                tokio::time::timeout(std::time::Duration::from_millis(100), listener.accept()).await;
            assert!(retried.is_err(), "the request was retried");
        }
    });
}

// Guards against calling a write harmless that may have run: the first target answered 500 before it had the rest of the
// body, the attempt was repeated, and the 503 of the second became the response.
#[test]
fn a_long_request_fails_if_an_earlier_attempt_may_have_been_executed() {
    run_test(async {
        let (listener, line) = bind_target().await;
        let initiator = start_initiator(&[line], None, None).await;
        let (failed, attempt_failed) = tokio::sync::oneshot::channel::<()>();
        let serving = actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            read_head(&mut stream).await;
            stream.read_exact(&mut vec![0; 60_000]).await.expect("the buffered part");
            stream.write_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n").await.expect("written");
            let (mut stream, _) = listener.accept().await.expect("the repeated attempt");
            read_head(&mut stream).await;
            failed.send(()).expect("the receiver waits");
            stream.read_exact(&mut vec![0; 200_000]).await.expect("a part of the body");
            let unprocessed = b"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
            stream.write_all(unprocessed).await.expect("written");
            let _ = stream.read_to_end(&mut Vec::new()).await;
        });
        let mut client = TcpStream::connect(initiator.http).await.expect("connected");
        let head =
            request("deposit", "e1", 0, "").replace("Idempotency", "Content-Length: 3000000\r\nIdempotency");
        client.write_all(head.as_bytes()).await.expect("written");
        // More than is buffered, so that an attempt begins, and no more until it has failed.
        client.write_all(&test_bytes(66_000)).await.expect("written");
        attempt_failed.await.expect("the attempt is repeated");
        client.write_all(&test_bytes(600_000)).await.expect("written");
        assert_eq!(send_request_on(&mut client, "").await, "500 close");
        serving.await.expect("served");
    });
}

// Guards against treating an expired deadline as overload: a target that rejected a request for its deadline
// was counted as being at capacity, backed off from, and considered slow.
#[test]
fn an_exceeded_deadline_at_the_target_causes_neither_a_backoff_nor_a_retry() {
    run_test(async {
        let deadline_exceeded = "HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
        let mut target = scripted_server(vec![Step::Respond(deadline_exceeded.into()), ok("served")]).await;
        let initiator = start_initiator(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
        assert_eq!(send_request(initiator.http, &request("view", "o1", 0, "")).await, "503 retry-after");
        assert_eq!(
            send_request(initiator.http, &request("view", "o2", 0, "")).await,
            "200 served",
            "the initiator does not back off from the target"
        );
        for id in ["o1", "o2"] {
            assert!(target.received.recv().await.expect("the target runs").contains(id), "one attempt each");
        }
    });
}

// Guards the chunked parser: chunk heads, extensions, trailers and line ends arrive split in two at every
// byte, in both directions.
#[test]
fn chunked_bodies_split_at_any_byte_are_forwarded_unchanged() {
    run_test(async {
        let body = b"0123456789abcdef0123456789";
        let answer =
            [&b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"[..], &encode_chunked(body, 16)]
                .concat();
        let (listener, line) = bind_target().await;
        let initiator = start_initiator(&[line], None, None).await;
        let response_length = answer.len();
        let sent = answer.clone();
        let expected = body.to_vec();
        let response_number = std::rc::Rc::new(std::cell::Cell::new(0));
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (sent, expected, response_number) =
                    (sent.clone(), expected.clone(), std::rc::Rc::clone(&response_number));
                actix_rt::spawn(async move {
                    stream.set_nodelay(true).expect("the option is set");
                    while stream.peek(&mut [0; 1]).await.is_ok_and(|read| read > 0) {
                        read_head(&mut stream).await;
                        let mut received = vec![0; expected.len()];
                        stream.read_exact(&mut received).await.expect("the body");
                        assert!(received == expected, "the request body was changed");
                        let cut = response_number.replace(response_number.get() + 1) % sent.len();
                        stream.write_all(&sent[..cut]).await.expect("written");
                        tokio::task::yield_now().await;
                        stream.write_all(&sent[cut..]).await.expect("written");
                    }
                });
            }
        });
        let mut client = TcpStream::connect(initiator.http).await.expect("connected");
        client.set_nodelay(true).expect("the option is set");
        let request_text = request("deposit", "ID", 0, "")
            .replace("Idempotency", "Transfer-Encoding: chunked\r\nIdempotency");
        let request_text = [request_text.as_bytes(), &encode_chunked(body, 16)].concat();
        for cut in 0..response_length.max(request_text.len()) {
            let text =
                String::from_utf8(request_text.clone()).expect("text").replace("ID", &format!("c{cut:04}"));
            let bytes = text.as_bytes();
            client.write_all(&bytes[..cut % bytes.len()]).await.expect("written");
            tokio::task::yield_now().await;
            client.write_all(&bytes[cut % bytes.len()..]).await.expect("written");
            assert_eq!(
                send_request_on(&mut client, "").await,
                format!("200 {}", String::from_utf8_lossy(body)),
                "{cut}"
            );
        }
    });
}

// Guards against buffering a response without a length until 64 KiB have arrived. A target that wrote slowly
// was counted as silent, and its attempt was cancelled and retried, three times in all: views of 290 ms were
// rejected after 1,447 ms, although their targets served each attempt.
#[test]
fn a_slow_response_is_streamed_and_not_cancelled() {
    run_test(async {
        let (listener, line) = bind_target().await;
        let initiator = start_initiator(&[line], None, None).await;
        let (resume, mut resumed) = tokio::sync::mpsc::channel::<()>(1);
        let serving = actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            read_head(&mut stream).await;
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                .await
                .expect("written");
            // The target goes on until the client has received the head, so it ends only if the response is
            // not buffered.
            let mut interval = tokio::time::interval(std::time::Duration::from_millis(20));
            let mut sent = 0;
            while resumed.try_recv().is_err() {
                interval.tick().await;
                stream.write_all(b"2\r\nab\r\n").await.expect("the attempt is not cancelled");
                sent += 1;
            }
            stream.write_all(b"0\r\n\r\n").await.expect("written");
            assert!(sent * 2 < 64 * 1024, "the client received its first bytes after {sent} chunks");
            sent
        });
        let mut client = TcpStream::connect(initiator.http).await.expect("connected");
        client.write_all(request("view", "e1", 0, "").as_bytes()).await.expect("written");
        assert!(read_head(&mut client).await.starts_with("HTTP/1.1 200"));
        resume.send(()).await.expect("the receiver waits");
        assert_eq!(read_chunked(&mut client).await.len(), 2 * serving.await.expect("joined"));
    });
}
