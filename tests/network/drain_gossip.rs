//! Instances that tell each other of targets that leave while discovery does not answer one of them.

use crate::harness::*;
use crate::late_connections::*;
use rowanglade_drain_gossip::{Message, Position, Report, TargetKey};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

fn page(version: u64, entries: &str) -> Step {
    ok(&format!(r#"{{"version":{version},"full":false,"servers":[{entries}]}}"#))
}

/// An instance that may talk to its peers.
async fn instance(number: usize, peers: &[SocketAddr], target: SocketAddr, discovery: SocketAddr) -> Running {
    let all: Vec<String> = peers.iter().map(SocketAddr::to_string).collect();
    start_with(&[endpoint_entry(target, 0, "active")], Some(discovery), None, |json| {
        json["settings"]["siblings"] = peers.len().into();
        json["settings"]["my-number"] = number.into();
        json["settings"]["ceilings"]["peer-messages"] = true.into();
        json["peer_listen"] = all[number].clone().into();
        json["peers"] = all.into();
    })
    .await
}

fn addresses(count: usize) -> Vec<SocketAddr> {
    let sockets: Vec<_> =
        (0..count).map(|_| std::net::UdpSocket::bind("127.0.0.1:0").expect("bound")).collect();
    sockets.iter().map(|socket| socket.local_addr().expect("bound")).collect()
}

/// Asks until the answer is, or is not, the target's.
async fn until(node: &Running, served: bool) -> Duration {
    let begun = Instant::now();
    for number in 0.. {
        let id = format!("u-{served}-{number}");
        if (send_request(node.http, &request("view", &id, 0, "")).await == "200 here") == served {
            break;
        }
        assert!(begun.elapsed() < Duration::from_secs(8), "served: {}", !served);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    begun.elapsed()
}

// Discovery answers one of two instances. After a mass restart or an outage it needs seconds to answer all,
// and those that wait went on sending to what leaves.
#[test]
fn an_initiator_without_discovery_learns_of_a_drain_from_its_peer() {
    story(async {
        let target = peer((0..500).map(|_| ok("here")).collect()).await;
        let leaving = endpoint_entry(target.addr, 0, "leaving");
        let mut heard = peer(vec![page(2, &leaving), Step::Silence]).await;
        // It hangs, and tells nothing of the target when it is back.
        let mut silent = peer(vec![Step::Silence, page(3, ""), Step::Silence]).await;
        let peers = addresses(2);
        let first = instance(0, &peers, target.addr, heard.addr).await;
        while !next_seen(&mut heard).await.contains("from=2&") {}
        let second = instance(1, &peers, target.addr, silent.addr).await;
        next_seen(&mut silent).await;
        let took = until(&second, false).await;
        assert!(took < Duration::from_millis(1_500), "{took:?}");
        // Discovery's own word holds again: as it tells no change, the target is in use.
        until(&second, true).await;
        drop((first, second));
    });
}

// What is not an answer of a peer's to a query of this instance's changes nothing.
#[test]
fn forged_reports_change_nothing() {
    story(async {
        let target = peer((0..500).map(|_| ok("here")).collect()).await;
        let mut silent = peer(vec![Step::Silence; 10]).await;
        let peers = addresses(2);
        let other = UdpSocket::bind(peers[1]).await.expect("bound");
        let node = instance(0, &peers, target.addr, silent.addr).await;
        next_seen(&mut silent).await;
        let stranger = UdpSocket::bind("127.0.0.1:0").await.expect("bound");
        let report = |round| {
            let draining = vec![TargetKey::of("s-0")];
            let (after, through) = (Position::default(), Position::after_version(9));
            let (gap, more) = (false, false);
            Message::Report(Report { round, after, through, gap, more, draining }).encode()
        };
        // A round that was not queried in, from the peer; and all that may have been, from a stranger; and
        // noise.
        other.send_to(&report(1_000_000), peers[0]).await.expect("sent");
        other.send_to(&[0xff; 256], peers[0]).await.expect("sent");
        for round in 0..50 {
            stranger.send_to(&report(round), peers[0]).await.expect("sent");
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(send_request(node.http, &request("view", "f1", 0, "")).await, "200 here");
        // The answer to a query of its own is taken.
        let mut buffer = [0; 256];
        let (length, from) = other.recv_from(&mut buffer).await.expect("asked");
        let query = Message::decode(&buffer[..length]).expect("a query");
        let Message::Query { round, .. } = query else { panic!("{query:?}") };
        other.send_to(&report(round), from).await.expect("sent");
        until(&node, false).await;
    });
}
