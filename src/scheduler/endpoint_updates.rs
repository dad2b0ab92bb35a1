//! What the list tells of targets.

use super::Scheduler;
use crate::interface::{Action, EndpointEntry, EndpointUpdateKind, Micros};
use rowanglade_slow_start as slow_start;

impl Scheduler {
    pub(super) fn list(
        &mut self,
        now: Micros,
        kind: EndpointUpdateKind,
        entries: &[EndpointEntry],
        actions: &mut Vec<Action>,
    ) {
        if matches!(kind, EndpointUpdateKind::Snapshot | EndpointUpdateKind::Cached) {
            self.targets.begin_whole_list();
        }
        for entry in entries {
            let started = entry.started.filter(|started| *started > 0);
            let known = self.targets.get(&entry.target);
            if !known.is_some_and(|target| target.started == started || started.is_none()) {
                let phase = self.rand();
                let warming = slow_start::Target::new(started.unwrap_or(0), now, phase);
                self.targets.replace(entry, now, warming);
            }
            self.targets.update(entry);
        }
        self.tick(now, actions);
    }
}
