//! The final response of a request, and the removal of the request.

use super::Scheduler;
use super::request::RequestState;
use crate::interface::{Action, AttemptNumber, Micros, RequestId};

/// The shortest Retry-After time of a rejected request. With 5 or 60 ms, or always the longest time, the
/// results were no better (docs/results.md, "Tried and taken back").
const MIN_RETRY_AFTER_MICROS: Micros = 20_000;

impl Scheduler {
    /// Gives a request a final response of this initiator's own: a rejection if the client may retry without
    /// harm, else a failure. Every request whose class is known gets such a response only here.
    pub(super) fn reject_or_fail(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.finished) else { return };
        actions.push(if self.client_may_retry(request) {
            Action::Reject { id, retry_after: self.retry_after(now, request) }
        } else {
            Action::Fail { id }
        });
        self.finish(now, id);
    }

    /// The Retry-After time of a rejected request, in microseconds: until its volume's limit has its units,
    /// its target is out of backoff, slow start admits the request there, and it is predicted to meet the
    /// objective; within the bound of the settings.
    fn retry_after(&self, now: Micros, request: &RequestState) -> Micros {
        let until_quota = self.quota_shortfall(now, request).map_or(0, |shortfall| shortfall.fills_in);
        let until_target = self.time_until_target(now, request).unwrap_or(Micros::MAX);
        until_quota.max(until_target).max(MIN_RETRY_AFTER_MICROS).min(self.settings.max_retry_after)
    }

    /// The time for which the request's target stays in backoff, slow start does not admit the request, or
    /// the target is predicted late for it. Absent: the request has no target.
    fn time_until_target(&self, now: Micros, request: &RequestState) -> Option<Micros> {
        let shard = request.shard?;
        let target = self.serving_target(shard, request.target_set)?;
        let state = &self.targets[&target];
        let queued_units = self.queued_units(shard);
        let units = state.units_in_flight + queued_units + request.units;
        let predicted = self.predicted_time(now, target, request.class, units);
        let late_by = predicted.saturating_sub(self.settings.classes[request.class].latency_objective);
        let admits_at = state.backoff_until.max(self.slow_start_admits_at(now, target, request, 0.0));
        Some(late_by.max(admits_at.saturating_sub(now)))
    }

    /// Handles a client that no longer waits for its request. Where targets can drop cancelled attempts, the
    /// attempts in flight are cancelled.
    pub(super) fn client_gone(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        if self.settings.may_cancel
            && let Some(request) = self.requests.get(&id)
        {
            let in_flight = request.attempts.iter().enumerate().filter(|(_, attempt)| attempt.is_in_flight());
            actions.extend(
                in_flight
                    .map(|(number, _)| Action::CancelAttempt { id, attempt: AttemptNumber(number as u32) }),
            );
        }
        self.finish(now, id);
    }

    /// Marks a request as finished, because it has its final response or needs none: the request leaves its
    /// queue, and is removed once no attempt is in flight.
    pub(super) fn finish(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.finished = true;
        self.deadlines.remove(&(request.deadline, id));
        if request.queued {
            request.queued = false;
            if let Some(shard) = request.shard {
                self.queues.remove(shard, id);
            }
        }
        self.queues.remove_unplaced(id);
        self.remove_if_settled(now, id);
    }

    /// Removes a finished request without an attempt in flight. The units of its volume's limit are spent if
    /// an attempt may have run, and are released otherwise.
    pub(super) fn remove_if_settled(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get(&id) else { return };
        if !request.finished || request.has_attempt_in_flight() {
            return;
        }
        if let Some(key) = request.key {
            self.key_order.remove(key, id);
        }
        if request.may_have_executed() {
            self.commit_quota(now, id);
        } else {
            self.release_quota(now, id);
        }
        self.requests.remove(&id);
    }
}
