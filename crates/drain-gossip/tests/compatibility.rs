//! The datagrams compared with recorded bytes. Guards against a change that makes peers on another build
//! misread datagrams: postcard encodes fields by their order, which a round trip within one build does not
//! reveal.

use rowanglade_drain_gossip::{Message, Position, Report, TargetKey};

/// Each line is the kind of a message and its datagram in hex.
const SAMPLES: &str = include_str!("samples/datagrams.txt");

fn messages() -> [(&'static str, Message); 2] {
    let after = Position { version: 300, key: TargetKey([1, 2, 3, 4, 5, 6, 7, 8]) };
    let through = Position { version: 301, key: TargetKey([9; 8]) };
    let draining = vec![TargetKey::of("box-1"), TargetKey::of("box-2")];
    let report = Report { round: 78, after, through, gap: true, more: false, draining };
    [("query", Message::Query { round: 77, after }), ("report", Message::Report(report))]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|i| u8::from_str_radix(&hex[i..i + 2], 16).expect("hex")).collect()
}

#[test]
fn datagrams_are_as_recorded() {
    let written = messages().map(|(kind, m)| format!("{kind} {}", hex(&m.encode())));
    assert_eq!(written.as_slice(), SAMPLES.lines().collect::<Vec<_>>());
    for (line, (kind, message)) in SAMPLES.lines().zip(messages()) {
        let (_, sample) = line.split_once(' ').expect("a kind and bytes");
        assert_eq!(Message::decode(&bytes(sample)), Ok(message), "{kind}");
    }
}
