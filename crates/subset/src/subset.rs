//! The subset of one initiator, which follows the endpoint list.

use crate::SubsetConfig;
use crate::assignment::Assignment;
use std::collections::{BTreeMap, BTreeSet};

/// Returns the preferred targets of every initiator, as indices into `targets`. The order of `targets` does
/// not affect which targets an initiator prefers.
pub fn assignments(config: &SubsetConfig, initiators: u32, targets: &[&str]) -> Vec<BTreeSet<usize>> {
    let indices: BTreeMap<&str, usize> =
        targets.iter().enumerate().map(|(index, name)| (*name, index)).collect();
    let mut assignment = Assignment::new(*config, initiators);
    assignment.update_targets(&targets.iter().map(|name| name.to_string()).collect());
    let subsets = assignment.all_subsets().into_iter();
    subsets.map(|names| names.into_iter().map(|name| indices[name]).collect()).collect()
}

/// The targets that one initiator prefers for new objects.
#[derive(Clone, Debug)]
pub struct Subset {
    config: SubsetConfig,
    own_index: u32,
    assignment: Assignment,
    preferred: BTreeSet<String>,
    includes_all_targets: bool,
}

/// How a change of the endpoint list affects a subset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SubsetChange {
    /// Targets that have become preferred.
    pub added: Vec<String>,
    /// Targets that are no longer preferred.
    pub removed: Vec<String>,
    /// Whether the subset contains all targets because there are no more than its size, so that none is
    /// preferred to another.
    pub includes_all_targets: bool,
}

impl Subset {
    /// Creates the subset of the initiator with index `own_index`. An index beyond the number of initiators
    /// raises that number to include it.
    pub fn new(config: SubsetConfig, own_index: u32, initiators: u32) -> Subset {
        let initiators = initiators.max(own_index.saturating_add(1));
        Subset {
            config,
            own_index,
            assignment: Assignment::new(config, initiators),
            preferred: BTreeSet::new(),
            includes_all_targets: false,
        }
    }

    /// Sets the targets that currently accept new objects. Returns `None` if that changes nothing for this
    /// initiator.
    pub fn update_targets(&mut self, targets: BTreeSet<String>) -> Option<SubsetChange> {
        if !self.assignment.update_targets(&targets) {
            return None;
        }
        let preferred = self.assignment.subset_of(self.own_index);
        let change = SubsetChange {
            added: preferred.difference(&self.preferred).cloned().collect(),
            removed: self.preferred.difference(&preferred).cloned().collect(),
            includes_all_targets: self.config.size >= self.assignment.target_count(),
        };
        self.preferred = preferred;
        // With one target more than the subset holds, this initiator's targets may stay the same, but they
        // now are a selection of all targets.
        let became_choice_or_all = self.includes_all_targets != change.includes_all_targets;
        self.includes_all_targets = change.includes_all_targets;
        let has_changed = became_choice_or_all || !change.added.is_empty() || !change.removed.is_empty();
        has_changed.then_some(change)
    }

    /// The names of the preferred targets.
    pub fn preferred(&self) -> &BTreeSet<String> {
        &self.preferred
    }
}
