//! Which targets a request may be sent to: its shard's active target within its route's target set.

use super::Scheduler;
use crate::interface::{ShardId, TargetId, TargetSetId, TargetState};
use std::collections::{BTreeMap, BTreeSet};

/// The target sets of routes, and the targets that this initiator prefers for new objects.
#[derive(Default)]
pub(super) struct TargetSets {
    /// The targets of each set, in the order of their ids.
    sets: BTreeMap<TargetSetId, Vec<TargetId>>,
    /// The preferred targets; empty: this initiator has no preference.
    pub preferred: BTreeSet<TargetId>,
}

impl TargetSets {
    /// Replaces the targets of a set; absent: no request has the set any more.
    pub fn set(&mut self, set: TargetSetId, targets: Option<Vec<TargetId>>) {
        match targets {
            Some(mut targets) => {
                targets.sort_unstable();
                targets.dedup();
                self.sets.insert(set, targets);
            }
            None => drop(self.sets.remove(&set)),
        }
    }

    /// The targets of a set, none if they were never set.
    pub fn members(&self, set: TargetSetId) -> &[TargetId] {
        self.sets.get(&set).map_or(&[], Vec::as_slice)
    }

    /// Whether requests with this target set may be sent to a target.
    pub fn allows(&self, set: Option<TargetSetId>, target: TargetId) -> bool {
        set.is_none_or(|set| self.members(set).binary_search(&target).is_ok())
    }
}

impl Scheduler {
    /// The target that the requests of a shard are sent to: of the active targets that the target set allows,
    /// the one that started last, since a target and its successor hold the same shard.
    pub(super) fn serving_target(&self, shard: ShardId, set: Option<TargetSetId>) -> Option<TargetId> {
        let active = self.targets.of_shard(shard).filter(|(_, target)| target.state == TargetState::Active);
        let allowed = active.filter(|(id, _)| self.target_sets.allows(set, *id));
        allowed.max_by_key(|(_, target)| target.started).map(|(id, _)| id)
    }

    /// Whether an active target is in a request's target set.
    pub(super) fn set_has_active_target(&self, set: Option<TargetSetId>) -> bool {
        set.is_none_or(|set| {
            self.target_sets.members(set).iter().any(|target| self.targets.active().contains(target))
        })
    }
}
