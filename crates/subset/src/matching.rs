//! The matching: which pairs of initiators and targets are taken.

use crate::SubsetConfig;
use crate::assignment::Pair;
use crate::candidates::score;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The targets of each initiator, by their numbers, and how many initiators each target has.
pub(crate) struct Matching<'a> {
    config: SubsetConfig,
    /// Targets' names by their numbers.
    names: &'a [&'a str],
    /// Targets' numbers by their names.
    numbers: &'a BTreeMap<String, u32>,
    targets_of: Vec<Vec<u32>>,
    instance_counts: Vec<usize>,
}

impl<'a> Matching<'a> {
    /// Matches candidate pairs, which are in the order of their ranks. Targets get their fewest initiators first,
    /// and go up to their most with what is left.
    pub fn build(
        config: SubsetConfig,
        initiators: u32,
        names: &'a [&'a str],
        numbers: &'a BTreeMap<String, u32>,
        pairs: &[Pair],
    ) -> Matching<'a> {
        let (fewest, most) = config.bounds(initiators, numbers.len());
        let targets_of = vec![Vec::new(); initiators as usize];
        let instance_counts = vec![0; names.len()];
        let mut matching = Matching { config, names, numbers, targets_of, instance_counts };
        matching.take_candidates(pairs, fewest);
        matching.fill_targets(fewest);
        // Where an initiator finds only full targets, it has its next best ones all the same.
        for limit in [most, most + 1, usize::MAX] {
            matching.take_candidates(pairs, limit);
            matching.fill_instances(limit);
        }
        matching
    }

    /// The targets of each initiator, by their numbers.
    pub fn targets_of(&self) -> &[Vec<u32>] {
        &self.targets_of
    }

    fn needs_targets(&self, initiator: u32) -> bool {
        self.targets_of[initiator as usize].len() < self.config.size
    }

    fn initiators(&self) -> std::ops::Range<u32> {
        0..self.targets_of.len() as u32
    }

    /// Takes a pair, unless it is taken, its initiator has enough targets, or its target `limit` initiators.
    fn take(&mut self, initiator: u32, target: u32, limit: usize) {
        let targets = &mut self.targets_of[initiator as usize];
        let instance_count = &mut self.instance_counts[target as usize];
        let has_room = targets.len() < self.config.size && *instance_count < limit;
        if has_room && !targets.contains(&target) {
            targets.push(target);
            *instance_count += 1;
        }
    }

    /// Takes candidate pairs, those of the lowest rank first.
    fn take_candidates(&mut self, pairs: &[Pair], limit: usize) {
        for pair in pairs {
            self.take(pair.initiator, pair.target, limit);
        }
    }

    /// A target that its candidates have left with fewer takes any initiators that need targets, the best first.
    /// That is rare, and takes a look at all initiators.
    fn fill_targets(&mut self, fewest: usize) {
        for (name, target) in self.numbers {
            if self.instance_counts[*target as usize] >= fewest {
                continue;
            }
            let mut others: Vec<u32> =
                self.initiators().filter(|initiator| self.needs_targets(*initiator)).collect();
            others.sort_by_cached_key(|initiator| Reverse(score(*initiator, name)));
            for initiator in others {
                self.take(initiator, *target, fewest);
            }
        }
    }

    /// The same for an initiator that its candidates have left with too few targets.
    fn fill_instances(&mut self, limit: usize) {
        for initiator in self.initiators() {
            if !self.needs_targets(initiator) {
                continue;
            }
            let mut others: Vec<u32> = self.numbers.values().copied().collect();
            others.retain(|target| self.instance_counts[*target as usize] < limit);
            others.sort_by_cached_key(|target| Reverse(score(initiator, self.names[*target as usize])));
            for target in others {
                self.take(initiator, target, limit);
            }
        }
    }
}
