//! Real processes of a large fleet before one discovery that serves their calls one after another, is in
//! trouble for some seconds, and comes back just as a target begins to leave.

use crate::harness::{ok, peer, request, send_request, story};
use crate::processes::told;
use rowanglade_test_fleet::{Daemon, DaemonPlan, Discovery, DiscoveryFault, Endpoint, EndpointState};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Processes that run, of a fleet of so many.
const PROCESSES: u32 = 6;
const FLEET: u32 = 300;
/// Discovery works so long on a call: it serves all of the fleet within 5 s.
const WORK: Duration = Duration::from_millis(16);
const OUTAGE: Duration = Duration::from_secs(3);
/// What discovery has counts as known this long after it could be reached.
const KNOWN_AFTER: Duration = Duration::from_secs(6);
/// All processes have heard the first list by then.
const FIRST_LIST: Duration = Duration::from_secs(10);
const KEPT: u32 = 0;
const LEAVING: u32 = 1;

fn entry(shard: u32, addr: SocketAddr, state: EndpointState) -> Endpoint {
    Endpoint { id: format!("s-{shard}"), addr, shard, state, started_ms: 0, zone: None }
}

fn start(number: u32, discovery: SocketAddr) -> Daemon {
    let mut settings = told(FLEET as usize, 2);
    settings["my-number"] = (number * FLEET / PROCESSES).into();
    let start = DaemonPlan {
        name: format!("n{number}"),
        program: env!("CARGO_BIN_EXE_rowanglade").into(),
        args: Vec::new(),
        settings,
        discovery,
        sockets: 256,
        memory_mb: 64,
        operator: None,
        handover: None,
        env: Vec::new(),
    };
    Daemon::start(&start).expect("it serves")
}

async fn ready(http: SocketAddr) {
    let begun = Instant::now();
    while send_request(http, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await != "200" {
        assert!(begun.elapsed() < FIRST_LIST, "the first list is not heard");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn nothing_goes_to_what_leaves_at_the_return(trouble: DiscoveryFault) {
    let mut kept = peer(vec![ok("kept"); 100]).await;
    let mut leaving = peer(vec![ok("leaving"); 100]).await;
    let discovery = Discovery::start("kingston").await.expect("bound");
    discovery.set_service_time(WORK);
    discovery.upsert(entry(KEPT, kept.addr, EndpointState::Active));
    discovery.upsert(entry(LEAVING, leaving.addr, EndpointState::Active));
    let processes: Vec<Daemon> = (0..PROCESSES).map(|number| start(number, discovery.addr())).collect();
    for process in &processes {
        ready(process.http).await;
        let id = format!("before-{}", process.http.port());
        assert_eq!(
            send_request(process.http, &request("view", &id, LEAVING as i32, "")).await,
            "200 leaving"
        );
        leaving.seen.recv().await.expect("it lives");
    }
    discovery.inject(trouble);
    tokio::time::sleep(OUTAGE).await;
    discovery.upsert(entry(LEAVING, leaving.addr, EndpointState::Draining));
    discovery.inject(DiscoveryFault::None);
    tokio::time::sleep(KNOWN_AFTER).await;
    for process in &processes {
        let id = format!("after-{}", process.http.port());
        let answer = send_request(process.http, &request("view", &id, LEAVING as i32, "")).await;
        assert!(answer.starts_with("503") || answer.starts_with("429"), "{trouble:?}: {answer}");
        assert_eq!(
            send_request(process.http, &request("view", &format!("k{id}"), KEPT as i32, "")).await,
            "200 kept"
        );
    }
    assert!(leaving.seen.try_recv().is_err(), "{trouble:?}: a request went to the target that leaves");
    assert!(kept.seen.try_recv().is_ok());
}

// The operators saw requests go to targets announced as leaving after discovery had been down: an instance of
// a large fleet whose call had failed waited for 5 to 15 s, and longer the next time.
#[test]
fn after_refused_polls_the_list_arrives_before_its_drains_count() {
    story(nothing_goes_to_what_leaves_at_the_return(DiscoveryFault::Refusing));
}

#[test]
fn after_reset_polls_the_list_arrives_before_its_drains_count() {
    story(nothing_goes_to_what_leaves_at_the_return(DiscoveryFault::Resetting));
}

#[test]
fn after_hanging_polls_the_list_arrives_before_its_drains_count() {
    story(nothing_goes_to_what_leaves_at_the_return(DiscoveryFault::Hanging(Duration::from_secs(2))));
}

#[test]
fn after_silent_polls_the_list_arrives_before_its_drains_count() {
    story(nothing_goes_to_what_leaves_at_the_return(DiscoveryFault::Silent));
}
