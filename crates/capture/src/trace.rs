//! The project's own trace format: requests in the order of their times, ready to be sent again.
//!
//! A file is the eight bytes `RWGTRACE`, a version (u16, little endian) and a sequence of frames: a tag, the
//! length of the payload (u32), a CRC-32C over tag and payload (u32), the payload. `H` holds the [`Header`]
//! as JSON, so that any version can show what it is; each `B` a block of [`Record`]s, postcard within zstd;
//! `E` the counts, and nothing comes behind it. A file without its `E` was torn: what it holds up to there is
//! whole.

use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::{self, BufReader, BufWriter, Read, Write};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

const MAGIC: &[u8; 8] = b"RWGTRACE";
/// The version that this program writes, and the only one that it reads.
pub const VERSION: u16 = 1;
const LEVEL: i32 = 3;
/// Records of a block.
const BLOCK: usize = 4_096;
/// The longest payload of a frame, in bytes, compressed and plain.
const LONGEST: usize = 16 << 20;

/// What may happen to a request that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Repeat {
    /// It may run again.
    Safe,
    /// It carries a key, and a repeat of it is dropped for `span_ms` after the first send.
    Keyed {
        /// The deduplication window.
        span_ms: u32,
    },
    /// It must never run twice.
    Once,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ClassTerms {
    /// Its name.
    pub name: String,
    /// Its requests are writes.
    pub write: bool,
    /// Whether a request of it may be sent again.
    pub repeat: Repeat,
    /// An answer within this time is in time.
    pub aim_ms: u32,
    /// The longest that a client waits, over all its tries.
    pub deadline_ms: u32,
}

/// A plan, as far as a report needs it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PlanTerms {
    /// Its name.
    pub name: String,
    /// Units a second that a volume is sized for.
    pub rate: f64,
    /// Units a second that no volume may pass.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<f64>,
}

/// What the requests of a trace have in common.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The first request's time, in microseconds of Unix time.
    pub base_us: i64,
    /// What it was made of.
    pub sources: Vec<String>,
    /// The request classes; records name them by place.
    pub classes: Vec<ClassTerms>,
    /// The QoS plans; records name them by place.
    pub plans: Vec<PlanTerms>,
    /// Volumes, pieces and keys are not what the source had.
    pub anonymised: bool,
}

/// A request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Microseconds since the header's base.
    pub at: u64,
    /// Its place in [`Header::classes`].
    pub class: u16,
    /// Its place in [`Header::plans`].
    pub plan: u16,
    /// The volume.
    pub volume: u64,
    /// The object.
    pub piece: u64,
    /// The size of the request.
    pub units: f32,
    /// Absent: a new object.
    pub shard: Option<u32>,
    /// Through how many initiators the volume's requests come.
    pub hosts: u32,
    /// How long its client waits, over all tries.
    pub deadline_ms: u32,
    /// Bytes that a write carries, or that a read's answer had.
    pub bytes: u32,
    /// By which a repeat is known.
    pub key: Option<u64>,
    /// The answer that the source recorded, as HTTP has it; 0: none.
    pub status: u16,
    /// How long that answer took, in microseconds.
    pub took: Option<u64>,
}

#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct End {
    records: u64,
    blocks: u64,
}

/// Why a trace cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum TraceError {
    /// The file cannot be read or written.
    #[error("{file}: {error}")]
    Io {
        /// The file.
        file: String,
        /// The system's error.
        error: io::Error,
    },
    /// The file does not begin as a trace does.
    #[error("{file}: is no trace; `rowanglade capture import` makes one of a HAR file or an access log")]
    NotATrace {
        /// The file.
        file: String,
    },
    /// The trace has another version.
    #[error("{file}: is a trace of version {found}; this program reads version {VERSION}: import it anew")]
    UnsupportedVersion {
        /// The file.
        file: String,
        /// Its version.
        found: u16,
    },
    /// The trace ends within a record, or without its end.
    #[error("{file}: is torn at byte {at}, behind {records} whole records: it was not written to its end")]
    Truncated {
        /// The file.
        file: String,
        /// The byte where it ends.
        at: u64,
        /// Whole records before.
        records: u64,
    },
    /// A record cannot be decoded.
    #[error("{file}: is damaged at byte {at}, behind {records} whole records: {problem}")]
    Damaged {
        /// The file.
        file: String,
        /// The byte of the damage.
        at: u64,
        /// Whole records before.
        records: u64,
        /// What is wrong there.
        problem: String,
    },
    /// A record is earlier than the one before.
    #[error("{file}: records are not in the order of their times")]
    Order {
        /// The file.
        file: String,
    },
}

/// Writes a trace beside its place and moves it there when it is whole.
#[derive(Debug)]
pub struct TraceWriter {
    path: PathBuf,
    out: BufWriter<tempfile::NamedTempFile>,
    block: Vec<Record>,
    last: u64,
    end: End,
}

fn checksum(tag: u8, payload: &[u8]) -> u32 {
    crc32c::crc32c_append(crc32c::crc32c(&[tag]), payload)
}

impl TraceWriter {
    /// # Errors
    /// The folder cannot be written to.
    pub fn create(path: &Path, header: &Header) -> Result<TraceWriter, TraceError> {
        let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
        let mut writer = TraceWriter {
            path: path.to_path_buf(),
            out: BufWriter::new(
                // As any new file's; the mask of the process comes off.
                tempfile::Builder::new()
                    .prefix(".trace-")
                    .permissions(std::fs::Permissions::from_mode(0o666))
                    .tempfile_in(folder)
                    .map_err(|error| TraceError::Io { file: path.display().to_string(), error })?,
            ),
            block: Vec::with_capacity(BLOCK),
            last: 0,
            end: End { records: 0, blocks: 0 },
        };
        let json = serde_json::to_vec(header).map_err(|e| writer.io(e.into()))?;
        let start = [MAGIC.as_slice(), &VERSION.to_le_bytes()].concat();
        writer.out.write_all(&start).map_err(|e| writer.io(e))?;
        writer.frame(b'H', &json)?;
        Ok(writer)
    }

    fn io(&self, error: io::Error) -> TraceError {
        TraceError::Io { file: self.path.display().to_string(), error }
    }

    fn frame(&mut self, tag: u8, payload: &[u8]) -> Result<(), TraceError> {
        let mut head = vec![tag];
        head.extend_from_slice(&(payload.len() as u32).to_le_bytes());
        head.extend_from_slice(&checksum(tag, payload).to_le_bytes());
        let written = self.out.write_all(&head).and_then(|()| self.out.write_all(payload));
        written.map_err(|e| self.io(e))
    }

    /// # Errors
    /// The disk is full, or the record is earlier than the one before.
    pub fn push(&mut self, record: Record) -> Result<(), TraceError> {
        if record.at < self.last {
            return Err(TraceError::Order { file: self.path.display().to_string() });
        }
        self.last = record.at;
        self.end.records += 1;
        self.block.push(record);
        if self.block.len() == BLOCK { self.flush() } else { Ok(()) }
    }

    fn flush(&mut self) -> Result<(), TraceError> {
        if self.block.is_empty() {
            return Ok(());
        }
        let plain = postcard::to_stdvec(&self.block).map_err(|e| self.io(io::Error::other(e)))?;
        let packed = zstd::bulk::compress(&plain, LEVEL).map_err(|e| self.io(e))?;
        self.end.blocks += 1;
        self.block.clear();
        self.frame(b'B', &packed)
    }

    /// Ends the trace and moves it to its place; returns its records.
    ///
    /// # Errors
    /// The disk is full. What stood at the place still stands there.
    pub fn finish(mut self) -> Result<u64, TraceError> {
        self.flush()?;
        let json = serde_json::to_vec(&self.end).map_err(|e| self.io(e.into()))?;
        self.frame(b'E', &json)?;
        let (path, records) = (self.path, self.end.records);
        let file = |error| TraceError::Io { file: path.display().to_string(), error };
        let out = self.out.into_inner().map_err(|e| file(e.into_error()))?;
        out.as_file().sync_all().map_err(file)?;
        out.persist(&path).map_err(|e| file(e.error))?;
        Ok(records)
    }
}

/// Reads a trace, a block at a time.
#[derive(Debug)]
pub struct TraceReader<R> {
    name: String,
    from: R,
    header: Header,
    at: u64,
    block: std::vec::IntoIter<Record>,
    read: End,
    over: bool,
}

impl TraceReader<BufReader<File>> {
    /// # Errors
    /// It is no trace, one of another version, or torn within its header.
    pub fn open(path: &Path) -> Result<TraceReader<BufReader<File>>, TraceError> {
        let name = path.display().to_string();
        let file = File::open(path).map_err(|error| TraceError::Io { file: name.clone(), error })?;
        TraceReader::new(name, BufReader::new(file))
    }
}

impl<R: Read> TraceReader<R> {
    /// Reads a stream, which errors call `name`. Errors: as [`TraceReader::open`].
    pub fn new(name: String, mut from: R) -> Result<TraceReader<R>, TraceError> {
        let mut start = [0; 10];
        match from.read_exact(&mut start) {
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
        let read = End { records: 0, blocks: 0 };
        let mut reader =
            TraceReader { name, from, header, at: 10, block: Vec::new().into_iter(), read, over: false };
        match reader.frame()? {
            (b'H', json) => {
                reader.header =
                    serde_json::from_slice(&json).map_err(|e| reader.damaged(format!("header: {e}")))?;
                Ok(reader)
            }
            _ => Err(reader.damaged("it has no header".into())),
        }
    }

    /// The trace's header.
    pub fn header(&self) -> &Header {
        &self.header
    }

    fn damaged(&self, problem: String) -> TraceError {
        TraceError::Damaged { file: self.name.clone(), at: self.at, records: self.read.records, problem }
    }

    fn fill(&mut self, buffer: &mut [u8]) -> Result<(), TraceError> {
        self.from.read_exact(buffer).map_err(|error| match error.kind() {
            io::ErrorKind::UnexpectedEof => {
                TraceError::Truncated { file: self.name.clone(), at: self.at, records: self.read.records }
            }
            _ => TraceError::Io { file: self.name.clone(), error },
        })
    }

    fn frame(&mut self) -> Result<(u8, Vec<u8>), TraceError> {
        let mut head = [0; 9];
        self.fill(&mut head)?;
        let [tag, l0, l1, l2, l3, sum @ ..] = head;
        let length = u32::from_le_bytes([l0, l1, l2, l3]) as usize;
        if length > LONGEST {
            return Err(self.damaged(format!("a frame of {length} bytes")));
        }
        let mut payload = vec![0; length];
        self.fill(&mut payload)?;
        if checksum(tag, &payload) != u32::from_le_bytes(sum) {
            return Err(self.damaged("its checksum does not hold".into()));
        }
        self.at += 9 + length as u64;
        Ok((tag, payload))
    }

    fn next_block(&mut self) -> Result<(), TraceError> {
        match self.frame()? {
            (b'B', packed) => {
                let plain =
                    zstd::bulk::decompress(&packed, LONGEST).map_err(|e| self.damaged(e.to_string()))?;
                let block: Vec<Record> =
                    postcard::from_bytes(&plain).map_err(|e| self.damaged(e.to_string()))?;
                let known = |r: &Record| {
                    usize::from(r.class) < self.header.classes.len()
                        && usize::from(r.plan) < self.header.plans.len()
                };
                if !block.iter().all(known) {
                    return Err(self.damaged("a record of a class or plan that the header lacks".into()));
                }
                self.read.blocks += 1;
                self.read.records += block.len() as u64;
                self.block = block.into_iter();
            }
            (b'E', json) => {
                let end: End = serde_json::from_slice(&json).map_err(|e| self.damaged(e.to_string()))?;
                if end != self.read {
                    return Err(self.damaged(format!("it should hold {} records", end.records)));
                }
                self.over = true;
            }
            (tag, _) => return Err(self.damaged(format!("a frame of an unknown kind, {tag}"))),
        }
        Ok(())
    }
}

/// The records in the order of their times. After an error there are no more.
impl<R: Read> Iterator for TraceReader<R> {
    type Item = Result<Record, TraceError>;

    fn next(&mut self) -> Option<Result<Record, TraceError>> {
        loop {
            if let Some(record) = self.block.next() {
                return Some(Ok(record));
            }
            if self.over {
                return None;
            }
            if let Err(error) = self.next_block() {
                self.over = true;
                return Some(Err(error));
            }
        }
    }
}
