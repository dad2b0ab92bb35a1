//! One initiator's subset, as the endpoint list changes.

use crate::SubsetConfig;
use crate::assignment::Assignment;
use std::collections::{BTreeMap, BTreeSet};

/// The preferred targets of every initiator, by its index. Targets stand as indices into `targets`, whose order
/// does not matter for who prefers whom.
pub fn assignments(config: &SubsetConfig, initiators: u32, targets: &[&str]) -> Vec<BTreeSet<usize>> {
    let indices: BTreeMap<&str, usize> =
        targets.iter().enumerate().map(|(index, name)| (*name, index)).collect();
    let mut assignment = Assignment::new(*config, initiators);
    assignment.update_targets(&targets.iter().map(|name| name.to_string()).collect());
    let subsets = assignment.all_subsets().into_iter();
    subsets.map(|names| names.into_iter().map(|name| indices[name]).collect()).collect()
}

/// The targets that this initiator prefers for new objects, as the endpoint list changes.
#[derive(Clone, Debug)]
pub struct Subset {
    config: SubsetConfig,
    own_index: u32,
    assignment: Assignment,
    preferred: BTreeSet<String>,
    includes_all_targets: bool,
}

/// What a change of the endpoint list has changed in a subset.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SubsetChange {
    /// Targets that are preferred now.
    pub added: Vec<String>,
    /// Targets that are not preferred any more.
    pub removed: Vec<String>,
    /// There are no more targets than the subset holds: all are preferred, which is to prefer none.
    pub includes_all_targets: bool,
}

impl Subset {
    /// `own_index` is one of `initiators`; one beyond them counts as one more.
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

    /// The targets that may take new objects now. None: nothing has changed for this initiator.
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
        // With one target more than the subset holds, this initiator's targets may stay the same, but they are a
        // choice from then on.
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
