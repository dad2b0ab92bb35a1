//! Reads a file of recorded requests: opens it, finds its compression and its form by its first bytes, and
//! hands its requests on one by one. What cannot be read is counted, sampled with its place and its reason,
//! and passed over, until it is more than a stated share.

use crate::entry_error::EntryError;
use crate::lines::{Line, Lines};
use crate::recorded_request::RecordedRequest;
use crate::{access_log, har, own_log};
use std::cell::Cell;
use std::fmt;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read};
use std::path::Path;
use std::rc::Rc;

/// Samples of bad entries that are kept.
const SAMPLES: usize = 10;
/// From this many entries on, the share of bad ones is looked at while reading.
const EARLY: u64 = 1_000;
/// The most bytes that one entry of a HAR file may take: it is held whole.
const LONGEST_ENTRY: u64 = 64 << 20;
/// How often progress is reported, in entries.
const TELL_EVERY: u64 = 8_192;
const BUFFER: usize = 256 << 10;

/// What a file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// HTTP Archive 1.2.
    Har,
    /// The Common Log Format, or the Combined one.
    AccessLog,
    /// The daemon's own access log.
    Own,
}

impl fmt::Display for Format {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Format::Har => "HAR",
            Format::AccessLog => "access log",
            Format::Own => "rowanglade access log",
        })
    }
}

impl std::str::FromStr for Format {
    type Err = FormatError;

    fn from_str(word: &str) -> Result<Format, FormatError> {
        match word {
            "har" => Ok(Format::Har),
            "log" => Ok(Format::AccessLog),
            "own" => Ok(Format::Own),
            other => Err(FormatError(other.to_string())),
        }
    }
}

/// A word that names no format.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("format {0:?} is none of har, log, own")]
pub struct FormatError(pub String);

/// How much may be bad.
#[derive(Clone, Copy, Debug)]
pub struct Tolerance {
    /// The largest part of a file's entries that may be bad.
    pub bad_share: f64,
}

impl Default for Tolerance {
    fn default() -> Tolerance {
        Tolerance { bad_share: 0.05 }
    }
}

/// An entry that could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BadEntry {
    /// `line 3` or `entry 3`, counted from 1.
    pub place: String,
    /// What is wrong with it.
    pub reason: String,
}

/// What became of a file's entries.
#[derive(Clone, Debug, PartialEq)]
pub struct Stats {
    /// What the file holds.
    pub format: Format,
    /// Requests handed on.
    pub read: u64,
    /// Empty lines, comments, and entries that never were requests.
    pub skipped: u64,
    /// Entries that could not be read.
    pub bad: u64,
    /// The first of the bad ones.
    pub samples: Vec<BadEntry>,
    /// Why the file ended before its end, if it did.
    pub truncated: Option<String>,
}

/// Why a file could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file cannot be read.
    #[error("{file}: {error}")]
    Io {
        /// The file.
        file: String,
        /// The system's error.
        error: io::Error,
    },
    /// More entries are bad than is tolerated.
    #[error("{file}: {bad} of {total} entries are bad, more than {percent}%; the first: {first}")]
    TooManyBad {
        /// The file.
        file: String,
        /// Bad entries.
        bad: u64,
        /// All entries.
        total: u64,
        /// The part that is tolerated, in percent.
        percent: f64,
        /// The first bad entry: its place and what is wrong with it.
        first: String,
    },
}

/// How far a read is: bytes of the file, and entries.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Bytes of the file that were read.
    pub bytes: u64,
    /// Bytes of the file.
    pub total_bytes: u64,
    /// Entries that were read, bad ones too.
    pub entries: u64,
}

/// Counts what passes, and refuses to go on where one entry is without end.
struct Counted<R> {
    from: R,
    bytes: Rc<Cell<u64>>,
    since: Rc<Cell<u64>>,
}

impl<R: Read> Read for Counted<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.since.get() > LONGEST_ENTRY {
            return Err(io::Error::other(format!("an entry of more than {} MiB", LONGEST_ENTRY >> 20)));
        }
        let read = self.from.read(buffer)?;
        self.bytes.set(self.bytes.get() + read as u64);
        self.since.set(self.since.get() + read as u64);
        Ok(read)
    }
}

fn counted<R: Read>(from: R) -> (Counted<R>, Rc<Cell<u64>>, Rc<Cell<u64>>) {
    let (bytes, since) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    (Counted { from, bytes: Rc::clone(&bytes), since: Rc::clone(&since) }, bytes, since)
}

/// Takes the compression off, which the first bytes tell (RFC 1952 and RFC 8878).
fn plain<'a>(mut from: impl BufRead + 'a) -> io::Result<Box<dyn BufRead + 'a>> {
    let first = from.fill_buf()?;
    if first.starts_with(&[0x1f, 0x8b]) {
        return Ok(Box::new(BufReader::with_capacity(BUFFER, flate2::bufread::MultiGzDecoder::new(from))));
    }
    if first.starts_with(&[0x28, 0xb5, 0x2f, 0xfd]) {
        return Ok(Box::new(BufReader::with_capacity(
            BUFFER,
            zstd::stream::read::Decoder::with_buffer(from)?,
        )));
    }
    Ok(Box::new(from))
}

/// Passes a byte order mark and white space over, and tells the form by what follows.
fn sniff(from: &mut dyn BufRead) -> io::Result<Format> {
    if from.fill_buf()?.starts_with(b"\xef\xbb\xbf") {
        from.consume(3);
    }
    let first = from.fill_buf()?;
    let text = first.trim_ascii_start();
    Ok(if text.starts_with(own_log::PREFIX.as_bytes()) {
        Format::Own
    } else if text.starts_with(b"{") {
        Format::Har
    } else {
        Format::AccessLog
    })
}

/// Where requests go. False: no more is wanted.
pub type Sink<'s> = dyn FnMut(RecordedRequest<'_>) -> bool + 's;

/// What is asked of a read.
pub struct Options<'p> {
    /// None: detected by the first bytes.
    pub format: Option<Format>,
    /// How much may be bad.
    pub tolerance: Tolerance,
    /// Called now and then.
    pub progress: &'p mut dyn FnMut(Progress),
}

/// Reads a file.
///
/// # Errors The file cannot be opened, or more of it is bad than is tolerated; what came before has been
/// handed on. A file that is torn is no error: [`Stats::truncated`] tells.
pub fn read_file(path: &Path, options: Options<'_>, sink: &mut Sink<'_>) -> Result<Stats, ReadError> {
    let named = |error| ReadError::Io { file: path.display().to_string(), error };
    let file = File::open(path).map_err(named)?;
    let total_bytes = file.metadata().map_err(named)?.len();
    read(&path.display().to_string(), file, total_bytes, options, sink)
}

/// Reads a stream of `total_bytes` bytes, which errors call `name`. Errors: as [`read_file`].
pub fn read(
    name: &str,
    from: impl Read,
    total_bytes: u64,
    options: Options<'_>,
    sink: &mut Sink<'_>,
) -> Result<Stats, ReadError> {
    let named = |error| ReadError::Io { file: name.to_string(), error };
    let (from, bytes, _) = counted(from);
    // Compressed bytes are counted as they are; the bound on an entry is for the plain ones.
    let endless = Rc::clone(&from.since);
    let reset = Reset { from: BufReader::with_capacity(BUFFER, from), since: endless };
    let mut from = plain(reset).map_err(named)?;
    let format = options.format.map_or_else(|| sniff(&mut *from), Ok).map_err(named)?;
    let stats = Stats { format, read: 0, skipped: 0, bad: 0, samples: Vec::new(), truncated: None };
    let mut reading = Reading { name, stats, options, bytes, total_bytes, sink };
    match format {
        Format::Har => reading.har(from)?,
        Format::AccessLog => {
            let mut parser = access_log::Parser::default();
            reading.lines(from, |line, take| take(parser.parse(line)))?;
        }
        Format::Own => reading.lines(from, |line, take| take(own_log::parse(line)))?,
    }
    reading.tolerable()?;
    Ok(reading.stats)
}

/// Lets a stream of compressed bytes, or of lines, run as long as it likes.
struct Reset<R> {
    from: R,
    since: Rc<Cell<u64>>,
}

impl<R: Read> Read for Reset<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.since.set(0);
        self.from.read(buffer)
    }
}

impl<R: BufRead> BufRead for Reset<R> {
    fn fill_buf(&mut self) -> io::Result<&[u8]> {
        self.since.set(0);
        self.from.fill_buf()
    }

    fn consume(&mut self, amount: usize) {
        self.from.consume(amount);
    }
}

struct Reading<'a, 'p, 's> {
    name: &'a str,
    stats: Stats,
    options: Options<'p>,
    bytes: Rc<Cell<u64>>,
    total_bytes: u64,
    sink: &'a mut Sink<'s>,
}

impl Reading<'_, '_, '_> {
    /// Takes an entry. False: no more is wanted.
    fn take(
        &mut self,
        place: impl FnOnce() -> String,
        entry: Result<Option<RecordedRequest<'_>>, EntryError>,
    ) -> Result<bool, ReadError> {
        let mut goes_on = true;
        match entry {
            Ok(Some(recorded)) => {
                self.stats.read += 1;
                goes_on = (self.sink)(recorded);
            }
            Ok(None) => self.stats.skipped += 1,
            Err(error) => self.bad(place(), error.to_string()),
        }
        let entries = self.stats.read + self.stats.bad;
        if entries.is_multiple_of(TELL_EVERY) {
            (self.options.progress)(Progress {
                bytes: self.bytes.get(),
                total_bytes: self.total_bytes,
                entries,
            });
        }
        if entries >= EARLY {
            self.tolerable()?;
        }
        Ok(goes_on)
    }

    fn bad(&mut self, place: String, reason: String) {
        self.stats.bad += 1;
        if self.stats.samples.len() < SAMPLES {
            self.stats.samples.push(BadEntry { place, reason });
        }
    }

    fn tolerable(&self) -> Result<(), ReadError> {
        let (bad, total) = (self.stats.bad, self.stats.bad + self.stats.read);
        if bad as f64 <= self.options.tolerance.bad_share * total as f64 {
            return Ok(());
        }
        let first = self.stats.samples.first();
        let first = first.map(|b| format!("{}: {}", b.place, b.reason)).unwrap_or_default();
        let percent = self.options.tolerance.bad_share * 100.0;
        Err(ReadError::TooManyBad { file: self.name.to_string(), bad, total, percent, first })
    }

    fn lines(
        &mut self,
        from: impl BufRead,
        mut parse: impl FnMut(
            &[u8],
            &mut dyn FnMut(Result<Option<RecordedRequest<'_>>, EntryError>) -> Result<bool, ReadError>,
        ) -> Result<bool, ReadError>,
    ) -> Result<(), ReadError> {
        let mut lines = Lines::new(from);
        loop {
            let number = lines.number() + 1;
            let place = || format!("line {number}");
            match lines.next_line() {
                Ok(Some(Line::Whole(line))) => {
                    if !parse(line, &mut |entry| self.take(place, entry))? {
                        return Ok(());
                    }
                }
                Ok(Some(Line::TooLong(length))) => {
                    self.take(place, Err(EntryError::TooLong(length)))?;
                }
                Ok(None) => return Ok(()),
                Err(error) => {
                    self.torn(place(), &error);
                    return Ok(());
                }
            }
        }
    }

    fn har(&mut self, from: impl BufRead) -> Result<(), ReadError> {
        let (from, _, since) = counted(from);
        let mut failed = None;
        let mut last = 0;
        let end = har::entries(from, &mut |number, text| {
            since.set(0);
            last = number;
            match self.take(|| format!("entry {number}"), har::parse(text)) {
                Ok(goes_on) => goes_on,
                Err(error) => {
                    failed = Some(error);
                    false
                }
            }
        });
        if let Some(error) = failed {
            return Err(error);
        }
        if let Err(error) = end {
            self.torn(if last == 0 { "the file".into() } else { format!("behind entry {last}") }, &error);
        }
        Ok(())
    }

    /// The rest cannot be read: it counts as one bad entry.
    fn torn(&mut self, place: String, error: &dyn fmt::Display) {
        self.bad(place.clone(), error.to_string());
        self.stats.truncated = Some(format!("{place}: {error}"));
    }
}
