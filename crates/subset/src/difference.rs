//! Measures how many pairs a change moves.

use std::collections::{BTreeMap, BTreeSet};

/// The difference between two assignments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Number of pairs in the first assignment.
    pub pairs: usize,
    /// Number of pairs that only the first assignment contains, although their initiator and target are in
    /// both.
    pub moved: usize,
}

/// Compares two assignments by the names of their targets. The second may have additional initiators.
pub fn difference(
    (before, names_before): (&[BTreeSet<usize>], &[&str]),
    (after, names_after): (&[BTreeSet<usize>], &[&str]),
) -> Difference {
    let indices_after: BTreeMap<&str, usize> =
        names_after.iter().enumerate().map(|(index, name)| (*name, index)).collect();
    let mut difference = Difference::default();
    for (initiator, targets) in before.iter().enumerate() {
        difference.pairs += targets.len();
        let Some(targets_after) = after.get(initiator) else { continue };
        let still_listed = targets.iter().filter_map(|target| indices_after.get(names_before[*target]));
        difference.moved += still_listed.filter(|target| !targets_after.contains(target)).count();
    }
    difference
}
