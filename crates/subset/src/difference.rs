//! How much a change moves.

use std::collections::{BTreeMap, BTreeSet};

/// How two assignments differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Pairs of the first.
    pub pairs: usize,
    /// Pairs of the first, of initiators and targets that are in both, that the second does not have.
    pub moved: usize,
}

/// Compares assignments of the same initiators, or of some more in the second, by the names of their targets.
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
