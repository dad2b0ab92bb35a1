//! `rowanglade capture inspect`: summarizes a trace.

use super::Failure;
use lexopt::prelude::*;
use rowanglade_capture::{Header, Record, TraceReader};
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

/// Microseconds per second.
const MICROS_PER_SECOND: u64 = 1_000_000;
/// Lowest status of a failed request. Requests with status 0, which have no status, count as failed too.
const FIRST_ERROR_STATUS: u16 = 400;

/// Totals of one request class. The names of the fields are the keys of the JSON.
#[derive(Default, Serialize)]
struct ClassSummary {
    requests: u64,
    units: f64,
    bytes: u64,
    failed: u64,
    keys: u64,
    repeated_keys: u64,
}

/// Totals of one request class while the trace is read, with its distinct idempotency keys.
#[derive(Default)]
struct ClassCounts {
    summary: ClassSummary,
    keys: BTreeSet<u64>,
}

impl ClassCounts {
    fn add(&mut self, record: &Record) {
        let summary = &mut self.summary;
        summary.requests += 1;
        summary.units += f64::from(record.units);
        summary.bytes += u64::from(record.bytes);
        summary.failed += u64::from(record.status >= FIRST_ERROR_STATUS || record.status == 0);
        if let Some(key) = record.key {
            summary.keys += u64::from(self.keys.insert(key));
            summary.repeated_keys = summary.requests - summary.keys;
        }
    }
}

/// The summary of a trace. The names of the fields are the keys of the JSON.
#[derive(Serialize)]
struct TraceSummary {
    header: Header,
    records: u64,
    seconds: f64,
    volumes: usize,
    busiest_second: u64,
    per_class: BTreeMap<String, ClassSummary>,
}

/// Runs the command.
///
/// # Errors
/// The usage is wrong, or the trace cannot be read.
pub(super) fn run(mut parser: lexopt::Parser) -> Result<(), Failure> {
    let mut trace = None;
    let mut json = false;
    while let Some(arg) = parser.next()? {
        match arg {
            Long("json") => json = true,
            Value(value) if trace.is_none() => trace = Some(PathBuf::from(value)),
            other => return Err(other.unexpected().into()),
        }
    }
    let trace = trace.ok_or_else(|| Failure::usage("capture inspect needs a TRACE"))?;
    let summary = summarize(&trace)?;
    if json {
        println!("{}", serde_json::to_string_pretty(&summary).map_err(Failure::running)?);
        return Ok(());
    }
    print_text(&summary)
}

fn summarize(trace: &Path) -> Result<TraceSummary, Failure> {
    let mut reader = TraceReader::open(trace).map_err(Failure::usage)?;
    let header = reader.header().clone();
    let mut classes: Vec<ClassCounts> = header.classes.iter().map(|_| ClassCounts::default()).collect();
    let mut volumes = BTreeSet::new();
    let mut per_second: BTreeMap<u64, u64> = BTreeMap::new();
    let mut records = 0;
    let mut last_at = 0;
    for record in &mut reader {
        let record = record.map_err(Failure::usage)?;
        records += 1;
        last_at = record.at;
        volumes.insert(record.volume);
        *per_second.entry(record.at / MICROS_PER_SECOND).or_default() += 1;
        if let Some(class) = classes.get_mut(usize::from(record.class)) {
            class.add(&record);
        }
    }
    let names = header.classes.iter().map(|class| class.name.clone());
    Ok(TraceSummary {
        records,
        seconds: last_at as f64 / MICROS_PER_SECOND as f64,
        volumes: volumes.len(),
        busiest_second: per_second.values().copied().max().unwrap_or(0),
        per_class: names.zip(classes.into_iter().map(|class| class.summary)).collect(),
        header,
    })
}

fn print_text(summary: &TraceSummary) -> Result<(), Failure> {
    let TraceSummary { header, records, seconds, volumes, busiest_second, per_class } = summary;
    let start = jiff::Timestamp::from_microsecond(header.base_us).map_err(Failure::usage)?;
    println!("start {start}  duration {seconds} s  sources {}", header.sources.join(", "));
    let anonymised = if header.anonymised { ", anonymised" } else { "" };
    println!("{records} requests  {volumes} volumes{anonymised}  busiest second: {busiest_second} requests");
    println!(
        "{:<12} {:>9} {:>11} {:>13} {:>8} {:>8} {:>8}",
        "class", "requests", "units", "bytes", "failed", "keys", "repeats"
    );
    for (name, class) in per_class {
        let ClassSummary { requests, units, bytes, failed, keys, repeated_keys } = class;
        println!(
            "{name:<12} {requests:>9} {units:>11.1} {bytes:>13} {failed:>8} {keys:>8} {repeated_keys:>8}"
        );
    }
    Ok(())
}
