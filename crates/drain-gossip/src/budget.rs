//! How many bytes a second an instance tells its peers.

use crate::Micros;

/// Bytes a second in the long run: an asker that misses 3,200 departures needs 32 KiB.
pub const BYTES_PER_SECOND: u64 = 64 * 1024;
/// Bytes at once.
pub const BURST: u64 = 16 * 1024;
const SECOND: u64 = 1_000_000;

/// A bucket of bytes that fills up.
#[derive(Debug)]
pub struct Budget {
    left: u64,
    at: Micros,
}

impl Budget {
    pub fn new(now: Micros) -> Budget {
        Budget { left: BURST, at: now }
    }

    /// Takes so many bytes, if there are as many.
    pub fn take(&mut self, now: Micros, bytes: usize) -> bool {
        let filled = now.saturating_sub(self.at).saturating_mul(BYTES_PER_SECOND) / SECOND;
        if filled > 0 {
            self.left = self.left.saturating_add(filled).min(BURST);
            self.at = now;
        }
        let Some(left) = self.left.checked_sub(bytes as u64) else { return false };
        self.left = left;
        true
    }
}
