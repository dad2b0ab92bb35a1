//! Reads a file of recorded requests. The compression and the format are detected by the first bytes, and
//! requests are passed on one by one. An entry that cannot be read is counted and skipped, and the first ones
//! are kept as samples with their location and reason. The read fails if the share of bad entries exceeds the
//! tolerance.

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

/// How many bad entries are kept as samples.
const MAX_SAMPLES: usize = 10;
/// The share of bad entries is checked during the read only from this many entries on, so that a few bad
/// lines at the start of a file don't end it.
const MIN_ENTRIES_FOR_CHECK: u64 = 1_000;
/// The most bytes that one entry of a HAR file may have, since a whole entry is loaded into memory.
const MAX_ENTRY_BYTES: u64 = 64 << 20;
/// Progress is reported after each such number of entries.
const PROGRESS_INTERVAL_ENTRIES: u64 = 8_192;
const BUFFER_BYTES: usize = 256 << 10;

/// The format of a file of recorded requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// HTTP Archive 1.2.
    Har,
    /// The Common or Combined Log Format of web servers.
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

/// A format name that is not known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown format {0:?}, expected har, log or own")]
pub struct FormatError(pub String);

/// How many entries of a file may be bad.
#[derive(Clone, Copy, Debug)]
pub struct Tolerance {
    /// The largest share of a file's entries that may be bad, from 0 to 1.
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
    /// Why the entry could not be read.
    pub reason: String,
}

/// The result of reading a file.
#[derive(Clone, Debug, PartialEq)]
pub struct Stats {
    /// The format that was given or detected.
    pub format: Format,
    /// Requests that were passed to the sink.
    pub read: u64,
    /// Empty lines, comments, and entries that are not requests to a server.
    pub skipped: u64,
    /// Entries that could not be read.
    pub bad: u64,
    /// The first bad entries, ten at most.
    pub samples: Vec<BadEntry>,
    /// Where and why the read ended before the end of the file; absent if the whole file was read.
    pub truncated: Option<String>,
}

/// Why a read failed.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file cannot be opened or read.
    #[error("{file}: {error}")]
    Io {
        /// The path of the file.
        file: String,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The share of bad entries exceeds the tolerance.
    #[error(
        "{file}: {bad} of {total} entries cannot be read, more than the tolerated {percent}%; the first one: {first}"
    )]
    TooManyBad {
        /// The path of the file.
        file: String,
        /// The number of bad entries.
        bad: u64,
        /// The number of entries so far, including bad ones.
        total: u64,
        /// The tolerated share, in percent.
        percent: f64,
        /// The location and the reason of the first bad entry.
        first: String,
    },
}

/// How much of a file has been read.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Bytes read so far, of the compressed file if it is compressed.
    pub bytes: u64,
    /// The size of the file, in bytes.
    pub total_bytes: u64,
    /// Entries read so far, including bad ones.
    pub entries: u64,
}

/// Counts the bytes read, and fails if an entry is longer than [`MAX_ENTRY_BYTES`]. Without this limit, a
/// file with an endless entry would be loaded into memory.
struct CountingReader<R> {
    input: R,
    bytes: Rc<Cell<u64>>,
    entry_bytes: Rc<Cell<u64>>,
}

impl<R: Read> Read for CountingReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if self.entry_bytes.get() > MAX_ENTRY_BYTES {
            return Err(io::Error::other(format!(
                "entry exceeds the maximum of {} MiB",
                MAX_ENTRY_BYTES >> 20
            )));
        }
        let read = self.input.read(buffer)?;
        self.bytes.set(self.bytes.get() + read as u64);
        self.entry_bytes.set(self.entry_bytes.get() + read as u64);
        Ok(read)
    }
}

fn count_bytes<R: Read>(input: R) -> (CountingReader<R>, Rc<Cell<u64>>, Rc<Cell<u64>>) {
    let (bytes, entry_bytes) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)));
    (
        CountingReader { input, bytes: Rc::clone(&bytes), entry_bytes: Rc::clone(&entry_bytes) },
        bytes,
        entry_bytes,
    )
}

/// Decompresses gzip (RFC 1952) and zstd (RFC 8878), which are detected by their magic bytes. Other streams
/// are returned as they are.
fn decompress<'a>(mut input: impl BufRead + 'a) -> io::Result<Box<dyn BufRead + 'a>> {
    let first = input.fill_buf()?;
    if first.starts_with(&[0x1f, 0x8b]) {
        return Ok(Box::new(BufReader::with_capacity(
            BUFFER_BYTES,
            flate2::bufread::MultiGzDecoder::new(input),
        )));
    }
    if first.starts_with(&[0x28, 0xb5, 0x2f, 0xfd]) {
        return Ok(Box::new(BufReader::with_capacity(
            BUFFER_BYTES,
            zstd::stream::read::Decoder::with_buffer(input)?,
        )));
    }
    Ok(Box::new(input))
}

/// Skips a byte order mark, and detects the format by the first text after white space.
fn detect_format(input: &mut dyn BufRead) -> io::Result<Format> {
    if input.fill_buf()?.starts_with(b"\xef\xbb\xbf") {
        input.consume(3);
    }
    let first = input.fill_buf()?;
    let text = first.trim_ascii_start();
    Ok(if text.starts_with(own_log::PREFIX.as_bytes()) {
        Format::Own
    } else if text.starts_with(b"{") {
        Format::Har
    } else {
        Format::AccessLog
    })
}

/// Receives the requests; returns false to end the read.
pub type Sink<'s> = dyn FnMut(RecordedRequest<'_>) -> bool + 's;

/// How a file is read.
pub struct Options<'p> {
    /// The format; absent to detect it by the first bytes.
    pub format: Option<Format>,
    /// How many entries may be bad.
    pub tolerance: Tolerance,
    /// Called after every 8,192 entries.
    pub progress: &'p mut dyn FnMut(Progress),
}

/// Reads a file and passes its requests to `sink`.
///
/// # Errors
/// The file cannot be opened, or the share of bad entries exceeds the tolerance. Requests before the error
/// have been passed to the sink. A truncated file is not an error, but is reported in [`Stats::truncated`].
pub fn read_file(path: &Path, options: Options<'_>, sink: &mut Sink<'_>) -> Result<Stats, ReadError> {
    let named = |error| ReadError::Io { file: path.display().to_string(), error };
    let file = File::open(path).map_err(named)?;
    let total_bytes = file.metadata().map_err(named)?.len();
    read(&path.display().to_string(), file, total_bytes, options, sink)
}

/// Reads a stream of `total_bytes` bytes, which errors refer to as `name`.
///
/// # Errors
/// Those of [`read_file`].
pub fn read(
    name: &str,
    input: impl Read,
    total_bytes: u64,
    options: Options<'_>,
    sink: &mut Sink<'_>,
) -> Result<Stats, ReadError> {
    let named = |error| ReadError::Io { file: name.to_string(), error };
    let (input, bytes, _) = count_bytes(input);
    // The byte count for progress is that of the compressed stream. The limit of an entry's length applies to
    // decompressed bytes only, so the entry's count is reset here with each read.
    let entry_bytes = Rc::clone(&input.entry_bytes);
    let reset = ResettingReader { input: BufReader::with_capacity(BUFFER_BYTES, input), entry_bytes };
    let mut input = decompress(reset).map_err(named)?;
    let format = options.format.map_or_else(|| detect_format(&mut *input), Ok).map_err(named)?;
    let stats = Stats { format, read: 0, skipped: 0, bad: 0, samples: Vec::new(), truncated: None };
    let mut reader = EntryReader { name, stats, options, bytes, total_bytes, sink };
    match format {
        Format::Har => reader.read_har(input)?,
        Format::AccessLog => {
            let mut parser = access_log::Parser::default();
            reader.read_lines(input, |line, accept| accept(parser.parse(line)))?;
        }
        Format::Own => reader.read_lines(input, |line, accept| accept(own_log::parse(line)))?,
    }
    reader.check_tolerance()?;
    Ok(reader.stats)
}

/// Resets the entry's byte count on each read, so that the limit of an entry's length does not apply to
/// compressed streams and to lines.
struct ResettingReader<R> {
    input: R,
    entry_bytes: Rc<Cell<u64>>,
}

impl<R: Read> Read for ResettingReader<R> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.entry_bytes.set(0);
        self.input.read(buffer)
    }
}

impl<R: BufRead> BufRead for ResettingReader<R> {
    fn fill_buf(&mut self) -> io::Result<&[u8]> {
        self.entry_bytes.set(0);
        self.input.fill_buf()
    }

    fn consume(&mut self, amount: usize) {
        self.input.consume(amount);
    }
}

struct EntryReader<'a, 'p, 's> {
    name: &'a str,
    stats: Stats,
    options: Options<'p>,
    bytes: Rc<Cell<u64>>,
    total_bytes: u64,
    sink: &'a mut Sink<'s>,
}

impl EntryReader<'_, '_, '_> {
    /// Counts an entry and passes its request to the sink. Returns false to end the read.
    fn accept(
        &mut self,
        place: impl FnOnce() -> String,
        entry: Result<Option<RecordedRequest<'_>>, EntryError>,
    ) -> Result<bool, ReadError> {
        let mut wants_more = true;
        match entry {
            Ok(Some(recorded)) => {
                self.stats.read += 1;
                wants_more = (self.sink)(recorded);
            }
            Ok(None) => self.stats.skipped += 1,
            Err(error) => self.record_bad(place(), error.to_string()),
        }
        let entries = self.stats.read + self.stats.bad;
        if entries.is_multiple_of(PROGRESS_INTERVAL_ENTRIES) {
            (self.options.progress)(Progress {
                bytes: self.bytes.get(),
                total_bytes: self.total_bytes,
                entries,
            });
        }
        if entries >= MIN_ENTRIES_FOR_CHECK {
            self.check_tolerance()?;
        }
        Ok(wants_more)
    }

    fn record_bad(&mut self, place: String, reason: String) {
        self.stats.bad += 1;
        if self.stats.samples.len() < MAX_SAMPLES {
            self.stats.samples.push(BadEntry { place, reason });
        }
    }

    fn check_tolerance(&self) -> Result<(), ReadError> {
        let (bad, total) = (self.stats.bad, self.stats.bad + self.stats.read);
        if bad as f64 <= self.options.tolerance.bad_share * total as f64 {
            return Ok(());
        }
        let first = self.stats.samples.first();
        let first = first.map(|b| format!("{}: {}", b.place, b.reason)).unwrap_or_default();
        let percent = self.options.tolerance.bad_share * 100.0;
        Err(ReadError::TooManyBad { file: self.name.to_string(), bad, total, percent, first })
    }

    fn read_lines(
        &mut self,
        input: impl BufRead,
        mut parse: impl FnMut(
            &[u8],
            &mut dyn FnMut(Result<Option<RecordedRequest<'_>>, EntryError>) -> Result<bool, ReadError>,
        ) -> Result<bool, ReadError>,
    ) -> Result<(), ReadError> {
        let mut lines = Lines::new(input);
        loop {
            let number = lines.number() + 1;
            let place = || format!("line {number}");
            match lines.next_line() {
                Ok(Some(Line::Complete(line))) => {
                    if !parse(line, &mut |entry| self.accept(place, entry))? {
                        return Ok(());
                    }
                }
                Ok(Some(Line::TooLong(length))) => {
                    self.accept(place, Err(EntryError::TooLong(length)))?;
                }
                Ok(None) => return Ok(()),
                Err(error) => {
                    self.record_truncation(place(), &error);
                    return Ok(());
                }
            }
        }
    }

    fn read_har(&mut self, input: impl BufRead) -> Result<(), ReadError> {
        let (input, _, entry_bytes) = count_bytes(input);
        let mut failed = None;
        let mut last = 0;
        let end = har::entries(input, &mut |number, text| {
            entry_bytes.set(0);
            last = number;
            match self.accept(|| format!("entry {number}"), har::parse(text)) {
                Ok(wants_more) => wants_more,
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
            self.record_truncation(
                if last == 0 { "before entry 1".into() } else { format!("after entry {last}") },
                &error,
            );
        }
        Ok(())
    }

    /// Records that the rest of the file cannot be read. This counts as one bad entry.
    fn record_truncation(&mut self, place: String, error: &dyn fmt::Display) {
        self.record_bad(place.clone(), error.to_string());
        self.stats.truncated = Some(format!("{place}: {error}"));
    }
}
