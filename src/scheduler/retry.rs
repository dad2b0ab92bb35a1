//! Every rule on retries: whether a failed request is retried, whether it may run again at a target, how many
//! attempts it and all requests together may have, and what its client is promised about its own retry.

use super::request::{Execution, RequestState};
use super::{RESPONSE_MARGIN_MICROS, Scheduler};
use crate::interface::{
    Action, DeduplicationScope, Idempotency, Micros, Outcome, RequestId, RetryBudget, TargetId,
};
use std::collections::VecDeque;

/// The attempts beyond each request's first that all requests together have had lately, and the arrivals that
/// they are measured against.
///
/// Guards against retries that multiply the load of targets that are overloaded already.
#[derive(Default)]
pub(super) struct RetryBudgetWindow {
    arrivals: VecDeque<Micros>,
    retries: VecDeque<Micros>,
}

impl RetryBudgetWindow {
    /// A request has arrived, whatever becomes of it.
    pub fn record_arrival(&mut self, now: Micros, budget: &RetryBudget) {
        self.arrivals.push_back(now);
        self.arrivals.retain(|at| at + budget.window > now);
    }

    /// Counts a retry if the window allows it: the retries within it stay at or below the minimum plus the
    /// ratio of the arrivals. A retry counts one microsecond longer than an arrival, so that the bound holds
    /// whichever end of the window is counted as inside.
    pub fn try_spend(&mut self, now: Micros, budget: &RetryBudget) -> bool {
        self.retries.retain(|at| at + budget.window >= now);
        let arrivals = self.arrivals.iter().filter(|at| **at + budget.window > now).count() as f64;
        let allowed = self.retries.len() as f64 + 1.0 <= budget.minimum + budget.ratio * arrivals;
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }
}

impl Scheduler {
    /// After an attempt that was not served: the request is queued for a retry, or gets its final response.
    /// It is retried unless its attempts or its time are used up, or it may not run again at the target that
    /// failed. Once the response passes to its client, or while it waits in a queue, nothing is to be done.
    pub(super) fn retry_or_finish(
        &mut self,
        now: Micros,
        id: RequestId,
        target: TargetId,
        outcome: Outcome,
        actions: &mut Vec<Action>,
    ) {
        let request = &self.requests[&id];
        if request.finished || request.deadline_lifted || request.queued {
            return;
        }
        let is_over = outcome.is_late() || self.is_out_of_time(now, request);
        if is_over || !self.has_attempts_left(request) || !self.may_run_again(now, request, target) {
            self.reject_or_fail(now, id, actions);
        } else {
            self.enqueue(now, id);
        }
    }

    /// Whether the request's deadline leaves no time for another attempt and its response.
    pub(super) fn is_out_of_time(&self, now: Micros, request: &RequestState) -> bool {
        now + RESPONSE_MARGIN_MICROS >= request.deadline
    }

    /// Whether the request has had fewer attempts than the settings allow one request.
    pub(super) fn has_attempts_left(&self, request: &RequestState) -> bool {
        (request.attempts.len() as u32) < self.settings.rules.max_attempts
    }

    /// Whether the request may run at a target, given that its earlier attempts may have run. An idempotent
    /// one may; a non-idempotent one only if none may have run; a keyed one only while the deduplication
    /// window of each such attempt lasts, at a target within its deduplication scope.
    ///
    /// Guards against a request that takes effect twice.
    pub(super) fn may_run_again(&self, now: Micros, request: &RequestState, target: TargetId) -> bool {
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => !request.may_have_executed(),
            Idempotency::KeyedWithin { scope, window } => {
                let mut unknown = request.attempts.iter().filter(|a| a.execution == Execution::Unknown);
                unknown.all(|attempt| {
                    // The retry has to arrive within the window.
                    self.deduplicates(scope, attempt.target, target)
                        && now + RESPONSE_MARGIN_MICROS < attempt.sent_at + window
                })
            }
        }
    }

    /// Whether one target drops what another has run. Targets that are not known have no scope in common.
    fn deduplicates(&self, scope: DeduplicationScope, ran_at: TargetId, target: TargetId) -> bool {
        match (scope, self.targets.get(&ran_at), self.targets.get(&target)) {
            (DeduplicationScope::All, _, _) => true,
            (DeduplicationScope::Zone, Some(ran_at), Some(target)) => ran_at.zone == target.zone,
            (DeduplicationScope::Shard, Some(ran_at), Some(target)) => ran_at.shard == target.shard,
            _ => false,
        }
    }

    /// Whether all requests together may have one more retry now; if so, it is counted.
    pub(super) fn spend_retry_budget(&mut self, now: Micros) -> bool {
        match &self.settings.rules.retry_budget {
            Some(budget) => self.retry_budget.try_spend(now, budget),
            None => true,
        }
    }

    /// Whether the client can be promised that its own retry does no harm, wherever it goes: no attempt has
    /// run or can still run, or a second run has no effect anywhere.
    pub(super) fn client_may_retry(&self, request: &RequestState) -> bool {
        request.is_proven_not_executed()
            || match self.settings.classes[request.class].idempotency {
                Idempotency::Idempotent => true,
                Idempotency::KeyedWithin { scope, .. } => scope == DeduplicationScope::All,
                Idempotency::NonIdempotent => false,
            }
    }
}
