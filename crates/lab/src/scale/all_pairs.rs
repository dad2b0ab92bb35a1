//! Baseline of `scale-subsets`: the former assignment of targets to initiators, which hashed every pair of an
//! initiator and a target and sorted all pairs at each change. In use, each target draws candidates instead.

use rowanglade_subset::SubsetConfig;
use std::collections::BTreeSet;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the preferred targets of each initiator, indexed by the initiator's number.
pub fn table(rule: &SubsetConfig, instances: u32, targets: &[&str]) -> Vec<BTreeSet<usize>> {
    let (fewest, most) = rule.bounds(instances, targets.len());
    let score = |instance: u32, target: &str| xxh3_64_with_seed(target.as_bytes(), u64::from(instance));
    let mut pairs: Vec<(u64, u32, usize)> = (0..instances)
        .flat_map(|i| targets.iter().enumerate().map(move |(t, name)| (score(i, name), i, t)))
        .collect();
    pairs.sort_unstable_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(&b.1)).then(targets[a.2].cmp(targets[b.2])));
    let mut of = vec![BTreeSet::new(); instances as usize];
    let mut held = vec![0; targets.len()];
    for room in [fewest, most, most + 1, usize::MAX] {
        for (_, i, t) in &pairs {
            let mine: &mut BTreeSet<usize> = &mut of[*i as usize];
            if mine.len() < rule.size && held[*t] < room && mine.insert(*t) {
                held[*t] += 1;
            }
        }
    }
    of
}
