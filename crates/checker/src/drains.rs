//! The rule on drains: no new work for a target once its drain is known and the grace is over.

use crate::{
    Breach, BreachKind, Delivery, EndpointChange, History, Interval, Micros, ProcessId, Rules, TargetState,
};
use std::collections::HashMap;

/// Attempts that began too late at draining or removed targets.
pub fn check(history: &History, rules: &Rules) -> Vec<Breach> {
    let knowledge = EndpointKnowledge::of(history, rules);
    let processes: HashMap<&str, ProcessId> =
        history.requests.iter().map(|request| (request.id.as_str(), request.process)).collect();
    let mut breaches = Vec::new();
    for attempt in &history.attempts {
        let Some(process) = processes.get(attempt.request.as_str()) else { continue };
        let Some(known_at) = knowledge.draining_since(*process, &attempt.target, attempt.started_at) else {
            continue;
        };
        let stalled = history.stalled(known_at, attempt.started_at);
        if attempt.started_at > known_at + rules.drain_grace + rules.socket_slack + stalled {
            breaches.push(Breach {
                at: attempt.started_at,
                kind: BreachKind::SentToDraining,
                request: attempt.request.clone(),
                process: Some(*process),
                target: attempt.target.clone(),
            });
        }
    }
    breaches
}

/// Which changes of the endpoint list each process knows, and since when.
struct EndpointKnowledge<'a> {
    /// By target, in the order of their versions.
    changes: HashMap<&'a str, Vec<&'a EndpointChange>>,
    /// In the order of their times.
    deliveries: HashMap<ProcessId, Vec<&'a Delivery>>,
    process_starts: HashMap<ProcessId, Micros>,
    outages: &'a [Interval],
    discovery_propagation: Micros,
}

impl<'a> EndpointKnowledge<'a> {
    fn of(history: &'a History, rules: &Rules) -> EndpointKnowledge<'a> {
        let mut changes: HashMap<&str, Vec<&EndpointChange>> = HashMap::new();
        for change in &history.changes {
            changes.entry(&change.target).or_default().push(change);
        }
        let mut deliveries: HashMap<ProcessId, Vec<&Delivery>> = HashMap::new();
        for delivery in &history.deliveries {
            deliveries.entry(delivery.process).or_default().push(delivery);
        }
        changes.values_mut().for_each(|list| list.sort_by_key(|change| change.version));
        deliveries.values_mut().for_each(|list| list.sort_by_key(|delivery| delivery.at));
        EndpointKnowledge {
            changes,
            deliveries,
            process_starts: history.process_starts.iter().copied().collect(),
            outages: &history.outages,
            discovery_propagation: rules.discovery_propagation,
        }
    }

    /// Since when a process knows that a target takes no new work, as of a time; none: it does not, or the
    /// target has been active again since.
    fn draining_since(&self, process: ProcessId, target: &str, at: Micros) -> Option<Micros> {
        let mut since = None;
        for change in self.changes.get(target)? {
            if change.at > at {
                break;
            }
            match change.state {
                // Active again from the change itself on, known or not.
                TargetState::Active { .. } => since = None,
                TargetState::Draining | TargetState::Removed => {
                    let known_at = self.known_at(process, change);
                    since = Some(since.map_or(known_at, |earlier: Micros| earlier.min(known_at)));
                }
            }
        }
        since.filter(|known_at| *known_at <= at)
    }

    /// When a change counts as known to a process: written to it, or so long after discovery had it and could
    /// be reached by the process.
    fn known_at(&self, process: ProcessId, change: &EndpointChange) -> Micros {
        let deliveries = self.deliveries.get(&process).map_or(&[][..], Vec::as_slice);
        let written = deliveries.iter().filter(|d| d.version >= change.version).map(|d| d.at).min();
        let started = self.process_starts.get(&process).copied().unwrap_or(0).max(change.at);
        let latest = self.reachable_from(started) + self.discovery_propagation;
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
