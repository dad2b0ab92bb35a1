//! What follows from the end of an attempt.

use super::Scheduler;
use super::learning::ResponseSample;
use super::request::{Execution, InFlightKey};
use super::stalled_attempts::STALLED_AFTER_LATER_RESPONSES;
use crate::interface::{Action, AttemptNumber, Micros, Outcome, RequestId, TargetId};

/// How an attempt ended.
pub(super) struct AttemptEnd {
    pub id: RequestId,
    pub attempt: AttemptNumber,
    pub outcome: Outcome,
    /// From the send to the end.
    pub elapsed: Micros,
    /// The request has its final response.
    pub request_over: bool,
}

/// An attempt that has ended, with what it took up.
struct EndedAttempt {
    target: TargetId,
    key: InFlightKey,
    units: f64,
    sample: ResponseSample,
}

impl Scheduler {
    /// An attempt has ended: its target has its capacity back, its time is learned from, and its request is
    /// retried or finished.
    pub(super) fn attempt_ended(&mut self, now: Micros, end: AttemptEnd, actions: &mut Vec<Action>) {
        let AttemptEnd { id, outcome, .. } = end;
        let Some(ended) = self.record_execution(&end) else { return };
        let target = ended.target;
        self.start_quiet_period(now, id, outcome);
        if matches!(outcome, Outcome::NotSent | Outcome::Unreachable) {
            self.release_slow_start(target, id);
        } else {
            self.commit_slow_start(now, target, id);
        }
        if self.targets.contains(&target) {
            self.targets.remove_in_flight(target, ended.key, ended.units);
            self.record_response(now, target, ended.key.sent_at, outcome);
            self.learn(now, target, outcome, ended.sample);
            self.update_backoff(now, target, outcome);
        }
        let shard = self.requests.get(&id).and_then(|request| request.shard);
        if end.request_over || outcome == Outcome::Served {
            self.finish(now, id);
        } else {
            self.retry_or_finish(now, id, target, outcome, actions);
        }
        self.remove_if_settled(now, id);
        if let Some(shard) = shard {
            self.dispatch_ready(now, shard, actions);
        }
    }

    /// Notes whether an attempt may have run. Absent: it is not known, or has ended before.
    fn record_execution(&mut self, end: &AttemptEnd) -> Option<EndedAttempt> {
        let request = self.requests.get_mut(&end.id)?;
        let attempt = request.attempts.get_mut(end.attempt.0 as usize)?;
        if !attempt.is_in_flight() {
            return None;
        }
        let not_executed = end.outcome.proves_not_executed();
        attempt.execution = if not_executed { Execution::NotExecuted } else { Execution::Unknown };
        Some(EndedAttempt {
            target: attempt.target,
            key: InFlightKey { sent_at: attempt.sent_at, request: end.id, attempt: end.attempt },
            units: request.units,
            sample: ResponseSample {
                class: request.class,
                units: request.units,
                elapsed: end.elapsed,
                predicted_micros: attempt.predicted_micros,
                client_would_wait: request.deadline.saturating_sub(attempt.sent_at),
                stalled: attempt.stalled,
            },
        })
    }

    /// After an attempt that may still run, no other request of its key is sent for the quiet period.
    fn start_quiet_period(&mut self, now: Micros, id: RequestId, outcome: Outcome) {
        let may_run_on = matches!(outcome, Outcome::TimedOut | Outcome::Broken | Outcome::Cancelled);
        let Some(request) = self.requests.get(&id).filter(|_| may_run_on) else { return };
        if let (true, Some(key)) = (self.settings.classes[request.class].ordered_by_key, request.key) {
            self.key_order.keep_quiet_until(key, now + self.settings.rules.key_quiet_period);
        }
    }

    /// Notes when a target responded, and to which of its attempts.
    fn record_response(&mut self, now: Micros, target: TargetId, sent_at: Micros, outcome: Outcome) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        if !matches!(outcome, Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent) {
            state.responded_at = now;
        }
        if matches!(outcome, Outcome::Served | Outcome::Error) {
            state.answered_sends.push_back(sent_at);
            let surplus = state.answered_sends.len().saturating_sub(STALLED_AFTER_LATER_RESPONSES);
            state.answered_sends.drain(..surplus);
        }
    }

    /// A response has begun, or the rest of a long request is being passed on: the attempt takes up no
    /// capacity of its target any more. If the deadline does not apply any more, the request is not failed at
    /// it, and the attempt lasts as long as its client takes.
    pub(super) fn transfer_started(&mut self, id: RequestId, attempt: AttemptNumber, deadline_applies: bool) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if !deadline_applies {
            self.deadlines.remove(&(request.deadline, id));
            request.deadline_lifted = true;
        }
        if let Some(started) = request.attempt(attempt) {
            let key = InFlightKey { sent_at: started.sent_at, request: id, attempt };
            self.targets.remove_in_flight(started.target, key, request.units);
        }
    }
}
