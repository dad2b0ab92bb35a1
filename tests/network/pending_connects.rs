//! Requests that wait while what they wait for ends: the target is announced as leaving, the client goes, the
//! time for a repeat passes. Connections come up late where a listener's queue is full: the system tries
//! again after a second.

use crate::harness::*;
use crate::late_connections::*;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// Discovery that tells of nothing at first, and of these entries once it is told to.
async fn discovery(entries: String) -> Peer {
    let page =
        |version, entries: &str| format!(r#"{{"version":{version},"full":false,"servers":[{entries}]}}"#);
    let Step::Answer(later) = ok(&page(3, &entries)) else { unreachable!("it answers") };
    peer(vec![ok(&page(2, "")), Step::Wait(later), Step::Silence]).await
}

// The decision to send was taken before the announcement, and the request went out when its connection came
// up: up to the connect time-out later.
#[test]
fn a_target_that_drains_during_a_connect_gets_nothing() {
    story(async {
        let full = Full::new();
        let mut list = discovery(endpoint_entry(full.addr, 0, "leaving")).await;
        let node =
            start_with(&[endpoint_entry(full.addr, 0, "active")], Some(list.addr), None, patient).await;
        for _ in 0..2 {
            list.seen.recv().await.expect("it is watched");
        }
        let mut client = TcpStream::connect(node.http).await.expect("connected");
        sent(&mut client, &patient_request("view", "w1")).await;
        // Nothing answers it: that it is on its way is told by the target's queue alone.
        tokio::time::sleep(Duration::from_millis(50)).await;
        list.go.notify_one();
        list.seen.recv().await.expect("the announcement was taken");
        let mut target = full.let_in(vec![ok("late")]);
        assert_eq!(seen_after(&mut target, TRIED_AGAIN).await, Vec::<String>::new());
    });
}

// What a leaving target's connections kept waiting is tried elsewhere at once: its shard has moved meanwhile.
#[test]
fn requests_queued_for_a_draining_target_go_to_its_replacement_at_once() {
    story(async {
        let full = Full::new();
        let mut successor = peer(vec![ok("moved")]).await;
        let active = endpoint_entry(successor.addr, 0, "active").replace("s-0", "s-1");
        let mut list = discovery(format!("{},{active}", endpoint_entry(full.addr, 0, "leaving"))).await;
        let node =
            start_with(&[endpoint_entry(full.addr, 0, "active")], Some(list.addr), None, patient).await;
        for _ in 0..2 {
            list.seen.recv().await.expect("it is watched");
        }
        let mut client = TcpStream::connect(node.http).await.expect("connected");
        sent(&mut client, &patient_request("deposit", "w2")).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        let told = Instant::now();
        list.go.notify_one();
        let seen = successor.seen.recv().await.expect("it lives");
        assert!(seen.contains("w2") && told.elapsed() < Duration::from_millis(500), "{:?}", told.elapsed());
        assert!(read_message(&mut client).await.expect("answered").0.contains("200"));
    });
}

// Where the settings let nothing be cancelled, the attempt of a client that had left went on to its first
// byte.
#[test]
fn a_client_that_disconnects_during_a_connect_leaves_nothing_to_be_sent() {
    for may_cancel in [true, false] {
        story(async move {
            let full = Full::new();
            let change = |json: &mut serde_json::Value| {
                patient(json);
                json["settings"]["ceilings"]["cancel"] = may_cancel.into();
            };
            let node = start_with(&[endpoint_entry(full.addr, 0, "active")], None, None, change).await;
            let mut client = TcpStream::connect(node.http).await.expect("connected");
            sent(&mut client, &patient_request("view", "w3")).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            drop(client);
            let mut target = full.let_in(vec![ok("late")]);
            assert_eq!(seen_after(&mut target, TRIED_AGAIN).await, Vec::<String>::new(), "{may_cancel}");
        });
    }
}

// A repeat was decided inside its key's window, and its first byte went out after it.
#[test]
fn a_retry_whose_deduplication_window_ends_during_a_connect_is_not_sent() {
    story(async {
        let (listener, addr) = short();
        let change = |json: &mut serde_json::Value| {
            patient(json);
            json["settings"]["grades"][1]["memory-span"] = 600_000.into();
        };
        let node = start_with(&[endpoint_entry(addr, 0, "active")], None, None, change).await;
        let mut client = TcpStream::connect(node.http).await.expect("connected");
        sent(&mut client, &patient_request("deposit", "w4")).await;
        // The first attempt may have run: its connection is closed on it. The next one comes up late.
        let (mut stream, _) = listener.accept().await.expect("accepted");
        read_message(&mut stream).await.expect("the first attempt");
        let fillers = fill(addr);
        drop(stream);
        tokio::time::sleep(Duration::from_millis(50)).await;
        drop(fillers);
        let mut target = peer_on(listener, vec![ok("twice")]);
        assert_eq!(seen_after(&mut target, TRIED_AGAIN).await, Vec::<String>::new());
        let (head, _) = read_message(&mut client).await.expect("answered");
        assert!(head.starts_with("HTTP/1.1 500"), "it may have run: {head}");
    });
}

fn pushed(json: &mut serde_json::Value) {
    json["settings"]["discovery"] = "pushed".into();
    json["settings"]["rules"]["must-ask-in"] = serde_json::Value::Null;
}

// Nobody asks for a list that is pushed, and the program took that for nobody needing to watch it: drains
// were missed for as long as it ran.
#[test]
fn a_pushed_list_is_watched_from_the_start_and_its_draining_targets_get_nothing() {
    story(async {
        let mut target = peer(vec![ok("one"), ok("two")]).await;
        let mut list = discovery(endpoint_entry(target.addr, 0, "leaving")).await;
        let node =
            start_with(&[endpoint_entry(target.addr, 0, "active")], Some(list.addr), None, pushed).await;
        let opened = [next_seen(&mut list).await, next_seen(&mut list).await];
        assert!(
            opened[0].contains("from=1&hold_ms=1 ") && opened[1].contains("from=2&hold_ms="),
            "{opened:?}"
        );
        assert_eq!(send_request(node.http, &request("view", "p1", 0, "")).await, "200 one");
        list.go.notify_one();
        next_seen(&mut list).await;
        let answer = send_request(node.http, &request("view", "p2", 0, "")).await;
        assert!(answer.starts_with("503") || answer.starts_with("429"), "{answer}");
        assert!(next_seen(&mut target).await.contains("p1"));
        assert_eq!(seen_after(&mut target, Duration::from_millis(100)).await, Vec::<String>::new());
    });
}

// What an agent gets at discovery's return counts at once: a wait that doubles would outlast the grace.
#[test]
fn the_agent_of_a_pushed_list_is_polled_again_within_the_grace_until_it_answers() {
    story(async {
        let target = peer(vec![ok("one")]).await;
        let page = format!(
            r#"{{"version":9,"full":true,"servers":[{}]}}"#,
            endpoint_entry(target.addr, 0, "active")
        );
        let refused = Step::Answer("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n".into());
        let script = vec![Step::Last(String::new()), refused, Step::Silence, ok(&page), Step::Silence];
        let mut list = peer(script).await;
        let node = start_with(&[], Some(list.addr), None, pushed).await;
        let begun = Instant::now();
        let mut calls = Vec::new();
        while calls.len() < 5 {
            calls.push(next_seen(&mut list).await);
            calls.retain(|seen| seen != "closed");
        }
        // A reset, a refusal and a silence, each followed by a quarter of the grace, which is 1 s.
        assert!(begun.elapsed() < Duration::from_secs(3), "{:?}", begun.elapsed());
        assert!(calls[4].contains("from=9&hold_ms="), "{calls:?}");
        assert_eq!(send_request(node.http, &request("view", "p3", 0, "")).await, "200 one");
    });
}

// The store of a volume's limit filled up again while what it had granted waited for connections, and both
// arrived together: past the limit by what it allows in the time that a connection takes.
#[test]
fn a_limit_holds_where_connections_come_up_late() {
    const RATE: f64 = 20.0;
    const BURST: f64 = 10.0;
    const SLACK: f64 = 2.0;
    story(async {
        let full = Full::new();
        let change = |json: &mut serde_json::Value| {
            patient(json);
            json["settings"]["family-info"]["usual-units"] = 20.0.into();
            let plan = &mut json["settings"]["policies"][0];
            (plan["never-over"], plan["burst"], plan["tolerance"]) =
                (RATE.into(), BURST.into(), SLACK.into());
        };
        let node = start_with(&[endpoint_entry(full.addr, 0, "active")], None, None, change).await;
        // The store is empty at the start, since another process may have emptied it just before.
        tokio::time::sleep(Duration::from_millis(600)).await;
        let mut clients = Vec::new();
        let mut next = async |count: usize| {
            for _ in 0..count {
                let mut client = TcpStream::connect(node.http).await.expect("connected");
                let id = format!("l{}", clients.len());
                sent(&mut client, &patient_request("view", &id).replace("full", "basic")).await;
                clients.push(client);
            }
        };
        next(8).await;
        tokio::time::sleep(Duration::from_millis(900)).await;
        // What is sent from now on arrives at once, what was sent before when the system tries its
        // connections again.
        let mut target = full.let_in((0..16).map(|_| ok("late")).collect());
        next(8).await;
        let (mut left, mut at) = (BURST, Instant::now());
        for taken in 0..16 {
            target.seen.recv().await.expect("it lives");
            left = (left + at.elapsed().as_secs_f64() * RATE).min(BURST) - 2.0;
            at = Instant::now();
            // The platform allows for 150 ms on the way.
            assert!(left >= -SLACK - 0.15 * RATE, "the {taken}th took the store to {left:.1}");
        }
    });
}

// A target that closed without a byte was read from without end, at full speed, until the client's time was
// up: the request was never tried again, and one core did nothing else.
#[test]
fn a_target_that_closes_without_a_byte_ends_the_attempt_at_once() {
    story(async {
        let mut target = peer(vec![Step::Last(String::new()), ok("again")]).await;
        let node = start(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
        let asked = Instant::now();
        assert_eq!(send_request(node.http, &request("view", "c1", 0, "")).await, "200 again");
        assert!(asked.elapsed() < Duration::from_millis(500), "{:?}", asked.elapsed());
        assert_eq!(seen_after(&mut target, Duration::from_millis(50)).await.len(), 2);
    });
}

// The same on a connection that has served before.
#[test]
fn an_idle_connection_that_its_target_closes_under_a_request_ends_the_attempt_at_once() {
    story(async {
        let mut target = peer(vec![ok("one"), Step::Last(String::new()), ok("again")]).await;
        let node = start(&[endpoint_entry(target.addr, 0, "active")], None, None).await;
        let mut client = TcpStream::connect(node.http).await.expect("connected");
        assert_eq!(send_request_on(&mut client, &request("view", "c2", 0, "")).await, "200 one");
        // A connection rests 10 ms before it is used again.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let asked = Instant::now();
        assert_eq!(send_request_on(&mut client, &request("view", "c3", 0, "")).await, "200 again");
        assert!(asked.elapsed() < Duration::from_millis(500), "{:?}", asked.elapsed());
        assert_eq!(seen_after(&mut target, Duration::from_millis(50)).await.len(), 3);
    });
}

// An agent slower than a part of the grace was never heard: each call was given up and made again.
#[test]
fn the_agent_of_a_pushed_list_may_be_slow() {
    story(async {
        let target = peer(vec![ok("one")]).await;
        let page = format!(
            r#"{{"version":9,"full":true,"servers":[{}]}}"#,
            endpoint_entry(target.addr, 0, "active")
        );
        let Step::Answer(late) = ok(&page) else { unreachable!("it answers") };
        let mut script = vec![Step::Wait(late)];
        script.resize(20, Step::Silence);
        let mut list = peer(script).await;
        let change = |json: &mut serde_json::Value| {
            pushed(json);
            json["settings"]["rules"]["drain-grace"] = 100_000.into();
        };
        let node = start_with(&[], Some(list.addr), None, change).await;
        // Calls are made beside the first until it is answered.
        for _ in 0..4 {
            assert!(!next_seen(&mut list).await.contains("from=9"));
        }
        list.go.notify_one();
        while !next_seen(&mut list).await.contains("from=9&hold_ms=") {}
        assert_eq!(send_request(node.http, &request("view", "p4", 0, "")).await, "200 one");
    });
}
