//! Tests of the quota exchange between initiators.

use crate::harness::*;
use rowanglade_quota_exchange::{Message, Nonce, Peer, VolumeUnits, decode, encode};
use tokio::net::UdpSocket;

const KEY: [u8; 32] = [0x5a; 32];
const VOLUME: u64 = 0x3_b4d6_0021;

/// A request on the plan with a rate limit, whose volume is used through two initiators.
fn request_on_limited_plan(id: &str) -> String {
    request("view", id, 0, "")
        .replace("X-Qos-Policy: full", "X-Qos-Policy: basic")
        .replace("hosts=1", "hosts=2")
}

// Guards against counting a grant that is forged, belongs to another request or is repeated, and against
// granting more than the initiator can spare beyond its own part.
#[test]
fn an_initiator_requests_quota_and_applies_a_grant_once() {
    run_test(async {
        let target = scripted_server(vec![ok("seen"); 200]).await;
        let other_initiator = UdpSocket::bind("127.0.0.1:0").await.expect("bound");
        let own_socket = UdpSocket::bind("127.0.0.1:0").await.expect("bound");
        let (addr, key) = (own_socket.local_addr().expect("bound"), std::env::temp_dir());
        drop(own_socket);
        let key = key.join(format!("rowanglade-fleet-{}.key", std::process::id()));
        std::fs::write(&key, "5a".repeat(32)).expect("written");
        let peers = format!("\"{}\", \"{addr}\"", other_initiator.local_addr().expect("bound"));
        let operator =
            format!("[fleet]\npeers = [{peers}]\nme = 1\nkey_file = {:?}\n", key.display().to_string());
        let initiator =
            start_initiator(&[endpoint_entry(target.addr, 0, "active")], None, Some(&operator)).await;
        std::fs::remove_file(&key).expect("the file is removed");

        // The token bucket starts empty. The first request is admitted on the debt limit, and the initiator
        // requests the units that it took.
        assert_eq!(send_request(initiator.http, &request_on_limited_plan("a1")).await, "200 seen");
        let mut buffer = [0; 300];
        let (length, from) = other_initiator.recv_from(&mut buffer).await.expect("a quota request");
        assert_eq!(from, addr);
        let Ok(Message::Request { nonce, needed }) = decode(&KEY, Peer(1), &buffer[..length]) else {
            panic!("the message is not a quota request")
        };
        assert!(needed.iter().any(|need| need.volume == VOLUME && need.units > 0), "{needed:?}");

        // A forged grant and a grant for another request add no units. The genuine one does, and its
        // duplicates do not.
        let granted = vec![VolumeUnits { volume: VOLUME, units: 12_000 }];
        let grant = |nonce| Message::Grant { nonce, granted: granted.clone() };
        let other_nonce = Nonce { sequence: nonce.sequence.wrapping_add(900), ..nonce };
        let genuine = encode(&KEY, Peer(0), &grant(nonce));
        let forged = encode(&[1; 32], Peer(0), &grant(nonce));
        for bytes in [&forged, &encode(&KEY, Peer(0), &grant(other_nonce)), &genuine, &genuine, &genuine] {
            other_initiator.send_to(bytes, addr).await.expect("sent");
        }
        // The other initiator then requests units, and is granted only what the first can spare after keeping
        // its own part: less than 6 of 12 units (the bucket fills by 16 a second meanwhile). If the
        // duplicates counted, the first would hold 24 or more and grant 18.
        let own_nonce = Nonce { incarnation: 9, sequence: 1 };
        let needed = [(VOLUME, 100_000), (1, 5_000)].map(|(volume, units)| VolumeUnits { volume, units });
        let other_request = Message::Request { nonce: own_nonce, needed: needed.to_vec() };
        other_initiator.send_to(&encode(&KEY, Peer(0), &other_request), addr).await.expect("sent");
        let grant_received = loop {
            let (length, _) = other_initiator.recv_from(&mut buffer).await.expect("a grant");
            if let Ok(Message::Grant { nonce, granted }) = decode(&KEY, Peer(1), &buffer[..length]) {
                assert_eq!(nonce, own_nonce);
                break granted;
            }
        };
        assert!(
            matches!(grant_received.as_slice(), [VolumeUnits { volume: VOLUME, units: 500..12_000 }]),
            "{grant_received:?}"
        );
    });
}
