//! Tests of drain gossip: instances report draining targets to a peer that discovery does not answer.

use crate::harness::*;
use crate::late_connections::*;
use rowanglade_drain_gossip::{Message, Position, Report, TargetKey};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

fn page(version: u64, entries: &str) -> Step {
    ok(&format!(r#"{{"version":{version},"full":false,"servers":[{entries}]}}"#))
}

/// An instance with drain gossip enabled.
async fn start_instance(
    number: usize,
    peers: &[SocketAddr],
    target: SocketAddr,
    discovery: SocketAddr,
) -> RunningInitiator {
    let all: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
    start_initiator_with(&[endpoint_entry(target, 0, "active")], Some(discovery), None, |json| {
        json["settings"]["siblings"] = peers.len().into();
        json["settings"]["my-number"] = number.into();
        json["settings"]["ceilings"]["peer-messages"] = true.into();
        json["peer_listen"] = all[number].clone().into();
        json["peers"] = all.into();
    })
    .await
}

fn unused_addresses(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<_> =
        (0..count).map(|_| std::net::UdpSocket::bind("127.0.0.1:0").expect("bound")).collect();
    sockets.iter().map(|socket| socket.local_addr().expect("bound")).collect()
}

/// Sends requests until the target serves them, or until it no longer does.
async fn wait_until_served(initiator: &RunningInitiator, served: bool) -> Duration {
    let started = Instant::now();
    for number in 0.. {
        let id = format!("u-{served}-{number}");
        if (send_request(initiator.http, &request("view", &id, 0, "")).await == "200 here") == served {
            break;
        }
        assert!(started.elapsed() < Duration::from_secs(8), "served by the target: {}", !served);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    started.elapsed()
}

// Guards against requests to a draining target while discovery answers only some instances, as in the seconds
// after a mass restart or an outage.
#[test]
fn an_initiator_without_discovery_learns_of_a_drain_from_its_peer() {
    run_test(async {
        let target = scripted_server((0..500).map(|_| ok("here")).collect()).await;
        let draining = endpoint_entry(target.addr, 0, "leaving");
        let mut answering_discovery = scripted_server(vec![page(2, &draining), Step::Silence]).await;
        // Discovery that hangs, and does not mention the target when it answers again.
        let mut silent_discovery = scripted_server(vec![Step::Silence, page(3, ""), Step::Silence]).await;
        let peers = unused_addresses(2);
        let first = start_instance(0, &peers, target.addr, answering_discovery.addr).await;
        while !next_received(&mut answering_discovery).await.contains("from=2&") {}
        let second = start_instance(1, &peers, target.addr, silent_discovery.addr).await;
        next_received(&mut silent_discovery).await;
        let took = wait_until_served(&second, false).await;
        assert!(took < Duration::from_millis(1_500), "{took:?}");
        // Discovery is authoritative again once it answers: it reports no change, so the target is used.
        wait_until_served(&second, true).await;
        drop((first, second));
    });
}

// Only a peer's report in response to a query of this instance may have an effect.
#[test]
fn forged_reports_are_ignored() {
    run_test(async {
        let target = scripted_server((0..500).map(|_| ok("here")).collect()).await;
        let mut silent_discovery = scripted_server(vec![Step::Silence; 10]).await;
        let peers = unused_addresses(2);
        let peer_socket = UdpSocket::bind(peers[1]).await.expect("bound");
        let initiator = start_instance(0, &peers, target.addr, silent_discovery.addr).await;
        next_received(&mut silent_discovery).await;
        let stranger_socket = UdpSocket::bind("127.0.0.1:0").await.expect("bound");
        let report = |round| {
            let draining = vec![TargetKey::of("s-0")];
            let (after, through) = (Position::default(), Position::after_version(9));
            let (gap, more) = (false, false);
            Message::Report(Report { round, after, through, gap, more, draining }).encode()
        };
        // A report from the peer for a round without a query, noise from the peer, and reports from a
        // stranger for every round that a query may have had.
        peer_socket.send_to(&report(1_000_000), peers[0]).await.expect("sent");
        peer_socket.send_to(&[0xff; 256], peers[0]).await.expect("sent");
        for round in 0..50 {
            stranger_socket.send_to(&report(round), peers[0]).await.expect("sent");
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(send_request(initiator.http, &request("view", "f1", 0, "")).await, "200 here");
        // A report in response to the instance's own query is applied.
        let mut buffer = [0; 256];
        let (length, from) = peer_socket.recv_from(&mut buffer).await.expect("a query");
        let query = Message::decode(&buffer[..length]).expect("a query");
        let Message::Query { round, .. } = query else { panic!("{query:?}") };
        peer_socket.send_to(&report(round), from).await.expect("sent");
        wait_until_served(&initiator, false).await;
    });
}
