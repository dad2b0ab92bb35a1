//! The program is told to end while requests are under way, half received, or come on connections that rest
//! until it ends them. Each is answered once, or its connection ends in order with nothing of it sent on.

use crate::harness::*;
use crate::late_connections::{patient_request, sent};
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// How long clients may connect after it is told to end, in any case.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(750);

/// Deadlines so short that it has ended within two seconds.
fn short_deadlines(json: &mut serde_json::Value) {
    for grade in 0..2 {
        json["settings"]["grades"][grade]["promise"] = 300_000.into();
        json["settings"]["grades"][grade]["hard-limit"] = 800_000.into();
    }
}

/// All that comes until the connection ends; an error where it is reset.
async fn read_to_end_of(stream: &mut TcpStream) -> Result<String, std::io::ErrorKind> {
    let mut text = Vec::new();
    stream.read_to_end(&mut text).await.map_err(|e| e.kind())?;
    Ok(String::from_utf8_lossy(&text).into_owned())
}

#[test]
fn on_shutdown_requests_in_flight_half_received_or_on_idle_connections_are_answered() {
    story(async {
        let Step::Answer(done) = ok("late") else { unreachable!("it answers") };
        let mut target = peer(vec![ok("first"), Step::Wait(done), ok("x"), ok("x"), ok("x")]).await;
        let node = start_with(&[endpoint_entry(target.addr, 0, "active")], None, None, short_deadlines).await;
        let connect = async || TcpStream::connect(node.http).await.expect("connected");
        let (mut resting, mut hanging, mut half, mut idle) =
            (connect().await, connect().await, connect().await, connect().await);
        assert_eq!(send_request_on(&mut resting, &request("view", "t0", 0, "")).await, "200 first");
        sent(&mut hanging, &request("view", "t1", 0, "")).await;
        assert!(target.seen.recv().await.is_some() && target.seen.recv().await.is_some());
        let deposit = request("deposit", "t2", 0, "halved");
        sent(&mut half, &deposit[..deposit.len() - 3]).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        let stopped_at = Instant::now();
        node.end.send(()).expect("it runs");
        tokio::time::sleep(Duration::from_millis(50)).await;
        sent(&mut half, &deposit[deposit.len() - 3..]).await;
        assert_eq!(send_request_on(&mut resting, &request("view", "t3", 0, "")).await, "200 x");
        assert_eq!(
            send_request(node.http, &request("view", "t4", 0, "")).await,
            "200 x",
            "clients still come"
        );
        assert!(read_message(&mut half).await.expect("answered").0.contains("200 OK"));
        target.go.notify_one();
        assert_eq!(read_message(&mut hanging).await.expect("answered").1, b"late");
        // All of them rest until it ends them, and it does so in order.
        for stream in [&mut resting, &mut hanging, &mut half, &mut idle] {
            assert_eq!(read_to_end_of(stream).await.as_deref(), Ok(""));
        }
        assert!(stopped_at.elapsed() >= ACCEPT_AFTER_SIGTERM);
        drop((resting, hanging, half, idle));
        node.run.await.expect("no panic").expect("no error");
        assert!(stopped_at.elapsed() < Duration::from_millis(800 + 700), "{:?}", stopped_at.elapsed());
    });
}

// What is read after the shutdown and sent on is lost: its answer finds nobody. What was read before has its
// answer.
#[test]
fn a_request_in_the_moment_of_the_close_is_answered_whole_or_nothing_of_it_is_sent() {
    const CLIENTS: usize = 80;
    story(async {
        let mut target = peer((0..CLIENTS).map(|_| ok("served")).collect()).await;
        let node = start_with(&[endpoint_entry(target.addr, 0, "active")], None, None, short_deadlines).await;
        let mut streams = Vec::new();
        for _ in 0..CLIENTS {
            streams.push(TcpStream::connect(node.http).await.expect("connected"));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        node.end.send(()).expect("it runs");
        // One every two milliseconds, around the instant in which it closes what rests.
        let from = tokio::time::Instant::now() + ACCEPT_AFTER_SIGTERM - Duration::from_millis(80);
        let clients = streams.into_iter().enumerate().map(|(i, mut stream)| async move {
            tokio::time::sleep_until(from + Duration::from_millis(2) * i as u32).await;
            // Refused where the connection is closed already.
            let request = request("view", &format!("m{i}."), 0, "");
            let _ = tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes()).await;
            (i, read_to_end_of(&mut stream).await)
        });
        let ended = futures_util::future::join_all(clients).await;
        let seen = crate::late_connections::seen_after(&mut target, Duration::from_millis(50)).await;
        let (mut served, mut crossed) = (0, 0);
        for (i, end) in ended {
            let sent_on = seen.iter().filter(|line| line.contains(&format!(" m{i}."))).count();
            match end {
                Ok(text) if text.starts_with("HTTP/1.1 200 ") && text.ends_with("served") => {
                    assert_eq!((sent_on, text.matches("HTTP/1.1").count()), (1, 1), "{i}");
                    served += 1;
                }
                // Refused for lack of time or room: nothing of it was sent.
                Ok(text) if text.starts_with("HTTP/1.1 503 ") || text.starts_with("HTTP/1.1 429 ") => {
                    assert_eq!(sent_on, 0, "{i}");
                }
                Ok(text) => {
                    assert_eq!((text.as_str(), sent_on), ("", 0), "{i}");
                    crossed += 1;
                }
                Err(kind) => panic!("{i}: its connection was closed over unread bytes: {kind:?}"),
            }
        }
        assert!(served > 0 && crossed > 0, "{served} before the close, {crossed} after");
        node.run.await.expect("no panic").expect("no error");
    });
}

// Clients send one request at a time; whoever sends two gets each answered once while the first answer is not
// the last.
#[test]
fn of_two_pipelined_requests_each_is_answered_once_or_not_forwarded() {
    story(async {
        let Step::Answer(done) = ok("one") else { unreachable!("it answers") };
        let mut target = peer(vec![Step::Wait(done), ok("two")]).await;
        let node = start_with(&[endpoint_entry(target.addr, 0, "active")], None, None, short_deadlines).await;
        let mut client = TcpStream::connect(node.http).await.expect("connected");
        let both = [request("view", "n1", 0, ""), request("view", "n2", 0, "")].concat();
        sent(&mut client, &both).await;
        assert!(target.seen.recv().await.expect("it lives").contains("n1"));
        node.end.send(()).expect("it runs");
        tokio::time::sleep(Duration::from_millis(20)).await;
        target.go.notify_one();
        let text = read_to_end_of(&mut client).await.expect("no reset");
        let seen = crate::late_connections::seen_after(&mut target, Duration::from_millis(50)).await;
        assert_eq!(text.matches("HTTP/1.1 200").count(), 1 + seen.len(), "{text}");
        assert!(text.contains("one"), "{text}");
        drop(client);
        node.run.await.expect("no panic").expect("no error");
    });
}

// What is held when the time is up is failed, so that no client is left without an answer.
#[test]
fn on_shutdown_a_request_that_its_target_never_answers_fails_in_time() {
    story(async {
        let target = peer(vec![Step::Silence]).await;
        let change = |json: &mut serde_json::Value| {
            short_deadlines(json);
            // A client that says it waits longer than its class allows.
            json["settings"]["ceilings"]["cancel"] = false.into();
        };
        let node = start_with(&[endpoint_entry(target.addr, 0, "active")], None, None, change).await;
        let mut client = TcpStream::connect(node.http).await.expect("connected");
        sent(&mut client, &patient_request("deposit", "f1")).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        let stopped_at = Instant::now();
        node.end.send(()).expect("it runs");
        let text = read_to_end_of(&mut client).await.expect("no reset");
        assert!(text.starts_with("HTTP/1.1 500 ") && text.contains("onnection: close"), "{text}");
        drop(client);
        node.run.await.expect("no panic").expect("no error");
        assert!(stopped_at.elapsed() < Duration::from_millis(800 + 700), "{:?}", stopped_at.elapsed());
    });
}
