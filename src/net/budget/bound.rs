//! The bound on the memory that the process really takes, as the system counts it.
//!
//! The budgets count what clients send. What the process takes for it is more: buffers of libraries, tasks, and free
//! memory between allocations that cannot be returned to the system. So whatever admits more asks here as well.

use crate::config::Limits;
use rowanglade_allocator::release_free_memory;
use std::fmt;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// File in which Linux tells of the process's memory, in pages.
const USAGE_FILE: &str = "/proc/self/statm";
/// Length of the file: seven numbers.
const USAGE_FILE_BYTES: usize = 160;
/// The anonymous memory may take this share of the limit, in percent.
const ANONYMOUS_PERCENT: usize = 85;
/// Free memory is returned to the system at intervals of at least this, and of this many times as long as it takes.
const MIN_RELEASE_INTERVAL: Duration = Duration::from_millis(20);
const RELEASE_INTERVAL_FACTOR: u32 = 10;

/// What memory is wanted for. Each is admitted up to a share of the limit, so that what is held for long leaves memory
/// to what is soon over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryUse {
    /// The content of one more request or response, which stays for as long as a client sends or reads.
    NewContent,
    /// More of a content that was begun.
    MoreContent,
    /// A connection, and a request that it holds.
    Connection,
}

impl MemoryUse {
    /// The share of the limit up to which this is admitted, in percent.
    fn percent(self) -> usize {
        match self {
            MemoryUse::NewContent => 75,
            MemoryUse::MoreContent => 84,
            MemoryUse::Connection => 92,
        }
    }
}

/// The resident memory of the process in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ResidentMemory {
    /// All of it.
    pub total: usize,
    /// Without mapped files.
    pub anonymous: usize,
}

impl ResidentMemory {
    /// The share of a limit that is taken, in percent. The anonymous memory counts against its own part of the limit.
    pub fn percent_of(self, limit: usize) -> usize {
        let total = self.total * 100 / limit.max(1);
        let anonymous = self.anonymous * 100 / (limit / 100 * ANONYMOUS_PERCENT).max(1);
        total.max(anonymous)
    }
}

/// The bound on the memory of the process. Clones share one bound.
#[derive(Clone, Default)]
pub struct MemoryBound(Option<Arc<State>>);

struct State {
    usage_file: File,
    page_bytes: usize,
    limit: usize,
    started_at: Instant,
    /// When free memory may be returned next, in microseconds from the start.
    release_from: AtomicU64,
    refused: AtomicU64,
}

impl MemoryBound {
    /// The bound for a process that does nothing else than serve with these limits. Without the system's figures
    /// nothing is refused.
    pub fn of_process(limits: &Limits) -> MemoryBound {
        let state = |usage_file| State {
            usage_file,
            page_bytes: rustix::param::page_size(),
            limit: limits.memory_bytes(),
            started_at: Instant::now(),
            release_from: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        };
        MemoryBound(File::open(USAGE_FILE).ok().map(|file| Arc::new(state(file))))
    }

    /// No bound: for several initiators in one process, and for tests of single parts.
    pub fn unlimited() -> MemoryBound {
        MemoryBound(None)
    }

    /// The memory that the process takes now; `None`: there is no bound, or the system does not tell.
    pub fn usage(&self) -> Option<ResidentMemory> {
        self.0.as_ref()?.usage()
    }

    /// Whether there is memory for this use. Free memory is returned to the system before it says no.
    pub fn admits(&self, memory_use: MemoryUse) -> bool {
        let Some(state) = &self.0 else { return true };
        let admitted = state.is_below(memory_use) || (state.release() && state.is_below(memory_use));
        if !admitted {
            state.refused.fetch_add(1, Ordering::Relaxed);
        }
        admitted
    }

    /// How often it has refused memory.
    pub fn refused(&self) -> u64 {
        self.0.as_ref().map_or(0, |state| state.refused.load(Ordering::Relaxed))
    }
}

impl State {
    fn usage(&self) -> Option<ResidentMemory> {
        let mut text = [0; USAGE_FILE_BYTES];
        let length = self.usage_file.read_at(&mut text, 0).ok()?;
        parse_usage(std::str::from_utf8(&text[..length]).ok()?, self.page_bytes)
    }

    fn is_below(&self, memory_use: MemoryUse) -> bool {
        self.usage().is_none_or(|usage| usage.percent_of(self.limit) < memory_use.percent())
    }

    /// Returns free memory to the system, unless that was done a short time ago. Returns whether it was done now.
    fn release(&self) -> bool {
        let now = self.started_at.elapsed();
        if (now.as_micros() as u64) < self.release_from.load(Ordering::Relaxed) {
            return false;
        }
        release_free_memory();
        let ended = self.started_at.elapsed();
        let interval = ((ended - now) * RELEASE_INTERVAL_FACTOR).max(MIN_RELEASE_INTERVAL);
        self.release_from.store((ended + interval).as_micros() as u64, Ordering::Relaxed);
        true
    }
}

/// Reads the system's figures: the second number counts the resident pages, the third those of mapped files.
fn parse_usage(text: &str, page_bytes: usize) -> Option<ResidentMemory> {
    let mut numbers = text.split_ascii_whitespace().skip(1).map(|number| number.parse::<usize>().ok());
    let (resident, mapped) = (numbers.next()??, numbers.next()??);
    Some(ResidentMemory {
        total: resident * page_bytes,
        anonymous: resident.saturating_sub(mapped) * page_bytes,
    })
}

impl fmt::Debug for MemoryBound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.0 {
            Some(state) => write!(f, "{:?} of {} bytes", state.usage(), state.limit),
            None => f.write_str("unlimited"),
        }
    }
}
