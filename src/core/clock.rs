//! The one clock that the scheduler sees.

use crate::interface::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Monotonic microseconds that begin at the Unix time of the program's start, so that what lists report in
/// Unix time compares with them, and a step of the system's clock does not move them.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    base: Micros,
}

impl Clock {
    /// A clock that starts now, at the system's wall clock.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { start: Instant::now(), base: micros(unix) }
    }

    /// A clock that starts now, at this time: another process's.
    pub fn starting_at(now: Micros) -> Clock {
        Clock { start: Instant::now(), base: now }
    }

    /// The time now.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// The time of an instant; that of the start for any instant before it.
    pub fn at(&self, instant: Instant) -> Micros {
        self.base + micros(instant.saturating_duration_since(self.start))
    }

    /// The instant of a time; the program's start for any time before it.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.base))
    }
}

/// Whole microseconds, at most [`u64::MAX`].
pub fn micros(span: Duration) -> Micros {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
