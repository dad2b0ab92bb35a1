//! Assignments, and how they change with the endpoint list.

use crate::assignment::Assignment;
use crate::{Subset, SubsetConfig, assignments, difference};
use proptest::prelude::*;
use std::collections::BTreeSet;

const CONFIG: SubsetConfig = SubsetConfig { size: 4, spread: 1.25 };

fn names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("s-{i:08x}")).collect()
}

fn as_strs(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

fn initiator_counts(assignments: &[BTreeSet<usize>], targets: usize) -> Vec<usize> {
    (0..targets).map(|t| assignments.iter().filter(|preferred| preferred.contains(&t)).count()).collect()
}

proptest! {
    // When each initiator preferred the targets that it had received first, some targets were preferred by
    // all initiators and others by none.
    #[test]
    fn every_target_has_between_the_minimum_and_maximum_of_initiators(
        initiators in 1u32..64, targets in 1usize..80, size in 1usize..10, spread in 1.0f64..2.0,
    ) {
        let (config, names) = (SubsetConfig { size, spread }, names(targets));
        let assignments = assignments(&config, initiators, &as_strs(&names));
        prop_assert!(assignments.iter().all(|preferred| preferred.len() == size.min(targets)));
        if size < targets {
            let (min_initiators, max_initiators) = config.bounds(initiators, targets);
            let initiator_counts = initiator_counts(&assignments, targets);
            prop_assert!(
                initiator_counts.iter().all(|count| *count <= max_initiators + 1),
                "{initiator_counts:?} exceed {max_initiators} + 1"
            );
            // If a target lacks initiators after the first pass, all initiators without that target are full.
            // They alone would have taken more places than the pass provides, which is a contradiction unless
            // the spread is close to 1.
            let others = (u64::from(initiators) + 1).saturating_sub(min_initiators as u64);
            if others as f64 * spread >= f64::from(initiators) {
                prop_assert!(
                    initiator_counts.iter().all(|count| *count >= min_initiators),
                    "{initiator_counts:?} fall below {min_initiators}"
                );
            }
        }
    }

    // Discovery gives the targets of a list in no particular order.
    #[test]
    fn the_order_of_the_list_does_not_matter(
        initiators in 1u32..20, targets in 2usize..30, rotation in 0usize..30,
    ) {
        let (names, config) = (names(targets), SubsetConfig { size: 3, spread: 1.25 });
        let mut rotated_names = names.clone();
        rotated_names.rotate_left(rotation % targets);
        let (a, b) = (as_strs(&names), as_strs(&rotated_names));
        let (first, second) = (assignments(&config, initiators, &a), assignments(&config, initiators, &b));
        let by_name = |assignments: &[BTreeSet<usize>], names: &[&str]| -> Vec<BTreeSet<String>> {
            assignments.iter().map(|preferred| preferred.iter().map(|t| names[*t].to_string()).collect()).collect()
        };
        prop_assert_eq!(by_name(&first, &a), by_name(&second, &b));
    }
}

/// The fraction of pairs that move although neither their initiator nor their target joins, as a multiple of
/// the joining initiator's share. The mean over all joins.
fn moved_by_joins(joins: impl Iterator<Item = u32>, targets: usize) -> f64 {
    let names = names(targets);
    let names = as_strs(&names);
    let ratios: Vec<f64> = joins
        .map(|n| {
            let (before, after) = (assignments(&CONFIG, n, &names), assignments(&CONFIG, n + 1, &names));
            let moves = difference((&before, &names), (&after, &names));
            // As a multiple of the share of the initiator that joins.
            moves.moved as f64 / moves.pairs as f64 * f64::from(n + 1)
        })
        .collect();
    ratios.iter().sum::<f64>() / ratios.len() as f64
}

// An initiator that joins must not change the subsets of the others much: each pair that moves costs new
// connections.
#[test]
fn a_joining_initiator_moves_about_its_share_of_the_pairs() {
    let moved = moved_by_joins(8..48, 24);
    assert!(moved < 1.5, "{moved} times 1/N of the pairs moved");
}

#[test]
fn a_removed_target_moves_few_pairs_besides_its_own() {
    for removed in 0..24 {
        let all = names(24);
        let mut fewer = all.clone();
        fewer.remove(removed);
        let (a, b) = (as_strs(&all), as_strs(&fewer));
        let moves = difference((&assignments(&CONFIG, 24, &a), &a), (&assignments(&CONFIG, 24, &b), &b));
        // The removed target's own pairs are a 24th.
        assert!(moves.moved * 24 <= moves.pairs * 3, "{moves:?}");
    }
}

#[test]
fn a_list_that_does_not_affect_the_initiator_returns_no_change() {
    let set = |names: &[String]| names.iter().cloned().collect::<BTreeSet<String>>();
    let all = names(24);
    let mut subset = Subset::new(CONFIG, 5, 24);
    let change = subset.update_targets(set(&all)).expect("a change");
    assert_eq!((change.added.len(), change.removed.len(), change.includes_all_targets), (4, 0, false));
    assert_eq!(subset.update_targets(set(&all)), None);
    let preferred = subset.preferred().clone();
    let without = |name: &String| set(&all).into_iter().filter(|n| n != name).collect::<BTreeSet<String>>();
    let other = all.iter().find(|name| !preferred.contains(*name)).expect("a target that is not preferred");
    if let Some(change) = subset.update_targets(without(other)) {
        assert!(change.added.len() <= 1, "{change:?}");
    }
    let own = preferred.iter().next().expect("four preferred targets");
    let change = subset.update_targets(without(own)).expect("a preferred target is removed");
    assert!(change.removed.contains(own) && change.added.len() == change.removed.len());
}

#[test]
fn a_subset_larger_than_the_list_includes_all_targets() {
    let mut subset = Subset::new(CONFIG, 0, 3);
    let change = subset.update_targets(names(3).into_iter().collect()).expect("a change");
    assert!(change.includes_all_targets && change.added.len() == 3);
    assert_eq!(subset.update_targets(BTreeSet::new()).expect("a change").removed.len(), 3);
}

// With a fifth target most initiators keep their four. These are preferred from then on, which must be
// reported as a change.
#[test]
fn a_change_between_all_targets_and_a_selection_is_reported() {
    for own_index in 0..12 {
        let mut subset = Subset::new(CONFIG, own_index, 12);
        assert!(
            subset.update_targets(names(4).into_iter().collect()).expect("a change").includes_all_targets
        );
        assert!(
            !subset.update_targets(names(5).into_iter().collect()).expect("a change").includes_all_targets,
            "initiator {own_index}"
        );
        assert!(
            subset.update_targets(names(4).into_iter().collect()).expect("a change").includes_all_targets,
            "initiator {own_index}"
        );
    }
}

// An index beyond the number of initiators in the settings must not end the program.
#[test]
fn an_initiator_with_an_index_beyond_the_count_has_a_subset() {
    let mut subset = Subset::new(CONFIG, 7, 3);
    assert_eq!(subset.update_targets(names(9).into_iter().collect()).expect("a change").added.len(), 4);
}

// An assignment that follows the list must not depend on earlier lists, since an initiator that starts later
// has not received them.
proptest! {
    #[test]
    fn an_updated_assignment_equals_a_fresh_one(
        initiators in 1u32..60, size in 1usize..6, lists in prop::collection::vec(prop::collection::btree_set(0usize..120, 0..120), 1..6),
    ) {
        let config = SubsetConfig { size, spread: 1.25 };
        let all = names(120);
        let mut updated = Assignment::new(config, initiators);
        for indices in lists {
            let list: BTreeSet<String> = indices.iter().map(|index| all[*index].clone()).collect();
            updated.update_targets(&list);
            let mut fresh = Assignment::new(config, initiators);
            fresh.update_targets(&list);
            let sorted = |assignment: &Assignment| -> Vec<BTreeSet<String>> {
                assignment.all_subsets().iter().map(|preferred| preferred.iter().map(|name| name.to_string()).collect()).collect()
            };
            prop_assert_eq!(sorted(&updated), sorted(&fresh));
            prop_assert_eq!(updated.subset_of(0), sorted(&fresh)[0].clone());
        }
    }
}

/// Numbers of initiators and targets with which each target draws only some of the initiators.
const MANY: (u32, usize) = (400, 600);

#[test]
fn with_many_targets_the_number_of_candidate_pairs_is_bounded() {
    let pairs = |initiators, targets| {
        let mut assignment = Assignment::new(CONFIG, initiators);
        assignment.update_targets(&names(targets).into_iter().collect());
        assignment.pair_count() as f64
    };
    let (initiators, targets) = MANY;
    let pair_count = pairs(initiators, targets);
    assert!(pair_count < f64::from(initiators) * 45.0, "{pair_count} candidate pairs");
    // Twice as many initiators and targets must give twice the pairs, not four times.
    assert!(pairs(2 * initiators, 2 * targets) < 2.1 * pair_count);
}

#[test]
fn with_many_targets_each_has_between_the_minimum_and_maximum_of_initiators() {
    let (initiators, targets) = MANY;
    let names = names(targets);
    for (size, spread) in [(4, 1.25), (20, 1.25), (20, 1.05), (7, 1.0)] {
        let config = SubsetConfig { size, spread };
        let assignments = assignments(&config, initiators, &as_strs(&names));
        assert!(assignments.iter().all(|preferred| preferred.len() == size));
        let (min_initiators, max_initiators) = config.bounds(initiators, targets);
        let initiator_counts = initiator_counts(&assignments, targets);
        assert!(
            initiator_counts.iter().all(|count| (min_initiators..=max_initiators + 1).contains(count)),
            "{config:?}: {initiator_counts:?}"
        );
    }
}

#[test]
fn with_many_targets_a_join_or_a_removal_moves_about_its_share() {
    let (initiators, targets) = MANY;
    let joined = moved_by_joins(initiators..initiators + 24, targets);
    assert!(joined < 1.5, "{joined} times 1/N of the pairs moved");
    let all = names(targets);
    let before = assignments(&CONFIG, initiators, &as_strs(&all));
    let mut ratios = Vec::new();
    for removed in (0..targets).step_by(25) {
        let mut fewer = all.clone();
        fewer.remove(removed);
        let after = assignments(&CONFIG, initiators, &as_strs(&fewer));
        let moves = difference((&before, &as_strs(&all)), (&after, &as_strs(&fewer)));
        ratios.push(moves.moved as f64 / moves.pairs as f64 * targets as f64);
    }
    let mean = ratios.iter().sum::<f64>() / ratios.len() as f64;
    assert!(mean < 1.5, "{mean} times 1/T of the pairs moved on average: {ratios:?}");
}
