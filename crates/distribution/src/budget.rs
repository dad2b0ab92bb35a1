//! The byte budget that limits how many bytes per second a relay sends.

use crate::{Millis, RelayLimits};

const MILLIS_PER_SECOND: u64 = 1_000;

/// A token bucket counted in bytes.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    bytes_per_second: u64,
    burst_bytes: u64,
    available: u64,
    refilled_at: Millis,
}

impl ByteBudget {
    /// Starts with a full bucket.
    pub fn new(limits: &RelayLimits) -> ByteBudget {
        ByteBudget {
            bytes_per_second: limits.bytes_per_second,
            burst_bytes: limits.burst_bytes,
            available: limits.burst_bytes,
            refilled_at: 0,
        }
    }

    pub fn refill(&mut self, now: Millis) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let added = elapsed * self.bytes_per_second / MILLIS_PER_SECOND;
        self.available = (self.available + added).min(self.burst_bytes);
        self.refilled_at = now;
    }

    /// Whether a response of this size may be sent now. A response larger than the bucket may be sent once
    /// the bucket is full.
    pub fn allows(&self, bytes: usize) -> bool {
        (bytes as u64).min(self.burst_bytes) <= self.available
    }

    pub fn spend(&mut self, bytes: usize) {
        self.available = self.available.saturating_sub(bytes as u64);
    }
}
