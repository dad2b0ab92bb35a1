//! The assignment of targets to all initiators, which follows the endpoint list.

use crate::SubsetConfig;
use crate::candidates::{draw_candidates, layer_count};
use crate::matching::Matching;
use std::collections::{BTreeMap, BTreeSet};

/// A candidate pair. Targets are identified by numbers that the assignment gives them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pair {
    pub rank: u64,
    pub initiator: u32,
    pub target: u32,
}

/// The candidate pairs of a fleet. Its memory, and the work for a change, grow with the number of initiators
/// times the size of a subset.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    config: SubsetConfig,
    initiators: u32,
    /// The targets' numbers by name.
    numbers: BTreeMap<String, u32>,
    /// Numbers of removed targets, which are reused.
    free_numbers: Vec<u32>,
    /// Number of layers that each target has drawn.
    layers: u64,
    /// Sorted by rank, the lowest first.
    pairs: Vec<Pair>,
}

impl Assignment {
    /// Creates an assignment without targets.
    pub fn new(config: SubsetConfig, initiators: u32) -> Assignment {
        Assignment {
            config,
            initiators,
            numbers: BTreeMap::new(),
            free_numbers: Vec::new(),
            layers: 0,
            pairs: Vec::new(),
        }
    }

    /// Sets the targets that currently accept new objects, and returns whether they have changed. Only new
    /// targets draw candidates, unless the number of targets has changed so much that all have to draw
    /// another number of layers.
    pub fn update_targets(&mut self, targets: &BTreeSet<String>) -> bool {
        if self.numbers.keys().eq(targets) {
            return false;
        }
        let layers = layer_count(&self.config, targets.len());
        if layers != self.layers {
            *self = Assignment { layers, ..Assignment::new(self.config, self.initiators) };
        }
        self.retain_targets(targets);
        self.add_targets(targets);
        self.sort_pairs();
        true
    }

    fn retain_targets(&mut self, targets: &BTreeSet<String>) {
        let mut is_removed = vec![false; self.number_count()];
        self.numbers.retain(|name, number| {
            let stays = targets.contains(name);
            if !stays {
                is_removed[*number as usize] = true;
                self.free_numbers.push(*number);
            }
            stays
        });
        self.pairs.retain(|pair| !is_removed[pair.target as usize]);
    }

    /// Adds the candidates of targets that have no number yet.
    fn add_targets(&mut self, targets: &BTreeSet<String>) {
        let mut drawn = vec![false; self.initiators as usize];
        for name in targets {
            if self.numbers.contains_key(name) {
                continue;
            }
            let target = self.free_numbers.pop().unwrap_or(self.numbers.len() as u32);
            self.numbers.insert(name.clone(), target);
            let candidates = draw_candidates(name, self.layers, self.initiators, &mut drawn);
            let pairs = candidates.into_iter();
            self.pairs.extend(pairs.map(|c| Pair { rank: c.rank, initiator: c.initiator, target }));
        }
    }

    /// Equal ranks are ordered by indices and names, so that the order of the list does not matter. A stable
    /// sort detects the runs that are already sorted and merges them.
    fn sort_pairs(&mut self) {
        let mut pairs = std::mem::take(&mut self.pairs);
        let names = self.names();
        let name_of = |pair: &Pair| names[pair.target as usize];
        pairs.sort_by(|a, b| {
            let by_rank = a.rank.cmp(&b.rank);
            by_rank.then(a.initiator.cmp(&b.initiator)).then_with(|| name_of(a).cmp(name_of(b)))
        });
        self.pairs = pairs;
    }

    /// Number of targets.
    pub fn target_count(&self) -> usize {
        self.numbers.len()
    }

    /// Number of candidate pairs.
    #[cfg(test)]
    pub fn pair_count(&self) -> usize {
        self.pairs.len()
    }

    /// Number of target numbers given out so far, including free ones.
    fn number_count(&self) -> usize {
        self.numbers.len() + self.free_numbers.len()
    }

    /// The targets' names by number; empty for free numbers.
    fn names(&self) -> Vec<&str> {
        let mut names = vec![""; self.number_count()];
        for (name, number) in &self.numbers {
            names[*number as usize] = name;
        }
        names
    }

    fn holds_all_targets(&self) -> bool {
        self.config.size >= self.numbers.len()
    }

    fn matching<'a>(&'a self, names: &'a [&'a str]) -> Matching<'a> {
        Matching::build(self.config, self.initiators, names, &self.numbers, &self.pairs)
    }

    /// The preferred targets of every initiator, by name.
    pub fn all_subsets(&self) -> Vec<Vec<&str>> {
        if self.holds_all_targets() {
            return vec![self.numbers.keys().map(String::as_str).collect(); self.initiators as usize];
        }
        let names = self.names();
        let matching = self.matching(&names);
        let subsets = matching.targets_of().iter();
        subsets.map(|targets| targets.iter().map(|target| names[*target as usize]).collect()).collect()
    }

    /// The preferred targets of one initiator, by name.
    pub fn subset_of(&self, initiator: u32) -> BTreeSet<String> {
        if self.holds_all_targets() {
            return self.numbers.keys().cloned().collect();
        }
        let names = self.names();
        let matching = self.matching(&names);
        let targets = matching.targets_of().get(initiator as usize);
        targets.into_iter().flatten().map(|target| names[*target as usize].to_string()).collect()
    }
}
