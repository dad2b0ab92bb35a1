//! Detection and cancellation of stalled attempts: their response does not arrive although their target
//! answers other attempts, or they have waited too long as the only attempt at their target.

use super::Scheduler;
use super::estimates::confidence;
use super::request::{AttemptState, InFlightKey};
use super::target::Target;
use crate::interface::{Action, Micros};

/// An attempt is overtaken once this many attempts that were sent later have been answered: one or two of
/// them may just have been smaller.
pub(super) const STALLED_AFTER_LATER_RESPONSES: usize = 4;
/// An overtaken attempt is stalled once it has waited for this multiple of its expected time. The multiple is
/// too small where the work of requests varies by as much.
const STALLED_TIME_MULTIPLE: f64 = 4.0;
/// An attempt that is alone at its target is stalled only after this many times as long a wait, since no
/// other response shows that the target is healthy.
const LONE_ATTEMPT_TIME_MULTIPLE: f64 = 2.0;
/// An attempt that is alone at its target also has to wait for at least this fraction of the tightest
/// objective, and longer if the target has not responded lately: the latencies of other targets say little
/// about a target that may just be slow. Attempts that were cancelled sooner still ran at their targets, and
/// their retries ran as well.
const LONE_ATTEMPT_OBJECTIVE_FRACTION: f64 = 0.5;

impl Scheduler {
    /// Cancels stalled attempts; their requests are then retried as their class permits. Does nothing where
    /// targets cannot cancel.
    ///
    /// Guards against connections that fall silent: their attempts would occupy capacity, and their clients
    /// would wait, until the deadline. docs/results.md compares the multiples, row "silent connections are
    /// called off".
    pub(super) fn cancel_stalled_attempts(&mut self, now: Micros, actions: &mut Vec<Action>) {
        if !self.settings.may_cancel {
            return;
        }
        let busy = self.targets.busy();
        let stalled: Vec<InFlightKey> = busy.flat_map(|(_, target)| self.stalled_at(now, target)).collect();
        for InFlightKey { request: id, attempt, .. } in stalled {
            self.requests.entry(id).and_modify(|request| request.attempts[attempt.0 as usize].stalled = true);
            actions.push(Action::CancelAttempt { id, attempt });
        }
    }

    /// The stalled attempts at a target, without those that were cancelled before.
    fn stalled_at<'a>(&'a self, now: Micros, target: &'a Target) -> impl Iterator<Item = InFlightKey> + 'a {
        let latency = self.estimate(now, target).latency_micros;
        let confidence = confidence(now, target.estimate.last_response_at);
        let lone_wait = LONE_ATTEMPT_OBJECTIVE_FRACTION * self.objectives.tightest as f64 / confidence;
        target.in_flight.iter().copied().filter(move |key| {
            let request = self.requests.get(&key.request);
            let Some(attempt) = request.and_then(|request| request.attempt(key.attempt)) else {
                return false;
            };
            !attempt.stalled && is_stalled(now, target, attempt, latency, lone_wait)
        })
    }
}

/// Whether an attempt in flight at a target is stalled. `latency` is the estimated latency of the target,
/// `lone_wait` the shortest wait of an attempt that is alone there; both in microseconds.
fn is_stalled(now: Micros, target: &Target, attempt: &AttemptState, latency: f64, lone_wait: f64) -> bool {
    let waited = (now - attempt.sent_at) as f64;
    let expected = STALLED_TIME_MULTIPLE * latency.max(attempt.predicted_micros);
    let later_responses = target.answered_sends.iter().filter(|sent| **sent > attempt.sent_at).count();
    let is_overtaken = later_responses >= STALLED_AFTER_LATER_RESPONSES;
    let is_alone = target.in_flight.len() == 1;
    is_overtaken && waited > expected
        || is_alone && waited > (LONE_ATTEMPT_TIME_MULTIPLE * expected).max(lone_wait)
}
