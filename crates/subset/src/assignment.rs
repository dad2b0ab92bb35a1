//! The assignment of targets to all initiators, which follows the endpoint list.

use crate::SubsetConfig;
use crate::candidates::{draw_candidates, layer_count};
use crate::matching::Matching;
use std::collections::{BTreeMap, BTreeSet};

/// A pair that may be taken. Targets stand as numbers of the assignment's own.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pair {
    pub rank: u64,
    pub initiator: u32,
    pub target: u32,
}

/// The candidate pairs of a fleet. What it stores and does at a change grows with initiators times the size of
/// a subset.
#[derive(Clone, Debug)]
pub(crate) struct Assignment {
    config: SubsetConfig,
    initiators: u32,
    /// Targets' numbers by their names.
    numbers: BTreeMap<String, u32>,
    /// Numbers of targets that have been removed.
    free_numbers: Vec<u32>,
    /// Layers that each target has drawn.
    layers: u64,
    /// From the lowest rank up.
    pairs: Vec<Pair>,
}

impl Assignment {
    /// Without targets.
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

    /// The targets that may take new objects now; returns whether they have changed. Only targets that are new
    /// draw, unless there are so many more or fewer that all draw another number of layers.
    pub fn update_targets(&mut self, targets: &BTreeSet<String>) -> bool {
        if self.numbers.keys().eq(targets) {
            return false;
        }
        let layers = layer_count(&self.config, targets.len());
        if layers != self.layers {
            *self = Assignment { layers, ..Assignment::new(self.config, self.initiators) };
        }
        self.remove_all_but(targets);
        self.add_new(targets);
        self.sort_pairs();
        true
    }

    fn remove_all_but(&mut self, targets: &BTreeSet<String>) {
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

    /// Takes in the candidates of targets that have no number yet.
    fn add_new(&mut self, targets: &BTreeSet<String>) {
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

    /// Where ranks are the same, indices and names decide, not the order of the list. A stable sort finds what
    /// is in order already, and merges.
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

    /// How many targets there are.
    pub fn target_count(&self) -> usize {
        self.numbers.len()
    }

    /// How many pairs are candidates.
    #[cfg(test)]
    pub fn pair_count(&self) -> usize {
        self.pairs.len()
    }

    /// How many numbers have been given to targets so far.
    fn number_count(&self) -> usize {
        self.numbers.len() + self.free_numbers.len()
    }

    /// Targets' names by their numbers; those of removed targets are empty.
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

    /// The targets of all initiators, by name.
    pub fn all_subsets(&self) -> Vec<Vec<&str>> {
        if self.holds_all_targets() {
            return vec![self.numbers.keys().map(String::as_str).collect(); self.initiators as usize];
        }
        let names = self.names();
        let matching = self.matching(&names);
        let subsets = matching.targets_of().iter();
        subsets.map(|targets| targets.iter().map(|target| names[*target as usize]).collect()).collect()
    }

    /// The targets of one initiator, by name.
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
