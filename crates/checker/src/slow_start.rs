//! The rule on targets that have just started: what all processes together may send them in a window.

use crate::{AttemptOutcome, Breach, BreachKind, History, Micros, SlowStart, TargetState};

/// Below so many requests chance weighs more, and the allowance has a larger part for it.
const FEW_REQUESTS: f64 = 30.0;

impl SlowStart {
    /// The requests of usual work that a target bears in the window that ends at `at`, with the part for
    /// chance.
    fn allowance(&self, started: Micros, at: Micros) -> f64 {
        let begin = at.saturating_sub(self.window).max(started);
        let warmed = (begin - started) as f64 / self.warm_within.max(1) as f64;
        let capacity = self.initial_capacity + (1.0 - self.initial_capacity) * warmed.min(1.0);
        let allowed = self.requests * capacity / self.initial_capacity;
        let (root_factor, base) = if allowed < FEW_REQUESTS { (3.0, 3.0) } else { (2.0, 2.0) };
        allowed + root_factor * allowed.sqrt() + base
    }
}

/// The first window of each start in which a target was sent too much. `units` of attempts are counted in
/// requests of usual work.
pub fn check(history: &History, rule: &SlowStart) -> Vec<Breach> {
    let mut breaches = Vec::new();
    for change in &history.changes {
        let TargetState::Active { started: Some(started) } = change.state else { continue };
        let end = started + rule.warm_within;
        let mut sends: Vec<(Micros, f64)> = history
            .attempts
            .iter()
            .filter(|a| a.target == change.target && (started..end).contains(&a.started_at))
            .filter(|a| a.outcome != AttemptOutcome::Incomplete)
            .map(|a| (a.started_at, a.units))
            .collect();
        sends.sort_by_key(|(at, _)| *at);
        breaches.extend(first_excess(&sends, started, rule).map(|at| Breach {
            at,
            kind: BreachKind::SlowStartExceeded,
            request: String::new(),
            process: None,
            target: change.target.clone(),
        }));
    }
    breaches
}

fn first_excess(sends: &[(Micros, f64)], started: Micros, rule: &SlowStart) -> Option<Micros> {
    let mut first = 0;
    let mut inside = 0.0;
    for (at, units) in sends {
        inside += units;
        while sends[first].0 + rule.window < *at {
            inside -= sends[first].1;
            first += 1;
        }
        if inside > rule.allowance(started, *at) {
            return Some(*at);
        }
    }
    None
}
