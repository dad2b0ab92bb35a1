//! Updates of an endpoint list: snapshots, which may arrive in parts, and deltas.

use super::{Endpoints, PartialSnapshot, Target, maintenance_state};
use crate::core::endpoint::{Endpoint, Protocol};
use crate::interface::{EndpointUpdateKind, Micros, TargetId, TargetState};
use crate::names::Names;
use std::collections::HashSet;

impl Endpoints {
    /// Applies an update of one list, or a part of one, and returns the targets that changed. Targets of
    /// other protocols are not in that list and remain unchanged.
    pub(in crate::core) fn update(
        &mut self,
        now: Micros,
        names: &mut Names,
        protocol: Protocol,
        kind: EndpointUpdateKind,
        mut entries: Vec<Endpoint>,
        more: bool,
    ) -> Vec<TargetId> {
        if matches!(kind, EndpointUpdateKind::Snapshot | EndpointUpdateKind::Cached) {
            entries.extend(self.missing_from_snapshot(names, protocol, &entries, more));
        }
        if protocol == Protocol::Http {
            if kind == EndpointUpdateKind::Delta && !more {
                entries.extend(self.gossip_superseded_by(&entries));
            }
            if !more {
                self.draining_by_gossip.clear();
            }
        }
        entries.into_iter().filter_map(|reported| self.update_entry(now, names, reported)).collect()
    }

    /// Records which targets a part of a snapshot contains. With the last part, returns the targets of this
    /// list that no part contained, as removed.
    fn missing_from_snapshot(
        &mut self,
        names: &mut Names,
        protocol: Protocol,
        entries: &[Endpoint],
        more: bool,
    ) -> Vec<Endpoint> {
        let partial = self.partial_snapshot.take().filter(|partial| partial.protocol == protocol);
        let mut members = partial.map_or_else(HashSet::new, |partial| partial.members);
        members.extend(entries.iter().map(|reported| names.intern_target(&reported.name)));
        if more {
            self.partial_snapshot = Some(PartialSnapshot { protocol, members });
            return Vec::new();
        }
        let listed = self.targets.iter().filter(|(_, target)| target.reported.protocol == protocol);
        let missing = listed.filter(|(id, _)| !members.contains(id));
        missing
            .map(|(_, target)| Endpoint { state: TargetState::Removed, ..target.reported.clone() })
            .collect()
    }

    /// The targets that peers reported as draining and that are not in a delta from discovery, with the state
    /// that discovery last reported: discovery has answered, so its own report is valid again.
    fn gossip_superseded_by(&self, changes: &[Endpoint]) -> Vec<Endpoint> {
        let changed: HashSet<&str> = changes.iter().map(|change| change.name.as_str()).collect();
        let draining = self.draining_by_gossip.iter().filter_map(|id| self.targets.get(id));
        let unchanged = draining.filter(|target| !changed.contains(target.reported.name.as_str()));
        unchanged.map(|target| Endpoint { state: TargetState::Active, ..target.reported.clone() }).collect()
    }

    /// Applies an entry of a list. `None` if it changes nothing.
    fn update_entry(&mut self, now: Micros, names: &mut Names, reported: Endpoint) -> Option<TargetId> {
        let id = names.intern_target(&reported.name);
        if reported.protocol == Protocol::Http {
            // Discovery's report supersedes the peers'.
            self.draining_by_gossip.remove(&id);
        }
        self.maintenance.handle_endpoint_report(
            &reported.name,
            maintenance_state(reported.state),
            reported.started,
        );
        if let Some(sites) = &mut self.sites {
            sites.handle_endpoint(now, &reported);
        }
        self.check_clock(now, id, &reported);
        let effective = self.effective(now, &reported);
        match self.targets.get_mut(&id) {
            Some(target) if target.reported.addr == reported.addr => {
                // A start time in the future is replaced by the time at which it was first reported.
                let same_start = target.reported.started == reported.started;
                let started = if same_start { target.effective.started } else { effective.started };
                let effective = Endpoint { started, ..effective };
                let changed = target.effective != effective;
                (target.reported, target.effective) = (reported, effective);
                changed.then_some(id)
            }
            None if reported.state == TargetState::Removed => None,
            _ => {
                // iSCSI sessions are kept open even while unused.
                let mailbox = (reported.protocol == Protocol::Iscsi).then(|| self.start_actor(&effective));
                self.targets.insert(id, Target { reported, effective, mailbox });
                Some(id)
            }
        }
    }

    /// Uses the restart of a target to detect that this process's clock is ahead.
    fn check_clock(&mut self, now: Micros, id: TargetId, reported: &Endpoint) {
        let before = self.targets.get(&id).map(|target| target.reported.started);
        if let (Some(before), Some(started)) = (before, reported.started)
            && before != reported.started
            && self.start_times.learn_from_restart(now, started)
        {
            tracing::warn!(target = reported.name, "wall clock was ahead at start");
        }
    }
}
