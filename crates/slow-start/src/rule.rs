//! The rule that all initiators keep together.

use crate::Micros;

/// The fraction of what a warming target bears that the paced reserves leave free: for chance, for the even
/// parts beside them, and for targets weaker than the reserves assume. A fifth kept every measured fleet
/// below overload; docs/design/slow-start.md has the sum and the figures.
const RESERVE_HEADROOM_FRACTION: f64 = 0.2;

/// The smallest initial capacity that is reckoned with: a setting of zero would make every span infinite.
const MIN_INITIAL_CAPACITY: f64 = 0.01;

/// When a target counts as warming up, and what it bears until it is warm.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartRule {
    /// The fraction of its capacity that a target has at its start, at least.
    pub initial_capacity: f64,
    /// The time from its start until it has all of its capacity, at most.
    pub duration: Micros,
    /// Units within one window, from all initiators together, that a target always bears.
    pub initial_units: f64,
    /// The window over which load is counted.
    pub overload_window: Micros,
    /// A target is overloaded when it gets more than this multiple of its capacity for a window.
    pub overload_multiple: f64,
    /// How many initiators keep the rule together.
    pub initiators: u32,
}

impl SlowStartRule {
    /// [`SlowStartRule::initial_capacity`], within bounds that can be reckoned with.
    pub(crate) fn clamped_initial_capacity(&self) -> f64 {
        self.initial_capacity.clamp(MIN_INITIAL_CAPACITY, 1.0)
    }

    /// The smallest fraction of its capacity that a target can have at a time, since it warms up evenly and
    /// within [`SlowStartRule::duration`].
    pub(crate) fn min_capacity(&self, started: Micros, at: Micros) -> f64 {
        let warmed = at.saturating_sub(started) as f64 / self.duration.max(1) as f64;
        self.clamped_initial_capacity() + (1.0 - self.clamped_initial_capacity()) * warmed.min(1.0)
    }

    /// Whether a target that started then is still warming up.
    pub fn is_warming_up(&self, started: Micros, now: Micros) -> bool {
        now < started.saturating_add(self.duration)
    }

    /// The fraction of their rate at which reserves may be sent to a target. It passes one once the target
    /// bears more than its capacity.
    pub fn reserve_fraction(&self, started: Micros, now: Micros) -> f64 {
        let window_begin = now.saturating_sub(self.overload_window);
        self.overload_multiple * self.min_capacity(started, window_begin) * (1.0 - RESERVE_HEADROOM_FRACTION)
    }
}
