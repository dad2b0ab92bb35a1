//! The rules on requests: one final answer in time, nothing after the end, and repeats as the class permits.

use crate::{
    Attempt, Breach, BreachKind, ClientEnd, Effect, Fate, History, Micros, ProcessEnd, ProcessId, Request,
    Rules,
};
use std::collections::HashMap;

const SERVED: u16 = 200;

/// Breaches of each request.
pub fn check(history: &History, rules: &Rules) -> Vec<Breach> {
    let mut attempts: HashMap<&str, Vec<&Attempt>> = HashMap::new();
    for attempt in &history.attempts {
        attempts.entry(&attempt.request).or_default().push(attempt);
    }
    let mut breaches = Vec::new();
    for request in &history.requests {
        if excused(request, &history.ends, rules) || crowded_out(request, &history.crowds) {
            continue;
        }
        let mut own = attempts.remove(request.id.as_str()).unwrap_or_default();
        own.sort_by_key(|attempt| attempt.begun);
        let checked = Checked { request, attempts: own, rules, history };
        breaches.extend(checked.answer());
        breaches.extend(checked.after_the_end());
        breaches.extend(checked.time_left());
        breaches.extend(checked.repeats());
    }
    breaches
}

/// Whether a request ended without an answer since its process was killed, as the rules allow: it was not
/// told to end before, or the request came so soon after it was told that nobody counts it.
fn excused(request: &Request, ends: &[ProcessEnd], rules: &Rules) -> bool {
    let Some(end) = ends.iter().find(|end| end.process == request.process) else { return false };
    let Some(killed) = end.killed else { return false };
    let unanswered = !matches!(request.end, ClientEnd::Answered { .. } | ClientEnd::Left { .. });
    let owed = end.told.is_some_and(|told| request.sent > told + rules.kept_after_told);
    unanswered && !owed && request.ended_at().is_none_or(|at| at >= killed)
}

/// Whether a request was the first on a connection that was shut while idle clients filled the descriptors.
fn crowded_out(request: &Request, crowds: &[(ProcessId, Micros)]) -> bool {
    let shut = matches!(request.end, ClientEnd::Closed { first: true, .. });
    shut && crowds.iter().any(|(process, since)| *process == request.process && *since <= request.sent)
}

struct Checked<'a> {
    request: &'a Request,
    /// In the order in which they began.
    attempts: Vec<&'a Attempt>,
    rules: &'a Rules,
    history: &'a History,
}

impl Checked<'_> {
    fn breach(&self, at: Micros, kind: BreachKind, target: &str) -> Breach {
        Breach {
            at,
            kind,
            request: self.request.id.clone(),
            process: Some(self.request.process),
            target: target.to_string(),
        }
    }

    fn answer(&self) -> Option<Breach> {
        let request = self.request;
        let latest = request.sent + request.wait + self.rules.answer_slack;
        let stalled = |at| self.history.stalled(request.sent, at);
        let served = || self.attempts.iter().any(|attempt| attempt.fate == Fate::Served);
        match request.end {
            ClientEnd::Answered { at, .. } if at > latest + stalled(at) => {
                Some(self.breach(at, BreachKind::Unanswered, ""))
            }
            ClientEnd::Answered { at, status: SERVED } if !served() => {
                Some(self.breach(at, BreachKind::InventedAnswer, ""))
            }
            ClientEnd::WaitedInVain { at } if at > latest + stalled(at) => {
                Some(self.breach(at, BreachKind::Unanswered, ""))
            }
            ClientEnd::Closed { at, .. } => Some(self.breach(at, BreachKind::ClosedUnanswered, "")),
            _ => None,
        }
    }

    fn after_the_end(&self) -> Vec<Breach> {
        let Some(end) = self.request.ended_at() else { return Vec::new() };
        let allowed = |a: &Attempt| end + self.rules.leave_slack + self.history.stalled(end, a.begun);
        let late = self.attempts.iter().filter(|a| a.begun > allowed(a));
        late.map(|a| self.breach(a.begun, BreachKind::AttemptAfterEnd, &a.target)).collect()
    }

    fn time_left(&self) -> Vec<Breach> {
        let sent = self.request.sent;
        let deadline = sent + self.request.wait;
        let longer = |attempt: &&&Attempt| {
            let left = deadline.saturating_sub(attempt.begun) + self.rules.time_left_slack;
            let left = left + self.history.stalled(sent, attempt.begun);
            attempt.time_left.is_some_and(|told| told > left)
        };
        let longer = self.attempts.iter().filter(longer);
        longer.map(|a| self.breach(a.begun, BreachKind::TimeLeftTooLong, &a.target)).collect()
    }

    /// Each attempt behind one that may have run.
    fn repeats(&self) -> Vec<Breach> {
        let mut breaches = Vec::new();
        for (place, attempt) in self.attempts.iter().enumerate() {
            for earlier in &self.attempts[..place] {
                let kind = match self.request.effect {
                    Effect::Repeatable => None,
                    Effect::Once => once(earlier, attempt),
                    Effect::Keyed { span } => keyed(earlier, attempt, span + self.rules.socket_slack),
                };
                breaches.extend(kind.map(|kind| self.breach(attempt.begun, kind, &attempt.target)));
            }
        }
        breaches
    }
}

fn may_have_run(attempt: &Attempt) -> bool {
    !matches!(attempt.fate, Fate::TurnedAway | Fate::NeverWhole)
}

fn once(earlier: &Attempt, attempt: &Attempt) -> Option<BreachKind> {
    let open = earlier.ended.is_none_or(|ended| ended > attempt.begun);
    match (may_have_run(earlier) && may_have_run(attempt), open) {
        (true, true) => Some(BreachKind::ForbiddenCopy),
        (true, false) => Some(BreachKind::ForbiddenRepeat),
        _ => None,
    }
}

fn keyed(earlier: &Attempt, attempt: &Attempt, span: Micros) -> Option<BreachKind> {
    let known = earlier.group == attempt.group && attempt.begun <= earlier.begun + span;
    (may_have_run(earlier) && may_have_run(attempt) && !known).then_some(BreachKind::ForbiddenRepeat)
}
