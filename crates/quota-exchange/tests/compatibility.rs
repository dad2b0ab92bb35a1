//! The datagrams compared with recorded bytes. Guards against a change of order, width or code that makes
//! peers on another build reject datagrams, which a round trip within one build does not reveal.

use rowanglade_quota_exchange::{Message, Nonce, Peer, VolumeUnits, decode, encode};

/// Each line is the kind of a message and its datagram in hex.
const SAMPLES: &str = include_str!("samples/datagrams.txt");

fn messages() -> [(&'static str, Message); 2] {
    let nonce = Nonce { incarnation: 0x1234_5678_9abc_def0, sequence: 77 };
    let entries = vec![
        VolumeUnits { volume: 0x0102_0304_0506_0708, units: 1_500 },
        VolumeUnits { volume: 9, units: u32::MAX },
    ];
    [
        ("want", Message::Request { nonce, needed: entries.clone() }),
        ("grant", Message::Grant { nonce, granted: entries }),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|i| u8::from_str_radix(&hex[i..i + 2], 16).expect("hex")).collect()
}

#[test]
fn datagrams_are_as_recorded() {
    let written = messages().map(|(kind, m)| format!("{kind} {}", hex(&encode(&[7; 32], Peer(3), &m))));
    assert_eq!(written.as_slice(), SAMPLES.lines().collect::<Vec<_>>());
    for (line, (kind, message)) in SAMPLES.lines().zip(messages()) {
        let (_, sample) = line.split_once(' ').expect("a kind and bytes");
        assert_eq!(decode(&[7; 32], Peer(3), &bytes(sample)), Ok(message), "{kind}");
    }
}
