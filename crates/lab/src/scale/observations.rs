//! Measurements of an initiator of the simulated network.

use rowanglade_distribution::{Millis, StateUpdate};

/// Window in milliseconds in which bytes are counted.
pub const WINDOW: Millis = 14_000;

/// What was observed of an initiator.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Time at which each version or a newer one came into force, indexed by version number.
    pub reached: Vec<Millis>,
    /// Spans in which a partition cut the initiator off. A restart is recorded as an empty span.
    pub unreachable: Vec<(Millis, Millis)>,
    /// Bytes sent and received.
    pub bytes: u64,
    /// Bytes sent and received in each window.
    windows: Vec<u64>,
    /// Number of states that the initiator's validation rejected.
    pub rejected: u64,
    /// Whether an older version came into force after a newer one.
    pub reverted: bool,
}

impl Observations {
    /// Counts bytes that were sent or received.
    pub fn count(&mut self, now: Millis, bytes: u64) {
        self.bytes += bytes;
        let window = (now / WINDOW) as usize;
        if self.windows.len() <= window {
            self.windows.resize(window + 1, 0);
        }
        self.windows[window] += bytes;
    }

    /// Highest rate of a window in bytes per second.
    pub fn peak_rate(&self) -> f64 {
        self.windows.iter().max().copied().unwrap_or(0) as f64 * 1e3 / WINDOW as f64
    }

    /// Records that the follower activated or rejected a state.
    pub fn record(&mut self, now: Millis, update: &StateUpdate) {
        match update {
            StateUpdate::Activated(state) => {
                let number = state.version().number as usize;
                // After a restart without stored state, a relay that lags may serve an older version than the
                // one before the restart.
                let restarted = self.unreachable.iter().any(|(from, to)| from == to);
                self.reverted |= number + 1 < self.reached.len() && !restarted;
                if self.reached.len() <= number {
                    self.reached.resize(number + 1, now);
                }
            }
            StateUpdate::Rejected { .. } => self.rejected += 1,
        }
    }

    /// Milliseconds from a version's publication, or from the end of the last unreachable span after it,
    /// until it or a newer one was in force. `None` if it never was.
    pub fn delay(&self, version: usize, published: Millis) -> Option<Millis> {
        let reached = *self.reached.get(version)?;
        let unreachable = self.unreachable.iter().filter(|(from, to)| *to > published && *from < reached);
        let from = unreachable.map(|(_, to)| *to).fold(published, Millis::max);
        Some(reached.saturating_sub(from))
    }
}
