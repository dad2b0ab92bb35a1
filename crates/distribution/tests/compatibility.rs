//! Compares messages and the operator's file with recorded samples. Guards against instances and relays of
//! different builds misreading each other: postcard encodes fields and variants by their order, and a change
//! of that order does not show in a round trip within one build. Snapshots are compressed: another version of
//! zstd may produce other bytes that decode to the same entries.

use rowanglade_distribution::{
    Delta, Digest, EntryChange, HeldVersion, Message, NodeId, NodeLocation, Region, ResponseBody, Snapshot,
    State, Topology, Version, WatchRequest, WatchResponse, decode, encode,
};

/// One line per message: its name and its bytes in hexadecimal.
const MESSAGES: &str = include_str!("samples/messages.txt");
const TOPOLOGY: &str = include_str!("samples/topology.toml");

fn state() -> State {
    let version = Version { epoch: 300, number: 301 };
    State::new(version, [("box-1".into(), "a".into()), ("box-2".into(), "b".into())])
}

fn messages() -> Vec<(&'static str, Message)> {
    let held = HeldVersion { version: Version { epoch: 1, number: 2 }, digest: Digest(3) };
    let request = |held| Message::Request(WatchRequest { held, max_wait: 1_000, rejecting: 5 });
    let response =
        |body| Message::Response(WatchResponse { path: vec![NodeId(6), NodeId(700)], age: 800, body });
    let (base, to) = (Version { epoch: 1, number: 2 }, Version { epoch: 1, number: 3 });
    let changes = vec![
        EntryChange { name: "box-1".into(), value: Some("c".into()) },
        EntryChange { name: "box-2".into(), value: None },
    ];
    let delta = Delta { base, to, digest: Digest(u128::MAX - 1), changes };
    vec![
        ("watch", request(Some(held))),
        ("watch-without", request(None)),
        ("same", response(ResponseBody::Unchanged)),
        ("deltas", response(ResponseBody::Deltas(vec![delta]))),
        ("snapshot", response(ResponseBody::Snapshot(Snapshot::compress(&state()).expect("packed")))),
        ("differs", response(ResponseBody::DigestMismatch)),
        ("older", response(ResponseBody::Behind)),
        ("empty", response(ResponseBody::Empty)),
        ("busy", response(ResponseBody::Busy)),
    ]
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    (0..hex.len()).step_by(2).map(|i| u8::from_str_radix(&hex[i..i + 2], 16).expect("hex")).collect()
}

#[test]
fn messages_match_the_recorded_samples() {
    let encode_line =
        |(name, message)| format!("{name} {}", hex(&encode(&[7; 32], NodeId(9), &message).expect("encoded")));
    let encoded: Vec<String> = messages().into_iter().map(encode_line).collect();
    assert_eq!(encoded, MESSAGES.lines().collect::<Vec<_>>());
    for (line, (name, message)) in MESSAGES.lines().zip(messages()) {
        let (_, sample) = line.split_once(' ').expect("a name and bytes");
        let decoded = decode(&[7; 32], NodeId(9), &bytes(sample));
        assert_eq!(decoded, Ok(message), "{name}");
        if let Ok(Message::Response(WatchResponse { body: ResponseBody::Snapshot(snapshot), .. })) = decoded {
            assert_eq!(snapshot.decompress(), Ok(state()));
        }
    }
}

#[test]
fn every_key_of_the_operators_file_is_read() {
    let expected = Topology {
        regions: vec![Region { name: "east".into(), zones: vec!["kingston".into(), "negril".into()] }],
        relays: vec![NodeLocation {
            addr: "127.0.0.1:7950".parse().expect("an address"),
            region: "east".into(),
            zone: "kingston".into(),
        }],
        fan_out: 40,
    };
    assert_eq!(toml::from_str::<Topology>(TOPOLOGY).expect("a valid topology"), expected);
}
