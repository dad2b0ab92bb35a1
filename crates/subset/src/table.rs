//! The table of all instances' targets: a matching of candidate pairs, which follows the list.

use crate::Rule;
use crate::candidates::{candidates, layers, score};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// A pair that may be in the table. Targets stand as numbers of the table's own.
#[derive(Clone, Copy, Debug)]
struct Pair {
    rank: u64,
    instance: u32,
    target: u32,
}

/// The candidate pairs of a fleet. What it stores and does at a change grows with instances times the size of
/// a subset.
#[derive(Clone, Debug)]
pub struct Table {
    rule: Rule,
    instances: u32,
    /// Targets' numbers by their names.
    listed: BTreeMap<String, u32>,
    /// Numbers of targets that have left.
    free: Vec<u32>,
    /// Layers that each target has drawn.
    layers: u64,
    /// From the lowest rank up.
    pairs: Vec<Pair>,
}

/// Which targets each instance has, by their numbers, and how many instances each target has.
struct Matching<'a> {
    rule: Rule,
    names: &'a [&'a str],
    of: Vec<Vec<u32>>,
    held: Vec<usize>,
}

impl Table {
    pub fn new(rule: Rule, instances: u32) -> Table {
        Table { rule, instances, listed: BTreeMap::new(), free: Vec::new(), layers: 0, pairs: Vec::new() }
    }

    /// The targets that may take new work now; false where they are those of before. Only targets that have
    /// come draw, unless their number has changed by so much that all draw another number of layers.
    pub fn list(&mut self, targets: &BTreeSet<String>) -> bool {
        if self.listed.keys().eq(targets) {
            return false;
        }
        let layers = layers(&self.rule, targets.len());
        if layers != self.layers {
            *self = Table { layers, ..Table::new(self.rule, self.instances) };
        }
        self.drop_all_but(targets);
        self.draw(targets);
        true
    }

    fn drop_all_but(&mut self, targets: &BTreeSet<String>) {
        let mut gone = vec![false; self.numbers()];
        self.listed.retain(|name, number| {
            let stays = targets.contains(name);
            if !stays {
                gone[*number as usize] = true;
                self.free.push(*number);
            }
            stays
        });
        self.pairs.retain(|pair| !gone[pair.target as usize]);
    }

    /// Takes in the candidates of targets that are not listed yet.
    fn draw(&mut self, targets: &BTreeSet<String>) {
        let mut seen = vec![false; self.instances as usize];
        for name in targets {
            if self.listed.contains_key(name) {
                continue;
            }
            let target = self.free.pop().unwrap_or(self.listed.len() as u32);
            self.listed.insert(name.clone(), target);
            let drawn = candidates(name, self.layers, self.instances, &mut seen);
            self.pairs.extend(drawn.into_iter().map(|c| Pair { rank: c.rank, instance: c.instance, target }));
        }
        let mut pairs = std::mem::take(&mut self.pairs);
        let names = self.names();
        // Where ranks are the same, numbers and names decide, not the order of the list. A stable sort finds
        // what is in order already, and merges.
        pairs.sort_by(|a, b| {
            let named = |pair: &Pair| names[pair.target as usize];
            a.rank.cmp(&b.rank).then(a.instance.cmp(&b.instance)).then_with(|| named(a).cmp(named(b)))
        });
        self.pairs = pairs;
    }

    /// How many targets are listed.
    pub fn targets(&self) -> usize {
        self.listed.len()
    }

    /// How many pairs are candidates.
    #[cfg(test)]
    pub fn pairs(&self) -> usize {
        self.pairs.len()
    }

    /// Numbers given to targets so far.
    fn numbers(&self) -> usize {
        self.listed.len() + self.free.len()
    }

    /// Targets' names by their numbers; those of targets that have left are empty.
    fn names(&self) -> Vec<&str> {
        let mut names = vec![""; self.numbers()];
        for (name, number) in &self.listed {
            names[*number as usize] = name;
        }
        names
    }

    /// The whole table. Targets get their fewest first, and what is left then goes up to their most.
    fn matching<'a>(&self, names: &'a [&'a str]) -> Matching<'a> {
        let (fewest, most) = self.rule.bounds(self.instances, self.listed.len());
        let count = self.instances as usize;
        let mut made =
            Matching { rule: self.rule, names, of: vec![Vec::new(); count], held: vec![0; names.len()] };
        made.take(&self.pairs, fewest);
        made.fill_targets(&self.listed, fewest);
        // Whoever finds only full targets left has its next best ones all the same.
        for room in [most, most + 1, usize::MAX] {
            made.take(&self.pairs, room);
            made.fill_instances(&self.listed, room);
        }
        made
    }

    /// The targets of all instances, by name.
    pub fn all(&self) -> Vec<Vec<&str>> {
        if self.rule.size >= self.listed.len() {
            return vec![self.listed.keys().map(String::as_str).collect(); self.instances as usize];
        }
        let names = self.names();
        let matching = self.matching(&names);
        matching.of.iter().map(|mine| mine.iter().map(|t| names[*t as usize]).collect()).collect()
    }

    /// The targets of one instance, by name.
    pub fn of(&self, instance: u32) -> BTreeSet<String> {
        if self.rule.size >= self.listed.len() {
            return self.listed.keys().cloned().collect();
        }
        let names = self.names();
        let matching = self.matching(&names);
        let mine = matching.of.get(instance as usize);
        mine.into_iter().flatten().map(|t| names[*t as usize].to_string()).collect()
    }
}

impl Matching<'_> {
    fn lacks(&self, instance: u32) -> bool {
        self.of[instance as usize].len() < self.rule.size
    }

    /// Puts a pair into the table, unless it is there, its instance has enough targets, or its target no
    /// room.
    fn put(&mut self, instance: u32, target: u32, room: usize) {
        let mine = &mut self.of[instance as usize];
        if mine.len() < self.rule.size && self.held[target as usize] < room && !mine.contains(&target) {
            mine.push(target);
            self.held[target as usize] += 1;
        }
    }

    /// Candidates from the lowest rank up.
    fn take(&mut self, pairs: &[Pair], room: usize) {
        for pair in pairs {
            self.put(pair.instance, pair.target, room);
        }
    }

    /// A target that its candidates have left with too few takes any instances that have room, the best
    /// first. That is rare, and takes a look at all instances.
    fn fill_targets(&mut self, listed: &BTreeMap<String, u32>, fewest: usize) {
        for (name, target) in listed {
            if self.held[*target as usize] >= fewest {
                continue;
            }
            let mut others: Vec<u32> = (0..self.of.len() as u32).filter(|i| self.lacks(*i)).collect();
            others.sort_by_cached_key(|instance| Reverse(score(*instance, name)));
            others.into_iter().for_each(|instance| self.put(instance, *target, fewest));
        }
    }

    /// The same for instances that their candidates have left with too few.
    fn fill_instances(&mut self, listed: &BTreeMap<String, u32>, room: usize) {
        for instance in 0..self.of.len() as u32 {
            if !self.lacks(instance) {
                continue;
            }
            let mut others: Vec<u32> = listed.values().copied().collect();
            others.retain(|target| self.held[*target as usize] < room);
            others.sort_by_cached_key(|target| Reverse(score(instance, self.names[*target as usize])));
            others.into_iter().for_each(|target| self.put(instance, target, room));
        }
    }
}
