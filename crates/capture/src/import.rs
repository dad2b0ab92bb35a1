//! From recorded files to a trace: read, map, put in order, write.

use crate::mapping::{Mapped, Mapping};
use crate::order::ReorderBuffer;
use crate::read::{self, Format, Options, Progress, ReadError, Stats, Tolerance};
use crate::recorded_request::RecordedRequest;
use crate::trace::{Header, Record, TraceError, TraceWriter};
use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};

/// Requests held back at most to put them in order. A record takes about a hundred bytes.
const HELD: usize = 200_000;
/// The most patterns of unmatched requests that are counted apart.
const PATTERNS: usize = 200;
const SECOND: i64 = 1_000_000;
/// How far apart, in microseconds, lines out of order may be, unless an import says otherwise.
pub const DEFAULT_WINDOW: i64 = 5 * SECOND;

/// What is asked of an import.
#[derive(Clone, Debug)]
pub struct Import<'a> {
    /// Read one behind the other, as rotated logs are.
    pub files: &'a [PathBuf],
    /// None: detected by each file's first bytes.
    pub format: Option<Format>,
    /// How much of each file may be bad.
    pub tolerance: Tolerance,
    /// How far apart, in microseconds, lines out of order may be.
    pub window: i64,
    /// The trace that is written.
    pub to: &'a Path,
}

impl<'a> Import<'a> {
    /// An import with the default tolerance and window, and the format detected.
    pub fn new(files: &'a [PathBuf], to: &'a Path) -> Import<'a> {
        Import { files, format: None, tolerance: Tolerance::default(), window: DEFAULT_WINDOW, to }
    }
}

/// Why an import ended early. Nothing was written then.
#[derive(Debug, thiserror::Error)]
pub enum ImportError {
    /// A file cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// The trace cannot be written.
    #[error(transparent)]
    Trace(#[from] TraceError),
    /// No request is known to the mapping.
    #[error("no request in {0} that the mapping knows; see the patterns above, and `--map`")]
    Nothing(String),
}

/// What became of the files' requests.
#[derive(Clone, Debug, Default)]
pub struct Imported {
    /// Each file, and what became of its entries.
    pub files: Vec<(String, Stats)>,
    /// Requests in the trace.
    pub records: u64,
    /// From the first request to the last, in microseconds.
    pub span: u64,
    /// Requests of each class.
    pub per_class: BTreeMap<String, u64>,
    /// Left out by rules, by their names.
    pub ignored: BTreeMap<String, u64>,
    /// What no rule knows, by pattern.
    pub unmatched: BTreeMap<String, u64>,
    /// Unmatched ones whose pattern found no room in the list.
    pub unmatched_others: u64,
    /// Requests out of order beyond the window, and by how many microseconds the last of them.
    pub late: (u64, i64),
    /// Requests let go before the window had passed, for want of room.
    pub released_early: u64,
}

impl Imported {
    fn unmatched(&mut self, pattern: String) {
        if let Some(count) = self.unmatched.get_mut(&pattern) {
            *count += 1;
        } else if self.unmatched.len() < PATTERNS {
            self.unmatched.insert(pattern, 1);
        } else {
            self.unmatched_others += 1;
        }
    }
}

/// Spreads requests whose source tells whole seconds only over their second.
#[derive(Default)]
struct Spread {
    second: i64,
    held: Vec<(i64, bool, Record)>,
}

impl Spread {
    /// Takes the next request; what is ready by then goes to `out` in the order of time.
    fn push(
        &mut self,
        (at, whole, record): (i64, bool, Record),
        out: &mut impl FnMut(i64, Record) -> Result<(), TraceError>,
    ) -> Result<(), TraceError> {
        if at.div_euclid(SECOND) != self.second || self.held.len() >= HELD {
            self.flush(out)?;
            self.second = at.div_euclid(SECOND);
        }
        self.held.push((at, whole, record));
        Ok(())
    }

    fn flush(
        &mut self,
        out: &mut impl FnMut(i64, Record) -> Result<(), TraceError>,
    ) -> Result<(), TraceError> {
        let whole = self.held.iter().filter(|(_, whole, _)| *whole).count() as i64;
        let mut place = 0;
        for (at, is_whole, _) in &mut self.held {
            if *is_whole {
                *at = self.second * SECOND + (2 * place + 1) * SECOND / (2 * whole);
                place += 1;
            }
        }
        self.held.sort_by_key(|(at, ..)| *at);
        for (at, _, record) in self.held.drain(..) {
            out(at, record)?;
        }
        Ok(())
    }
}

/// Writes records, once the first of them tells when the trace begins.
struct Out<'a> {
    mapping: &'a Mapping,
    sources: Vec<String>,
    to: &'a Path,
    writer: Option<TraceWriter>,
    base: i64,
    last: i64,
    per_class: Vec<u64>,
}

impl Out<'_> {
    fn write(&mut self, at: i64, mut record: Record) -> Result<(), TraceError> {
        if self.writer.is_none() {
            self.base = at;
            self.last = at;
            let header = Header {
                base_us: at,
                sources: std::mem::take(&mut self.sources),
                classes: self.mapping.classes().to_vec(),
                plans: self.mapping.plans().to_vec(),
                anonymised: self.mapping.anonymises(),
            };
            self.writer = Some(TraceWriter::create(self.to, &header)?);
        }
        // A request that came late in the order may have been spread behind one of its second.
        self.last = self.last.max(at);
        record.at = (self.last - self.base) as u64;
        if let Some(count) = self.per_class.get_mut(usize::from(record.class)) {
            *count += 1;
        }
        match &mut self.writer {
            Some(writer) => writer.push(record),
            None => Ok(()),
        }
    }
}

/// Makes a trace. `progress` is called now and then with the file's place in the list and how far it is.
///
/// # Errors
/// A file cannot be opened or too much of it is bad, the trace cannot be written, or no request was found.
pub fn import(
    mapping: &Mapping,
    ask: &Import<'_>,
    progress: &mut dyn FnMut(usize, Progress),
) -> Result<Imported, (ImportError, Box<Imported>)> {
    let mut imported = Imported::default();
    match run(mapping, ask, progress, &mut imported) {
        Ok(()) => Ok(imported),
        Err(error) => Err((error, Box::new(imported))),
    }
}

fn run(
    mapping: &Mapping,
    ask: &Import<'_>,
    progress: &mut dyn FnMut(usize, Progress),
    imported: &mut Imported,
) -> Result<(), ImportError> {
    let mut out = Out {
        mapping,
        sources: ask.files.iter().map(|f| f.display().to_string()).collect(),
        to: ask.to,
        writer: None,
        base: 0,
        last: 0,
        per_class: vec![0; mapping.classes().len()],
    };
    let mut merger = ReorderBuffer::new(ask.window, HELD);
    let mut spread = Spread::default();
    let mut failed = None;
    for (place, file) in ask.files.iter().enumerate() {
        let mut tell = |p| progress(place, p);
        let options = Options { format: ask.format, tolerance: ask.tolerance, progress: &mut tell };
        let stats = read::read_file(file, options, &mut |recorded: RecordedRequest<'_>| {
            match mapping.map(&recorded) {
                Mapped::Request(at, record) => {
                    let whole = recorded.whole_second && mapping.spread_seconds();
                    merger.push(at, (whole, record));
                }
                Mapped::Ignored(rule) => {
                    *imported.ignored.entry(mapping.rule_name(rule).to_string()).or_default() += 1;
                }
                Mapped::Unmatched(pattern) => imported.unmatched(pattern),
            }
            while let Some((at, (whole, record))) = merger.pop() {
                if let Err(error) = spread.push((at, whole, record), &mut |at, r| out.write(at, r)) {
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
    while let Some((at, (whole, record))) = merger.finish() {
        spread.push((at, whole, record), &mut |at, r| out.write(at, r))?;
    }
    spread.flush(&mut |at, r| out.write(at, r))?;
    let names = || ask.files.iter().map(|f| f.display().to_string()).collect::<Vec<_>>().join(", ");
    imported.late = merger.late();
    imported.released_early = merger.released_early();
    imported.span = (out.last - out.base) as u64;
    for (class, count) in mapping.classes().iter().zip(&out.per_class) {
        imported.per_class.insert(class.name.clone(), *count);
    }
    imported.records = out.writer.ok_or_else(|| ImportError::Nothing(names()))?.finish()?;
    Ok(())
}

impl fmt::Display for Imported {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (name, stats) in &self.files {
            let Stats { format, read, skipped, bad, .. } = stats;
            writeln!(f, "{name}: {format}, {read} requests, {skipped} passed over, {bad} bad")?;
            for sample in &stats.samples {
                writeln!(f, "  {}: {}", sample.place, sample.reason)?;
            }
            if let Some(truncated) = &stats.truncated {
                writeln!(f, "  it ends before its end: {truncated}")?;
            }
        }
        for (rule, count) in &self.ignored {
            writeln!(f, "left out by {rule:?}: {count}")?;
        }
        let mut unmatched: Vec<(&String, &u64)> = self.unmatched.iter().collect();
        unmatched.sort_by_key(|(_, count)| std::cmp::Reverse(**count));
        for (pattern, count) in unmatched {
            writeln!(f, "no rule for {count} of {pattern}")?;
        }
        if self.unmatched_others > 0 {
            writeln!(f, "no rule for {} of other patterns", self.unmatched_others)?;
        }
        if self.late.0 > 0 {
            let seconds = self.late.1 as f64 / 1e6;
            writeln!(f, "out of order beyond the window: {}, by {seconds:.1} s at most", self.late.0)?;
        }
        if self.released_early > 0 {
            writeln!(f, "let go before the window had passed: {}", self.released_early)?;
        }
        let seconds = self.span as f64 / 1e6;
        let classes: Vec<String> = self.per_class.iter().map(|(c, n)| format!("{c} {n}")).collect();
        writeln!(f, "{} requests over {seconds:.3} s: {}", self.records, classes.join(", "))
    }
}
