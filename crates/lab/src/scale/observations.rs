//! What is observed of each initiator of the simulated network.

use rowanglade_distribution::{Millis, StateUpdate};

/// Bytes are counted in windows of this many milliseconds.
pub const WINDOW: Millis = 14_000;

/// What was observed of an initiator.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// When each version, by its number, or a newer one was in force.
    pub reached: Vec<Millis>,
    /// Spans in which nothing could reach it.
    pub unreachable: Vec<(Millis, Millis)>,
    /// Bytes in and out.
    pub bytes: u64,
    /// The same in each window of time.
    windows: Vec<u64>,
    /// Versions that its check refused.
    pub refused: u64,
    /// A version that came after a newer one.
    pub went_back: bool,
}

impl Observations {
    /// Counts bytes in or out.
    pub fn count(&mut self, now: Millis, bytes: u64) {
        self.bytes += bytes;
        let window = (now / WINDOW) as usize;
        if self.windows.len() <= window {
            self.windows.resize(window + 1, 0);
        }
        self.windows[window] += bytes;
    }

    /// The most bytes a second of a window.
    pub fn peak_rate(&self) -> f64 {
        self.windows.iter().max().copied().unwrap_or(0) as f64 * 1e3 / WINDOW as f64
    }

    /// Its follower took a version, or refused it.
    pub fn event(&mut self, now: Millis, news: &StateUpdate) {
        match news {
            StateUpdate::Activated(state) => {
                let number = state.version().number as usize;
                // After a restart from nothing an older one than before may come, through a relay that is
                // behind.
                let restarted = self.unreachable.iter().any(|(from, to)| from == to);
                self.went_back |= number + 1 < self.reached.len() && !restarted;
                if self.reached.len() <= number {
                    self.reached.resize(number + 1, now);
                }
            }
            StateUpdate::Rejected { .. } => self.refused += 1,
        }
    }

    /// Milliseconds from a version's publication until it or a newer one was in force; none: it never was.
    pub fn delay(&self, version: usize, published: Millis) -> Option<Millis> {
        let reached = *self.reached.get(version)?;
        let unreachable = self.unreachable.iter().filter(|(from, to)| *to > published && *from < reached);
        let from = unreachable.map(|(_, to)| *to).fold(published, Millis::max);
        Some(reached.saturating_sub(from))
    }
}
