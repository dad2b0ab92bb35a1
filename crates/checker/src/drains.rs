//! The drain rule: once a target's drain counts as received by a process and the drain grace has elapsed, the
//! process sends the target no new work.

use crate::{
    Breach, BreachKind, Delivery, EndpointChange, History, Interval, Micros, ProcessId, Rules, TargetState,
};
use std::collections::HashMap;

/// Returns a breach for each attempt that started at a draining or removed target after the grace. Attempts
/// of unrecorded requests are skipped.
pub fn check(history: &History, rules: &Rules) -> Vec<Breach> {
    let propagation = EndpointPropagation::new(history, rules);
    let processes: HashMap<&str, ProcessId> =
        history.requests.iter().map(|request| (request.id.as_str(), request.process)).collect();
    let mut breaches = Vec::new();
    for attempt in &history.attempts {
        let Some(process) = processes.get(attempt.request.as_str()) else { continue };
        let Some(propagated_at) = propagation.draining_since(*process, &attempt.target, attempt.started_at)
        else {
            continue;
        };
        let stall_time = history.stall_time(propagated_at, attempt.started_at);
        if attempt.started_at > propagated_at + rules.drain_grace + rules.socket_slack + stall_time {
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

/// Determines when each change of the endpoint list counts as received by each process.
struct EndpointPropagation<'a> {
    /// By target, ordered by list version.
    changes: HashMap<&'a str, Vec<&'a EndpointChange>>,
    /// Ordered by delivery time.
    deliveries: HashMap<ProcessId, Vec<&'a Delivery>>,
    process_starts: HashMap<ProcessId, Micros>,
    outages: &'a [Interval],
    discovery_propagation: Micros,
}

impl<'a> EndpointPropagation<'a> {
    fn new(history: &'a History, rules: &Rules) -> EndpointPropagation<'a> {
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
        EndpointPropagation {
            changes,
            deliveries,
            process_starts: history.process_starts.iter().copied().collect(),
            outages: &history.outages,
            discovery_propagation: rules.discovery_propagation,
        }
    }

    /// Since when the target's drain or removal counts as received by the process. `None` if that is not the
    /// case by `at`, or if the target has become active again.
    fn draining_since(&self, process: ProcessId, target: &str, at: Micros) -> Option<Micros> {
        let mut since = None;
        for change in self.changes.get(target)? {
            if change.at > at {
                break;
            }
            match change.state {
                // A target that becomes active may be sent new work from the change on, even before the
                // process has received the change.
                TargetState::Active { .. } => since = None,
                TargetState::Draining | TargetState::Removed => {
                    let propagated_at = self.propagated_at(process, change);
                    since = Some(since.map_or(propagated_at, |earlier: Micros| earlier.min(propagated_at)));
                }
            }
        }
        since.filter(|propagated_at| *propagated_at <= at)
    }

    /// When a change counts as received by a process: when discovery delivered it to the process, but at the
    /// latest `discovery_propagation` after the process had started, discovery had recorded the change and
    /// was reachable.
    fn propagated_at(&self, process: ProcessId, change: &EndpointChange) -> Micros {
        let deliveries = self.deliveries.get(&process).map_or(&[][..], Vec::as_slice);
        let delivered_at = deliveries.iter().filter(|d| d.version >= change.version).map(|d| d.at).min();
        let reachable_since = self.process_starts.get(&process).copied().unwrap_or(0).max(change.at);
        let latest = self.reachable_from(reachable_since) + self.discovery_propagation;
        delivered_at.map_or(latest, |at| at.min(latest))
    }

    /// The first time at or after `at` at which discovery is reachable. Outages must be ordered by start
    /// time.
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
