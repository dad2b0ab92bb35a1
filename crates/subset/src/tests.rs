use super::*;
use proptest::prelude::*;

const RULE: Rule = Rule { size: 4, spread: 1.25 };

fn names(count: usize) -> Vec<String> {
    (0..count).map(|i| format!("s-{i:08x}")).collect()
}

fn strs(names: &[String]) -> Vec<&str> {
    names.iter().map(String::as_str).collect()
}

fn loads(table: &[BTreeSet<usize>], targets: usize) -> Vec<usize> {
    (0..targets).map(|t| table.iter().filter(|mine| mine.contains(&t)).count()).collect()
}

proptest! {
    // Each instance by itself chose what it had heard of first: some targets were everybody's, others
    // nobody's.
    #[test]
    fn every_target_has_its_part_of_the_instances(
        instances in 1u32..64, targets in 1usize..80, size in 1usize..10, spread in 1.0f64..2.0,
    ) {
        let (rule, names) = (Rule { size, spread }, names(targets));
        let table = table(&rule, instances, &strs(&names));
        prop_assert!(table.iter().all(|mine| mine.len() == size.min(targets)));
        if size < targets {
            let (fewest, most) = rule.bounds(instances, targets);
            let loads = loads(&table, targets);
            prop_assert!(loads.iter().all(|load| *load <= most + 1), "{loads:?} beyond {most}");
            // A target that lacks some when the first pass ends has all other instances full: those alone
            // would have taken more places than the pass gives. With hardly any spread that is no
            // contradiction.
            let others = (u64::from(instances) + 1).saturating_sub(fewest as u64);
            if others as f64 * spread >= f64::from(instances) {
                prop_assert!(loads.iter().all(|load| *load >= fewest), "{loads:?} under {fewest}");
            }
        }
    }

    // Discovery tells lists in no order of its own.
    #[test]
    fn the_order_of_the_list_does_not_matter(
        instances in 1u32..20, targets in 2usize..30, turned in 0usize..30,
    ) {
        let (names, rule) = (names(targets), Rule { size: 3, spread: 1.25 });
        let mut turned_names = names.clone();
        turned_names.rotate_left(turned % targets);
        let (a, b) = (strs(&names), strs(&turned_names));
        let (first, second) = (table(&rule, instances, &a), table(&rule, instances, &b));
        let named = |table: &[BTreeSet<usize>], names: &[&str]| -> Vec<BTreeSet<String>> {
            table.iter().map(|mine| mine.iter().map(|t| names[*t].to_string()).collect()).collect()
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
            let (before, after) = (table(&RULE, n, &names), table(&RULE, n + 1, &names));
            let told = difference((&before, &names), (&after, &names));
            // As a multiple of the newcomer's share.
            told.moved as f64 / told.pairs as f64 * f64::from(n + 1)
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
        let told = difference((&table(&RULE, 24, &a), &a), (&table(&RULE, 24, &b), &b));
        // Its own pairs are a 24th.
        assert!(told.moved * 24 <= told.pairs * 3, "{told:?}");
    }
}

#[test]
fn a_list_that_changes_nothing_here_is_no_news() {
    let set = |names: &[String]| names.iter().cloned().collect::<BTreeSet<String>>();
    let all = names(24);
    let mut subset = Subset::new(RULE, 5, 24);
    let moved = subset.listed(set(&all)).expect("news");
    assert_eq!((moved.came.len(), moved.left.len(), moved.all), (4, 0, false));
    assert_eq!(subset.listed(set(&all)), None);
    let mine = subset.mine().clone();
    let without = |name: &String| set(&all).into_iter().filter(|n| n != name).collect::<BTreeSet<String>>();
    let other = all.iter().find(|name| !mine.contains(*name)).expect("one that is not preferred");
    if let Some(moved) = subset.listed(without(other)) {
        assert!(moved.came.len() <= 1, "{moved:?}");
    }
    let own = mine.iter().next().expect("four");
    let moved = subset.listed(without(own)).expect("one is gone");
    assert!(moved.left.contains(own) && moved.came.len() == moved.left.len());
}

#[test]
fn with_no_more_targets_than_it_holds_all_are_preferred() {
    let mut subset = Subset::new(RULE, 0, 3);
    let moved = subset.listed(names(3).into_iter().collect()).expect("news");
    assert!(moved.all && moved.came.len() == 3);
    assert_eq!(subset.listed(BTreeSet::new()).expect("news").left.len(), 3);
}

// With a fifth target most instances keep their four; that these are preferred from then on must be told.
#[test]
fn what_was_all_and_is_a_choice_now_is_news() {
    for me in 0..12 {
        let mut subset = Subset::new(RULE, me, 12);
        assert!(subset.listed(names(4).into_iter().collect()).expect("news").all);
        assert!(!subset.listed(names(5).into_iter().collect()).expect("news").all, "instance {me}");
        assert!(subset.listed(names(4).into_iter().collect()).expect("news").all, "instance {me}");
    }
}

// A number beyond the count that the settings give must not end the program.
#[test]
fn an_instance_beyond_the_count_has_its_targets() {
    let mut subset = Subset::new(RULE, 7, 3);
    assert_eq!(subset.listed(names(9).into_iter().collect()).expect("news").came.len(), 4);
}

// A table that follows the list must not come to depend on what the list was: another instance starts today.
proptest! {
    #[test]
    fn a_table_that_followed_the_list_is_the_one_made_anew(
        instances in 1u32..60, size in 1usize..6, lists in prop::collection::vec(prop::collection::btree_set(0usize..120, 0..120), 1..6),
    ) {
        let rule = Rule { size, spread: 1.25 };
        let all = names(120);
        let mut followed = Table::new(rule, instances);
        for places in lists {
            let list: BTreeSet<String> = places.iter().map(|place| all[*place].clone()).collect();
            followed.list(&list);
            let mut anew = Table::new(rule, instances);
            anew.list(&list);
            let sorted = |table: &Table| -> Vec<BTreeSet<String>> {
                table.all().iter().map(|mine| mine.iter().map(|name| name.to_string()).collect()).collect()
            };
            prop_assert_eq!(sorted(&followed), sorted(&anew));
            prop_assert_eq!(followed.of(0), sorted(&anew)[0].clone());
        }
    }
}

/// Where each target draws only some of the instances: 400 instances, 600 targets.
const MANY: (u32, usize) = (400, 600);

#[test]
fn with_many_targets_a_bounded_number_of_pairs_is_looked_at() {
    let pairs = |instances, targets| {
        let mut table = Table::new(RULE, instances);
        table.list(&names(targets).into_iter().collect());
        table.pairs() as f64
    };
    let (instances, targets) = MANY;
    let made = pairs(instances, targets);
    assert!(made < f64::from(instances) * 45.0, "{made} candidate pairs");
    // Twice as many of both: twice the pairs, not four times.
    assert!(pairs(2 * instances, 2 * targets) < 2.1 * made);
}

#[test]
fn with_many_targets_each_has_its_part_of_the_instances() {
    let (instances, targets) = MANY;
    let names = names(targets);
    for (size, spread) in [(4, 1.25), (20, 1.25), (20, 1.05), (7, 1.0)] {
        let rule = Rule { size, spread };
        let table = table(&rule, instances, &strs(&names));
        assert!(table.iter().all(|mine| mine.len() == size));
        let (fewest, most) = rule.bounds(instances, targets);
        let loads = loads(&table, targets);
        assert!(loads.iter().all(|load| (fewest..=most + 1).contains(load)), "{rule:?}: {loads:?}");
    }
}

#[test]
fn with_many_targets_a_join_or_a_leave_moves_about_its_share() {
    let (instances, targets) = MANY;
    let joined = moved_by_joins(instances..instances + 24, targets);
    assert!(joined < 1.5, "{joined} times 1/N");
    let all = names(targets);
    let before = table(&RULE, instances, &strs(&all));
    let mut parts = Vec::new();
    for gone in (0..targets).step_by(25) {
        let mut fewer = all.clone();
        fewer.remove(gone);
        let after = table(&RULE, instances, &strs(&fewer));
        let told = difference((&before, &strs(&all)), (&after, &strs(&fewer)));
        parts.push(told.moved as f64 / told.pairs as f64 * targets as f64);
    }
    let mean = parts.iter().sum::<f64>() / parts.len() as f64;
    assert!(mean < 1.5, "{mean} times 1/T: {parts:?}");
}
