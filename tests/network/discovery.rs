//! Tests of real processes in a large fleet before one discovery service that answers polls one at a time,
//! fails for some seconds, and recovers just as a target begins to drain.

use crate::harness::{ok, request, run_test, scripted_server, send_request};
use crate::processes::platform_settings;
use rowanglade_test_fleet::{Daemon, DaemonPlan, Discovery, DiscoveryFault, Endpoint, EndpointState};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The processes that run, and the size of the fleet in their settings.
const PROCESSES: u32 = 6;
const FLEET_SIZE: u32 = 300;
/// Service time of a poll: discovery answers the whole fleet within 5 s.
const POLL_SERVICE_TIME: Duration = Duration::from_millis(16);
const OUTAGE: Duration = Duration::from_secs(3);
/// Once discovery can be reached again, an initiator has to have its list within this time.
const KNOWN_AFTER: Duration = Duration::from_secs(6);
/// All processes have received the first endpoint list within this time.
const FIRST_LIST_WITHIN: Duration = Duration::from_secs(10);
const KEPT_SHARD: u32 = 0;
const DRAINING_SHARD: u32 = 1;

fn endpoint(shard: u32, addr: SocketAddr, state: EndpointState) -> Endpoint {
    Endpoint { id: format!("s-{shard}"), addr, shard, state, started_ms: 0, zone: None }
}

fn start_daemon(number: u32, discovery: SocketAddr) -> Daemon {
    let mut settings = platform_settings(FLEET_SIZE as usize, 2);
    settings["my-number"] = (number * FLEET_SIZE / PROCESSES).into();
    let plan = DaemonPlan {
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
    Daemon::start(&plan).expect("the process serves")
}

async fn wait_until_ready(http: SocketAddr) {
    let started = Instant::now();
    while send_request(http, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").await != "200" {
        assert!(started.elapsed() < FIRST_LIST_WITHIN, "the first endpoint list did not arrive");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

async fn check_drain_during_outage(fault: DiscoveryFault) {
    let mut kept = scripted_server(vec![ok("kept"); 100]).await;
    let mut draining = scripted_server(vec![ok("leaving"); 100]).await;
    let discovery = Discovery::start("kingston").await.expect("started");
    discovery.set_service_time(POLL_SERVICE_TIME);
    discovery.upsert(endpoint(KEPT_SHARD, kept.addr, EndpointState::Active));
    discovery.upsert(endpoint(DRAINING_SHARD, draining.addr, EndpointState::Active));
    let processes: Vec<Daemon> =
        (0..PROCESSES).map(|number| start_daemon(number, discovery.addr())).collect();
    for process in &processes {
        wait_until_ready(process.http).await;
        let id = format!("before-{}", process.http.port());
        assert_eq!(
            send_request(process.http, &request("view", &id, DRAINING_SHARD as i32, "")).await,
            "200 leaving"
        );
        draining.received.recv().await.expect("the server runs");
    }
    discovery.inject(fault);
    tokio::time::sleep(OUTAGE).await;
    discovery.upsert(endpoint(DRAINING_SHARD, draining.addr, EndpointState::Draining));
    discovery.inject(DiscoveryFault::None);
    tokio::time::sleep(KNOWN_AFTER).await;
    for process in &processes {
        let id = format!("after-{}", process.http.port());
        let answer = send_request(process.http, &request("view", &id, DRAINING_SHARD as i32, "")).await;
        assert!(answer.starts_with("503") || answer.starts_with("429"), "{fault:?}: {answer}");
        assert_eq!(
            send_request(process.http, &request("view", &format!("k{id}"), KEPT_SHARD as i32, "")).await,
            "200 kept"
        );
    }
    assert!(draining.received.try_recv().is_err(), "{fault:?}: a request went to the draining target");
    assert!(kept.received.try_recv().is_ok());
}

// Guards against requests to draining targets after an outage of discovery: an instance of a large fleet
// whose poll had failed waited for 5 to 15 s before the next, and longer each time.
#[test]
fn after_rejected_polls_a_draining_target_gets_no_requests() {
    run_test(check_drain_during_outage(DiscoveryFault::Refusing));
}

#[test]
fn after_reset_polls_a_draining_target_gets_no_requests() {
    run_test(check_drain_during_outage(DiscoveryFault::Resetting));
}

#[test]
fn after_hanging_polls_a_draining_target_gets_no_requests() {
    run_test(check_drain_during_outage(DiscoveryFault::Hanging(Duration::from_secs(2))));
}

#[test]
fn after_silent_polls_a_draining_target_gets_no_requests() {
    run_test(check_drain_during_outage(DiscoveryFault::Silent));
}
