//! Tests of requests whose connection is established late, while their target begins to drain, their client
//! disconnects or their deduplication window ends. The target's backlog is full; the system repeats the SYN
//! after a second.

use crate::harness::*;
use crate::late_connections::*;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Discovery whose first page is empty; the second one has these entries and waits for the test's
/// notification.
async fn discovery_with_update(entries: String) -> ScriptedServer {
    let page =
        |version, entries: &str| format!(r#"{{"version":{version},"full":false,"servers":[{entries}]}}"#);
    let Step::Respond(later) = ok(&page(3, &entries)) else { unreachable!("ok() returns Step::Respond") };
    scripted_server(vec![ok(&page(2, "")), Step::RespondOnResume(later), Step::Silence]).await
}

// Guards against requests to a target that began to drain after the attempt was decided: the attempt was sent
// when its connection was established, up to the connect timeout after the drain was announced.
#[test]
fn a_target_that_drains_during_a_connect_gets_no_request() {
    run_test(async {
        let backlog = FullBacklog::new();
        let mut discovery = discovery_with_update(endpoint_entry(backlog.addr, 0, "leaving")).await;
        let initiator = start_initiator_with(
            &[endpoint_entry(backlog.addr, 0, "active")],
            Some(discovery.addr),
            None,
            allow_late_connections,
        )
        .await;
        for _ in 0..2 {
            discovery.received.recv().await.expect("discovery is polled");
        }
        let mut client = TcpStream::connect(initiator.http).await.expect("connected");
        write_text(&mut client, &request_with_long_deadline("view", "w1")).await;
        // The connecting attempt cannot be observed from outside: its SYN is in the listener's queue.
        tokio::time::sleep(Duration::from_millis(50)).await;
        discovery.resume.notify_one();
        discovery.received.recv().await.expect("the list was applied");
        let mut target = backlog.accept_all(vec![ok("late")]);
        assert_eq!(received_until_quiet(&mut target, AFTER_SYN_RETRY).await, Vec::<String>::new());
    });
}

// A request whose connection to a draining target is pending is sent to the shard's new target at once.
#[test]
fn requests_queued_for_a_draining_target_go_to_its_replacement_at_once() {
    run_test(async {
        let backlog = FullBacklog::new();
        let mut replacement = scripted_server(vec![ok("moved")]).await;
        let active = endpoint_entry(replacement.addr, 0, "active").replace("s-0", "s-1");
        let mut discovery =
            discovery_with_update(format!("{},{active}", endpoint_entry(backlog.addr, 0, "leaving"))).await;
        let initiator = start_initiator_with(
            &[endpoint_entry(backlog.addr, 0, "active")],
            Some(discovery.addr),
            None,
            allow_late_connections,
        )
        .await;
        for _ in 0..2 {
            discovery.received.recv().await.expect("discovery is polled");
        }
        let mut client = TcpStream::connect(initiator.http).await.expect("connected");
        write_text(&mut client, &request_with_long_deadline("deposit", "w2")).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        let announced_at = Instant::now();
        discovery.resume.notify_one();
        let line = replacement.received.recv().await.expect("the replacement runs");
        assert!(
            line.contains("w2") && announced_at.elapsed() < Duration::from_millis(500),
            "{:?}",
            announced_at.elapsed()
        );
        assert!(read_message(&mut client).await.expect("answered").0.contains("200"));
    });
}

// Guards against sending an attempt for a disconnected client: where the settings forbid cancellation, the
// attempt went on until its first byte was sent.
#[test]
fn a_request_whose_client_disconnects_during_a_connect_is_not_sent() {
    for may_cancel in [true, false] {
        run_test(async move {
            let backlog = FullBacklog::new();
            let change = |json: &mut serde_json::Value| {
                allow_late_connections(json);
                json["settings"]["ceilings"]["cancel"] = may_cancel.into();
            };
            let initiator =
                start_initiator_with(&[endpoint_entry(backlog.addr, 0, "active")], None, None, change).await;
            let mut client = TcpStream::connect(initiator.http).await.expect("connected");
            write_text(&mut client, &request_with_long_deadline("view", "w3")).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            drop(client);
            let mut target = backlog.accept_all(vec![ok("late")]);
            assert_eq!(
                received_until_quiet(&mut target, AFTER_SYN_RETRY).await,
                Vec::<String>::new(),
                "{may_cancel}"
            );
        });
    }
}

// Guards against a retry outside its deduplication window: it was decided within the window, and its first
// byte was sent after it.
#[test]
fn a_retry_whose_deduplication_window_ends_during_a_connect_is_not_sent() {
    run_test(async {
        let (listener, addr) = listener_with_smallest_backlog();
        let change = |json: &mut serde_json::Value| {
            allow_late_connections(json);
            json["settings"]["grades"][1]["memory-span"] = 600_000.into();
        };
        let initiator = start_initiator_with(&[endpoint_entry(addr, 0, "active")], None, None, change).await;
        let mut client = TcpStream::connect(initiator.http).await.expect("connected");
        write_text(&mut client, &request_with_long_deadline("deposit", "w4")).await;
        // The target closes the first connection after it has received the attempt, which may have been
        // executed. The next connection is established late.
        let (mut stream, _) = listener.accept().await.expect("accepted");
        read_message(&mut stream).await.expect("the first attempt");
        let fillers = fill_backlog(addr);
        drop(stream);
        tokio::time::sleep(Duration::from_millis(50)).await;
        drop(fillers);
        let mut target = scripted_server_on(listener, vec![ok("twice")]);
        assert_eq!(received_until_quiet(&mut target, AFTER_SYN_RETRY).await, Vec::<String>::new());
        let (head, _) = read_message(&mut client).await.expect("answered");
        assert!(head.starts_with("HTTP/1.1 500"), "the request may have been executed: {head}");
    });
}

fn use_pushed_discovery(json: &mut serde_json::Value) {
    json["settings"]["discovery"] = "pushed".into();
    json["settings"]["rules"]["must-ask-in"] = serde_json::Value::Null;
}

// Guards against missed drains with a pushed list: since nothing polls a pushed list, the program did not
// watch it either, for as long as it ran.
#[test]
fn a_pushed_list_is_watched_from_the_start_and_its_draining_targets_get_no_requests() {
    run_test(async {
        let mut target = scripted_server(vec![ok("one"), ok("two")]).await;
        let mut discovery = discovery_with_update(endpoint_entry(target.addr, 0, "leaving")).await;
        let initiator = start_initiator_with(
            &[endpoint_entry(target.addr, 0, "active")],
            Some(discovery.addr),
            None,
            use_pushed_discovery,
        )
        .await;
        let polls = [next_received(&mut discovery).await, next_received(&mut discovery).await];
        assert!(polls[0].contains("from=1&hold_ms=1 ") && polls[1].contains("from=2&hold_ms="), "{polls:?}");
        assert_eq!(send_request(initiator.http, &request("view", "p1", 0, "")).await, "200 one");
        discovery.resume.notify_one();
        next_received(&mut discovery).await;
        let answer = send_request(initiator.http, &request("view", "p2", 0, "")).await;
        assert!(answer.starts_with("503") || answer.starts_with("429"), "{answer}");
        assert!(next_received(&mut target).await.contains("p1"));
        assert_eq!(received_until_quiet(&mut target, Duration::from_millis(100)).await, Vec::<String>::new());
    });
}

// The list that an agent receives after an outage of discovery counts as received at once, so the agent of a
// pushed list has to be polled within the drain grace. A backoff that doubles would outlast the grace.
#[test]
fn the_agent_of_a_pushed_list_is_polled_again_within_the_drain_grace_until_it_answers() {
    run_test(async {
        let target = scripted_server(vec![ok("one")]).await;
        let page = format!(
            r#"{{"version":9,"full":true,"servers":[{}]}}"#,
            endpoint_entry(target.addr, 0, "active")
        );
        let rejection = Step::Respond("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".into());
        let script =
            vec![Step::RespondAndClose(String::new()), rejection, Step::Silence, ok(&page), Step::Silence];
        let mut discovery = scripted_server(script).await;
        let initiator = start_initiator_with(&[], Some(discovery.addr), None, use_pushed_discovery).await;
        let started = Instant::now();
        let mut polls = Vec::new();
        while polls.len() < 5 {
            polls.push(next_received(&mut discovery).await);
            polls.retain(|line| line != "closed");
        }
        // A reset, a 503 and a silent poll, each followed by a wait of a quarter of the drain grace, which is
        // 1 s.
        assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
        assert!(polls[4].contains("from=9&hold_ms="), "{polls:?}");
        assert_eq!(send_request(initiator.http, &request("view", "p3", 0, "")).await, "200 one");
    });
}

// Guards against a burst beyond a volume's limit: the token bucket refilled while the requests that it had
// admitted waited for connections, so that both arrived together and exceeded the limit by what it admits in
// the time of a connect.
#[test]
fn a_rate_limit_holds_when_connections_are_established_late() {
    const RATE: f64 = 20.0;
    const BURST: f64 = 10.0;
    const DEBT_LIMIT: f64 = 2.0;
    run_test(async {
        let backlog = FullBacklog::new();
        let change = |json: &mut serde_json::Value| {
            allow_late_connections(json);
            json["settings"]["family-info"]["usual-units"] = 20.0.into();
            let plan = &mut json["settings"]["policies"][0];
            (plan["never-over"], plan["burst"], plan["tolerance"]) =
                (RATE.into(), BURST.into(), DEBT_LIMIT.into());
        };
        let initiator =
            start_initiator_with(&[endpoint_entry(backlog.addr, 0, "active")], None, None, change).await;
        // The bucket starts empty, since another process may have emptied it just before.
        tokio::time::sleep(Duration::from_millis(600)).await;
        let mut clients = Vec::new();
        let mut send_requests = async |count: usize| {
            for _ in 0..count {
                let mut client = TcpStream::connect(initiator.http).await.expect("connected");
                let id = format!("l{}", clients.len());
                write_text(&mut client, &request_with_long_deadline("view", &id).replace("full", "basic"))
                    .await;
                clients.push(client);
            }
        };
        send_requests(8).await;
        tokio::time::sleep(Duration::from_millis(900)).await;
        // Requests sent from now on arrive at once, earlier ones when the system repeats their SYN.
        let mut target = backlog.accept_all((0..16).map(|_| ok("late")).collect());
        send_requests(8).await;
        let (mut bucket, mut updated) = (BURST, Instant::now());
        for number in 0..16 {
            target.received.recv().await.expect("the target runs");
            bucket = (bucket + updated.elapsed().as_secs_f64() * RATE).min(BURST) - 2.0;
            updated = Instant::now();
            // The platform allows for 150 ms of transit time.
            assert!(
                bucket >= -DEBT_LIMIT - 0.15 * RATE,
                "request {number} took the bucket to {bucket:.1} units"
            );
        }
    });
}

// Guards against a busy loop: a connection that its target closed without a byte was read at full speed until
// the client's deadline, so the request was not retried and one core was busy.
#[test]
fn a_target_that_closes_without_a_byte_ends_the_attempt_at_once() {
    run_test(async {
        let mut target = scripted_server(vec![Step::RespondAndClose(String::new()), ok("again")]).await;
        let initiator = start_initiator(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
        let sent_at = Instant::now();
        assert_eq!(send_request(initiator.http, &request("view", "c1", 0, "")).await, "200 again");
        assert!(sent_at.elapsed() < Duration::from_millis(500), "{:?}", sent_at.elapsed());
        assert_eq!(received_until_quiet(&mut target, Duration::from_millis(50)).await.len(), 2);
    });
}

// Guards against the same busy loop where the target closes a kept-alive connection on receiving the next
// request.
#[test]
fn an_idle_connection_that_its_target_closes_under_a_request_ends_the_attempt_at_once() {
    run_test(async {
        let mut target =
            scripted_server(vec![ok("one"), Step::RespondAndClose(String::new()), ok("again")]).await;
        let initiator = start_initiator(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
        let mut client = TcpStream::connect(initiator.http).await.expect("connected");
        assert_eq!(send_request_on(&mut client, &request("view", "c2", 0, "")).await, "200 one");
        // A connection is idle for 10 ms before it is used again.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let sent_at = Instant::now();
        assert_eq!(send_request_on(&mut client, &request("view", "c3", 0, "")).await, "200 again");
        assert!(sent_at.elapsed() < Duration::from_millis(500), "{:?}", sent_at.elapsed());
        assert_eq!(received_until_quiet(&mut target, Duration::from_millis(50)).await.len(), 3);
    });
}

// Guards against an agent whose responses are never used: when it took longer than a part of the drain grace,
// each poll was abandoned and repeated.
#[test]
fn a_slow_response_of_the_agent_of_a_pushed_list_is_applied() {
    run_test(async {
        let target = scripted_server(vec![ok("one")]).await;
        let page = format!(
            r#"{{"version":9,"full":true,"servers":[{}]}}"#,
            endpoint_entry(target.addr, 0, "active")
        );
        let Step::Respond(late) = ok(&page) else { unreachable!("ok() returns Step::Respond") };
        let mut script = vec![Step::RespondOnResume(late)];
        script.resize(20, Step::Silence);
        let mut discovery = scripted_server(script).await;
        let change = |json: &mut serde_json::Value| {
            use_pushed_discovery(json);
            json["settings"]["rules"]["drain-grace"] = 100_000.into();
        };
        let initiator = start_initiator_with(&[], Some(discovery.addr), None, change).await;
        // Further polls are sent in parallel until the first one is answered.
        for _ in 0..4 {
            assert!(!next_received(&mut discovery).await.contains("from=9"));
        }
        discovery.resume.notify_one();
        while !next_received(&mut discovery).await.contains("from=9&hold_ms=") {}
        assert_eq!(send_request(initiator.http, &request("view", "p4", 0, "")).await, "200 one");
    });
}
