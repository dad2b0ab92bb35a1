//! The rules on requests: one final answer in time, nothing after the end, and repeats as the class permits.

use crate::{
    Attempt, AttemptOutcome, Breach, BreachKind, ClientOutcome, History, Idempotency, Micros, ProcessEnd,
    ProcessId, Request, Rules,
};
use std::collections::HashMap;

const STATUS_OK: u16 = 200;

/// Breaches of each request.
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
        let mut own = attempts.remove(request.id.as_str()).unwrap_or_default();
        own.sort_by_key(|attempt| attempt.started_at);
        let checks = RequestCheck { request, attempts: own, rules, history };
        breaches.extend(checks.response());
        breaches.extend(checks.attempts_after_end());
        breaches.extend(checks.time_left());
        breaches.extend(checks.retries());
    }
    breaches
}

/// Whether a request ended without a response since its process was killed, as the rules allow: it got no
/// SIGTERM before, or the request came so soon after that that nobody counts it.
fn ended_by_kill(request: &Request, ends: &[ProcessEnd], rules: &Rules) -> bool {
    let Some(end) = ends.iter().find(|end| end.process == request.process) else { return false };
    let Some(killed) = end.killed_at else { return false };
    let unanswered =
        !matches!(request.outcome, ClientOutcome::Answered { .. } | ClientOutcome::Disconnected { .. });
    let owed =
        end.terminated_at.is_some_and(|terminated_at| request.sent_at > terminated_at + rules.sigterm_grace);
    unanswered && !owed && request.ended_at().is_none_or(|at| at >= killed)
}

/// Whether a request was the first on a connection that was closed while idle clients filled the descriptors.
fn closed_for_descriptors(request: &Request, exhaustions: &[(ProcessId, Micros)]) -> bool {
    let closed = matches!(request.outcome, ClientOutcome::Closed { first: true, .. });
    closed
        && exhaustions.iter().any(|(process, since)| *process == request.process && *since <= request.sent_at)
}

/// A request with its attempts, and what it is checked against.
struct RequestCheck<'a> {
    request: &'a Request,
    /// In the order in which they began.
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

    fn response(&self) -> Option<Breach> {
        let request = self.request;
        let latest = request.sent_at + request.wait + self.rules.response_slack;
        let stalled = |at| self.history.stalled(request.sent_at, at);
        let served = || self.attempts.iter().any(|attempt| attempt.outcome == AttemptOutcome::Served);
        match request.outcome {
            ClientOutcome::Answered { at, .. } if at > latest + stalled(at) => {
                Some(self.breach(at, BreachKind::Unanswered, ""))
            }
            ClientOutcome::Answered { at, status: STATUS_OK } if !served() => {
                Some(self.breach(at, BreachKind::FabricatedResponse, ""))
            }
            ClientOutcome::TimedOut { at } if at > latest + stalled(at) => {
                Some(self.breach(at, BreachKind::Unanswered, ""))
            }
            ClientOutcome::Closed { at, .. } => Some(self.breach(at, BreachKind::ClosedWithoutResponse, "")),
            _ => None,
        }
    }

    fn attempts_after_end(&self) -> Vec<Breach> {
        let Some(end) = self.request.ended_at() else { return Vec::new() };
        let allowed =
            |a: &Attempt| end + self.rules.disconnect_slack + self.history.stalled(end, a.started_at);
        let late = self.attempts.iter().filter(|a| a.started_at > allowed(a));
        late.map(|a| self.breach(a.started_at, BreachKind::AttemptAfterEnd, &a.target)).collect()
    }

    fn time_left(&self) -> Vec<Breach> {
        let sent = self.request.sent_at;
        let deadline = sent + self.request.wait;
        let exceeds = |attempt: &&&Attempt| {
            let left = deadline.saturating_sub(attempt.started_at) + self.rules.time_left_slack;
            let left = left + self.history.stalled(sent, attempt.started_at);
            attempt.time_left.is_some_and(|time_left| time_left > left)
        };
        let longer = self.attempts.iter().filter(exceeds);
        longer.map(|a| self.breach(a.started_at, BreachKind::TimeLeftTooLong, &a.target)).collect()
    }

    /// Each attempt behind one that may have run.
    fn retries(&self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for (place, attempt) in self.attempts.iter().enumerate() {
            for earlier in &self.attempts[..place] {
                let kind = match self.request.idempotency {
                    Idempotency::Idempotent => None,
                    Idempotency::NonIdempotent => non_idempotent(earlier, attempt),
                    Idempotency::KeyedWithin { window } => {
                        keyed(earlier, attempt, window + self.rules.socket_slack)
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

fn non_idempotent(earlier: &Attempt, attempt: &Attempt) -> Option<BreachKind> {
    let open = earlier.ended_at.is_none_or(|ended| ended > attempt.started_at);
    match (may_have_run(earlier) && may_have_run(attempt), open) {
        (true, true) => Some(BreachKind::ConcurrentAttempts),
        (true, false) => Some(BreachKind::ForbiddenRetry),
        _ => None,
    }
}

fn keyed(earlier: &Attempt, attempt: &Attempt, window: Micros) -> Option<BreachKind> {
    let known = earlier.deduplication_scope == attempt.deduplication_scope
        && attempt.started_at <= earlier.started_at + window;
    (may_have_run(earlier) && may_have_run(attempt) && !known).then_some(BreachKind::ForbiddenRetry)
}
