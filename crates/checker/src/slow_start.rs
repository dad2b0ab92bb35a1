//! The slow-start rule: a limit on the work that all processes together send to a newly started target within
//! a window.

use crate::{AttemptOutcome, Breach, BreachKind, History, Micros, SlowStart, TargetState};

/// Below this many requests, random variation is larger in proportion, and the allowance includes a wider
/// margin for it.
const SMALL_ALLOWANCE: f64 = 30.0;

impl SlowStart {
    /// The most work that a target may be sent in the window that ends at `at`, in requests of usual size,
    /// including a margin for random variation.
    fn allowance(&self, started: Micros, at: Micros) -> f64 {
        let begin = at.saturating_sub(self.window).max(started);
        let warmed = (begin - started) as f64 / self.warm_within.max(1) as f64;
        let capacity = self.initial_capacity + (1.0 - self.initial_capacity) * warmed.min(1.0);
        let allowed = self.requests * capacity / self.initial_capacity;
        let (root_factor, base) = if allowed < SMALL_ALLOWANCE { (3.0, 3.0) } else { (2.0, 2.0) };
        allowed + root_factor * allowed.sqrt() + base
    }
}

/// Returns a breach for the first window after each start of a target in which the target was sent more than
/// its allowance. Attempts are weighted by [`Attempt::units`](crate::Attempt::units).
pub fn check(history: &History, rule: &SlowStart) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for change in &history.changes {
        let TargetState::Active { started: Some(started) } = change.state else { continue };
        let end = started + rule.warm_within;
        let mut attempt_units: Vec<(Micros, f64)> = history
            .attempts
            .iter()
            .filter(|a| a.target == change.target && (started..end).contains(&a.started_at))
            .filter(|a| a.outcome != AttemptOutcome::Incomplete)
            .map(|a| (a.started_at, a.units))
            .collect();
        attempt_units.sort_by_key(|(at, _)| *at);
        breaches.extend(first_excess(&attempt_units, started, rule).map(|at| Breach {
            at,
            kind: BreachKind::SlowStartExceeded,
            request: String::new(),
            process: None,
            target: change.target.clone(),
        }));
    }
    breaches
}

fn first_excess(attempt_units: &[(Micros, f64)], started: Micros, rule: &SlowStart) -> Option<Micros> {
    let mut window_start = 0;
    let mut units_in_window = 0.0;
    for (at, units) in attempt_units {
        units_in_window += units;
        while attempt_units[window_start].0 + rule.window < *at {
            units_in_window -= attempt_units[window_start].1;
            window_start += 1;
        }
        if units_in_window > rule.allowance(started, *at) {
            return Some(*at);
        }
    }
    None
}
