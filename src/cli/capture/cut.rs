//! `rowanglade capture cut`: copies a part of a trace.

use super::Failure;
use lexopt::prelude::*;
use rowanglade_capture::{Cut, Record, TraceReader, TraceWriter};
use std::ffi::OsString;
use std::path::{Path, PathBuf};

/// Runs the command.
///
/// # Errors
/// The usage is wrong, or a trace cannot be read or written.
pub(super) fn run(mut parser: lexopt::Parser) -> Result<(), Failure> {
    let mut trace = None;
    let mut out = None;
    let mut cut = Cut::default();
    while let Some(arg) = parser.next()? {
        match arg {
            Long("out") => out = Some(PathBuf::from(parser.value()?)),
            Long("from") => cut.from = Some(parse_micros(parser.value()?)?),
            Long("until") => cut.until = Some(parse_micros(parser.value()?)?),
            Long("class") => cut.classes.push(parser.value()?.string()?),
            Long("volume") => cut.volumes.push(parse_volume(&parser.value()?.string()?)?),
            Long("share") => cut.share = Some(parser.value()?.parse()?),
            Value(value) if trace.is_none() => trace = Some(PathBuf::from(value)),
            other => return Err(other.unexpected().into()),
        }
    }
    let trace = trace.ok_or_else(|| Failure::usage("capture cut needs a TRACE"))?;
    let out = out.ok_or_else(|| Failure::usage("capture cut needs --out PART"))?;
    copy(&trace, &out, &cut)
}

/// Parses a time in a trace, given in seconds, and returns it in microseconds.
fn parse_micros(value: OsString) -> Result<u64, Failure> {
    let seconds: f64 = value.parse()?;
    match seconds.is_finite() && seconds >= 0.0 {
        true => Ok((seconds * 1e6) as u64),
        false => Err(Failure::Usage(format!(
            "{seconds} s is not a time in a trace: must be finite and at least 0"
        ))),
    }
}

fn parse_volume(text: &str) -> Result<u64, Failure> {
    u64::from_str_radix(text, 16).map_err(|error| Failure::Usage(format!("--volume {text:?}: {error}")))
}

/// Copies the records that the cut keeps, and prints how many they are.
fn copy(trace: &Path, out: &Path, cut: &Cut) -> Result<(), Failure> {
    let mut reader = TraceReader::open(trace).map_err(Failure::usage)?;
    let header = reader.header().clone();
    cut.check(&header).map_err(Failure::usage)?;
    let mut writer = TraceWriter::create(out, &cut.header(&header)).map_err(Failure::usage)?;
    let mut records = 0;
    for record in &mut reader {
        let record: Record = record.map_err(Failure::usage)?;
        records += 1;
        if cut.keeps(&header, &record) {
            writer.push(cut.record(record)).map_err(Failure::running)?;
        }
    }
    let kept = writer.finish().map_err(Failure::running)?;
    println!("kept {kept} of {records} requests");
    Ok(())
}
