//! The one clock that the module sees.

use crate::interface::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Monotonic microseconds that begin at the Unix time of the program's start, so that what the list tells in
/// Unix time compares with them, and a step of the system's clock does not move them.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    base: Micros,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { start: Instant::now(), base: micros(unix) }
    }

    /// A clock that tells this time now: another process's.
    pub fn at_present(now: Micros) -> Clock {
        Clock { start: Instant::now(), base: now }
    }

    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    pub fn at(&self, instant: Instant) -> Micros {
        self.base + micros(instant.saturating_duration_since(self.start))
    }

    /// The instant of a time; the program's start for any time before it.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.base))
    }
}

pub fn micros(span: Duration) -> Micros {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
