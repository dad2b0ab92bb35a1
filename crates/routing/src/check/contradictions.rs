//! Finds expectations that cannot be met together.

use super::report::Contradiction;
use super::selectors::{are_disjoint, attributes_disjoint, attributes_within, is_subset};
use crate::expectation::{Expectation, Requirement};
use crate::target::{ListedState, TargetSelector};
use std::collections::{BTreeMap, BTreeSet};

/// Finds all pairs of expectations that cannot both be met.
pub(super) fn find(expectations: &[Expectation]) -> Vec<Contradiction> {
    let mut contradictions = Vec::new();
    for (first, second) in pairs_that_may_overlap(expectations) {
        let (a, b) = (&expectations[first], &expectations[second]);
        let conflict =
            conflict(&a.requirement, &b.requirement).or_else(|| conflict(&b.requirement, &a.requirement));
        if let Some(reason) = conflict.filter(|_| a.requests.overlaps(&b.requests)) {
            contradictions.push(Contradiction { first, second, reason: reason.to_string() });
        }
    }
    contradictions
}

/// Indices of expectations whose requests may overlap. Expectations that name single volumes are paired only
/// if they share one, which keeps the work linear for thousands of them.
fn pairs_that_may_overlap(expectations: &[Expectation]) -> BTreeSet<(usize, usize)> {
    let mut by_volume: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
    let mut general = Vec::new();
    for (index, expectation) in expectations.iter().enumerate() {
        match expectation.requests.single_volumes() {
            Some(volumes) => volumes.for_each(|volume| by_volume.entry(volume).or_default().push(index)),
            None => general.push(index),
        }
    }
    let mut pairs = BTreeSet::new();
    for sharing in by_volume.values() {
        for (position, first) in sharing.iter().enumerate() {
            pairs.extend(sharing[position + 1..].iter().map(|second| (*first, *second)));
        }
    }
    for a in general {
        let others = (0..expectations.len()).filter(|b| *b != a);
        pairs.extend(others.map(|b| (a.min(b), a.max(b))));
    }
    pairs
}

/// Why two requirements cannot both be met for a request; `None` if they can.
fn conflict(a: &Requirement, b: &Requirement) -> Option<&'static str> {
    use Requirement::{MinNewObjectTargets, Never, Only, Rejected, Some as SomeOf};
    match (a, b) {
        (Only(allowed), Only(other)) if disjoint(allowed, other) => {
            Some("each allows only targets that the other forbids")
        }
        (Only(allowed), SomeOf { targets: wanted, .. }) if disjoint(allowed, wanted) => {
            Some("one requires a target that the other forbids")
        }
        (Only(allowed), Never { targets: forbidden, states })
            if within(allowed, forbidden) && includes_all_accepting_states(states) =>
        {
            Some("one forbids all targets that the other allows")
        }
        (SomeOf { targets: wanted, .. }, Never { targets: forbidden, states })
            if within(wanted, forbidden) && includes_all_accepting_states(states) =>
        {
            Some("one requires a target that the other forbids")
        }
        (Rejected, SomeOf { .. } | MinNewObjectTargets(1..)) => {
            Some("one requires that requests are rejected, the other that they are served")
        }
        (Only(allowed), MinNewObjectTargets(min))
            if allowed.names.as_ref().is_some_and(|names| names.len() < *min) =>
        {
            Some("one allows fewer targets than the other requires")
        }
        _ => None,
    }
}

fn disjoint(a: &TargetSelector, b: &TargetSelector) -> bool {
    are_disjoint(&a.names, &b.names) || attributes_disjoint(a, b, None)
}

fn within(a: &TargetSelector, b: &TargetSelector) -> bool {
    is_subset(&a.names, &b.names) && attributes_within(a, b, None)
}

/// Whether the states include all in which targets accept new requests.
fn includes_all_accepting_states(states: &[ListedState]) -> bool {
    ListedState::ALL.iter().all(|state| !state.accepts_requests() || states.contains(state))
}
