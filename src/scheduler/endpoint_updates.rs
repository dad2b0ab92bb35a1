//! What an update of the endpoint list changes.

use super::Scheduler;
use crate::interface::{Action, EndpointEntry, EndpointUpdateKind, Micros};
use rowanglade_slow_start::TargetBudget;

impl Scheduler {
    /// Takes over endpoint entries. A target that is new, or has started again, begins without anything that
    /// was learned. One that drains or is removed gets nothing new; what waits for it waits for another
    /// target of its shard, and what is in flight there ends by itself.
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

    /// Whether an entry names a target that is not known, or another start of a known one. A start of 0 or
    /// none says nothing.
    fn is_new_start(&self, entry: &EndpointEntry) -> bool {
        let started = entry.started.filter(|started| *started > 0);
        let known = self.targets.get(&entry.target);
        !known.is_some_and(|target| target.started == started || started.is_none())
    }
}
