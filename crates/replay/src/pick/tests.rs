//! Tests of how volumes are distributed over initiators.

use super::*;
use std::collections::BTreeMap;

#[test]
fn a_volume_uses_all_of_its_initiators_and_prefers_one() {
    let (seed, volume) = (7, 0x3b4d);
    let set = initiator_set(seed, volume, 3, 10);
    assert_eq!(set.len(), 3);
    let mut counts = BTreeMap::new();
    for number in 0..6_000 {
        *counts.entry(pick_initiator(seed, &set, volume, number, number)).or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 3);
    let most = counts.values().max().copied().unwrap_or(0);
    assert!((3_400..3_800).contains(&most), "{counts:?}");
    let preferred = |due| pick_initiator(seed, &set[..1], volume, due, 1);
    assert_eq!(preferred(0), preferred(PREFERRED_PERIOD_US));
}

#[test]
fn adding_an_initiator_moves_few_volumes() {
    let moved = (0..1_000u64).filter(|v| initiator_set(3, *v, 1, 9) != initiator_set(3, *v, 1, 10)).count();
    assert!((60..150).contains(&moved), "{moved}");
    let used: std::collections::BTreeSet<usize> =
        (0..1_000).flat_map(|v| initiator_set(3, v, 1, 10)).collect();
    assert_eq!(used.len(), 10);
}
