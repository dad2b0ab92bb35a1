//! Imports recorded files into a trace: reads, maps, sorts and writes the requests.

use crate::mapping::{Mapped, Mapping};
use crate::order::ReorderBuffer;
use crate::read::{self, Format, Options, Progress, ReadError, Stats, Tolerance};
use crate::recorded_request::RecordedRequest;
use crate::trace::{Header, Record, TraceError, TraceWriter};
use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

/// The most requests that are buffered to sort them. A record takes about a hundred bytes.
const MAX_BUFFERED: usize = 200_000;
/// The most patterns of unmatched requests that are counted separately.
const MAX_PATTERNS: usize = 200;
const SECOND_US: i64 = 1_000_000;
/// The default of [`Import::window`], in microseconds.
pub const DEFAULT_WINDOW: i64 = 5 * SECOND_US;

/// The files and options of an import.
#[derive(Clone, Debug)]
pub struct Import<'a> {
    /// The recorded files, read one after the other, such as rotated logs from the oldest to the newest.
    pub files: &'a [PathBuf],
    /// The format of all files; absent to detect it by each file's first bytes.
    pub format: Option<Format>,
    /// How many entries of each file may be bad.
    pub tolerance: Tolerance,
    /// How far apart, in microseconds, the times of entries out of order may be to be sorted.
    pub window: i64,
    /// The path of the trace.
    pub to: &'a Path,
}

impl<'a> Import<'a> {
    /// An import with the default tolerance and window that detects the format.
    pub fn new(files: &'a [PathBuf], to: &'a Path) -> Import<'a> {
        Import { files, format: None, tolerance: Tolerance::default(), window: DEFAULT_WINDOW, to }
    }
}

/// Why an import failed. No trace is written then.
#[derive(Debug, thiserror::Error)]
pub enum ImportError {
    /// A recorded file cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The trace cannot be written.
    #[error(transparent)]
    Trace(#[from] TraceError),
    /// The mapping matches none of the requests.
    #[error(
        "no request in {0} matches the mapping; see the unmatched patterns above and set a mapping with `--map`"
    )]
    NoRequests(String),
}

/// The result of an import, or its state at the time when it failed.
#[derive(Clone, Debug, Default)]
pub struct Imported {
    /// The path of each file with the result of its read.
    pub files: Vec<(String, Stats)>,
    /// The number of requests in the trace.
    pub records: u64,
    /// Time from the first request to the last, in microseconds.
    pub span: u64,
    /// The number of requests by request class.
    pub per_class: BTreeMap<String, u64>,
    /// The number of requests that a rule with `ignore = true` matched, by the rule's name.
    pub ignored: BTreeMap<String, u64>,
    /// The number of requests that no rule matched, by pattern.
    pub unmatched: BTreeMap<String, u64>,
    /// The number of unmatched requests whose pattern is not counted separately.
    pub unmatched_others: u64,
    /// The number of requests that were too late to be sorted, and the largest delay of them in microseconds.
    pub late: (u64, i64),
    /// The number of requests that were written before the window had passed, because the buffer was full.
    pub released_early: u64,
}

impl Imported {
    fn unmatched(&mut self, pattern: String) {
        if let Some(count) = self.unmatched.get_mut(&pattern) {
            *count += 1;
        } else if self.unmatched.len() < MAX_PATTERNS {
            self.unmatched.insert(pattern, 1);
        } else {
            self.unmatched_others += 1;
        }
    }
}

/// Spreads requests whose source records whole seconds evenly over their second. The other requests of the
/// second keep their times.
#[derive(Default)]
struct SecondSpreader {
    second: i64,
    buffered: Vec<(i64, bool, Record)>,
}

impl SecondSpreader {
    /// Adds the next request. The buffered requests are written to `out` in order of time when a request of
    /// another second arrives or the buffer is full.
    fn push(
        &mut self,
        (at, is_whole_second, record): (i64, bool, Record),
        out: &mut impl FnMut(i64, Record) -> Result<(), TraceError>,
    ) -> Result<(), TraceError> {
        if at.div_euclid(SECOND_US) != self.second || self.buffered.len() >= MAX_BUFFERED {
            self.flush(out)?;
            self.second = at.div_euclid(SECOND_US);
        }
        self.buffered.push((at, is_whole_second, record));
        Ok(())
    }

    fn flush(
        &mut self,
        out: &mut impl FnMut(i64, Record) -> Result<(), TraceError>,
    ) -> Result<(), TraceError> {
        let whole_seconds =
            self.buffered.iter().filter(|(_, is_whole_second, _)| *is_whole_second).count() as i64;
        let mut index = 0;
        for (at, is_whole_second, _) in &mut self.buffered {
            if *is_whole_second {
                *at = self.second * SECOND_US + (2 * index + 1) * SECOND_US / (2 * whole_seconds);
                index += 1;
            }
        }
        self.buffered.sort_by_key(|(at, ..)| *at);
        for (at, _, record) in self.buffered.drain(..) {
            out(at, record)?;
        }
        Ok(())
    }
}

/// Writes records to the trace, which is created with the first record, whose time is the base of the trace.
struct TraceOutput<'a> {
    mapping: &'a Mapping,
    sources: Vec<String>,
    to: &'a Path,
    writer: Option<TraceWriter>,
    base_at: i64,
    last_at: i64,
    per_class: Vec<u64>,
}

impl TraceOutput<'_> {
    fn write(&mut self, at: i64, mut record: Record) -> Result<(), TraceError> {
        if self.writer.is_none() {
            self.base_at = at;
            self.last_at = at;
            let header = Header {
                base_us: at,
                sources: std::mem::take(&mut self.sources),
                classes: self.mapping.classes().to_vec(),
                plans: self.mapping.plans().to_vec(),
                anonymised: self.mapping.anonymises(),
            };
            self.writer = Some(TraceWriter::create(self.to, &header)?);
        }
        // Times must not decrease. A request that was too late to be sorted may have an earlier time than
        // requests of its second that were spread and are already written.
        self.last_at = self.last_at.max(at);
        record.at = (self.last_at - self.base_at) as u64;
        if let Some(count) = self.per_class.get_mut(usize::from(record.class)) {
            *count += 1;
        }
        match &mut self.writer {
            Some(writer) => writer.push(record),
            None => Ok(()),
        }
    }
}

/// Imports the recorded files into a trace. `progress` is called with the index of the file and how much of
/// it has been read.
///
/// # Errors
/// A file cannot be opened or has too many bad entries, the trace cannot be written, or no request matches
/// the mapping. The result up to the error is returned with it.
pub fn import(
    mapping: &Mapping,
    options: &Import<'_>,
    progress: &mut dyn FnMut(usize, Progress),
) -> Result<Imported, (ImportError, Box<Imported>)> {
    let mut imported = Imported::default();
    match run(mapping, options, progress, &mut imported) {
        Ok(()) => Ok(imported),
        Err(error) => Err((error, Box::new(imported))),
    }
}

fn run(
    mapping: &Mapping,
    options: &Import<'_>,
    progress: &mut dyn FnMut(usize, Progress),
    imported: &mut Imported,
) -> Result<(), ImportError> {
    let mut out = TraceOutput {
        mapping,
        sources: options.files.iter().map(|f| f.display().to_string()).collect(),
        to: options.to,
        writer: None,
        base_at: 0,
        last_at: 0,
        per_class: vec![0; mapping.classes().len()],
    };
    let mut reorder_buffer = ReorderBuffer::new(options.window, MAX_BUFFERED);
    let mut spreader = SecondSpreader::default();
    let mut failed = None;
    for (index, file) in options.files.iter().enumerate() {
        let mut report = |p| progress(index, p);
        let options = Options { format: options.format, tolerance: options.tolerance, progress: &mut report };
        let stats = read::read_file(file, options, &mut |recorded: RecordedRequest<'_>| {
            match mapping.map(&recorded) {
                Mapped::Request(at, record) => {
                    let is_whole_second = recorded.whole_second && mapping.spread_seconds();
                    reorder_buffer.push(at, (is_whole_second, record));
                }
                Mapped::Ignored(rule) => {
                    *imported.ignored.entry(mapping.rule_name(rule).to_string()).or_default() += 1;
                }
                Mapped::Unmatched(pattern) => imported.unmatched(pattern),
            }
            while let Some((at, (is_whole_second, record))) = reorder_buffer.pop() {
                if let Err(error) =
                    spreader.push((at, is_whole_second, record), &mut |at, r| out.write(at, r))
                {
                    failed = Some(error);
                    return false;
                }
            }
            true
        })?;
        if let Some(error) = failed.take() {
            return Err(error.into());
        }
        imported.files.push((file.display().to_string(), stats));
    }
    while let Some((at, (is_whole_second, record))) = reorder_buffer.finish() {
        spreader.push((at, is_whole_second, record), &mut |at, r| out.write(at, r))?;
    }
    spreader.flush(&mut |at, r| out.write(at, r))?;
    let names = || options.files.iter().map(|f| f.display().to_string()).collect::<Vec<_>>().join(", ");
    imported.late = reorder_buffer.late();
    imported.released_early = reorder_buffer.released_early();
    imported.span = (out.last_at - out.base_at) as u64;
    for (class, count) in mapping.classes().iter().zip(&out.per_class) {
        imported.per_class.insert(class.name.clone(), *count);
    }
    imported.records = out.writer.ok_or_else(|| ImportError::NoRequests(names()))?.finish()?;
    Ok(())
}

impl fmt::Display for Imported {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, stats) in &self.files {
            let Stats { format, read, skipped, bad, .. } = stats;
            writeln!(f, "{name}: {format}, {read} requests, {skipped} skipped, {bad} bad")?;
            for sample in &stats.samples {
                writeln!(f, "  {}: {}", sample.place, sample.reason)?;
            }
            if let Some(truncated) = &stats.truncated {
                writeln!(f, "  the file is truncated: {truncated}")?;
            }
        }
        for (rule, count) in &self.ignored {
            writeln!(f, "ignored by rule {rule:?}: {count}")?;
        }
        let mut unmatched: Vec<(&String, &u64)> = self.unmatched.iter().collect();
        unmatched.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        for (pattern, count) in unmatched {
            writeln!(f, "unmatched: {count} of {pattern}")?;
        }
        if self.unmatched_others > 0 {
            writeln!(f, "unmatched: {} of other patterns", self.unmatched_others)?;
        }
        if self.late.0 > 0 {
            let seconds = self.late.1 as f64 / 1e6;
            writeln!(f, "out of order beyond the window: {}, by at most {seconds:.1} s", self.late.0)?;
        }
        if self.released_early > 0 {
            writeln!(
                f,
                "written before the window had passed, since the buffer was full: {}",
                self.released_early
            )?;
        }
        let seconds = self.span as f64 / 1e6;
        let classes: Vec<String> = self.per_class.iter().map(|(c, n)| format!("{c} {n}")).collect();
        writeln!(f, "{} requests over {seconds:.3} s: {}", self.records, classes.join(", "))
    }
}
