//! Tests of the trace format: round trips, torn and corrupted files.

use rowanglade_capture::{
    ClassTerms, Header, PlanTerms, Record, Repeat, TraceError, TraceReader, TraceWriter,
};

fn header() -> Header {
    let class = |name: &str, write, repeat| ClassTerms {
        name: name.into(),
        write,
        repeat,
        aim_ms: 300,
        deadline_ms: 1_500,
    };
    Header {
        base_us: 7,
        sources: vec!["a.log".into()],
        classes: vec![
            class("view", false, Repeat::Safe),
            class("deposit", true, Repeat::Keyed { span_ms: 3_000 }),
        ],
        plans: vec![PlanTerms { name: "basic".into(), rate: 4.0, limit: None }],
        anonymised: false,
    }
}

fn record(at: u64) -> Record {
    Record {
        at,
        class: (at % 2) as u16,
        plan: 0,
        volume: at / 7,
        piece: at,
        units: 2.0,
        shard: Some(1),
        hosts: 2,
        deadline_ms: 1_500,
        bytes: 10,
        key: (at % 2 == 1).then_some(at),
        status: 200,
        took: None,
    }
}

fn written(count: u64) -> Vec<u8> {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("t.trace");
    let mut writer = TraceWriter::create(&path, &header()).expect("created");
    for at in 0..count {
        writer.push(record(at)).expect("written");
    }
    assert_eq!(writer.finish().expect("finished"), count);
    std::fs::read(&path).expect("read")
}

fn read(bytes: &[u8]) -> (u64, Option<TraceError>) {
    let mut reader = match TraceReader::new("t".into(), bytes) {
        Ok(reader) => reader,
        Err(error) => return (0, Some(error)),
    };
    let mut whole = 0;
    for record in &mut reader {
        match record {
            Ok(_) => whole += 1,
            Err(error) => return (whole, Some(error)),
        }
    }
    (whole, None)
}

#[test]
fn what_was_written_is_read() {
    let bytes = written(10_000);
    let reader = TraceReader::new("t".into(), bytes.as_slice()).expect("a trace");
    assert_eq!(reader.header(), &header());
    let records: Vec<Record> = reader.map(|r| r.expect("whole")).collect();
    assert_eq!(records, (0..10_000).map(record).collect::<Vec<_>>());
    assert!(bytes.len() < 200_000, "{}", bytes.len());
}

// A trace cut at any byte is told from a whole one, and never gives a record that was not written.
#[test]
fn a_file_torn_anywhere_is_told() {
    let bytes = written(20);
    for end in 0..bytes.len() {
        let (whole, error) = read(&bytes[..end]);
        assert!(whole == 0 || whole == 20, "{whole} at {end}");
        let error = error.unwrap_or_else(|| panic!("cut at {end} it was read"));
        let told = matches!(error, TraceError::NotATrace { .. } | TraceError::Truncated { .. });
        assert!(told, "{end}: {error}");
    }
}

#[test]
fn a_changed_bit_is_told() {
    let bytes = written(20);
    for place in 10..bytes.len() {
        let mut spoilt = bytes.clone();
        spoilt[place] ^= 4;
        assert!(read(&spoilt).1.is_some(), "at {place}");
    }
}

#[test]
fn another_version_is_named() {
    let mut bytes = written(1);
    bytes[8] = 0;
    let error = read(&bytes).1.expect("refused").to_string();
    assert!(error.contains("version 0") && error.contains("import it anew"), "{error}");
    assert!(read(b"127.0.0.1 - -").1.expect("refused").to_string().contains("is no trace"));
}

#[test]
fn records_out_of_order_are_not_written_and_a_file_not_ended_does_not_appear() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("t.trace");
    let mut writer = TraceWriter::create(&path, &header()).expect("created");
    writer.push(record(5)).expect("written");
    assert!(matches!(writer.push(record(4)), Err(TraceError::Order { .. })));
    drop(writer);
    assert!(!path.exists() && std::fs::read_dir(dir.path()).expect("read").count() == 0);
}
