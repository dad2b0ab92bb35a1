//! Tests of routes: who gets a request, and what a new table changes for requests that are open.

use crate::harness::*;
use crate::processes::told;
use rowanglade_routing::{RouteTable, ServiceSettings, Source, parse};
use rowanglade_test_fleet::{Daemon, DaemonPlan, Endpoint, EndpointState, Signal, StubSite, TargetPlan};
use std::time::Duration;

fn operator(pool: &str) -> String {
    format!(
        "[[pool]]\nname = \"one\"\nboxes = \"s-1\"\n[[pool]]\nname = \"zero\"\nboxes = \"s-0\"\n\
         [[pool]]\nname = \"none\"\nboxes = \"s-9\"\n\
         [[route]]\nname = \"new ones\"\nnew = true\npool = \"{pool}\"\n"
    )
}

fn table(pool: &str) -> RouteTable {
    let source = Source { name: "t".into(), text: operator(pool) };
    parse(&[source], &ServiceSettings::default()).expect("usable").table
}

// New objects may go anywhere; the route lets them go to one box, and a new table to another.
#[test]
fn a_request_goes_only_where_its_route_lets_it_and_a_new_table_is_in_force_at_once() {
    story(async {
        let (a, b) = (peer(vec![ok("zero"); 9]).await, peer(vec![ok("one"); 9]).await);
        let lines = [endpoint_entry(a.addr, 0, "active"), endpoint_entry(b.addr, 1, "active")];
        let node = start(&lines, None, Some(&operator("one"))).await;
        for i in 0..4 {
            assert_eq!(
                send_request(node.http, &request("deposit", &format!("r{i}"), -1, "x")).await,
                "200 one"
            );
        }
        // Another object, which is where the request says.
        let read = request("view", "r5", 0, "").replace("e0b4d655", "e0b4d656");
        assert_eq!(send_request(node.http, &read).await, "200 zero", "no route: everywhere");
        assert_eq!(node.reloads.load_routes(table("zero")), 2);
        // The core takes the table up between two messages; what is sent after one of its answers has it.
        while send_request(node.http, &request("deposit", "again", -1, "x")).await != "200 zero" {}
        for i in 0..3 {
            assert_eq!(
                send_request(node.http, &request("deposit", &format!("s{i}"), -1, "x")).await,
                "200 zero"
            );
        }
    });
}

// Data on one box never routes elsewhere, and a pool that has nobody refuses at once, with advice.
#[test]
fn a_pool_without_targets_rejects_at_once() {
    story(async {
        let a = peer(vec![ok("zero"); 9]).await;
        let node = start(&[endpoint_entry(a.addr, 0, "active")], None, Some(&operator("none"))).await;
        let asked = std::time::Instant::now();
        assert_eq!(send_request(node.http, &request("deposit", "n1", -1, "x")).await, "503 retry-after");
        assert!(
            asked.elapsed() < std::time::Duration::from_millis(350),
            "before its aim: {:?}",
            asked.elapsed()
        );
        assert_eq!(send_request(node.http, &request("view", "n2", 0, "")).await, "200 zero");
    });
}

// A request under way keeps the table it began with: its second attempt goes where the first could go.
#[test]
fn a_request_in_flight_keeps_its_route_table() {
    story(async {
        let again = "HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n".to_string();
        let a = peer(vec![ok("zero"); 9]).await;
        let mut b = peer(vec![Step::Wait(again), ok("one")]).await;
        let lines = [endpoint_entry(a.addr, 0, "active"), endpoint_entry(b.addr, 1, "active")];
        let node = start(&lines, None, Some(&operator("one"))).await;
        let asking =
            actix_rt::spawn(async move { send_request(node.http, &request("deposit", "k1", -1, "x")).await });
        b.seen.recv().await.expect("the first attempt");
        node.reloads.load_routes(table("zero"));
        while send_request(node.http, &request("deposit", "k2", -1, "x")).await != "200 zero" {}
        b.go.notify_one();
        assert_eq!(asking.await.expect("joined"), "200 one");
    });
}

async fn logged(daemon: &Daemon, words: &str) {
    // The story's own limit ends a wait for what never comes.
    while !daemon.log().iter().any(|l| l.contains(words)) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

// A file that depends on a box that is not listed is held back, and taken over when the list names the box
// and the expectation holds; one that is in force with a warning is told of when the box turns out wrong.
#[test]
fn a_route_file_is_held_back_until_the_list_names_its_target() {
    story(async {
        let site = StubSite::start(&[TargetPlan::default(), TargetPlan::default()], "kingston", 1)
            .await
            .expect("started");
        let daemon = Daemon::start(&DaemonPlan {
            name: "held".into(),
            program: env!("CARGO_BIN_EXE_rowanglade").into(),
            args: Vec::new(),
            settings: told(1, 2),
            discovery: site.discovery.addr(),
            sockets: 256,
            memory_mb: 192,
            operator: Some(String::new()),
            handover: None,
            env: Vec::new(),
        })
        .expect("it serves");
        let file = |name: &str, zone: &str, undecided: &str| {
            format!(
                "[[pool]]\nname = \"p\"\nboxes = \"{name}\"\n[[route]]\nname = \"r\"\nnew = true\npool = \"p\"\n\
                 [[expect]]\nname = \"e\"\nrequests = {{ new = true }}\nonly = {{ zones = \"{zone}\" }}\n\
                 undecided = \"{undecided}\"\n"
            )
        };
        let put = |name: &str| {
            let entry = Endpoint { id: name.into(), ..Endpoint::of(&site.targets[0], EndpointState::Active) };
            site.discovery.upsert(entry);
        };
        let load = |text: String| {
            std::fs::write(daemon.folder().join("new"), text).expect("written");
            std::fs::rename(daemon.folder().join("new"), daemon.folder().join("operator.toml"))
                .expect("renamed");
            daemon.signal(Signal::SIGHUP).expect("it runs");
        };
        load(file("box-9", "kingston", "hold"));
        logged(&daemon, "routes wait for targets that are not listed").await;
        assert!(!daemon.log().iter().any(|l| l.contains("routes loaded")));
        put("box-9");
        logged(&daemon, "routes loaded version=2").await;

        load(file("box-8", "negril", "warn"));
        logged(&daemon, "routes loaded version=3").await;
        put("box-8");
        logged(&daemon, "routes in force break their expectations").await;
    });
}
