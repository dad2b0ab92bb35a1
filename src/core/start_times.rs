//! When targets started, on the core's clock.
//!
//! Endpoint lists report starts in Unix time, and the core's clock begins with the system's wall clock at the
//! start of the process and is monotonic from then on. If that wall clock was wrong just then, every start
//! looks far past or far in the future: a target that has just started would get its full load at once, or
//! next to none for an hour.

use crate::interface::Micros;

/// A start that is reported as new and lies further back than this cannot be true: the wall clock was ahead.
const MAX_PLAUSIBLE_AGE: Micros = 600_000_000;

/// What is known of the error of this process's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartTimes {
    /// How far the clock is ahead of the list's, as far as starts have shown.
    ahead: Micros,
}

impl StartTimes {
    /// A listed target reports another start than before: it has started again since then, a short while ago.
    /// True: that shows that the clock is ahead.
    pub fn learn_from_restart(&mut self, now: Micros, reported: Micros) -> bool {
        let age = now.saturating_sub(reported.saturating_add(self.ahead));
        if age < MAX_PLAUSIBLE_AGE {
            return false;
        }
        self.ahead = self.ahead.saturating_add(age);
        true
    }

    /// A reported start on the core's clock. It never lies in the future: a clock that is behind makes it
    /// just now.
    pub fn on_clock(&self, now: Micros, reported: Micros) -> Micros {
        reported.saturating_add(self.ahead).min(now)
    }
}
