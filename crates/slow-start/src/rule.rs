//! The slow-start rule that all initiators share.

use crate::Micros;

/// The fraction of the load that a warming target accepts that the paced reserves leave unused: for random
/// variation, for the even parts beside them, and for targets weaker than the reserves assume. A fifth keeps
/// fleets below overload; docs/design/slow-start.md has the calculation and the figures.
const RESERVE_HEADROOM_FRACTION: f64 = 0.2;

/// Lower bound on the initial capacity: zero in the settings would make every span infinite.
const MIN_INITIAL_CAPACITY: f64 = 0.01;

/// When a target counts as warming up, and what load it accepts until it is warm.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartRule {
    /// Fraction of its capacity that a target has at its start, at least.
    pub initial_capacity: f64,
    /// Time from a target's start until it has its full capacity, at most.
    pub duration: Micros,
    /// Units that a target always accepts in its first window, from all initiators together.
    pub initial_units: f64,
    /// The window over which load is measured.
    pub overload_window: Micros,
    /// A target is overloaded when its load exceeds its capacity over a window by this factor.
    pub overload_multiple: f64,
    /// Number of initiators that share the rule.
    pub initiators: u32,
}

impl SlowStartRule {
    /// [`SlowStartRule::initial_capacity`], clamped to values that can be calculated with.
    pub(crate) fn clamped_initial_capacity(&self) -> f64 {
        self.initial_capacity.clamp(MIN_INITIAL_CAPACITY, 1.0)
    }

    /// The smallest fraction of its capacity that a target can have at a time. Targets warm up linearly,
    /// within [`SlowStartRule::duration`].
    pub(crate) fn min_capacity(&self, started: Micros, at: Micros) -> f64 {
        let warmed = at.saturating_sub(started) as f64 / self.duration.max(1) as f64;
        self.clamped_initial_capacity() + (1.0 - self.clamped_initial_capacity()) * warmed.min(1.0)
    }

    /// Whether a target that started at `started` is still warming up.
    pub fn is_warming_up(&self, started: Micros, now: Micros) -> bool {
        now < started.saturating_add(self.duration)
    }

    /// The fraction of their rate at which reserves may be sent to a target. It is above 1 once the target
    /// accepts more than its full capacity.
    pub fn reserve_fraction(&self, started: Micros, now: Micros) -> f64 {
        let window_begin = now.saturating_sub(self.overload_window);
        self.overload_multiple * self.min_capacity(started, window_begin) * (1.0 - RESERVE_HEADROOM_FRACTION)
    }
}
