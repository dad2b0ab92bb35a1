//! Limits the bytes per second that an initiator sends to its peers in answers.

use crate::Micros;
use crate::constants::{BUDGET_BYTES_PER_SECOND, MAX_BURST_BYTES};

const MICROS_PER_SECOND: u64 = 1_000_000;

/// A token bucket of bytes.
#[derive(Debug)]
pub(crate) struct ByteBudget {
    available: u64,
    refilled_at: Micros,
}

impl ByteBudget {
    /// A full bucket.
    pub fn new(now: Micros) -> ByteBudget {
        ByteBudget { available: MAX_BURST_BYTES, refilled_at: now }
    }

    /// Takes this many bytes out of the bucket. Returns false, and takes none, if fewer are available.
    pub fn try_take(&mut self, now: Micros, bytes: usize) -> bool {
        self.refill(now);
        let Some(available) = self.available.checked_sub(bytes as u64) else { return false };
        self.available = available;
        true
    }

    /// Elapsed time that is too short for one byte is left for the next call, so that it is not lost to
    /// rounding.
    fn refill(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.refilled_at);
        let bytes = elapsed.saturating_mul(BUDGET_BYTES_PER_SECOND) / MICROS_PER_SECOND;
        if bytes > 0 {
            self.available = self.available.saturating_add(bytes).min(MAX_BURST_BYTES);
            self.refilled_at = now;
        }
    }
}
