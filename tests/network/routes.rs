//! Tests of routes: which target gets a request, and how a new route table affects requests in flight.

use crate::harness::*;
use crate::processes::platform_settings;
use rowanglade_routing::{RouteTable, ServiceSettings, Source, parse};
use rowanglade_test_fleet::{Daemon, DaemonPlan, Endpoint, EndpointState, Signal, StubSite, TargetPlan};
use std::time::Duration;

fn operator_file(pool: &str) -> String {
    format!(
        "[[pool]]\nname = \"one\"\nboxes = \"s-1\"\n[[pool]]\nname = \"zero\"\nboxes = \"s-0\"\n\
         [[pool]]\nname = \"none\"\nboxes = \"s-9\"\n\
         [[route]]\nname = \"new ones\"\nnew = true\npool = \"{pool}\"\n"
    )
}

fn route_table(pool: &str) -> RouteTable {
    let source = Source { name: "t".into(), text: operator_file(pool) };
    parse(&[source], &ServiceSettings::default()).expect("valid").table
}

// A route sends new objects, which any target may take, to one target; a new route table sends them to
// another.
#[test]
fn a_request_goes_only_to_the_pool_of_its_route_and_a_new_table_applies_at_once() {
    run_test(async {
        let (first, second) =
            (scripted_server(vec![ok("zero"); 9]).await, scripted_server(vec![ok("one"); 9]).await);
        let endpoints = [endpoint_entry(first.addr, 0, "active"), endpoint_entry(second.addr, 1, "active")];
        let initiator = start_initiator(&endpoints, None, Some(&operator_file("one"))).await;
        for i in 0..4 {
            assert_eq!(
                send_request(initiator.http, &request("deposit", &format!("r{i}"), -1, "x")).await,
                "200 one"
            );
        }
        // Another object, for which no route exists, is requested from the shard that the request names.
        let read_request = request("view", "r5", 0, "").replace("e0b4d655", "e0b4d656");
        assert_eq!(
            send_request(initiator.http, &read_request).await,
            "200 zero",
            "a request without a route goes to its shard"
        );
        assert_eq!(initiator.reloads.load_routes(route_table("zero")), 2);
        // The scheduler applies the table between two messages, so a request sent after one response to it
        // uses the table.
        while send_request(initiator.http, &request("deposit", "again", -1, "x")).await != "200 zero" {}
        for i in 0..3 {
            assert_eq!(
                send_request(initiator.http, &request("deposit", &format!("s{i}"), -1, "x")).await,
                "200 zero"
            );
        }
    });
}

// Requests for stored objects are never routed elsewhere, and a pool without targets rejects at once with
// retry advice.
#[test]
fn a_pool_without_targets_rejects_at_once() {
    run_test(async {
        let first = scripted_server(vec![ok("zero"); 9]).await;
        let initiator =
            start_initiator(&[endpoint_entry(first.addr, 0, "active")], None, Some(&operator_file("none")))
                .await;
        let sent_at = std::time::Instant::now();
        assert_eq!(send_request(initiator.http, &request("deposit", "n1", -1, "x")).await, "503 retry-after");
        assert!(
            sent_at.elapsed() < std::time::Duration::from_millis(350),
            "rejected after {:?}",
            sent_at.elapsed()
        );
        assert_eq!(send_request(initiator.http, &request("view", "n2", 0, "")).await, "200 zero");
    });
}

// A request in flight keeps the route table it started with: its retry goes to the same pool as its first
// attempt.
#[test]
fn a_request_in_flight_keeps_its_route_table() {
    run_test(async {
        let unprocessed = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".to_string();
        let first = scripted_server(vec![ok("zero"); 9]).await;
        let mut second = scripted_server(vec![Step::RespondOnResume(unprocessed), ok("one")]).await;
        let endpoints = [endpoint_entry(first.addr, 0, "active"), endpoint_entry(second.addr, 1, "active")];
        let initiator = start_initiator(&endpoints, None, Some(&operator_file("one"))).await;
        let response =
            actix_rt::spawn(
                async move { send_request(initiator.http, &request("deposit", "k1", -1, "x")).await },
            );
        second.received.recv().await.expect("the first attempt");
        initiator.reloads.load_routes(route_table("zero"));
        while send_request(initiator.http, &request("deposit", "k2", -1, "x")).await != "200 zero" {}
        second.resume.notify_one();
        assert_eq!(response.await.expect("joined"), "200 one");
    });
}

async fn wait_for_log(daemon: &Daemon, text: &str) {
    // The time limit of the test ends this loop if the line is never logged.
    while !daemon.log().iter().any(|l| l.contains(text)) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

// A route file that depends on an unlisted target is held back, and applied once discovery lists the target
// and the expectation holds. A file that was applied with a warning is reported once its target breaks the
// expectation.
#[test]
fn a_route_file_is_held_back_until_the_list_names_its_target() {
    run_test(async {
        let site = StubSite::start(&[TargetPlan::default(), TargetPlan::default()], "kingston", 1)
            .await
            .expect("started");
        let daemon = Daemon::start(&DaemonPlan {
            name: "held".into(),
            program: env!("CARGO_BIN_EXE_rowanglade").into(),
            args: Vec::new(),
            settings: platform_settings(1, 2),
            discovery: site.discovery.addr(),
            sockets: 256,
            memory_mb: 192,
            operator: Some(String::new()),
            handover: None,
            env: Vec::new(),
        })
        .expect("the process serves");
        let route_file = |name: &str, zone: &str, undecided: &str| {
            format!(
                "[[pool]]\nname = \"p\"\nboxes = \"{name}\"\n[[route]]\nname = \"r\"\nnew = true\npool = \"p\"\n\
                 [[expect]]\nname = \"e\"\nrequests = {{ new = true }}\nonly = {{ zones = \"{zone}\" }}\n\
                 undecided = \"{undecided}\"\n"
            )
        };
        let list_target = |name: &str| {
            let entry = Endpoint { id: name.into(), ..Endpoint::of(&site.targets[0], EndpointState::Active) };
            site.discovery.upsert(entry);
        };
        let reload_with = |text: String| {
            std::fs::write(daemon.folder().join("new"), text).expect("written");
            std::fs::rename(daemon.folder().join("new"), daemon.folder().join("operator.toml"))
                .expect("renamed");
            daemon.signal(Signal::SIGHUP).expect("the initiator runs");
        };
        reload_with(route_file("box-9", "kingston", "hold"));
        wait_for_log(&daemon, "routes wait for targets that are not listed").await;
        assert!(!daemon.log().iter().any(|l| l.contains("routes loaded")));
        list_target("box-9");
        wait_for_log(&daemon, "routes loaded version=2").await;

        reload_with(route_file("box-8", "negril", "warn"));
        wait_for_log(&daemon, "routes loaded version=3").await;
        list_target("box-8");
        wait_for_log(&daemon, "routes in force break their expectations").await;
    });
}
