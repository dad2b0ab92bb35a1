//! When a queued request is sent to its target. Every send passes the rules of [`Scheduler::dispatch`].

use super::Scheduler;
use super::concurrency_limit::DispatchPriority;
use super::request::{AttemptState, Execution, InFlightKey, RequestState};
use crate::interface::{Action, AttemptNumber, Micros, RequestId, ShardId, TargetId};

/// Which requests of a queue a pass dispatches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QueuePass {
    /// Those that can meet their objective.
    InTime,
    /// Those that have missed it.
    Late,
}

/// Whether a queued request may be dispatched in a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Dispatchability {
    Ready,
    /// Not now; requests behind it may be.
    NotNow,
    /// Its target takes nothing now.
    TargetBlocked,
}

impl Scheduler {
    /// Dispatches what a shard's target can take now, in the queue's order. Requests that have missed their
    /// objective go when none that can still meet it is ready: they earn little, and would be first in the
    /// order. This guards against the backlog after a target's pause; it costs where a late response earns as
    /// much as one in time.
    pub(super) fn dispatch_ready(&mut self, now: Micros, shard: ShardId, actions: &mut Vec<Action>) {
        let Some(shard_target) = self.serving_target(shard, None) else { return };
        for pass in [QueuePass::InTime, QueuePass::Late] {
            let target_blocked = self.dispatch_pass(now, shard, shard_target, pass, actions);
            if target_blocked {
                return;
            }
        }
    }

    /// Dispatches the requests of one pass, and returns whether the shard's target takes nothing any more. A
    /// request with a target set may have another target than its shard's; it does not block those behind it.
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
        let is_low = pass == QueuePass::Late || self.objectives.is_background(request.class);
        let priority = if is_low { DispatchPriority::Low } else { DispatchPriority::Normal };
        let is_late = request.objective_at < now;
        let is_in_pass = is_late == (pass == QueuePass::Late);
        if is_low && !is_in_pass {
            return Dispatchability::NotNow;
        }
        match (self.is_full(now, target, request.units, priority), priority) {
            (true, DispatchPriority::Normal) => Dispatchability::TargetBlocked,
            (false, _) if is_in_pass => Dispatchability::Ready,
            _ => Dispatchability::NotNow,
        }
    }

    /// Sends a request to a target if all rules on sends allow it now, and returns whether it was sent:
    ///
    /// 1. one attempt of a request at a time, and no more than the settings allow (retry.rs),
    /// 2. what must still hold when the connection is up ([`Scheduler::may_send`]),
    /// 3. slow start (slow_start.rs),
    /// 4. the order of requests of one key (key_order.rs),
    /// 5. for a retry, the budget of all retries (retry.rs),
    /// 6. for a first attempt, the volume's limit (quota.rs), which counts each request once.
    ///
    /// The order is fixed: the retry budget is spent by asking for it, so it comes after all rules that could
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

    /// Whether it is a request's turn among those of its key; see [`super::key_order::KeyOrder`].
    fn key_allows(&self, now: Micros, id: RequestId, request: &RequestState) -> bool {
        match request.key {
            Some(key) if self.settings.classes[request.class].ordered_by_key => {
                self.key_order.allows(now, key, id, !request.attempts.is_empty())
            }
            _ => true,
        }
    }

    /// The rules on sends that time and endpoint updates can turn against an attempt while its connection
    /// comes up: the request has neither a final response nor run out of time, what may have run is sent
    /// again only as its class allows, and the target is active and in the request's target set.
    ///
    /// Guards against sends to a target that drains or is removed: nothing new starts there, and a queued
    /// request waits for another target of its shard until it is given up.
    fn may_send(&self, now: Micros, request: &RequestState, target: TargetId) -> bool {
        !request.finished
            && !self.is_out_of_time(now, request)
            && self.may_run_again(now, request, target)
            && self.targets.is_active(target)
            && self.target_sets.allows(request.target_set, target)
    }

    /// Whether an attempt may begin now that its connection is up, asked before its first byte. It may not
    /// where the target has been started anew since the attempt was sent: what slow start admitted is void.
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

    /// A request's first byte has gone to its target: what the request reserved there, and of its volume's
    /// limit, is spent from now on. Without an attempt in flight only the limit's units are.
    pub fn commit_reserved(&mut self, now: Micros, id: RequestId) {
        let attempt = self.requests.get(&id).and_then(|request| request.attempts.last());
        if let Some(attempt) = attempt.filter(|attempt| attempt.is_in_flight()) {
            self.commit_slow_start(now, attempt.target, id);
        }
        self.commit_quota(now, id);
    }
}
