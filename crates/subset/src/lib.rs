//! Which targets each of many instances prefers, so that their choices add up evenly without a word between
//! them.
//!
//! Every instance knows how many there are, which one it is, and the list of targets. From these alone all of them
//! compute the same table: each instance has `size` targets, and the instances of a target are from the mean over
//! `spread` to the mean times `spread` ([`Rule::bounds`]). The table is a matching under a common score: each pair of
//! an instance and a target has a hash, pairs are taken from the highest down, and one is passed over where its
//! instance has enough targets or its target enough instances; first up to the fewest, then up to the most. So a
//! change moves the pairs that it touches and few others: an instance or a target that comes or goes frees or fills
//! places that only the next in score move into. The room between the bounds is what keeps such moves short.
//!
//! Not every pair takes part: each target draws a bounded number of instances, alike everywhere, and only
//! where these leave a place open does it look at all others. So what the table costs grows with instances
//! times the size of a subset, not with instances times targets; at a change of the list only the candidates
//! of what has changed are drawn.
//!
//! Lists reach instances at different times. While two see different lists their tables differ in what the
//! news moves, and no more; nothing depends on their agreement.

#![forbid(unsafe_code)]

mod candidates;
mod table;

use std::collections::{BTreeMap, BTreeSet};
use table::Table;

/// How targets are shared out.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Targets of an instance.
    pub size: usize,
    /// The most instances of a target, as a multiple of their mean number, and the mean as a multiple of the
    /// fewest. At least 1.
    pub spread: f64,
}

impl Rule {
    /// The fewest and the most instances that a target has, unless places are left over nowhere else: then
    /// one more.
    pub fn bounds(&self, instances: u32, targets: usize) -> (usize, usize) {
        let mean = self.size.min(targets) as f64 * f64::from(instances) / targets.max(1) as f64;
        let spread = self.spread.max(1.0);
        ((mean / spread).floor() as usize, (mean * spread).ceil().max(1.0) as usize)
    }
}

/// What each instance prefers, by its number. Targets stand as places in `targets`, whose order does not
/// matter.
pub fn table(rule: &Rule, instances: u32, targets: &[&str]) -> Vec<BTreeSet<usize>> {
    let places: BTreeMap<&str, usize> = targets.iter().enumerate().map(|(t, name)| (*name, t)).collect();
    let mut table = Table::new(*rule, instances);
    table.list(&targets.iter().map(|name| name.to_string()).collect());
    table.all().into_iter().map(|mine| mine.into_iter().map(|name| places[name]).collect()).collect()
}

/// What this instance prefers, as the list changes.
#[derive(Clone, Debug)]
pub struct Subset {
    rule: Rule,
    me: u32,
    table: Table,
    mine: BTreeSet<String>,
    /// Those are all that there are.
    all: bool,
}

/// What a list has changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Moved {
    pub came: Vec<String>,
    pub left: Vec<String>,
    /// There are no more targets than the subset holds: all are preferred, which is to prefer none.
    pub all: bool,
}

impl Subset {
    /// `me` is one of `instances`; one beyond them counts as one more.
    pub fn new(rule: Rule, me: u32, instances: u32) -> Subset {
        let instances = instances.max(me.saturating_add(1));
        Subset { rule, me, table: Table::new(rule, instances), mine: BTreeSet::new(), all: false }
    }

    /// The targets that may take new work now. None: nothing has changed for this instance.
    pub fn listed(&mut self, targets: BTreeSet<String>) -> Option<Moved> {
        if !self.table.list(&targets) {
            return None;
        }
        let mine = self.table.of(self.me);
        let moved = Moved {
            came: mine.difference(&self.mine).cloned().collect(),
            left: self.mine.difference(&mine).cloned().collect(),
            all: self.rule.size >= self.table.targets(),
        };
        self.mine = mine;
        // One more than all of them may leave this instance's as they were, which are a choice from then on.
        let turned = std::mem::replace(&mut self.all, moved.all) != moved.all;
        (turned || !moved.came.is_empty() || !moved.left.is_empty()).then_some(moved)
    }

    pub fn mine(&self) -> &BTreeSet<String> {
        &self.mine
    }
}

/// How two tables differ.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Pairs of the first.
    pub pairs: usize,
    /// Pairs of the first, of instances and targets that are in both, that the second does not have.
    pub moved: usize,
}

/// Compares tables of the same instances, or of some more, by the names of their targets.
pub fn difference(
    (before, names): (&[BTreeSet<usize>], &[&str]),
    (after, later): (&[BTreeSet<usize>], &[&str]),
) -> Difference {
    let place: BTreeMap<&str, usize> = later.iter().enumerate().map(|(t, name)| (*name, t)).collect();
    let mut told = Difference::default();
    for (i, targets) in before.iter().enumerate() {
        for t in targets {
            told.pairs += 1;
            let here = place.get(names[*t]);
            told.moved += usize::from(after.get(i).is_some_and(|now| here.is_some_and(|t| !now.contains(t))));
        }
    }
    told
}

#[cfg(test)]
mod tests;
