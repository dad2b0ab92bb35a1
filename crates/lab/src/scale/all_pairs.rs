//! Baseline of `scale-subsets`: the former assignment of targets to initiators, which hashed every pair of an
//! initiator and a target and sorted all pairs at each change. In use, each target draws candidates instead.

use rowanglade_subset::SubsetConfig;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the preferred targets of each initiator, indexed by the initiator's number.
pub fn table(rule: &SubsetConfig, initiators: u32, targets: &[&str]) -> Vec<BTreeSet<usize>> {
    let (fewest, most) = rule.bounds(initiators, targets.len());
    let score = |initiator: u32, target: &str| xxh3_64_with_seed(target.as_bytes(), u64::from(initiator));
    let mut pairs: Vec<(u64, u32, usize)> = (0..initiators)
        .flat_map(|i| targets.iter().enumerate().map(move |(t, name)| (score(i, name), i, t)))
        .collect();
    pairs.sort_unstable_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)).then(targets[a.2].cmp(targets[b.2])));
    let mut preferred = vec![BTreeSet::new(); initiators as usize];
    let mut loads = vec![0; targets.len()];
    for room in [fewest, most, most + 1, usize::MAX] {
        for (_, i, t) in &pairs {
            let targets_of_initiator: &mut BTreeSet<usize> = &mut preferred[*i as usize];
            if targets_of_initiator.len() < rule.size && loads[*t] < room && targets_of_initiator.insert(*t) {
                loads[*t] += 1;
            }
        }
    }
    preferred
}
