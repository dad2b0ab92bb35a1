//! Bodies that are longer than what is held of one: they pass through in both directions.

use crate::harness::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const LONG: usize = 3 << 20;

fn bytes(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i * 31 % 251) as u8).collect()
}

/// A target that is scripted by hand, and its line of the list.
async fn target() -> (TcpListener, String) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let line = endpoint_entry(listener.local_addr().expect("bound"), 0, "active");
    (listener, line)
}

async fn head(stream: &mut TcpStream) -> String {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.expect("a head"));
    }
    String::from_utf8(head).expect("UTF-8")
}

/// Bytes in chunks, with an extension and a trailer.
fn chunked(body: &[u8], piece: usize) -> Vec<u8> {
    let mut all = Vec::new();
    for piece in body.chunks(piece) {
        all.extend_from_slice(format!("{:x};note=\"a b\"\r\n", piece.len()).as_bytes());
        all.extend_from_slice(piece);
        all.extend_from_slice(b"\r\n");
    }
    all.extend_from_slice(b"0\r\nX-Sum: 1\r\n\r\n");
    all
}

async fn dechunk(stream: &mut TcpStream) -> Vec<u8> {
    let mut body = Vec::new();
    loop {
        let mut size = Vec::new();
        while !size.ends_with(b"\r\n") {
            size.push(stream.read_u8().await.expect("a chunk"));
        }
        let text = String::from_utf8(size).expect("UTF-8");
        let size =
            usize::from_str_radix(text.trim().split(';').next().unwrap_or_default(), 16).expect("a size");
        let mut piece = vec![0; size + 2];
        stream.read_exact(&mut piece).await.expect("a piece");
        if size == 0 {
            return body;
        }
        body.extend_from_slice(&piece[..size]);
    }
}

// Whole answers were held to 64 KiB: a longer one was taken for a spoilt one, and its client got an error.
#[test]
fn a_long_response_is_streamed_to_its_client() {
    story(async {
        let (listener, line) = target().await;
        let node = start(&[line], None, None).await;
        let body = bytes(LONG);
        let sent = body.clone();
        let (go, gone) = tokio::sync::oneshot::channel::<()>();
        let serving = actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            head(&mut stream).await;
            let said = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n");
            stream.write_all(said.as_bytes()).await.expect("written");
            stream.write_all(&sent[..1000]).await.expect("written");
            gone.await.expect("told");
            for piece in sent[1000..].chunks(70_001) {
                stream.write_all(piece).await.expect("written");
            }
            // The connection is kept for the next request.
            head(&mut stream).await;
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext").await.expect("written");
        });
        let mut client = TcpStream::connect(node.http).await.expect("connected");
        client.write_all(request("view", "d1", 0, "").as_bytes()).await.expect("written");
        assert!(head(&mut client).await.contains(&LONG.to_string()));
        let mut first = vec![0; 1000];
        client.read_exact(&mut first).await.expect("the first bytes, before the target goes on");
        go.send(()).expect("it waits");
        let mut rest = vec![0; LONG - 1000];
        client.read_exact(&mut rest).await.expect("the rest");
        assert!([first, rest].concat() == body, "the bytes are the target's");
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        assert_eq!(send_request_on(&mut client, &request("view", "d2", 0, "")).await, "200 next");
        serving.await.expect("one connection took both");
    });
}

// Each way in which an answer may say where it ends, to a client of either version.
#[test]
fn long_responses_of_every_framing_arrive_whole_and_truncation_is_visible() {
    story(async {
        let body = bytes(200_000);
        let plain = |head: &str| [head.as_bytes(), &body[..]].concat();
        let cut = |head: &str| [head.as_bytes(), &body[..150_000]].concat();
        for (version, answer, whole) in [
            ("1.1", plain("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"), true),
            (
                "1.1",
                [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(), chunked(&body, 4_097)]
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
                [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(), chunked(&body, 65_000)]
                    .concat(),
                true,
            ),
            ("1.1", cut("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n"), false),
            (
                "1.1",
                [
                    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec(),
                    chunked(&body, 9_000)[..150_000].to_vec(),
                ]
                .concat(),
                false,
            ),
        ] {
            let (listener, line) = target().await;
            let node = start(&[line], None, None).await;
            let told = String::from_utf8_lossy(&answer[..60]).into_owned();
            actix_rt::spawn(async move {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                head(&mut stream).await;
                stream.write_all(&answer).await.expect("written");
            });
            let mut client = TcpStream::connect(node.http).await.expect("connected");
            let asked = request("view", "f1", 0, "").replace("HTTP/1.1", &format!("HTTP/{version}"));
            client.write_all(asked.as_bytes()).await.expect("written");
            let head = head(&mut client).await;
            assert!(head.starts_with(&format!("HTTP/{version} 200")), "{told}: {head}");
            let mut got = Vec::new();
            if whole && head.to_lowercase().contains("chunked") {
                got = dechunk(&mut client).await;
            } else if let Some(length) = header(&head, "content-length").filter(|_| whole) {
                got = vec![0; length.parse().expect("a number")];
                client.read_exact(&mut got).await.expect("whole");
            } else {
                client.read_to_end(&mut got).await.expect("it ends");
                assert!(
                    whole || got.len() < body.len() + 100 && !got.ends_with(b"0\r\n\r\n"),
                    "{told}: nobody can tell"
                );
                assert!(whole || head.to_lowercase().contains("chunked") || got.len() < body.len(), "{told}");
            }
            assert!(!whole || got == body, "{told}: {} bytes", got.len());
        }
    });
}

// A body of 3 MB was turned away. It goes on as it comes: the target has its first bytes before the client
// sends more.
#[test]
fn a_long_request_is_streamed_to_its_target() {
    story(async {
        for told in [true, false] {
            let (listener, line) = target().await;
            let node = start(&[line], None, None).await;
            let body = bytes(LONG);
            let (heard, first) = tokio::sync::oneshot::channel::<()>();
            let serving = actix_rt::spawn(async move {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let head = head(&mut stream).await;
                let body = match header(&head, "content-length") {
                    Some(length) => {
                        let mut body = vec![0; length.parse().expect("a number")];
                        stream.read_exact(&mut body[..1000]).await.expect("the first bytes");
                        heard.send(()).expect("it waits");
                        stream.read_exact(&mut body[1000..]).await.expect("the rest");
                        body
                    }
                    None => {
                        heard.send(()).expect("it waits");
                        dechunk(&mut stream).await
                    }
                };
                stream
                    .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nstored")
                    .await
                    .expect("written");
                body
            });
            let mut client = TcpStream::connect(node.http).await.expect("connected");
            let framing = match told {
                true => format!("Content-Length: {LONG}\r\n"),
                false => "Transfer-Encoding: chunked\r\n".to_string(),
            };
            let head =
                request("deposit", "u1", 0, "").replace("Idempotency", &format!("{framing}Idempotency"));
            client.write_all(head.as_bytes()).await.expect("written");
            let all = if told { body.clone() } else { chunked(&body, 50_000) };
            client.write_all(&all[..300_000]).await.expect("written");
            first.await.expect("the target has some of it");
            client.write_all(&all[300_000..]).await.expect("written");
            assert_eq!(send_request_on(&mut client, "").await, "200 stored");
            assert!(serving.await.expect("served") == body, "the bytes are the client's");
        }
    });
}

// What a target has had of a long body is gone: it cannot be sent again, and its client must be told at once.
#[test]
fn a_long_request_rejected_half_way_is_rejected_and_one_that_may_have_run_fails() {
    story(async {
        let unseen = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
        for (answer, expected) in
            [(unseen, "503 close"), ("HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", "500 close")]
        {
            let (listener, line) = target().await;
            let node = start(&[line], None, None).await;
            let serving = actix_rt::spawn(async move {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                head(&mut stream).await;
                stream.read_exact(&mut vec![0; 500_000]).await.expect("some of it");
                stream.write_all(answer.as_bytes()).await.expect("written");
                let _ = stream.read_to_end(&mut Vec::new()).await;
                listener
            });
            let mut client = TcpStream::connect(node.http).await.expect("connected");
            let head = request("deposit", "t1", 0, "")
                .replace("Idempotency", "Content-Length: 3000000\r\nIdempotency");
            client.write_all(head.as_bytes()).await.expect("written");
            client.write_all(&bytes(600_000)).await.expect("written");
            assert_eq!(send_request_on(&mut client, "").await, expected);
            let listener = serving.await.expect("its connection was closed");
            let again = tokio::time::timeout(std::time::Duration::from_millis(100), listener.accept()).await;
            assert!(again.is_err(), "nothing is sent again");
        }
    });
}

// Targets turned slow requests away as over, which counted as a full target: it rested, and was believed
// slow.
#[test]
fn a_target_that_reports_a_deadline_exceeded_is_not_full_and_gets_no_retry() {
    story(async {
        let over = "HTTP/1.1 504 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n";
        let mut target = peer(vec![Step::Answer(over.into()), ok("served")]).await;
        let node = start(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
        assert_eq!(send_request(node.http, &request("view", "o1", 0, "")).await, "503 retry-after");
        assert_eq!(
            send_request(node.http, &request("view", "o2", 0, "")).await,
            "200 served",
            "it does not rest"
        );
        for id in ["o1", "o2"] {
            assert!(target.seen.recv().await.expect("it lives").contains(id), "one attempt each");
        }
    });
}

// Chunk heads, extensions, trailers and line ends, cut in two at every byte, in both directions.
#[test]
fn a_cut_at_any_byte_changes_nothing() {
    story(async {
        let body = b"0123456789abcdef0123456789";
        let answer =
            [&b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"[..], &chunked(body, 16)].concat();
        let (listener, line) = target().await;
        let node = start(&[line], None, None).await;
        let cuts = answer.len();
        let sent = answer.clone();
        let expected = body.to_vec();
        let turn = std::rc::Rc::new(std::cell::Cell::new(0));
        actix_rt::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (sent, expected, turn) = (sent.clone(), expected.clone(), std::rc::Rc::clone(&turn));
                actix_rt::spawn(async move {
                    stream.set_nodelay(true).expect("set");
                    while stream.peek(&mut [0; 1]).await.is_ok_and(|read| read > 0) {
                        head(&mut stream).await;
                        let mut got = vec![0; expected.len()];
                        stream.read_exact(&mut got).await.expect("the body");
                        assert!(got == expected, "passed on as it was sent");
                        let cut = turn.replace(turn.get() + 1) % sent.len();
                        stream.write_all(&sent[..cut]).await.expect("written");
                        tokio::task::yield_now().await;
                        stream.write_all(&sent[cut..]).await.expect("written");
                    }
                });
            }
        });
        let mut client = TcpStream::connect(node.http).await.expect("connected");
        client.set_nodelay(true).expect("set");
        let put = request("deposit", "ID", 0, "")
            .replace("Idempotency", "Transfer-Encoding: chunked\r\nIdempotency");
        let put = [put.as_bytes(), &chunked(body, 16)].concat();
        for cut in 0..cuts.max(put.len()) {
            let text = String::from_utf8(put.clone()).expect("text").replace("ID", &format!("c{cut:04}"));
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

// An answer without a length was held until 64 KiB of it had come, and one whose target wrote it slowly was
// called off as silent, three times over: views of 290 ms were refused after 1,447 ms, though their targets
// served each attempt.
#[test]
fn a_slow_response_is_passed_on_and_not_cancelled() {
    story(async {
        let (listener, line) = target().await;
        let node = start(&[line], None, None).await;
        let (go, mut gone) = tokio::sync::mpsc::channel::<()>(1);
        let serving = actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            head(&mut stream).await;
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                .await
                .expect("written");
            // Whoever holds it back keeps the client from asking for the rest.
            let mut pause = tokio::time::interval(std::time::Duration::from_millis(20));
            let mut sent = 0;
            while gone.try_recv().is_err() {
                pause.tick().await;
                stream.write_all(b"2\r\nab\r\n").await.expect("it is not called off");
                sent += 1;
            }
            stream.write_all(b"0\r\n\r\n").await.expect("written");
            assert!(sent * 2 < 64 * 1024, "its client had to wait for {sent} pieces");
            sent
        });
        let mut client = TcpStream::connect(node.http).await.expect("connected");
        client.write_all(request("view", "e1", 0, "").as_bytes()).await.expect("written");
        assert!(head(&mut client).await.starts_with("HTTP/1.1 200"));
        go.send(()).await.expect("it waits");
        assert_eq!(dechunk(&mut client).await.len(), 2 * serving.await.expect("it ends"));
    });
}
