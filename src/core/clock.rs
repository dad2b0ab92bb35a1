//! The clock that the scheduler's times refer to.

use crate::interface::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Monotonic microseconds that start at the Unix time of the process start. They are comparable with the Unix
/// times in endpoint lists, and steps of the system clock do not affect them.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
    base: Micros,
}

impl Clock {
    /// A clock that starts now at the current Unix time.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or(Duration::ZERO);
        Clock { start: Instant::now(), base: micros(unix) }
    }

    /// A clock that starts now at `now`, a time of another process's clock.
    pub fn starting_at(now: Micros) -> Clock {
        Clock { start: Instant::now(), base: now }
    }

    /// The current time.
    pub fn now(&self) -> Micros {
        self.at(Instant::now())
    }

    /// The time of an instant. An instant before the clock's start maps to the start.
    pub fn at(&self, instant: Instant) -> Micros {
        self.base + micros(instant.saturating_duration_since(self.start))
    }

    /// The instant of a time. A time before the clock's start maps to the start.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros(at.saturating_sub(self.base))
    }
}

/// The duration in whole microseconds, saturating at [`u64::MAX`].
pub fn micros(duration: Duration) -> Micros {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
