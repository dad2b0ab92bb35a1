//! Compares traces, lines of the daemon's access log and mapping files with recorded samples. Guards against
//! a build that can no longer read files of an earlier build, or writes files that an earlier build cannot
//! read. Blocks of a trace are compressed: another version of zstd may write different bytes that decompress
//! to the same records.

use rowanglade_capture::mapping::{Mapped, Mapping};
use rowanglade_capture::own_log::{AccessLine, End, PREFIX, VERSION, parse};
use rowanglade_capture::{
    ClassTerms, Header, LoggedFields, PlanTerms, Record, RecordedRequest, Repeat, TraceReader, TraceWriter,
};
use std::path::Path;

/// Hex digits with line breaks at any position.
const TRACE: &str = include_str!("samples/trace.hex");
const LINES: &str = include_str!("samples/access.jsonl");
const MAPPING: &str = include_str!("samples/mapping.toml");

fn header() -> Header {
    let class = |name: &str, write, repeat| ClassTerms {
        name: name.into(),
        write,
        repeat,
        aim_ms: 300,
        deadline_ms: 1_500,
    };
    Header {
        base_us: 1_796_000_000_000_000,
        sources: vec!["a.log".into(), "b.har".into()],
        classes: vec![
            class("view", false, Repeat::Safe),
            class("deposit", true, Repeat::Keyed { span_ms: 3_000 }),
            class("once", true, Repeat::Once),
        ],
        plans: vec![
            PlanTerms { name: "basic".into(), rate: 4.5, limit: Some(32.25) },
            PlanTerms { name: "full".into(), rate: 8.0, limit: None },
        ],
        anonymised: true,
    }
}

fn records() -> Vec<Record> {
    let full = Record {
        at: 1_000,
        class: 1,
        plan: 1,
        volume: 0x0102_0304_0506_0708,
        piece: 300,
        units: 2.5,
        shard: Some(4),
        hosts: 5,
        deadline_ms: 1_600,
        bytes: 70_000,
        key: Some(8),
        status: 503,
        took: Some(9_000),
    };
    vec![full.clone(), Record { at: 2_000, class: 2, plan: 0, shard: None, key: None, took: None, ..full }]
}

fn unhex(text: &str) -> Vec<u8> {
    let digits: String = text.split_whitespace().collect();
    (0..digits.len()).step_by(2).map(|i| u8::from_str_radix(&digits[i..i + 2], 16).expect("hex")).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

#[test]
fn trace_is_read_and_written_as_recorded() {
    let sample = unhex(TRACE);
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("t.trace");
    let mut writer = TraceWriter::create(&path, &header()).expect("created");
    records().into_iter().for_each(|record| writer.push(record).expect("written"));
    writer.finish().expect("finished");
    assert_eq!(hex(&std::fs::read(&path).expect("read")), hex(&sample));
    let reader = TraceReader::new("sample".into(), sample.as_slice()).expect("a trace");
    assert_eq!(reader.header(), &header());
    assert_eq!(reader.map(|r| r.expect("a valid record")).collect::<Vec<_>>(), records());
}

/// A line with all fields, one with the required fields only, and one for each further way to end.
fn lines() -> [AccessLine<'static>; 4] {
    let full = AccessLine {
        rowanglade: VERSION,
        at_us: 1_796_000_000_000_000,
        front: "http".into(),
        client: Some("10.20.3.4".parse().expect("an address")),
        id: "r-1".into(),
        class: "deposit".into(),
        plan: Some("basic".into()),
        write: true,
        volume: "00000003b4d60021".into(),
        piece: "00000000000000ff".into(),
        units: 2.5,
        shard: Some(3),
        hosts: 4,
        key: Some("k-1".into()),
        left_ms: 1_500,
        sent: 100,
        end: End::Refused,
        received: 200,
        took_us: 3_000,
        wait_ms: 40,
    };
    let minimal = AccessLine {
        front: "iscsi".into(),
        client: None,
        plan: None,
        shard: None,
        key: None,
        wait_ms: 0,
        end: End::Served,
        ..full.clone()
    };
    let ended = |end| AccessLine { end, ..minimal.clone() };
    [full.clone(), minimal.clone(), ended(End::Failed), ended(End::Gone)]
}

#[test]
fn access_log_lines_are_read_and_written_as_recorded() {
    let written = lines().map(|line| serde_json::to_string(&line).expect("JSON"));
    assert_eq!(written.as_slice(), LINES.lines().collect::<Vec<_>>());
    for (text, line) in LINES.lines().zip(lines()) {
        assert!(text.starts_with(PREFIX), "{text}");
        assert_eq!(serde_json::from_str::<AccessLine<'_>>(text).expect("a line"), line);
    }
    let recorded =
        parse(LINES.lines().next().expect("a line").as_bytes()).expect("a line").expect("a request");
    let expected = LoggedFields {
        class: "deposit".into(),
        plan: Some("basic".into()),
        volume: 0x3_b4d6_0021,
        piece: 255,
        units: 2.5,
        shard: Some(3),
        hosts: 4,
        deadline_ms: 1_500,
    };
    assert_eq!(recorded.logged, Some(expected));
}

// Unknown keys are rejected, so that this test fails if a key is renamed. The mapped requests show that each
// key still has its effect.
#[test]
fn mapping_file_with_every_key_maps_requests_as_before() {
    let mapping = Mapping::parse("sample", MAPPING, Path::new(".")).expect("usable");
    assert!(mapping.anonymises() && !mapping.spread_seconds());
    assert_eq!(mapping.classes(), &header().classes[..3]);
    assert_eq!(mapping.plans(), header().plans);
    let mut recorded = RecordedRequest {
        at: 5_000_000,
        whole_second: false,
        method: "PUT".into(),
        path: "/deposit/v1/p1".into(),
        query: Some("size=7".into()),
        client: Some("10.20.3.4".parse().expect("an address")),
        status: 200,
        sent: 150_000,
        received: 10,
        took: Some(1_000),
        key: None,
        logged: None,
    };
    let Mapped::Request(at, record) = mapping.map(&recorded) else { panic!("no request") };
    assert_eq!(at, 4_999_000, "the recorded time is that of the end, so the duration is subtracted");
    assert_eq!((record.class, record.plan, record.units, record.shard), (1, 1, 3.0, None));
    assert_eq!((record.hosts, record.deadline_ms, record.bytes), (6, 1_200, 150_000));
    assert!(record.key.is_some());
    recorded.path = "/up".into();
    assert_eq!(mapping.map(&recorded), Mapped::Ignored(1));
    // The last rule sets none of these values, so that the defaults apply.
    recorded.path = "/view/v1/p1".into();
    let Mapped::Request(_, record) = mapping.map(&recorded) else { panic!("no request") };
    assert_eq!((record.class, record.plan, record.units, record.hosts), (0, 0, 1.5, 2));
    assert!(record.shard.is_some_and(|shard| shard < 5));
}
