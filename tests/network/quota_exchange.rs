//! Tests of instances that talk to each other.

use crate::harness::*;
use rowanglade_quota_exchange::{Message, Nonce, Peer, VolumeUnits, decode, encode};
use tokio::net::UdpSocket;

const KEY: [u8; 32] = [0x5a; 32];
const VOLUME: u64 = 0x3_b4d6_0021;

/// A request on the limited plan, whose volume comes through two initiators.
fn limited(id: &str) -> String {
    request("view", id, 0, "")
        .replace("X-Qos-Policy: full", "X-Qos-Policy: basic")
        .replace("hosts=1", "hosts=2")
}

// An instance asks for what it lacks, takes a grant once, and gives only what is the fleet's to ask for.
#[test]
fn an_initiator_requests_quota_and_takes_a_grant_once() {
    story(async {
        let target = peer(vec![ok("seen"); 200]).await;
        let other = UdpSocket::bind("127.0.0.1:0").await.expect("bound");
        let own = UdpSocket::bind("127.0.0.1:0").await.expect("bound");
        let (addr, key) = (own.local_addr().expect("bound"), std::env::temp_dir());
        drop(own);
        let key = key.join(format!("rowanglade-fleet-{}.key", std::process::id()));
        std::fs::write(&key, "5a".repeat(32)).expect("written");
        let peers = format!("\"{}\", \"{addr}\"", other.local_addr().expect("bound"));
        let operator =
            format!("[fleet]\npeers = [{peers}]\nme = 1\nkey_file = {:?}\n", key.display().to_string());
        let node = start(&[endpoint_entry(target.addr, 0, "active")], None, Some(&operator)).await;
        std::fs::remove_file(&key).expect("removed");

        // Its store starts empty: the first request goes on the slack, and lacks what it took.
        assert_eq!(send_request(node.http, &limited("a1")).await, "200 seen");
        let mut buffer = [0; 300];
        let (length, from) = other.recv_from(&mut buffer).await.expect("an ask");
        assert_eq!(from, addr);
        let Ok(Message::Request { nonce, needed }) = decode(&KEY, Peer(1), &buffer[..length]) else {
            panic!("no ask")
        };
        assert!(needed.iter().any(|need| need.volume == VOLUME && need.units > 0), "{needed:?}");

        // Forged, and of another ask: neither adds a unit. The true one does, and its doubles do not.
        let granted = vec![VolumeUnits { volume: VOLUME, units: 12_000 }];
        let grant = |nonce| Message::Grant { nonce, granted: granted.clone() };
        let other_ask = Nonce { sequence: nonce.sequence.wrapping_add(900), ..nonce };
        let true_one = encode(&KEY, Peer(0), &grant(nonce));
        let forged = encode(&[1; 32], Peer(0), &grant(nonce));
        for bytes in [&forged, &encode(&KEY, Peer(0), &grant(other_ask)), &true_one, &true_one, &true_one] {
            other.send_to(bytes, addr).await.expect("sent");
        }
        // Asked behind them, it gives what it can do without: of 12 units less than 6 once its own part is
        // kept (its store fills by 16 a second meanwhile), of 24 and more it would be 18.
        let mine = Nonce { incarnation: 9, sequence: 1 };
        let needed = [(VOLUME, 100_000), (1, 5_000)].map(|(volume, units)| VolumeUnits { volume, units });
        let want = Message::Request { nonce: mine, needed: needed.to_vec() };
        other.send_to(&encode(&KEY, Peer(0), &want), addr).await.expect("sent");
        let given = loop {
            let (length, _) = other.recv_from(&mut buffer).await.expect("an answer");
            if let Ok(Message::Grant { nonce, granted }) = decode(&KEY, Peer(1), &buffer[..length]) {
                assert_eq!(nonce, mine);
                break granted;
            }
        };
        assert!(
            matches!(given.as_slice(), [VolumeUnits { volume: VOLUME, units: 500..12_000 }]),
            "{given:?}"
        );
    });
}
