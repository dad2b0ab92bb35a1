//! How long a target that fails gets nothing.

use super::Scheduler;
use crate::interface::{Micros, Outcome, TargetId};

// How the two spans were found is not recorded (docs/design/open-questions.md).

/// The backoff after a first failure: short, since one full queue or broken connection is soon over.
const INITIAL_BACKOFF_MICROS: Micros = 20_000;
/// The longest backoff: a target that is back must be found again within the deadline of a usual request.
const MAX_BACKOFF_MICROS: Micros = 640_000;
/// Doublings that are counted at most, so that the shift cannot overflow; the bound above is reached sooner.
const MAX_DOUBLINGS: u32 = 16;

impl Scheduler {
    /// After an attempt that found the target's queue full, or no target at all, nothing is sent there for a
    /// pause that doubles with each consecutive failure. A served request ends it.
    ///
    /// Guards against requests that spend all their attempts on a target that cannot take them.
    pub(super) fn update_backoff(&mut self, now: Micros, target: TargetId, outcome: Outcome) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        if outcome == Outcome::Served {
            state.consecutive_failures = 0;
            return;
        }
        let is_failure = matches!(outcome, Outcome::QueueFull | Outcome::Unreachable);
        // Several attempts that were sent together and failed together count once.
        if is_failure && now >= state.backoff_until {
            let doublings = state.consecutive_failures.min(MAX_DOUBLINGS);
            state.backoff_until = now + (INITIAL_BACKOFF_MICROS << doublings).min(MAX_BACKOFF_MICROS);
            state.consecutive_failures += 1;
        }
    }
}
