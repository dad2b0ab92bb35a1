//! Expectations that cannot hold together.

use super::report::Contradiction;
use super::selectors::{are_disjoint, attributes_disjoint, attributes_within, is_subset};
use crate::expectation::{Expectation, Requirement};
use crate::target::{ListedState, TargetSelector};
use std::collections::{BTreeMap, BTreeSet};

/// Finds all pairs of expectations that cannot both hold.
pub(super) fn find(expectations: &[Expectation]) -> Vec<Contradiction> {
    let mut contradictions = Vec::new();
    for (first, second) in pairs_that_may_meet(expectations) {
        let (a, b) = (&expectations[first], &expectations[second]);
        let conflict =
            conflict(&a.requirement, &b.requirement).or_else(|| conflict(&b.requirement, &a.requirement));
        if let Some(why) = conflict.filter(|_| a.requests.overlaps(&b.requests)) {
            contradictions.push(Contradiction { first, second, why: why.to_string() });
        }
    }
    contradictions
}

/// Indices of expectations whose requests may overlap. Those that name volumes one by one do so only where they
/// share one: that keeps thousands of them linear.
fn pairs_that_may_meet(expectations: &[Expectation]) -> BTreeSet<(usize, usize)> {
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

/// Why two requirements cannot both hold for a request; none: they can.
fn conflict(a: &Requirement, b: &Requirement) -> Option<&'static str> {
    use Requirement::{MinNewObjectTargets, Never, Only, Rejected, Some as SomeOf};
    match (a, b) {
        (Only(allowed), Only(other)) if disjoint(allowed, other) => {
            Some("each allows only boxes that the other forbids")
        }
        (Only(allowed), SomeOf { targets: wanted, .. }) if disjoint(allowed, wanted) => {
            Some("one wants a box reached that the other forbids")
        }
        (Only(allowed), Never { targets: banned, states })
            if within(allowed, banned) && bans_all_work(states) =>
        {
            Some("what one allows the other forbids")
        }
        (SomeOf { targets: wanted, .. }, Never { targets: banned, states })
            if within(wanted, banned) && bans_all_work(states) =>
        {
            Some("one wants a box reached that the other forbids")
        }
        (Rejected, SomeOf { .. } | MinNewObjectTargets(1..)) => {
            Some("one wants it refused, the other served")
        }
        (Only(allowed), MinNewObjectTargets(min))
            if allowed.names.as_ref().is_some_and(|names| names.len() < *min) =>
        {
            Some("one allows fewer boxes than the other asks for")
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

/// Whether the states are all of those in which targets take work.
fn bans_all_work(states: &[ListedState]) -> bool {
    ListedState::ALL.iter().all(|state| !state.takes_work() || states.contains(state))
}
