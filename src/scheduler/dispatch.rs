//! When a queued request is sent to its target. Every send passes the rules of [`Scheduler::dispatch`].

use super::Scheduler;
use super::concurrency_limit::DispatchPriority;
use super::request::{AttemptState, Execution, InFlightKey, RequestState};
use crate::interface::{Action, AttemptNumber, Micros, RequestId, ShardId, TargetId};

/// The requests of a queue that one dispatch pass sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueuePass {
    /// Requests that can still meet their objective.
    InTime,
    /// Requests that have missed their objective.
    Late,
}

/// Whether a queued request may be dispatched in a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Dispatchability {
    Ready,
    /// This request may not be dispatched now; requests behind it may.
    NotNow,
    /// The target is in backoff or has no capacity, so that requests behind this one are blocked as well.
    TargetBlocked,
}

impl Scheduler {
    /// Dispatches the queued requests of a shard that its target has capacity for, in the queue's order.
    /// Requests that have missed their objective are sent only when no request that can still meet its own is
    /// ready: a late response has little weight, but the earlier virtual deadlines of these requests would
    /// put them first. This guards against the backlog after a pause of the target. It is a loss where a late
    /// response has as much weight as one in time.
    pub(super) fn dispatch_ready(&mut self, now: Micros, shard: ShardId, actions: &mut Vec<Action>) {
        let Some(shard_target) = self.serving_target(shard, None) else { return };
        for pass in [QueuePass::InTime, QueuePass::Late] {
            let target_blocked = self.dispatch_pass(now, shard, shard_target, pass, actions);
            if target_blocked {
                return;
            }
        }
    }

    /// Dispatches the requests of one pass, and returns whether the shard's target is blocked. A request with
    /// a target set may have another target than its shard's; if that one is blocked, the requests behind it
    /// are still considered.
    fn dispatch_pass(
        &mut self,
        now: Micros,
        shard: ShardId,
        shard_target: TargetId,
        pass: QueuePass,
        actions: &mut Vec<Action>,
    ) -> bool {
        let mut position = 0;
        while let Some(&id) = self.queues.requests(shard).get(position) {
            position += 1;
            let request = &self.requests[&id];
            let set = request.target_set;
            let target = if set.is_none() { Some(shard_target) } else { self.serving_target(shard, set) };
            let Some(target) = target else { continue };
            match self.dispatchability(now, request, target, pass) {
                Dispatchability::TargetBlocked if set.is_none() => return true,
                Dispatchability::TargetBlocked | Dispatchability::NotNow => {}
                Dispatchability::Ready => {
                    if self.dispatch(now, id, target, actions) {
                        self.queues.remove(shard, id);
                        position -= 1;
                    }
                }
            }
        }
        false
    }

    /// Whether a request may be dispatched to its target in a pass.
    fn dispatchability(
        &self,
        now: Micros,
        request: &RequestState,
        target: TargetId,
        pass: QueuePass,
    ) -> Dispatchability {
        if self.targets[&target].backoff_until > now {
            return Dispatchability::TargetBlocked;
        }
        let is_low_priority = pass == QueuePass::Late || self.objectives.is_background(request.class);
        let priority = if is_low_priority { DispatchPriority::Low } else { DispatchPriority::Normal };
        let is_late = request.objective_at < now;
        let is_in_pass = is_late == (pass == QueuePass::Late);
        if is_low_priority && !is_in_pass {
            return Dispatchability::NotNow;
        }
        match (self.is_full(now, target, request.units, priority), priority) {
            (true, DispatchPriority::Normal) => Dispatchability::TargetBlocked,
            (false, _) if is_in_pass => Dispatchability::Ready,
            _ => Dispatchability::NotNow,
        }
    }

    /// Sends a request to a target if all dispatch rules allow it now, and returns whether it was sent. The
    /// rules are, in this order:
    ///
    /// 1. a request has one attempt at a time, and no more than the settings allow (retry.rs),
    /// 2. the conditions that must still hold once the connection is up ([`Scheduler::may_send`]),
    /// 3. slow start (slow_start.rs),
    /// 4. the order of requests of one key (key_order.rs),
    /// 5. for a retry, the budget that all retries share (retry.rs),
    /// 6. for a first attempt, the volume's limit (quota.rs), which counts each request once.
    ///
    /// The order is fixed: the check of the retry budget spends it, so it comes after all rules that could
    /// still refuse a retry.
    fn dispatch(&mut self, now: Micros, id: RequestId, target: TargetId, actions: &mut Vec<Action>) -> bool {
        let request = &self.requests[&id];
        let is_retry = !request.attempts.is_empty();
        if request.has_attempt_in_flight()
            || !self.has_attempts_left(request)
            || !self.may_send(now, request, target)
            || self.slow_start_admits_at(now, target, request, 0.0) > now
            || !self.key_allows(now, id, request)
        {
            return false;
        }
        if is_retry && !self.spend_retry_budget(now) {
            return false;
        }
        let request = &self.requests[&id];
        let shortfall = if is_retry { None } else { self.quota_shortfall(now, request) };
        if shortfall.as_ref().is_some_and(|shortfall| shortfall.units > 0.0) {
            return false;
        }
        if shortfall.is_some() {
            self.reserve_quota(now, id);
        }
        if self.is_warming_up(now, target) {
            self.reserve_slow_start(now, target, id);
        }
        self.start_attempt(now, id, target);
        actions.push(Action::StartAttempt { id, target, timeout: None });
        true
    }

    /// Records an attempt that is sent now.
    fn start_attempt(&mut self, now: Micros, id: RequestId, target: TargetId) {
        let Some(request) = self.requests.get(&id) else { return };
        let units = self.targets[&target].units_in_flight + request.units;
        let predicted_micros = self.predicted_micros(now, target, units);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let attempt = AttemptNumber(request.attempts.len() as u32);
        let key = InFlightKey { sent_at: now, request: id, attempt };
        self.targets.add_in_flight(target, key, request.units);
        request.queued = false;
        request.attempts.push(AttemptState {
            target,
            sent_at: now,
            execution: Execution::InFlight,
            stalled: false,
            predicted_micros,
        });
    }

    /// Whether the order of requests with the same key allows a request to be sent; see
    /// [`super::key_order::KeyOrder`].
    fn key_allows(&self, now: Micros, id: RequestId, request: &RequestState) -> bool {
        match request.key {
            Some(key) if self.settings.classes[request.class].ordered_by_key => {
                self.key_order.allows(now, key, id, !request.attempts.is_empty())
            }
            _ => true,
        }
    }

    /// The conditions of a send that the passing of time and endpoint updates can invalidate while the
    /// connection comes up: the request has no final response and has time left, this process does not end
    /// before the response, a request that may have run
    /// is sent again only as its class allows, and the target is active and in the request's target set.
    ///
    /// Guards against sends to a target that drains or is removed: no new attempt starts there, and a queued
    /// request waits for another target of its shard until it expires.
    fn may_send(&self, now: Micros, request: &RequestState, target: TargetId) -> bool {
        !request.finished
            && !self.is_out_of_time(now, request)
            && !self.ends_before_served(now, request, target)
            && self.may_run_again(now, request, target)
            && self.targets.is_active(target)
            && self.target_sets.allows(request.target_set, target)
    }

    /// Whether an attempt may begin, to be checked when its connection is up and before its first byte is
    /// sent. It may not if the target has restarted since the attempt was sent: the slow-start budget that
    /// admitted it is void.
    pub fn may_start(&self, now: Micros, id: RequestId, attempt: AttemptNumber) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(attempt) = request.attempt(attempt) else { return false };
        let target = self.targets.get(&attempt.target);
        let same_start = target.is_some_and(|target| target.notified_at <= attempt.sent_at);
        attempt.is_in_flight()
            && !attempt.stalled
            && same_start
            && self.may_send(now, request, attempt.target)
    }

    /// Commits the units that a request reserved, once its first byte has been sent to its target: they count
    /// as spent from the target's slow-start budget and from the volume's limit. Without an attempt in flight
    /// only the units of the limit are committed.
    pub fn commit_reserved(&mut self, now: Micros, id: RequestId) {
        let attempt = self.requests.get(&id).and_then(|request| request.attempts.last());
        if let Some(attempt) = attempt.filter(|attempt| attempt.is_in_flight()) {
            self.commit_slow_start(now, attempt.target, id);
        }
        self.commit_quota(now, id);
    }
}
