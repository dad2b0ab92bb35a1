//! The request rules: one final response in time, no attempt after the request has ended, and retries only as
//! the request's idempotency permits.

use crate::{
    Attempt, AttemptOutcome, Breach, BreachKind, ClientOutcome, History, Idempotency, Micros, ProcessEnd,
    ProcessId, Request, Rules,
};
use std::collections::HashMap;

const STATUS_OK: u16 = 200;

/// Returns the breaches of every request, except those whose missing response the rules excuse: the process
/// was killed or ran out of descriptors.
pub fn check(history: &History, rules: &Rules) -> Vec<Breach> {
    let mut attempts: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in &history.attempts {
        attempts.entry(&attempt.request).or_default().push(attempt);
    }
    let mut breaches = Vec::new();
    for request in &history.requests {
        if ended_by_kill(request, &history.process_ends, rules)
            || closed_for_descriptors(request, &history.descriptor_exhaustions)
        {
            continue;
        }
        let mut request_attempts = attempts.remove(request.id.as_str()).unwrap_or_default();
        request_attempts.sort_by_key(|attempt| attempt.started_at);
        let checks = RequestCheck { request, attempts: request_attempts, rules, history };
        breaches.extend(checks.check_response());
        breaches.extend(checks.check_attempts_after_end());
        breaches.extend(checks.check_time_left());
        breaches.extend(checks.check_retries());
    }
    breaches
}

/// Whether the rules excuse a missing response because the process was killed. They do not if the request was
/// sent more than `sigterm_grace` after SIGTERM, or if it ended before the kill.
fn ended_by_kill(request: &Request, ends: &[ProcessEnd], rules: &Rules) -> bool {
    let Some(end) = ends.iter().find(|end| end.process == request.process) else { return false };
    let Some(killed_at) = end.killed_at else { return false };
    let unanswered =
        !matches!(request.outcome, ClientOutcome::Answered { .. } | ClientOutcome::Disconnected { .. });
    let response_owed =
        end.terminated_at.is_some_and(|terminated_at| request.sent_at > terminated_at + rules.sigterm_grace);
    unanswered && !response_owed && request.ended_at().is_none_or(|at| at >= killed_at)
}

/// Whether a request was the first on a connection that the initiator closed while idle clients exhausted its
/// file descriptors.
fn closed_for_descriptors(request: &Request, exhaustions: &[(ProcessId, Micros)]) -> bool {
    let closed = matches!(request.outcome, ClientOutcome::Closed { first: true, .. });
    closed
        && exhaustions.iter().any(|(process, since)| *process == request.process && *since <= request.sent_at)
}

/// The checks on one request and its attempts.
struct RequestCheck<'a> {
    request: &'a Request,
    /// Ordered by start time.
    attempts: Vec<&'a Attempt>,
    rules: &'a Rules,
    history: &'a History,
}

impl RequestCheck<'_> {
    fn breach(&self, at: Micros, kind: BreachKind, target: &str) -> Breach {
        Breach {
            at,
            kind,
            request: self.request.id.clone(),
            process: Some(self.request.process),
            target: target.to_string(),
        }
    }

    fn check_response(&self) -> Option<Breach> {
        let request = self.request;
        let latest = request.sent_at + request.wait + self.rules.response_slack;
        let stall_time = |at| self.history.stall_time(request.sent_at, at);
        let served = || self.attempts.iter().any(|attempt| attempt.outcome == AttemptOutcome::Served);
        match request.outcome {
            ClientOutcome::Answered { at, .. } if at > latest + stall_time(at) => {
                Some(self.breach(at, BreachKind::Unanswered, ""))
            }
            ClientOutcome::Answered { at, status: STATUS_OK } if !served() => {
                Some(self.breach(at, BreachKind::FabricatedResponse, ""))
            }
            ClientOutcome::TimedOut { at } if at > latest + stall_time(at) => {
                Some(self.breach(at, BreachKind::Unanswered, ""))
            }
            ClientOutcome::Closed { at, .. } => Some(self.breach(at, BreachKind::ClosedWithoutResponse, "")),
            _ => None,
        }
    }

    fn check_attempts_after_end(&self) -> Vec<Breach> {
        let Some(end) = self.request.ended_at() else { return Vec::new() };
        let allowed =
            |a: &Attempt| end + self.rules.disconnect_slack + self.history.stall_time(end, a.started_at);
        let late = self.attempts.iter().filter(|a| a.started_at > allowed(a));
        late.map(|a| self.breach(a.started_at, BreachKind::AttemptAfterEnd, &a.target)).collect()
    }

    fn check_time_left(&self) -> Vec<Breach> {
        let sent = self.request.sent_at;
        let deadline = sent + self.request.wait;
        let exceeds = |attempt: &&&Attempt| {
            let left = deadline.saturating_sub(attempt.started_at) + self.rules.time_left_slack;
            let left = left + self.history.stall_time(sent, attempt.started_at);
            attempt.time_left.is_some_and(|time_left| time_left > left)
        };
        let too_long = self.attempts.iter().filter(exceeds);
        too_long.map(|a| self.breach(a.started_at, BreachKind::TimeLeftTooLong, &a.target)).collect()
    }

    /// Returns a breach for each attempt that follows one that may have run, where the request's idempotency
    /// forbids a retry.
    fn check_retries(&self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for (index, attempt) in self.attempts.iter().enumerate() {
            for earlier in &self.attempts[..index] {
                let kind = match self.request.idempotency {
                    Idempotency::Idempotent => None,
                    Idempotency::NonIdempotent => non_idempotent_retry_breach(earlier, attempt),
                    Idempotency::KeyedWithin { window } => {
                        keyed_retry_breach(earlier, attempt, window + self.rules.socket_slack)
                    }
                };
                breaches.extend(kind.map(|kind| self.breach(attempt.started_at, kind, &attempt.target)));
            }
        }
        breaches
    }
}

fn may_have_run(attempt: &Attempt) -> bool {
    !matches!(attempt.outcome, AttemptOutcome::Rejected | AttemptOutcome::Incomplete)
}

fn non_idempotent_retry_breach(earlier: &Attempt, attempt: &Attempt) -> Option<BreachKind> {
    let earlier_in_flight = earlier.ended_at.is_none_or(|ended| ended > attempt.started_at);
    match (may_have_run(earlier) && may_have_run(attempt), earlier_in_flight) {
        (true, true) => Some(BreachKind::ConcurrentAttempts),
        (true, false) => Some(BreachKind::ForbiddenRetry),
        _ => None,
    }
}

fn keyed_retry_breach(earlier: &Attempt, attempt: &Attempt, window: Micros) -> Option<BreachKind> {
    let deduplicated = earlier.deduplication_scope == attempt.deduplication_scope
        && attempt.started_at <= earlier.started_at + window;
    (may_have_run(earlier) && may_have_run(attempt) && !deduplicated).then_some(BreachKind::ForbiddenRetry)
}
