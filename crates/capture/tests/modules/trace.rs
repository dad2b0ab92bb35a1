//! Tests of the trace format: round trips, truncated and corrupted files.

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
    let mut count = 0;
    for record in &mut reader {
        match record {
            Ok(_) => count += 1,
            Err(error) => return (count, Some(error)),
        }
    }
    (count, None)
}

#[test]
fn written_records_are_read_back() {
    let bytes = written(10_000);
    let reader = TraceReader::new("t".into(), bytes.as_slice()).expect("a trace");
    assert_eq!(reader.header(), &header());
    let records: Vec<Record> = reader.map(|r| r.expect("a valid record")).collect();
    assert_eq!(records, (0..10_000).map(record).collect::<Vec<_>>());
    assert!(bytes.len() < 200_000, "{}", bytes.len());
}

// A trace that is truncated at any byte must give an error, and no records other than those of complete
// blocks.
#[test]
fn truncation_at_any_byte_is_an_error() {
    let bytes = written(20);
    for end in 0..bytes.len() {
        let (count, error) = read(&bytes[..end]);
        assert!(count == 0 || count == 20, "{count} records of a trace truncated at byte {end}");
        let error = error.unwrap_or_else(|| panic!("no error for a trace truncated at byte {end}"));
        let is_expected = matches!(error, TraceError::NotATrace { .. } | TraceError::Truncated { .. });
        assert!(is_expected, "truncated at byte {end}: {error}");
    }
}

#[test]
fn flipped_bit_is_an_error() {
    let bytes = written(20);
    for offset in 10..bytes.len() {
        let mut corrupted = bytes.clone();
        corrupted[offset] ^= 4;
        assert!(read(&corrupted).1.is_some(), "no error for a flipped bit at byte {offset}");
    }
}

#[test]
fn unsupported_versions_and_other_files_are_rejected() {
    let mut bytes = written(1);
    bytes[8] = 0;
    let error = read(&bytes).1.expect("an error").to_string();
    assert!(error.contains("version 0") && error.contains("import the recorded files again"), "{error}");
    assert!(read(b"127.0.0.1 - -").1.expect("an error").to_string().contains("not a trace"));
}

#[test]
fn out_of_order_records_are_rejected_and_unfinished_traces_are_removed() {
    let dir = tempfile::tempdir().expect("a folder");
    let path = dir.path().join("t.trace");
    let mut writer = TraceWriter::create(&path, &header()).expect("created");
    writer.push(record(5)).expect("written");
    assert!(matches!(writer.push(record(4)), Err(TraceError::OutOfOrder { .. })));
    drop(writer);
    assert!(!path.exists() && std::fs::read_dir(dir.path()).expect("read").count() == 0);
}
