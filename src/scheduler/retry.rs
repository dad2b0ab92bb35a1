//! The rules of retries: whether a failed request is retried, whether it may run again at a target, how many
//! attempts one request and all requests together may have, and when its client is promised that its own
//! retry does no harm.

use super::request::{Execution, RequestState};
use super::{RESPONSE_MARGIN_MICROS, Scheduler};
use crate::interface::{
    Action, AttemptNumber, DeduplicationScope, Idempotency, Micros, Outcome, RequestId, RetryBudget, TargetId,
};
use std::collections::VecDeque;

/// The recent retries of all requests together, and the arrivals that they are measured against.
///
/// Guards against retries that multiply the load of targets that are already overloaded.
#[derive(Default)]
pub(super) struct RetryBudgetWindow {
    arrivals: VecDeque<Micros>,
    retries: VecDeque<Micros>,
}

impl RetryBudgetWindow {
    /// Records the arrival of a request, whether it is admitted or not.
    pub fn record_arrival(&mut self, now: Micros, budget: &RetryBudget) {
        self.arrivals.push_back(now);
        // In the order of time, so that the cost of an arrival does not grow with their number.
        while self.arrivals.front().is_some_and(|at| at + budget.window <= now) {
            self.arrivals.pop_front();
        }
    }

    /// Counts a retry if the budget allows it: the retries within the window stay at or below the minimum
    /// plus the ratio of the arrivals. A retry stays in the window one microsecond longer than an arrival, so
    /// that the bound holds whichever end of the window is inclusive.
    pub fn try_spend(&mut self, now: Micros, budget: &RetryBudget) -> bool {
        self.retries.retain(|at| at + budget.window >= now);
        let expired = self.arrivals.partition_point(|at| at + budget.window <= now);
        let arrivals = (self.arrivals.len() - expired) as f64;
        let allowed = self.retries.len() as f64 + 1.0 <= budget.minimum + budget.ratio * arrivals;
        if allowed {
            self.retries.push_back(now);
        }
        allowed
    }
}

impl Scheduler {
    /// Handles an attempt that was not served: queues the request for a retry, or gives it its final
    /// response. The request is retried unless it has no attempts or no time left, its client will not send
    /// the rest of its body, or it may not run again at the target that failed. Nothing is done if it has its
    /// final response, if its response is being passed to its client, or if it is already queued.
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
        let no_time_left = outcome.is_late() || self.is_out_of_time(now, request);
        let no_body = outcome == Outcome::ClientAborted;
        if no_time_left
            || no_body
            || !self.has_attempts_left(request)
            || !self.may_run_again(now, request, target)
        {
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
    /// request may; a non-idempotent one only if no attempt may have run; a keyed one only while the
    /// deduplication window of each such attempt lasts, at a target within its deduplication scope.
    ///
    /// Guards against a request that takes effect twice.
    pub(super) fn may_run_again(&self, now: Micros, request: &RequestState, target: TargetId) -> bool {
        match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => !request.may_have_executed(),
            Idempotency::KeyedWithin { scope, window } => {
                let mut unknown_executions =
                    request.attempts.iter().filter(|a| a.execution == Execution::Unknown);
                unknown_executions.all(|attempt| {
                    // The retry has to arrive within the deduplication window.
                    self.deduplicates(scope, attempt.target, target)
                        && now + RESPONSE_MARGIN_MICROS < attempt.sent_at + window
                })
            }
        }
    }

    /// Whether an attempt is given up for a retry if its response begins and then stalls. A stall does not
    /// tell a target that hangs from one that is slow, so only the first attempt is given up, and only if the
    /// class permits the retry: a later one has the time that is left.
    ///
    /// Guards against cutting off every response of a slow target.
    pub fn gives_up_stalled_response(&self, id: RequestId, attempt: AttemptNumber) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(state) = request.attempt(attempt) else { return false };
        let may_repeat = match self.settings.classes[request.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::KeyedWithin { scope, .. } => self.deduplicates(scope, state.target, state.target),
        };
        attempt == AttemptNumber(0) && may_repeat && self.has_attempts_left(request)
    }

    /// Whether `target` drops a repeat of a request that ran at `ran_at`. An unknown target is in no common
    /// zone or shard.
    fn deduplicates(&self, scope: DeduplicationScope, ran_at: TargetId, target: TargetId) -> bool {
        match (scope, self.targets.get(&ran_at), self.targets.get(&target)) {
            (DeduplicationScope::All, _, _) => true,
            (DeduplicationScope::Zone, Some(ran_at), Some(target)) => ran_at.zone == target.zone,
            (DeduplicationScope::Shard, Some(ran_at), Some(target)) => ran_at.shard == target.shard,
            _ => false,
        }
    }

    /// Whether the retry budget of all requests allows one more retry now; if so, the retry is counted.
    pub(super) fn spend_retry_budget(&mut self, now: Micros) -> bool {
        match &self.settings.rules.retry_budget {
            Some(budget) => self.retry_budget.try_spend(now, budget),
            None => true,
        }
    }

    /// Whether the client can be promised that its own retry does no harm at any target: no attempt has run
    /// or can still run, or a second execution has no effect anywhere.
    pub(super) fn client_may_retry(&self, request: &RequestState) -> bool {
        request.is_proven_not_executed()
            || match self.settings.classes[request.class].idempotency {
                Idempotency::Idempotent => true,
                Idempotency::KeyedWithin { scope, .. } => scope == DeduplicationScope::All,
                Idempotency::NonIdempotent => false,
            }
    }
}
