//! Assignments, and how they follow the endpoint list.

use crate::assignment::Assignment;
use crate::{Subset, SubsetConfig, assignments, difference};
use proptest::prelude::*;
use std::collections::BTreeSet;

const CONFIG: SubsetConfig = SubsetConfig { size: 4, spread: 1.25 };

fn names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("s-{i:08x}")).collect()
}

fn strs(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

fn loads(assignments: &[BTreeSet<usize>], targets: usize) -> Vec<usize> {
    (0..targets).map(|t| assignments.iter().filter(|preferred| preferred.contains(&t)).count()).collect()
}

proptest! {
    // Each initiator by itself chose what it had heard of first: some targets were everybody's, others
    // nobody's.
    #[test]
    fn every_target_has_its_part_of_the_instances(
        initiators in 1u32..64, targets in 1usize..80, size in 1usize..10, spread in 1.0f64..2.0,
    ) {
        let (config, names) = (SubsetConfig { size, spread }, names(targets));
        let assignments = assignments(&config, initiators, &strs(&names));
        prop_assert!(assignments.iter().all(|preferred| preferred.len() == size.min(targets)));
        if size < targets {
            let (fewest, most) = config.bounds(initiators, targets);
            let loads = loads(&assignments, targets);
            prop_assert!(loads.iter().all(|load| *load <= most + 1), "{loads:?} beyond {most}");
            // A target that lacks some when the first pass ends has all other initiators full: those alone
            // would have taken more places than the pass gives. With hardly any spread that is no
            // contradiction.
            let others = (u64::from(initiators) + 1).saturating_sub(fewest as u64);
            if others as f64 * spread >= f64::from(initiators) {
                prop_assert!(loads.iter().all(|load| *load >= fewest), "{loads:?} under {fewest}");
            }
        }
    }

    // Discovery tells lists in no order of its own.
    #[test]
    fn the_order_of_the_list_does_not_matter(
        initiators in 1u32..20, targets in 2usize..30, turned in 0usize..30,
    ) {
        let (names, config) = (names(targets), SubsetConfig { size: 3, spread: 1.25 });
        let mut turned_names = names.clone();
        turned_names.rotate_left(turned % targets);
        let (a, b) = (strs(&names), strs(&turned_names));
        let (first, second) = (assignments(&config, initiators, &a), assignments(&config, initiators, &b));
        let named = |assignments: &[BTreeSet<usize>], names: &[&str]| -> Vec<BTreeSet<String>> {
            assignments.iter().map(|preferred| preferred.iter().map(|t| names[*t].to_string()).collect()).collect()
        };
        prop_assert_eq!(named(&first, &a), named(&second, &b));
    }
}

/// Of all pairs, the part that moved though neither side came or went: the mean over many changes.
fn moved_by_joins(joins: impl Iterator<Item = u32>, targets: usize) -> f64 {
    let names = names(targets);
    let names = strs(&names);
    let parts: Vec<f64> = joins
        .map(|n| {
            let (before, after) = (assignments(&CONFIG, n, &names), assignments(&CONFIG, n + 1, &names));
            let moves = difference((&before, &names), (&after, &names));
            // As a multiple of the newcomer's share.
            moves.moved as f64 / moves.pairs as f64 * f64::from(n + 1)
        })
        .collect();
    parts.iter().sum::<f64>() / parts.len() as f64
}

// Whoever joins must not turn the others' choices over: each that moves costs new connections.
#[test]
fn an_instance_that_joins_moves_about_its_share() {
    let moved = moved_by_joins(8..48, 24);
    assert!(moved < 1.5, "{moved} times 1/N");
}

#[test]
fn a_target_that_leaves_moves_little_beside_its_own_pairs() {
    for gone in 0..24 {
        let all = names(24);
        let mut fewer = all.clone();
        fewer.remove(gone);
        let (a, b) = (strs(&all), strs(&fewer));
        let moves = difference((&assignments(&CONFIG, 24, &a), &a), (&assignments(&CONFIG, 24, &b), &b));
        // Its own pairs are a 24th.
        assert!(moves.moved * 24 <= moves.pairs * 3, "{moves:?}");
    }
}

#[test]
fn a_list_that_changes_nothing_here_is_no_news() {
    let set = |names: &[String]| names.iter().cloned().collect::<BTreeSet<String>>();
    let all = names(24);
    let mut subset = Subset::new(CONFIG, 5, 24);
    let moved = subset.update_targets(set(&all)).expect("a change");
    assert_eq!((moved.added.len(), moved.removed.len(), moved.includes_all_targets), (4, 0, false));
    assert_eq!(subset.update_targets(set(&all)), None);
    let preferred = subset.preferred().clone();
    let without = |name: &String| set(&all).into_iter().filter(|n| n != name).collect::<BTreeSet<String>>();
    let other = all.iter().find(|name| !preferred.contains(*name)).expect("one that is not preferred");
    if let Some(moved) = subset.update_targets(without(other)) {
        assert!(moved.added.len() <= 1, "{moved:?}");
    }
    let own = preferred.iter().next().expect("four");
    let moved = subset.update_targets(without(own)).expect("one is gone");
    assert!(moved.removed.contains(own) && moved.added.len() == moved.removed.len());
}

#[test]
fn with_no_more_targets_than_it_holds_all_are_preferred() {
    let mut subset = Subset::new(CONFIG, 0, 3);
    let moved = subset.update_targets(names(3).into_iter().collect()).expect("a change");
    assert!(moved.includes_all_targets && moved.added.len() == 3);
    assert_eq!(subset.update_targets(BTreeSet::new()).expect("a change").removed.len(), 3);
}

// With a fifth target most initiators keep their four; that these are preferred from then on must be moves.
#[test]
fn what_was_all_and_is_a_choice_now_is_news() {
    for me in 0..12 {
        let mut subset = Subset::new(CONFIG, me, 12);
        assert!(
            subset.update_targets(names(4).into_iter().collect()).expect("a change").includes_all_targets
        );
        assert!(
            !subset.update_targets(names(5).into_iter().collect()).expect("a change").includes_all_targets,
            "instance {me}"
        );
        assert!(
            subset.update_targets(names(4).into_iter().collect()).expect("a change").includes_all_targets,
            "instance {me}"
        );
    }
}

// A number beyond the count that the settings give must not end the program.
#[test]
fn an_instance_beyond_the_count_has_its_targets() {
    let mut subset = Subset::new(CONFIG, 7, 3);
    assert_eq!(subset.update_targets(names(9).into_iter().collect()).expect("a change").added.len(), 4);
}

// A table that follows the list must not come to depend on what the list was: another initiator starts today.
proptest! {
    #[test]
    fn a_table_that_followed_the_list_is_the_one_made_anew(
        initiators in 1u32..60, size in 1usize..6, lists in prop::collection::vec(prop::collection::btree_set(0usize..120, 0..120), 1..6),
    ) {
        let config = SubsetConfig { size, spread: 1.25 };
        let all = names(120);
        let mut followed = Assignment::new(config, initiators);
        for places in lists {
            let list: BTreeSet<String> = places.iter().map(|place| all[*place].clone()).collect();
            followed.update_targets(&list);
            let mut anew = Assignment::new(config, initiators);
            anew.update_targets(&list);
            let sorted = |assignment: &Assignment| -> Vec<BTreeSet<String>> {
                assignment.all_subsets().iter().map(|preferred| preferred.iter().map(|name| name.to_string()).collect()).collect()
            };
            prop_assert_eq!(sorted(&followed), sorted(&anew));
            prop_assert_eq!(followed.subset_of(0), sorted(&anew)[0].clone());
        }
    }
}

/// Where each target draws only some of the initiators: 400 initiators, 600 targets.
const MANY: (u32, usize) = (400, 600);

#[test]
fn with_many_targets_a_bounded_number_of_pairs_is_looked_at() {
    let pairs = |initiators, targets| {
        let mut assignment = Assignment::new(CONFIG, initiators);
        assignment.update_targets(&names(targets).into_iter().collect());
        assignment.pair_count() as f64
    };
    let (initiators, targets) = MANY;
    let made = pairs(initiators, targets);
    assert!(made < f64::from(initiators) * 45.0, "{made} candidate pairs");
    // Twice as many of both: twice the pairs, not four times.
    assert!(pairs(2 * initiators, 2 * targets) < 2.1 * made);
}

#[test]
fn with_many_targets_each_has_its_part_of_the_instances() {
    let (initiators, targets) = MANY;
    let names = names(targets);
    for (size, spread) in [(4, 1.25), (20, 1.25), (20, 1.05), (7, 1.0)] {
        let config = SubsetConfig { size, spread };
        let assignments = assignments(&config, initiators, &strs(&names));
        assert!(assignments.iter().all(|preferred| preferred.len() == size));
        let (fewest, most) = config.bounds(initiators, targets);
        let loads = loads(&assignments, targets);
        assert!(loads.iter().all(|load| (fewest..=most + 1).contains(load)), "{config:?}: {loads:?}");
    }
}

#[test]
fn with_many_targets_a_join_or_a_leave_moves_about_its_share() {
    let (initiators, targets) = MANY;
    let joined = moved_by_joins(initiators..initiators + 24, targets);
    assert!(joined < 1.5, "{joined} times 1/N");
    let all = names(targets);
    let before = assignments(&CONFIG, initiators, &strs(&all));
    let mut parts = Vec::new();
    for gone in (0..targets).step_by(25) {
        let mut fewer = all.clone();
        fewer.remove(gone);
        let after = assignments(&CONFIG, initiators, &strs(&fewer));
        let moves = difference((&before, &strs(&all)), (&after, &strs(&fewer)));
        parts.push(moves.moved as f64 / moves.pairs as f64 * targets as f64);
    }
    let mean = parts.iter().sum::<f64>() / parts.len() as f64;
    assert!(mean < 1.5, "{mean} times 1/T: {parts:?}");
}
