//! The start times of targets, converted to the core's clock.
//!
//! Endpoint lists report start times in Unix time. The core's clock is set from the system's wall clock at
//! the start of the process and is monotonic from then on. If the wall clock was wrong at that moment, every
//! start time appears to lie far in the past or in the future: a target that has just started would receive
//! its full load at once, or almost none for an hour.

use crate::interface::Micros;

/// In microseconds. A newly reported start that is older than this is implausible: the wall clock was ahead
/// when this process started.
const MAX_PLAUSIBLE_AGE: Micros = 600_000_000;

/// The known error of this process's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StartTimes {
    /// How far this process's clock is ahead of the list's, as far as restarts have shown.
    clock_lead: Micros,
}

impl StartTimes {
    /// Records that a listed target reports another start time than before, which means that it restarted a
    /// short while ago. Returns true if that shows that this process's clock is ahead.
    pub fn learn_from_restart(&mut self, now: Micros, reported: Micros) -> bool {
        let age = now.saturating_sub(reported.saturating_add(self.clock_lead));
        if age < MAX_PLAUSIBLE_AGE {
            return false;
        }
        self.clock_lead = self.clock_lead.saturating_add(age);
        true
    }

    /// Converts a reported start time to the core's clock. The result is never in the future: if the clock is
    /// behind, it is `now`.
    pub fn on_clock(&self, now: Micros, reported: Micros) -> Micros {
        reported.saturating_add(self.clock_lead).min(now)
    }
}
