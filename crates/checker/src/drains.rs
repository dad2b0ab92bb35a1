//! The rule on departures: no new work for a target once its departure was told and the grace is over.

use crate::{Breach, BreachKind, Change, Delivery, History, Micros, Outage, ProcessId, Rules, TargetState};
use std::collections::HashMap;

/// Attempts that began too late at targets that were leaving.
pub fn check(history: &History, rules: &Rules) -> Vec<Breach> {
    let news = News::of(history, rules);
    let processes: HashMap<&str, ProcessId> =
        history.requests.iter().map(|request| (request.id.as_str(), request.process)).collect();
    let mut breaches = Vec::new();
    for attempt in &history.attempts {
        let Some(process) = processes.get(attempt.request.as_str()) else { continue };
        let Some(told) = news.leaving_since(*process, &attempt.target, attempt.begun) else { continue };
        let stalled = history.stalled(told, attempt.begun);
        if attempt.begun > told + rules.drain_grace + rules.socket_slack + stalled {
            breaches.push(Breach {
                at: attempt.begun,
                kind: BreachKind::SentToLeaving,
                request: attempt.request.clone(),
                process: Some(*process),
                target: attempt.target.clone(),
            });
        }
    }
    breaches
}

/// What was told to whom.
struct News<'a> {
    changes: HashMap<&'a str, Vec<&'a Change>>,
    deliveries: HashMap<ProcessId, Vec<&'a Delivery>>,
    starts: HashMap<ProcessId, Micros>,
    outages: &'a [Outage],
    heard_within: Micros,
}

impl<'a> News<'a> {
    fn of(history: &'a History, rules: &Rules) -> News<'a> {
        let mut changes: HashMap<&str, Vec<&Change>> = HashMap::new();
        for change in &history.changes {
            changes.entry(&change.target).or_default().push(change);
        }
        let mut deliveries: HashMap<ProcessId, Vec<&Delivery>> = HashMap::new();
        for delivery in &history.deliveries {
            deliveries.entry(delivery.process).or_default().push(delivery);
        }
        changes.values_mut().for_each(|list| list.sort_by_key(|change| change.version));
        deliveries.values_mut().for_each(|list| list.sort_by_key(|delivery| delivery.at));
        let starts = history.starts.iter().copied().collect();
        News { changes, deliveries, starts, outages: &history.outages, heard_within: rules.heard_within }
    }

    /// Since when a process knows that a target is out of use, as of a time; none: it does not, or the target
    /// has been in use again since.
    fn leaving_since(&self, process: ProcessId, target: &str, at: Micros) -> Option<Micros> {
        let mut since = None;
        for change in self.changes.get(target)? {
            if change.at > at {
                break;
            }
            match change.state {
                // In use again from the change itself on, told or not.
                TargetState::InUse { .. } => since = None,
                TargetState::Leaving | TargetState::Left => {
                    let told = self.told_at(process, change);
                    since = Some(since.map_or(told, |earlier: Micros| earlier.min(told)));
                }
            }
        }
        since.filter(|told| *told <= at)
    }

    /// When a change counts as told to a process: written to it, or so long after discovery had it and could
    /// be reached by the process.
    fn told_at(&self, process: ProcessId, change: &Change) -> Micros {
        let deliveries = self.deliveries.get(&process).map_or(&[][..], Vec::as_slice);
        let written = deliveries.iter().filter(|d| d.version >= change.version).map(|d| d.at).min();
        let begun = self.starts.get(&process).copied().unwrap_or(0).max(change.at);
        let latest = self.reachable_from(begun) + self.heard_within;
        written.map_or(latest, |at| at.min(latest))
    }

    /// The first time from `at` on at which discovery can be reached.
    fn reachable_from(&self, at: Micros) -> Micros {
        let mut reachable = at;
        for outage in self.outages {
            if outage.from <= reachable && reachable < outage.to {
                reachable = outage.to;
            }
        }
        reachable
    }
}
