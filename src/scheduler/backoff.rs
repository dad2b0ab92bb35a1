//! Backoff of failing targets.

use super::Scheduler;
use crate::interface::{Micros, Outcome, TargetId};

/// The backoff after the first failure: short, since a single full queue or broken connection soon clears.
const INITIAL_BACKOFF_MICROS: Micros = 20_000;
/// The longest backoff: a target that has recovered must be tried again within the deadline of a typical
/// request.
const MAX_BACKOFF_MICROS: Micros = 640_000;
/// The largest number of doublings, so that the shift cannot overflow; [`MAX_BACKOFF_MICROS`] is reached
/// sooner.
const MAX_DOUBLINGS: u32 = 16;

impl Scheduler {
    /// Updates a target's backoff at the end of an attempt. After an attempt that found the target's queue
    /// full, or could not connect, nothing is sent to the target for a pause that doubles with each
    /// consecutive failure. A served request resets the count of failures.
    ///
    /// Guards against requests that spend all their attempts on a target that cannot take them.
    pub(super) fn update_backoff(&mut self, now: Micros, target: TargetId, outcome: Outcome) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        if outcome == Outcome::Served {
            state.consecutive_failures = 0;
            return;
        }
        let is_failure = matches!(outcome, Outcome::QueueFull | Outcome::Unreachable);
        // Attempts that were sent together and failed together count as one failure.
        if is_failure && now >= state.backoff_until {
            let doublings = state.consecutive_failures.min(MAX_DOUBLINGS);
            state.backoff_until = now + (INITIAL_BACKOFF_MICROS << doublings).min(MAX_BACKOFF_MICROS);
            state.consecutive_failures += 1;
        }
    }
}
