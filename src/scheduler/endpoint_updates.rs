//! Updates of the endpoint list.

use super::Scheduler;
use crate::interface::{Action, EndpointEntry, EndpointUpdateKind, Micros};
use rowanglade_slow_start::TargetBudget;

impl Scheduler {
    /// Applies endpoint entries. A target that is new, or has restarted, begins without learned state. A
    /// target that drains or is removed gets no new attempts: requests that are queued for it wait for
    /// another target of its shard, and attempts in flight there run to their end.
    pub(super) fn endpoints_changed(
        &mut self,
        now: Micros,
        kind: EndpointUpdateKind,
        entries: &[EndpointEntry],
        actions: &mut Vec<Action>,
    ) {
        if matches!(kind, EndpointUpdateKind::Snapshot | EndpointUpdateKind::Cached) {
            self.targets.begin_snapshot();
        }
        for entry in entries {
            if self.is_new_start(entry) {
                let phase = self.random.next_fraction();
                let slow_start = TargetBudget::new(entry.started.unwrap_or(0), now, phase);
                self.targets.replace(entry, now, slow_start);
            }
            self.targets.update(entry);
        }
        self.tick(now, actions);
    }

    /// Whether an entry names an unknown target, or another start of a known one. A start time of 0 or none
    /// does not show a restart.
    fn is_new_start(&self, entry: &EndpointEntry) -> bool {
        let started = entry.started.filter(|started| *started > 0);
        let known_target = self.targets.get(&entry.target);
        !known_target.is_some_and(|target| target.started == started || started.is_none())
    }
}
