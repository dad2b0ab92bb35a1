//! The matching of initiators and targets.

use crate::SubsetConfig;
use crate::assignment::Pair;
use crate::candidates::score;
use std::cmp::Reverse;
use std::collections::BTreeMap;

/// The targets of each initiator, by number, and the number of initiators of each target.
pub(crate) struct Matching<'a> {
    config: SubsetConfig,
    /// The targets' names by number.
    names: &'a [&'a str],
    /// The targets' numbers by name.
    numbers: &'a BTreeMap<String, u32>,
    targets_of: Vec<Vec<u32>>,
    initiator_counts: Vec<usize>,
}

impl<'a> Matching<'a> {
    /// Matches candidate pairs, which must be sorted by rank. Targets first get their minimum of initiators,
    /// then more up to the maximum.
    pub fn build(
        config: SubsetConfig,
        initiators: u32,
        names: &'a [&'a str],
        numbers: &'a BTreeMap<String, u32>,
        pairs: &[Pair],
    ) -> Matching<'a> {
        let (min_initiators, max_initiators) = config.bounds(initiators, numbers.len());
        let targets_of = vec![Vec::new(); initiators as usize];
        let initiator_counts = vec![0; names.len()];
        let mut matching = Matching { config, names, numbers, targets_of, initiator_counts };
        matching.add_candidates(pairs, min_initiators);
        matching.fill_targets(min_initiators);
        // An initiator whose remaining targets all have their maximum still gets the best of them.
        for limit in [max_initiators, max_initiators + 1, usize::MAX] {
            matching.add_candidates(pairs, limit);
            matching.fill_initiators(limit);
        }
        matching
    }

    /// The targets of each initiator, by number.
    pub fn targets_of(&self) -> &[Vec<u32>] {
        &self.targets_of
    }

    fn needs_targets(&self, initiator: u32) -> bool {
        self.targets_of[initiator as usize].len() < self.config.size
    }

    fn initiators(&self) -> std::ops::Range<u32> {
        0..self.targets_of.len() as u32
    }

    /// Adds a pair unless it is in the matching, its initiator has enough targets, or its target has `limit`
    /// initiators.
    fn try_add(&mut self, initiator: u32, target: u32, limit: usize) {
        let targets = &mut self.targets_of[initiator as usize];
        let initiator_count = &mut self.initiator_counts[target as usize];
        let has_room = targets.len() < self.config.size && *initiator_count < limit;
        if has_room && !targets.contains(&target) {
            targets.push(target);
            *initiator_count += 1;
        }
    }

    /// Adds candidate pairs, the lowest rank first.
    fn add_candidates(&mut self, pairs: &[Pair], limit: usize) {
        for pair in pairs {
            self.try_add(pair.initiator, pair.target, limit);
        }
    }

    /// Gives each target that still has fewer than `min_initiators` initiators any others that need targets,
    /// the best score first. This is rare, and examines all initiators.
    fn fill_targets(&mut self, min_initiators: usize) {
        for (name, target) in self.numbers {
            if self.initiator_counts[*target as usize] >= min_initiators {
                continue;
            }
            let mut others: Vec<u32> =
                self.initiators().filter(|initiator| self.needs_targets(*initiator)).collect();
            others.sort_by_cached_key(|initiator| Reverse(score(*initiator, name)));
            for initiator in others {
                self.try_add(initiator, *target, min_initiators);
            }
        }
    }

    /// Gives each initiator that needs targets after its candidates any targets below the limit, the best
    /// score first.
    fn fill_initiators(&mut self, limit: usize) {
        for initiator in self.initiators() {
            if !self.needs_targets(initiator) {
                continue;
            }
            let mut others: Vec<u32> = self.numbers.values().copied().collect();
            others.retain(|target| self.initiator_counts[*target as usize] < limit);
            others.sort_by_cached_key(|target| Reverse(score(initiator, self.names[*target as usize])));
            for target in others {
                self.try_add(initiator, target, limit);
            }
        }
    }
}
