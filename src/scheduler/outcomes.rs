//! The end of an attempt, and what follows from it for its request, its target and the estimates.

use super::Scheduler;
use super::learning::ResponseSample;
use super::request::{Execution, InFlightKey};
use super::stalled_attempts::STALLED_AFTER_LATER_RESPONSES;
use crate::interface::{Action, AttemptNumber, Micros, Outcome, RequestId, TargetId};

/// The end of an attempt, as [`Event::AttemptEnded`](crate::interface::Event::AttemptEnded) reports it.
pub(super) struct AttemptEnd {
    pub id: RequestId,
    pub attempt: AttemptNumber,
    pub outcome: Outcome,
    /// From the send to the end, in microseconds.
    pub elapsed: Micros,
    /// Whether the request has its final response.
    pub request_over: bool,
}

/// An attempt that has ended, and the capacity that it occupied.
struct EndedAttempt {
    target: TargetId,
    key: InFlightKey,
    units: f64,
    sample: ResponseSample,
}

impl Scheduler {
    /// Handles the end of an attempt: releases its capacity, updates the estimates and the backoff of its
    /// target, and retries or finishes its request.
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

    /// Records whether an attempt may have run. Absent: the attempt is unknown, or had ended before.
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
                time_to_deadline: request.deadline.saturating_sub(attempt.sent_at),
                stalled: attempt.stalled,
            },
        })
    }

    /// Starts the quiet period of a request's key after an attempt that may still run.
    fn start_quiet_period(&mut self, now: Micros, id: RequestId, outcome: Outcome) {
        let may_still_run = matches!(outcome, Outcome::TimedOut | Outcome::Broken | Outcome::Cancelled);
        let Some(request) = self.requests.get(&id).filter(|_| may_still_run) else { return };
        if let (true, Some(key)) = (self.settings.classes[request.class].ordered_by_key, request.key) {
            self.key_order.extend_quiet_period(key, now + self.settings.rules.key_quiet_period);
        }
    }

    /// Records when a target responded, and when the attempt that it responded to was sent.
    fn record_response(&mut self, now: Micros, target: TargetId, sent_at: Micros, outcome: Outcome) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        let is_silent = matches!(
            outcome,
            Outcome::TimedOut | Outcome::Cancelled | Outcome::NotSent | Outcome::ClientAborted
        );
        if !is_silent {
            state.responded_at = now;
        }
        if matches!(outcome, Outcome::Served | Outcome::Error) {
            state.answered_sends.push_back(sent_at);
            let surplus = state.answered_sends.len().saturating_sub(STALLED_AFTER_LATER_RESPONSES);
            state.answered_sends.drain(..surplus);
        }
    }

    /// Handles the start of a transfer: a response has begun, or the rest of a long request is being passed
    /// on. The attempt no longer occupies capacity of its target. If the deadline no longer applies, the
    /// request does not fail at its deadline, and the attempt lasts as long as its client takes.
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
