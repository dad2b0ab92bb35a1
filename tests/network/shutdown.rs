//! Tests of the shutdown while requests are in flight, partly received, or arrive on idle connections. Each
//! request gets one response, or its connection is closed cleanly and nothing of the request is forwarded.

use crate::harness::*;
use crate::late_connections::{request_with_long_deadline, write_text};
use std::time::{Duration, Instant};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Connections are accepted at least this long after the shutdown begins.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(750);

/// How long a shutdown with [`short_deadlines`] takes at most: the longest deadline and 0.55 s.
const SHUTDOWN_TIME: Duration = Duration::from_millis(800 + 550);

/// How long after the request for shutdown the last responses are due, and idle connections are closed.
pub const LAST_RESPONSES: Duration = Duration::from_millis(800 + 450);

/// How long after the request for shutdown the listener closes.
const LISTENER_CLOSES: Duration = Duration::from_millis(800 + 400);

/// Shortens the deadlines so that the shutdown takes less than two seconds.
pub fn short_deadlines(json: &mut serde_json::Value) {
    for grade in 0..2 {
        json["settings"]["grades"][grade]["promise"] = 300_000.into();
        json["settings"]["grades"][grade]["hard-limit"] = 800_000.into();
    }
}

/// Reads until the connection is closed; an error if it is reset.
async fn read_until_closed(stream: &mut TcpStream) -> Result<String, std::io::ErrorKind> {
    let mut text = Vec::new();
    stream.read_to_end(&mut text).await.map_err(|e| e.kind())?;
    Ok(String::from_utf8_lossy(&text).into_owned())
}

#[test]
fn on_shutdown_requests_in_flight_half_received_or_on_idle_connections_are_answered() {
    run_test(async {
        let Step::Respond(late_response) = ok("late") else { unreachable!("ok() returns Step::Respond") };
        let mut target = scripted_server(vec![
            ok("first"),
            Step::RespondOnResume(late_response),
            ok("x"),
            ok("x"),
            ok("x"),
        ])
        .await;
        let initiator =
            start_initiator_with(&[endpoint_entry(target.addr, 0, "active")], None, None, short_deadlines)
                .await;
        let connect = async || TcpStream::connect(initiator.http).await.expect("connected");
        let (mut kept_alive, mut in_flight, mut half_sent, mut unused) =
            (connect().await, connect().await, connect().await, connect().await);
        assert_eq!(send_request_on(&mut kept_alive, &request("view", "t0", 0, "")).await, "200 first");
        write_text(&mut in_flight, &request("view", "t1", 0, "")).await;
        assert!(target.received.recv().await.is_some() && target.received.recv().await.is_some());
        let deposit = request("deposit", "t2", 0, "halved");
        write_text(&mut half_sent, &deposit[..deposit.len() - 3]).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        let stopped_at = Instant::now();
        initiator.shutdown.send(()).expect("the initiator runs");
        tokio::time::sleep(Duration::from_millis(50)).await;
        write_text(&mut half_sent, &deposit[deposit.len() - 3..]).await;
        assert_eq!(send_request_on(&mut kept_alive, &request("view", "t3", 0, "")).await, "200 x");
        assert_eq!(
            send_request(initiator.http, &request("view", "t4", 0, "")).await,
            "200 x",
            "new connections are still accepted"
        );
        assert!(read_message(&mut half_sent).await.expect("answered").0.contains("200 OK"));
        target.resume.notify_one();
        assert_eq!(read_message(&mut in_flight).await.expect("answered").1, b"late");
        // All connections are idle until the shutdown closes them, which it does cleanly.
        for stream in [&mut kept_alive, &mut in_flight, &mut half_sent, &mut unused] {
            assert_eq!(read_until_closed(stream).await.as_deref(), Ok(""));
        }
        assert!(stopped_at.elapsed() >= ACCEPT_AFTER_SIGTERM);
        drop((kept_alive, in_flight, half_sent, unused));
        initiator.task.await.expect("no panic").expect("no error");
        assert!(stopped_at.elapsed() < Duration::from_millis(800 + 700), "{:?}", stopped_at.elapsed());
    });
}

// Guards against lost responses: a request that is read after the close and forwarded has no client left to
// answer. One that was read before gets its response.
#[test]
fn a_request_at_the_moment_of_the_close_is_answered_completely_or_not_forwarded() {
    const CLIENTS: usize = 80;
    run_test(async {
        let mut target = scripted_server((0..CLIENTS).map(|_| ok("served")).collect()).await;
        let initiator =
            start_initiator_with(&[endpoint_entry(target.addr, 0, "active")], None, None, short_deadlines)
                .await;
        let mut streams = Vec::new();
        for _ in 0..CLIENTS {
            streams.push(TcpStream::connect(initiator.http).await.expect("connected"));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        initiator.shutdown.send(()).expect("the initiator runs");
        // One request every two milliseconds, around the moment in which the idle connections are closed.
        let first_send = tokio::time::Instant::now() + LAST_RESPONSES - Duration::from_millis(80);
        let clients = streams.into_iter().enumerate().map(|(i, mut stream)| async move {
            tokio::time::sleep_until(first_send + Duration::from_millis(2) * i as u32).await;
            // The write fails if the connection is closed already.
            let request = request("view", &format!("m{i}."), 0, "");
            let _ = tokio::io::AsyncWriteExt::write_all(&mut stream, request.as_bytes()).await;
            (i, read_until_closed(&mut stream).await)
        });
        let outcomes = futures_util::future::join_all(clients).await;
        let received =
            crate::late_connections::received_until_quiet(&mut target, Duration::from_millis(50)).await;
        let (mut served, mut closed) = (0, 0);
        for (i, end) in outcomes {
            let forwarded = received.iter().filter(|line| line.contains(&format!(" m{i}."))).count();
            match end {
                Ok(text) if text.starts_with("HTTP/1.1 200 ") && text.ends_with("served") => {
                    assert_eq!((forwarded, text.matches("HTTP/1.1").count()), (1, 1), "{i}");
                    served += 1;
                }
                // Rejected for lack of time or capacity: nothing of the request was forwarded.
                Ok(text) if text.starts_with("HTTP/1.1 503 ") || text.starts_with("HTTP/1.1 429 ") => {
                    assert_eq!(forwarded, 0, "{i}");
                }
                Ok(text) => {
                    assert_eq!((text.as_str(), forwarded), ("", 0), "{i}");
                    closed += 1;
                }
                Err(kind) => panic!("{i}: the connection was closed with unread bytes: {kind:?}"),
            }
        }
        assert!(
            served > 0 && closed > 0,
            "{served} served before the close, {closed} closed without a response"
        );
        initiator.task.await.expect("no panic").expect("no error");
    });
}

// Clients are expected to send one request at a time. Of two pipelined requests each gets one response,
// unless the first response is the last of its connection.
#[test]
fn of_two_pipelined_requests_each_is_answered_once_or_not_forwarded() {
    run_test(async {
        let Step::Respond(late_response) = ok("one") else { unreachable!("ok() returns Step::Respond") };
        let mut target = scripted_server(vec![Step::RespondOnResume(late_response), ok("two")]).await;
        let initiator =
            start_initiator_with(&[endpoint_entry(target.addr, 0, "active")], None, None, short_deadlines)
                .await;
        let mut client = TcpStream::connect(initiator.http).await.expect("connected");
        let pipelined = [request("view", "n1", 0, ""), request("view", "n2", 0, "")].concat();
        write_text(&mut client, &pipelined).await;
        assert!(target.received.recv().await.expect("the target runs").contains("n1"));
        initiator.shutdown.send(()).expect("the initiator runs");
        tokio::time::sleep(Duration::from_millis(20)).await;
        target.resume.notify_one();
        let text = read_until_closed(&mut client).await.expect("no reset");
        let received =
            crate::late_connections::received_until_quiet(&mut target, Duration::from_millis(50)).await;
        assert_eq!(text.matches("HTTP/1.1 200").count(), 1 + received.len(), "{text}");
        assert!(text.contains("one"), "{text}");
        drop(client);
        initiator.task.await.expect("no panic").expect("no error");
    });
}

// Guards against requests that are complete after the process has made its last responses: they were sent to
// their target, ran there, and the process ended without answering them.
#[test]
fn a_request_that_is_complete_in_the_last_moment_of_a_shutdown_is_answered_and_not_forwarded() {
    const CLIENTS: u64 = 8;
    run_test(async {
        let mut target = scripted_server((0..CLIENTS).map(|_| Step::Silence).collect()).await;
        let initiator =
            start_initiator_with(&[endpoint_entry(target.addr, 0, "active")], None, None, short_deadlines)
                .await;
        let mut streams = Vec::new();
        for number in 0..CLIENTS {
            let mut stream = TcpStream::connect(initiator.http).await.expect("connected");
            let text = request("deposit", &format!("l{number}."), 0, "halved")
                .replace("key-1", &format!("key-{number}"));
            write_text(&mut stream, &text[..text.len() - 3]).await;
            streams.push((stream, text));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        let stopped_at = tokio::time::Instant::now();
        initiator.shutdown.send(()).expect("the initiator runs");
        // One request is complete every 10 ms in the last 95 to 25 ms.
        let first = stopped_at + SHUTDOWN_TIME - Duration::from_millis(95);
        let clients = streams.into_iter().enumerate().map(|(i, (mut stream, text))| async move {
            tokio::time::sleep_until(first + Duration::from_millis(10) * i as u32).await;
            write_text(&mut stream, &text[text.len() - 3..]).await;
            read_until_closed(&mut stream).await
        });
        for (i, end) in futures_util::future::join_all(clients).await.into_iter().enumerate() {
            assert!(end.as_ref().is_ok_and(|text| text.starts_with("HTTP/1.1 503 ")), "{i}: {end:?}");
        }
        assert!(target.received.try_recv().is_err(), "nothing is forwarded");
        initiator.task.await.expect("no panic").expect("no error");
    });
}

// A request that is in flight when the shutdown's time limit expires fails, so that its client has a
// response.
#[test]
fn on_shutdown_a_request_that_its_target_never_answers_fails_in_time() {
    run_test(async {
        let target = scripted_server(vec![Step::Silence]).await;
        let change = |json: &mut serde_json::Value| {
            short_deadlines(json);
            // This client announces a longer deadline than its class allows.
            json["settings"]["ceilings"]["cancel"] = false.into();
        };
        let initiator =
            start_initiator_with(&[endpoint_entry(target.addr, 0, "active")], None, None, change).await;
        let mut client = TcpStream::connect(initiator.http).await.expect("connected");
        write_text(&mut client, &request_with_long_deadline("deposit", "f1")).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        let stopped_at = Instant::now();
        initiator.shutdown.send(()).expect("the initiator runs");
        let text = read_until_closed(&mut client).await.expect("no reset");
        assert!(text.starts_with("HTTP/1.1 500 ") && text.contains("onnection: close"), "{text}");
        drop(client);
        initiator.task.await.expect("no panic").expect("no error");
        assert!(stopped_at.elapsed() < Duration::from_millis(800 + 700), "{:?}", stopped_at.elapsed());
    });
}

// Guards against clients that are cut off in the middle of a head: what they finished afterwards was read and
// discarded, and never answered. Each client has a whole response, whenever the head began.
#[test]
fn clients_that_write_heads_slowly_while_the_process_ends_have_whole_responses() {
    const CLIENTS: u32 = 40;
    const PIECES: usize = 16;
    const WRITING_TIME: Duration = Duration::from_millis(800);
    run_test(async {
        let target = scripted_server((0..CLIENTS).map(|_| ok("served")).collect()).await;
        let initiator =
            start_initiator_with(&[endpoint_entry(target.addr, 0, "active")], None, None, short_deadlines)
                .await;
        let mut streams = Vec::new();
        for _ in 0..CLIENTS {
            streams.push(TcpStream::connect(initiator.http).await.expect("connected"));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        initiator.shutdown.send(()).expect("the initiator runs");
        let stopped_at = tokio::time::Instant::now();
        let clients = streams.into_iter().zip(0..CLIENTS).map(|(mut stream, i)| async move {
            let text = request("view", &format!("h{i}."), 0, "");
            // The heads begin all through the shutdown, until connections without a request are closed.
            let begin = stopped_at + (LAST_RESPONSES - Duration::from_millis(20)) * i / CLIENTS;
            for (piece, bytes) in text.as_bytes().chunks(text.len().div_ceil(PIECES)).enumerate() {
                tokio::time::sleep_until(begin + WRITING_TIME * piece as u32 / PIECES as u32).await;
                // The write fails if the client has its response and the process has ended.
                let _ = tokio::io::AsyncWriteExt::write_all(&mut stream, bytes).await;
            }
            read_until_closed(&mut stream).await
        });
        let (mut served, mut rejected) = (0, 0);
        for (i, end) in futures_util::future::join_all(clients).await.into_iter().enumerate() {
            let text = end.unwrap_or_else(|error| panic!("{i}: {error:?}"));
            match text.get(..13) {
                Some("HTTP/1.1 200 ") if text.ends_with("served") => served += 1,
                Some("HTTP/1.1 503 ") if text.ends_with("\r\n\r\n") => rejected += 1,
                _ => panic!("{i}: {text:?}"),
            }
        }
        assert!(served > 0 && rejected > 0, "{served} served, {rejected} rejected");
        initiator.task.await.expect("no panic").expect("no error");
    });
}

// Guards against a head that is read ahead, behind another request, and is taken for a connection between requests.
#[test]
fn a_head_that_begins_behind_another_request_has_a_whole_response_at_the_end() {
    run_test(async {
        let target = scripted_server(vec![ok("one"), ok("two")]).await;
        let initiator =
            start_initiator_with(&[endpoint_entry(target.addr, 0, "active")], None, None, short_deadlines)
                .await;
        let mut client = TcpStream::connect(initiator.http).await.expect("connected");
        let (first, second) = (request("view", "p1", 0, ""), request("view", "p2", 0, ""));
        write_text(&mut client, &[&first, &second[..second.len() - 9]].concat()).await;
        assert_eq!(read_message(&mut client).await.expect("answered").1, b"one");
        initiator.shutdown.send(()).expect("the initiator runs");
        let text = read_until_closed(&mut client).await.expect("no reset");
        assert!(text.starts_with("HTTP/1.1 503 ") && text.contains("onnection: close"), "{text:?}");
        drop(client);
        initiator.task.await.expect("no panic").expect("no error");
    });
}

// Guards against uploads that are under way when the process ends, short ones and streamed ones.
#[test]
fn uploads_that_are_under_way_at_the_end_have_whole_responses() {
    run_test(async {
        let target = scripted_server(vec![Step::Silence, Step::Silence]).await;
        let initiator =
            start_initiator_with(&[endpoint_entry(target.addr, 0, "active")], None, None, short_deadlines)
                .await;
        let mut clients = Vec::new();
        for (number, length) in [(0, 6_000), (1, 200_000)] {
            let mut client = TcpStream::connect(initiator.http).await.expect("connected");
            let text = request("deposit", &format!("u{number}."), 0, &"x".repeat(length))
                .replace("key-1", &format!("key-{number}"));
            write_text(&mut client, &text[..text.len() - length / 10]).await;
            clients.push(client);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
        initiator.shutdown.send(()).expect("the initiator runs");
        for mut client in clients {
            let text = read_until_closed(&mut client).await.expect("no reset");
            assert!(text.starts_with("HTTP/1.1 503 ") && text.contains("onnection: close"), "{text:?}");
        }
        initiator.task.await.expect("no panic").expect("no error");
    });
}

// Guards against connections that are closed long before the process ends although it could serve them, and against
// busy clients whose next request crosses the close: their responses announce it.
#[test]
fn idle_connections_are_served_until_the_last_responses_are_due_and_told_of_the_close() {
    run_test(async {
        let target = scripted_server((0..2).map(|_| ok("x")).collect()).await;
        let initiator =
            start_initiator_with(&[endpoint_entry(target.addr, 0, "active")], None, None, short_deadlines)
                .await;
        let mut early = TcpStream::connect(initiator.http).await.expect("connected");
        let mut late = TcpStream::connect(initiator.http).await.expect("connected");
        initiator.shutdown.send(()).expect("the initiator runs");
        let stopped_at = tokio::time::Instant::now();
        assert_eq!(send_request_on(&mut early, &request("view", "e1", 0, "")).await, "200 x");
        tokio::time::sleep_until(stopped_at + LAST_RESPONSES - Duration::from_millis(150)).await;
        assert_eq!(send_request_on(&mut late, &request("view", "e2", 0, "")).await, "200 close x");
        assert_eq!(read_until_closed(&mut late).await.as_deref(), Ok(""));
        assert_eq!(read_until_closed(&mut early).await.as_deref(), Ok(""));
        assert!(stopped_at.elapsed() >= LAST_RESPONSES);
        drop((early, late));
        initiator.task.await.expect("no panic").expect("no error");
    });
}

// Guards against a request that crosses the close of an idle connection and is read and discarded: its client could
// not tell it from one that ran. It stays unread, and the connection is reset.
#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_not_read() {
    run_test(async {
        let mut target = scripted_server(vec![ok("x")]).await;
        let initiator =
            start_initiator_with(&[endpoint_entry(target.addr, 0, "active")], None, None, short_deadlines)
                .await;
        let mut client = TcpStream::connect(initiator.http).await.expect("connected");
        initiator.shutdown.send(()).expect("the initiator runs");
        assert_eq!(client.read(&mut [0; 1]).await.ok(), Some(0), "the initiator closes its side");
        write_text(&mut client, &request("view", "c1", 0, "")).await;
        initiator.task.await.expect("no panic").expect("no error");
        let mut reset = client.take_error().expect("the state of the socket is read");
        for _ in 0..100 {
            if reset.is_some() {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
            reset = client.take_error().expect("the state of the socket is read");
        }
        assert!(reset.is_some(), "the connection is reset over the unread request");
        assert!(target.received.try_recv().is_err(), "nothing is forwarded");
    });
}

// Guards against clients that connect in the moment in which the listener closes: the system had accepted them, and
// closing its queue reset their requests.
#[test]
fn clients_that_wait_in_the_queue_of_the_listener_when_it_closes_are_answered() {
    const CLIENTS: u32 = 20;
    run_test(async {
        let target = scripted_server((0..CLIENTS).map(|_| ok("served")).collect()).await;
        let initiator =
            start_initiator_with(&[endpoint_entry(target.addr, 0, "active")], None, None, short_deadlines)
                .await;
        // Without a client the process would end earlier.
        let kept = TcpStream::connect(initiator.http).await.expect("connected");
        initiator.shutdown.send(()).expect("the initiator runs");
        let closes_at = Instant::now() + LISTENER_CLOSES;
        let addr = initiator.http;
        let clients: Vec<_> = (0..CLIENTS)
            .map(|i| {
                let at = closes_at - Duration::from_millis(10) + Duration::from_micros(500) * i;
                std::thread::spawn(move || connect_and_ask(addr, i, at))
            })
            .collect();
        // The process is stopped while they connect, so that all of them wait in the queue.
        tokio::time::sleep_until((closes_at - Duration::from_millis(15)).into()).await;
        std::thread::sleep(Duration::from_millis(30));
        initiator.task.await.expect("no panic").expect("no error");
        drop(kept);
        for (i, client) in clients.into_iter().enumerate() {
            let text = client.join().expect("no panic").unwrap_or_else(|| panic!("{i} was refused"));
            assert!(text.starts_with("HTTP/1.1 200 ") || text.starts_with("HTTP/1.1 503 "), "{i}: {text:?}");
        }
    });
}

// Guards against a shutdown that ends before its own steps where deadlines are short: new clients were accepted for
// longer than the process may live, and the core was told of the end after it.
#[test]
fn with_deadlines_of_a_tenth_of_a_second_the_shutdown_keeps_its_steps_and_its_end() {
    run_test(async {
        let target = scripted_server(vec![ok("x")]).await;
        let very_short_deadlines = |json: &mut serde_json::Value| {
            for grade in 0..2 {
                json["settings"]["grades"][grade]["promise"] = 50_000.into();
                json["settings"]["grades"][grade]["hard-limit"] = 100_000.into();
            }
        };
        let initiator = start_initiator_with(
            &[endpoint_entry(target.addr, 0, "active")],
            None,
            None,
            very_short_deadlines,
        )
        .await;
        let connect = async || TcpStream::connect(initiator.http).await.expect("connected");
        let (mut idle, mut writing_head) = (connect().await, connect().await);
        write_text(&mut writing_head, "GET /view/0 HTTP/1.1\r\nHost: api").await;
        let stopped_at = Instant::now();
        initiator.shutdown.send(()).expect("the initiator runs");
        assert_eq!(send_request_on(&mut idle, &request("view", "d1", 0, "")).await, "200 x");
        let text = read_until_closed(&mut writing_head).await.expect("no reset");
        assert!(text.starts_with("HTTP/1.1 503 "), "{text:?}");
        assert_eq!(read_until_closed(&mut idle).await.as_deref(), Ok(""));
        drop((idle, writing_head));
        initiator.task.await.expect("no panic").expect("no error");
        assert!(stopped_at.elapsed() < Duration::from_millis(100 + 700), "{:?}", stopped_at.elapsed());
    });
}

// Guards against a process that is stopped shortly before its end: it has less time for the last responses, and gives
// them all the same.
#[test]
fn a_process_that_is_stopped_until_after_its_end_is_due_gives_its_last_responses() {
    run_test(async {
        let target = scripted_server(vec![Step::Silence]).await;
        let initiator =
            start_initiator_with(&[endpoint_entry(target.addr, 0, "active")], None, None, short_deadlines)
                .await;
        let connect = async || TcpStream::connect(initiator.http).await.expect("connected");
        let (mut waiting, mut writing_head, mut writing_body) =
            (connect().await, connect().await, connect().await);
        write_text(&mut waiting, &request_with_long_deadline("deposit", "s1")).await;
        write_text(&mut writing_head, "GET /view/0 HTTP/1.1\r\nHost: api").await;
        let deposit = request("deposit", "s2", 0, "halved").replace("key-1", "key-2");
        write_text(&mut writing_body, &deposit[..deposit.len() - 3]).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
        let stopped_at = Instant::now();
        initiator.shutdown.send(()).expect("the initiator runs");
        tokio::time::sleep_until((stopped_at + LAST_RESPONSES - Duration::from_millis(10)).into()).await;
        std::thread::sleep(Duration::from_millis(150));
        for (stream, status) in
            [(&mut waiting, "500"), (&mut writing_head, "503"), (&mut writing_body, "503")]
        {
            let text = read_until_closed(stream).await.expect("no reset");
            assert!(text.starts_with(&format!("HTTP/1.1 {status} ")), "{text:?}");
        }
        drop((waiting, writing_head, writing_body));
        initiator.task.await.expect("no panic").expect("no error");
        assert!(stopped_at.elapsed() < Duration::from_millis(800 + 700), "{:?}", stopped_at.elapsed());
    });
}

/// Connects at `at` and sends a request in one write. Returns what comes back until the end of the connection; `None`:
/// the connection was refused.
fn connect_and_ask(addr: std::net::SocketAddr, number: u32, at: Instant) -> Option<String> {
    use std::io::{Read, Write};
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
    let mut stream = std::net::TcpStream::connect(addr).ok()?;
    let text = request("view", &format!("n{number}."), 0, "");
    if let Err(error) = stream.write_all(text.as_bytes()) {
        return Some(error.to_string());
    }
    let mut answer = Vec::new();
    match stream.read_to_end(&mut answer) {
        Ok(_) => Some(String::from_utf8_lossy(&answer).into_owned()),
        Err(error) => Some(error.to_string()),
    }
}
