//! The clock of a request whose body is streamed: when its final response is due, and when its transfer has failed.
//!
//! The time of a request counts from the arrival of its last byte on this machine, whether or not that byte has been
//! read: while the target takes nothing, the rest of the body stays in the system's buffer. Pure: it is told what has
//! arrived, and when.

use std::time::Duration;
use tokio::time::Instant;

/// The slowest rate at which a client may send a body, in bytes a second.
const MIN_BYTES_PER_SECOND: u64 = 64_000;
/// How long the transfer of a body may take beside the time for its bytes.
pub const MIN_BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// How long a client may take to send this many bytes, beside [`MIN_BODY_TIMEOUT`].
pub fn slowest_transfer(bytes: u64) -> Duration {
    Duration::from_secs_f64(bytes as f64 / MIN_BYTES_PER_SECOND as f64)
}

/// Who the transfer of the body waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Transfer {
    /// No attempt reads the body.
    NotStarted,
    /// The client: the target has taken all that was read.
    AwaitingClient,
    /// The target, since this instant, at which this many bytes had arrived.
    AwaitingTarget { since: Instant, arrived_bytes: u64 },
}

/// The clock of one streamed body.
#[derive(Clone, Debug)]
pub struct UploadClock {
    /// Bytes of the entire body; absent if its head does not declare a length.
    length: Option<u64>,
    transfer: Transfer,
    /// Bytes that had arrived on this machine at the last check, as encoded on the connection.
    arrived_bytes: u64,
    /// No byte was known to arrive after this instant.
    last_arrival: Instant,
    checked_at: Instant,
    /// When the last byte arrived.
    complete_at: Option<Instant>,
}

impl UploadClock {
    /// The clock of a body of `length` bytes, before the first check of what has arrived.
    pub fn new(length: Option<u64>, now: Instant) -> UploadClock {
        UploadClock {
            length,
            transfer: Transfer::NotStarted,
            arrived_bytes: 0,
            last_arrival: now,
            checked_at: now,
            complete_at: None,
        }
    }

    /// Records how many bytes of the body have arrived so far, read or not.
    pub fn record_arrival(&mut self, now: Instant, arrived_bytes: u64) {
        if arrived_bytes > self.arrived_bytes {
            self.arrived_bytes = arrived_bytes;
            // Bytes that nobody waited for may have arrived right after the last check.
            let is_read_at_once = self.transfer == Transfer::AwaitingClient;
            self.last_arrival = if is_read_at_once { now } else { self.checked_at };
        }
        self.checked_at = now;
        if self.length.is_some_and(|length| self.arrived_bytes >= length) {
            self.complete_at.get_or_insert(self.last_arrival);
        }
    }

    /// Records that the end of the body has been read.
    pub fn record_end(&mut self) {
        self.complete_at.get_or_insert(self.last_arrival);
    }

    /// The target has taken all that was read, and the next bytes are read from the client.
    pub fn await_client(&mut self) {
        self.transfer = Transfer::AwaitingClient;
    }

    /// Bytes were read, and the target has to take them before the next ones are read.
    pub fn await_target(&mut self, now: Instant) {
        self.transfer = Transfer::AwaitingTarget { since: now, arrived_bytes: self.arrived_bytes };
    }

    /// Whether the last byte is known to have arrived.
    pub fn is_complete(&self) -> bool {
        self.complete_at.is_some()
    }

    /// The bytes that had arrived at the last check, for the log.
    pub fn arrived_bytes(&self) -> u64 {
        self.arrived_bytes
    }

    /// When the attempt that transfers the body has failed, if nothing changes until then. `time_left`: how long the
    /// client waits for the response. `None`: the transfer waits for the client, whose time its front limits.
    pub fn expires_at(&self, time_left: Duration) -> Option<Instant> {
        if let Some(complete_at) = self.complete_at {
            return Some(complete_at + time_left);
        }
        let Transfer::AwaitingTarget { since, arrived_bytes } = self.transfer else { return None };
        // Without a declared length, the byte that arrived last may be the body's last one.
        let last_progress = match self.length {
            Some(_) => self.last_arrival.max(since),
            None => self.last_arrival,
        };
        // A client that goes on sending at less than the slowest rate does not keep the request open.
        let arrived_since = self.arrived_bytes.saturating_sub(arrived_bytes);
        let slowest_arrival = since + MIN_BODY_TIMEOUT + slowest_transfer(arrived_since);
        Some(last_progress.min(slowest_arrival) + time_left)
    }
}
