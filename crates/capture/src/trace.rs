//! The trace format: requests in order of time, ready to be sent again.
//!
//! A file begins with the eight bytes `RWGTRACE` and a version (u16, little endian). A sequence of frames
//! follows, each with a tag, the length of the payload (u32), a CRC-32C over tag and payload (u32), and the
//! payload:
//!
//! - `H`: the [`Header`] as JSON, so that programs of any version can show it.
//! - `B`: a block of [`Record`]s, encoded with postcard and compressed with zstd.
//! - `E`: the numbers of records and blocks, as JSON. This is the last frame.
//!
//! A file without an `E` frame was truncated; the records of its complete blocks are valid.

use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

const MAGIC: &[u8; 8] = b"RWGTRACE";
/// The version that this program writes, and the only one that it reads.
pub const VERSION: u16 = 1;
const ZSTD_LEVEL: i32 = 3;
const RECORDS_PER_BLOCK: usize = 4_096;
/// The longest payload of a frame, in bytes, both compressed and decompressed.
const MAX_PAYLOAD_BYTES: usize = 16 << 20;

/// Whether a request may be sent again after an attempt that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// The request is idempotent: it may run any number of times.
    Safe,
    /// The request has an idempotency key. A repeat is dropped for `span_ms` after the first send.
    Keyed {
        /// The deduplication window, in milliseconds.
        span_ms: u32,
    },
    /// The request must not run twice.
    Once,
}

/// A request class, as far as a replay and its report need it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassTerms {
    /// The name, unique in the trace.
    pub name: String,
    /// Whether requests of the class are writes.
    pub write: bool,
    /// Whether requests of the class may be sent again.
    pub repeat: Repeat,
    /// The latency objective, in milliseconds.
    pub aim_ms: u32,
    /// How long a client waits for a response, in milliseconds, over all its attempts.
    pub deadline_ms: u32,
}

/// A QoS plan, as far as a report needs it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanTerms {
    /// The name, unique in the trace.
    pub name: String,
    /// The rate that a volume is provisioned for, in units per second.
    pub rate: f64,
    /// The highest rate of a volume, in units per second; absent if unlimited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<f64>,
}

/// What all requests of a trace have in common.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The time of the first request, in microseconds of Unix time.
    pub base_us: i64,
    /// The files that the trace was imported from.
    pub sources: Vec<String>,
    /// The request classes; records refer to them by index.
    pub classes: Vec<ClassTerms>,
    /// The QoS plans; records refer to them by index.
    pub plans: Vec<PlanTerms>,
    /// Whether the numbers of volumes, objects and keys are keyed hashes of those in the source.
    pub anonymised: bool,
}

/// A recorded request of the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Time since [`Header::base_us`], in microseconds.
    pub at: u64,
    /// The index of the request class in [`Header::classes`].
    pub class: u16,
    /// The index of the QoS plan in [`Header::plans`].
    pub plan: u16,
    /// The number of the volume.
    pub volume: u64,
    /// The number of the object.
    pub piece: u64,
    /// The size of the request, in units.
    pub units: f32,
    /// The shard of the object; absent if the request creates a new object.
    pub shard: Option<u32>,
    /// How many initiators send requests for the volume.
    pub hosts: u32,
    /// How long the client waits for a response, in milliseconds, over all its attempts.
    pub deadline_ms: u32,
    /// Bytes of the body of a write's request or of a read's response.
    pub bytes: u32,
    /// The number of the idempotency key; absent if the request has none.
    pub key: Option<u64>,
    /// The HTTP status of the recorded response; 0 if there was none.
    pub status: u16,
    /// Time from the request to the recorded response, in microseconds; absent if the source doesn't record
    /// it.
    pub took: Option<u64>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Totals {
    records: u64,
    blocks: u64,
}

/// Why a trace cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file cannot be read or written.
    #[error("{file}: {error}")]
    Io {
        /// The path of the file.
        file: String,
        /// The error of the operating system.
        error: io::Error,
    },
    /// The file does not begin with the magic bytes of a trace.
    #[error(
        "{file}: not a trace; create one from a HAR file or an access log with `rowanglade capture import`"
    )]
    NotATrace {
        /// The path of the file.
        file: String,
    },
    /// The trace has a version that is not supported.
    #[error(
        "{file}: trace version {found} is not supported, expected {VERSION}; import the recorded files again"
    )]
    UnsupportedVersion {
        /// The path of the file.
        file: String,
        /// The version of the trace.
        found: u16,
    },
    /// The trace ends within a frame, or without its end frame.
    #[error(
        "{file}: trace is truncated in the frame at byte {offset}, after {records} complete records; it was not written to its end"
    )]
    Truncated {
        /// The path of the file.
        file: String,
        /// The position of the incomplete frame, in bytes.
        offset: u64,
        /// Records before that position.
        records: u64,
    },
    /// A frame is not valid.
    #[error("{file}: trace is damaged at byte {offset}, after {records} complete records: {problem}")]
    Damaged {
        /// The path of the file.
        file: String,
        /// Position in the file, in bytes: the start of a frame that cannot be read, or the end of one whose
        /// payload is not valid.
        offset: u64,
        /// Records before that position.
        records: u64,
        /// Why the frame is not valid.
        problem: String,
    },
    /// A record has an earlier time than the record before it.
    #[error("{file}: records are not in order of time")]
    OutOfOrder {
        /// The path of the file.
        file: String,
    },
}

/// Writes a trace to a temporary file in the same folder and renames it once it is complete.
#[derive(Debug)]
pub struct TraceWriter {
    path: PathBuf,
    out: BufWriter<tempfile::NamedTempFile>,
    block: Vec<Record>,
    last_at: u64,
    totals: Totals,
}

fn checksum(tag: u8, payload: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&[tag]), payload)
}

impl TraceWriter {
    /// Creates the temporary file and writes the header.
    ///
    /// # Errors
    /// The folder cannot be written to.
    pub fn create(path: &Path, header: &Header) -> Result<TraceWriter, TraceError> {
        let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        let mut writer = TraceWriter {
            path: path.to_path_buf(),
            out: BufWriter::new(
                // The permissions of any newly created file, from which the umask of the process is
                // subtracted.
                tempfile::Builder::new()
                    .prefix(".trace-")
                    .permissions(std::fs::Permissions::from_mode(0o666))
                    .tempfile_in(folder)
                    .map_err(|error| TraceError::Io { file: path.display().to_string(), error })?,
            ),
            block: Vec::with_capacity(RECORDS_PER_BLOCK),
            last_at: 0,
            totals: Totals { records: 0, blocks: 0 },
        };
        let json = serde_json::to_vec(header).map_err(|e| writer.io_error(e.into()))?;
        let start = [MAGIC.as_slice(), &VERSION.to_le_bytes()].concat();
        writer.out.write_all(&start).map_err(|e| writer.io_error(e))?;
        writer.write_frame(b'H', &json)?;
        Ok(writer)
    }

    fn io_error(&self, error: io::Error) -> TraceError {
        TraceError::Io { file: self.path.display().to_string(), error }
    }

    fn write_frame(&mut self, tag: u8, payload: &[u8]) -> Result<(), TraceError> {
        let mut frame_header = vec![tag];
        frame_header.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        frame_header.extend_from_slice(&checksum(tag, payload).to_le_bytes());
        let written = self.out.write_all(&frame_header).and_then(|()| self.out.write_all(payload));
        written.map_err(|e| self.io_error(e))
    }

    /// Appends a record.
    ///
    /// # Errors
    /// The file cannot be written, or the record is earlier than the one before.
    pub fn push(&mut self, record: Record) -> Result<(), TraceError> {
        if record.at < self.last_at {
            return Err(TraceError::OutOfOrder { file: self.path.display().to_string() });
        }
        self.last_at = record.at;
        self.totals.records += 1;
        self.block.push(record);
        if self.block.len() == RECORDS_PER_BLOCK { self.flush() } else { Ok(()) }
    }

    fn flush(&mut self) -> Result<(), TraceError> {
        if self.block.is_empty() {
            return Ok(());
        }
        let encoded = postcard::to_stdvec(&self.block).map_err(|e| self.io_error(io::Error::other(e)))?;
        let compressed = zstd::bulk::compress(&encoded, ZSTD_LEVEL).map_err(|e| self.io_error(e))?;
        self.totals.blocks += 1;
        self.block.clear();
        self.write_frame(b'B', &compressed)
    }

    /// Writes the end frame and renames the file to its final path; returns the number of records.
    ///
    /// # Errors
    /// The file cannot be written. An existing file at the path is kept then.
    pub fn finish(mut self) -> Result<u64, TraceError> {
        self.flush()?;
        let json = serde_json::to_vec(&self.totals).map_err(|e| self.io_error(e.into()))?;
        self.write_frame(b'E', &json)?;
        let (path, records) = (self.path, self.totals.records);
        let io_error = |error| TraceError::Io { file: path.display().to_string(), error };
        let out = self.out.into_inner().map_err(|e| io_error(e.into_error()))?;
        out.as_file().sync_all().map_err(io_error)?;
        out.persist(&path).map_err(|e| io_error(e.error))?;
        Ok(records)
    }
}

/// Reads a trace block by block.
#[derive(Debug)]
pub struct TraceReader<R> {
    name: String,
    input: R,
    header: Header,
    offset: u64,
    block: std::vec::IntoIter<Record>,
    totals: Totals,
    finished: bool,
}

impl TraceReader<BufReader<File>> {
    /// Opens the file and reads the header.
    ///
    /// # Errors
    /// The file cannot be read, is not a trace, has an unsupported version, or is truncated or damaged within
    /// its header.
    pub fn open(path: &Path) -> Result<TraceReader<BufReader<File>>, TraceError> {
        let name = path.display().to_string();
        let file = File::open(path).map_err(|error| TraceError::Io { file: name.clone(), error })?;
        TraceReader::new(name, BufReader::new(file))
    }
}

impl<R: Read> TraceReader<R> {
    /// Reads the header of a stream, which errors refer to as `name`.
    ///
    /// # Errors
    /// Those of [`TraceReader::open`].
    pub fn new(name: String, mut input: R) -> Result<TraceReader<R>, TraceError> {
        let mut start = [0; 10];
        match input.read_exact(&mut start) {
            Ok(()) if start.starts_with(MAGIC) => {}
            Ok(()) => return Err(TraceError::NotATrace { file: name }),
            Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => {
                return Err(TraceError::NotATrace { file: name });
            }
            Err(error) => return Err(TraceError::Io { file: name, error }),
        }
        let found = u16::from_le_bytes([start[8], start[9]]);
        if found != VERSION {
            return Err(TraceError::UnsupportedVersion { file: name, found });
        }
        let header = Header {
            base_us: 0,
            sources: Vec::new(),
            classes: Vec::new(),
            plans: Vec::new(),
            anonymised: false,
        };
        let totals = Totals { records: 0, blocks: 0 };
        let mut reader = TraceReader {
            name,
            input,
            header,
            offset: 10,
            block: Vec::new().into_iter(),
            totals,
            finished: false,
        };
        match reader.read_frame()? {
            (b'H', json) => {
                reader.header =
                    serde_json::from_slice(&json).map_err(|e| reader.damaged(format!("header: {e}")))?;
                Ok(reader)
            }
            _ => Err(reader.damaged("the first frame is not a header".into())),
        }
    }

    /// The header, with the classes and plans that records refer to.
    pub fn header(&self) -> &Header {
        &self.header
    }

    fn damaged(&self, problem: String) -> TraceError {
        TraceError::Damaged {
            file: self.name.clone(),
            offset: self.offset,
            records: self.totals.records,
            problem,
        }
    }

    fn fill(&mut self, buffer: &mut [u8]) -> Result<(), TraceError> {
        self.input.read_exact(buffer).map_err(|error| match error.kind() {
            io::ErrorKind::UnexpectedEof => TraceError::Truncated {
                file: self.name.clone(),
                offset: self.offset,
                records: self.totals.records,
            },
            _ => TraceError::Io { file: self.name.clone(), error },
        })
    }

    fn read_frame(&mut self) -> Result<(u8, Vec<u8>), TraceError> {
        let mut frame_header = [0; 9];
        self.fill(&mut frame_header)?;
        let [tag, l0, l1, l2, l3, sum @ ..] = frame_header;
        let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
        if length > MAX_PAYLOAD_BYTES {
            return Err(
                self.damaged(format!("frame of {length} bytes exceeds the maximum of {MAX_PAYLOAD_BYTES}"))
            );
        }
        let mut payload = vec![0; length];
        self.fill(&mut payload)?;
        if checksum(tag, &payload) != u32::from_le_bytes(sum) {
            return Err(self.damaged("checksum mismatch".into()));
        }
        self.offset += 9 + length as u64;
        Ok((tag, payload))
    }

    fn next_block(&mut self) -> Result<(), TraceError> {
        match self.read_frame()? {
            (b'B', compressed) => {
                let decompressed = zstd::bulk::decompress(&compressed, MAX_PAYLOAD_BYTES)
                    .map_err(|e| self.damaged(e.to_string()))?;
                let block: Vec<Record> =
                    postcard::from_bytes(&decompressed).map_err(|e| self.damaged(e.to_string()))?;
                let has_known_terms = |r: &Record| {
                    usize::from(r.class) < self.header.classes.len()
                        && usize::from(r.plan) < self.header.plans.len()
                };
                if !block.iter().all(has_known_terms) {
                    return Err(
                        self.damaged("a record refers to a class or plan that the header lacks".into())
                    );
                }
                self.totals.blocks += 1;
                self.totals.records += block.len() as u64;
                self.block = block.into_iter();
            }
            (b'E', json) => {
                let end: Totals = serde_json::from_slice(&json).map_err(|e| self.damaged(e.to_string()))?;
                if end != self.totals {
                    return Err(self.damaged(format!("the end frame counts {} records", end.records)));
                }
                self.finished = true;
            }
            (tag, _) => return Err(self.damaged(format!("unknown frame tag {tag}"))),
        }
        Ok(())
    }
}

/// Yields the records in order of time. The iterator ends after the first error.
impl<R: Read> Iterator for TraceReader<R> {
    type Item = Result<Record, TraceError>;

    fn next(&mut self) -> Option<Result<Record, TraceError>> {
        loop {
            if let Some(record) = self.block.next() {
                return Some(Ok(record));
            }
            if self.finished {
                return None;
            }
            if let Err(error) = self.next_block() {
                self.finished = true;
                return Some(Err(error));
            }
        }
    }
}
