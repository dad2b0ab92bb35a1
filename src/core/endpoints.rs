//! The known targets: what discovery, peers, operators and judged sites say of each, and what follows from
//! all of them.

use crate::core::attempt::{Connect, TargetMessage};
use crate::core::endpoint::{Endpoint, Protocol};
use crate::core::site_monitor::{SiteMonitor, SiteSettings};
use crate::core::start_times::StartTimes;
use crate::interface::{EndpointEntry, EndpointUpdateKind, Micros, ShardId, TargetId, TargetState};
use crate::names::Names;
use rowanglade_maintenance::{Maintenance, State};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use tokio::sync::{mpsc, watch};

/// A target that is listed.
pub(super) struct Target {
    /// As its list has it, or, where discovery does not answer, as peers report it.
    pub(super) reported: Endpoint,
    /// As it holds, with maintenance and what is known of its site.
    pub(super) effective: Endpoint,
    /// Of its actor; absent until it is needed.
    mailbox: Option<mpsc::Sender<TargetMessage>>,
}

impl Target {
    /// Whether it may be sent requests.
    pub(super) fn is_active(&self) -> bool {
        self.effective.state == TargetState::Active
    }
}

/// A snapshot that comes in parts.
struct PartialSnapshot {
    protocol: Protocol,
    /// The targets that the parts so far have named.
    members: HashSet<TargetId>,
}

/// All listed targets. What a change costs goes with what has changed, beyond a look at each entry that came.
pub(super) struct Endpoints {
    targets: BTreeMap<TargetId, Target>,
    /// Targets that peers report as draining, while discovery itself has not been heard.
    draining_by_gossip: BTreeSet<TargetId>,
    /// Absent: no part of a snapshot has come.
    partial_snapshot: Option<PartialSnapshot>,
    maintenance: Maintenance,
    /// Absent where sites are not judged.
    sites: Option<SiteMonitor>,
    start_times: StartTimes,
    connect: Connect,
    /// Grows with every change that takes effect.
    revision: watch::Sender<u64>,
}

impl Endpoints {
    /// Without any target.
    pub(super) fn new(
        connect: Connect,
        sites: Option<SiteSettings>,
        revision: watch::Sender<u64>,
    ) -> Endpoints {
        Endpoints {
            targets: BTreeMap::new(),
            draining_by_gossip: BTreeSet::new(),
            partial_snapshot: None,
            maintenance: Maintenance::default(),
            sites: sites.map(SiteMonitor::new),
            start_times: StartTimes::default(),
            connect,
            revision,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.targets.len()
    }

    pub(super) fn get(&self, target: TargetId) -> Option<&Target> {
        self.targets.get(&target)
    }

    pub(super) fn contains(&self, target: TargetId) -> bool {
        self.targets.contains_key(&target)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (TargetId, &Target)> {
        self.targets.iter().map(|(id, target)| (*id, target))
    }

    /// The targets that may be sent requests. Looks through all: for what comes with a change.
    pub(super) fn active(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().filter(|target| target.is_active())
    }

    pub(super) fn sites(&self) -> Option<&SiteMonitor> {
        self.sites.as_ref()
    }

    pub(super) fn sites_mut(&mut self) -> Option<&mut SiteMonitor> {
        self.sites.as_mut()
    }

    /// The sites, with the name of a listed target by which they know it.
    pub(super) fn site_of(&mut self, target: TargetId) -> Option<(&mut SiteMonitor, &str)> {
        let name = &self.targets.get(&target)?.reported.name;
        Some((self.sites.as_mut()?, name))
    }

    pub(super) fn maintenance(&self) -> &Maintenance {
        &self.maintenance
    }

    pub(super) fn maintenance_mut(&mut self) -> &mut Maintenance {
        &mut self.maintenance
    }

    /// Takes over another process's maintenance. [`refresh`](Self::refresh) has it take effect.
    pub(super) fn set_maintenance(&mut self, maintenance: Maintenance) {
        self.maintenance = maintenance;
    }

    /// Takes an update of one list, or a part of one, and returns the targets that it changed. Targets of
    /// another protocol are not in that list, and stay.
    pub(super) fn update(
        &mut self,
        now: Micros,
        names: &mut Names,
        protocol: Protocol,
        kind: EndpointUpdateKind,
        mut entries: Vec<Endpoint>,
        more: bool,
    ) -> Vec<TargetId> {
        if matches!(kind, EndpointUpdateKind::Snapshot | EndpointUpdateKind::Cached) {
            entries.extend(self.left_out_of_snapshot(names, protocol, &entries, more));
        }
        if protocol == Protocol::Http {
            if kind == EndpointUpdateKind::Delta && !more {
                entries.extend(self.gossip_refuted_by(&entries));
            }
            if !more {
                self.draining_by_gossip.clear();
            }
        }
        entries.into_iter().filter_map(|reported| self.update_entry(now, names, reported)).collect()
    }

    /// Notes whom a part of a snapshot names. At the snapshot's end: the targets of its list that no part has
    /// named, as removed.
    fn left_out_of_snapshot(
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
        let left_out = listed.filter(|(id, _)| !members.contains(id));
        left_out
            .map(|(_, target)| Endpoint { state: TargetState::Removed, ..target.reported.clone() })
            .collect()
    }

    /// The targets that peers reported as draining, and of which discovery, which has been heard now, tells no
    /// change: as discovery had them.
    fn gossip_refuted_by(&self, changes: &[Endpoint]) -> Vec<Endpoint> {
        let changed: HashSet<&str> = changes.iter().map(|change| change.name.as_str()).collect();
        let draining = self.draining_by_gossip.iter().filter_map(|id| self.targets.get(id));
        let unchanged = draining.filter(|target| !changed.contains(target.reported.name.as_str()));
        unchanged.map(|target| Endpoint { state: TargetState::Active, ..target.reported.clone() }).collect()
    }

    /// Takes an entry of a list. `None`: it changes nothing.
    fn update_entry(&mut self, now: Micros, names: &mut Names, reported: Endpoint) -> Option<TargetId> {
        let id = names.intern_target(&reported.name);
        if reported.protocol == Protocol::Http {
            // Discovery's own word holds again.
            self.draining_by_gossip.remove(&id);
        }
        self.maintenance.endpoint_reported(
            &reported.name,
            maintenance_state(reported.state),
            reported.started,
        );
        if let Some(sites) = &mut self.sites {
            sites.endpoint_listed(now, &reported);
        }
        self.check_clock(now, id, &reported);
        let effective = self.effective(now, &reported);
        match self.targets.get_mut(&id) {
            Some(target) if target.reported.addr == reported.addr => {
                // A start that lay in the future counts from when it was reported first.
                let same_start = target.reported.started == reported.started;
                let started = if same_start { target.effective.started } else { effective.started };
                let effective = Endpoint { started, ..effective };
                let changed = target.effective != effective;
                (target.reported, target.effective) = (reported, effective);
                changed.then_some(id)
            }
            None if reported.state == TargetState::Removed => None,
            _ => {
                // Sessions are kept up whether or not they are used.
                let mailbox = (reported.protocol == Protocol::Iscsi).then(|| self.start_actor(&effective));
                self.targets.insert(id, Target { reported, effective, mailbox });
                Some(id)
            }
        }
    }

    /// Learns from a target's restart whether this process's clock is ahead.
    fn check_clock(&mut self, now: Micros, id: TargetId, reported: &Endpoint) {
        let before = self.targets.get(&id).map(|target| target.reported.started);
        if let (Some(before), Some(started)) = (before, reported.started)
            && before != reported.started
            && self.start_times.restarted(now, started)
        {
            tracing::warn!(target = reported.name, "the wall clock was ahead when this process started");
        }
    }

    /// Peers report that these targets drain: nothing new goes to them until discovery is heard. Returns the
    /// targets that this changed.
    pub(super) fn report_draining(
        &mut self,
        now: Micros,
        names: &Names,
        targets: &[String],
    ) -> Vec<TargetId> {
        let mut changed = Vec::with_capacity(targets.len());
        for id in targets.iter().filter_map(|name| names.target(name)) {
            let target = self.targets.get_mut(&id);
            let Some(target) = target.filter(|t| t.reported.state == TargetState::Active) else { continue };
            target.reported.state = TargetState::Draining;
            let reported = target.reported.clone();
            let effective = self.effective(now, &reported);
            self.targets.entry(id).and_modify(|target| target.effective = effective);
            self.draining_by_gossip.insert(id);
            changed.push(id);
        }
        changed
    }

    /// An endpoint as it holds, with maintenance and what is known of its site.
    pub(super) fn effective(&self, now: Micros, reported: &Endpoint) -> Endpoint {
        let started = reported.started.map(|started| self.start_times.on_clock(now, started));
        let (state, started) =
            self.maintenance.view(&reported.name, maintenance_state(reported.state), started);
        let state = match state {
            State::Active => TargetState::Active,
            State::Draining => TargetState::Draining,
            State::Removed => TargetState::Removed,
        };
        let endpoint = Endpoint { state, started, ..reported.clone() };
        match &self.sites {
            Some(sites) => sites.effective(endpoint),
            None => endpoint,
        }
    }

    /// Whether maintenance or a lost site keeps requests from a target. One that discovery has drain is not
    /// held by its site: nobody would tell its connections that it is back.
    pub(super) fn is_held_out(&self, now: Micros, id: TargetId) -> bool {
        self.targets.get(&id).is_some_and(|target| {
            let held_by_site = target.reported.state == TargetState::Active
                && self.effective(now, &target.reported).state == TargetState::Draining;
            held_by_site || self.maintenance.is_out(&target.reported.name)
        })
    }

    /// Works out anew what holds for targets, of which others than discovery have said that they drain or are
    /// back, and tells their actors. Returns the targets that this changed.
    pub(super) fn refresh(&mut self, now: Micros, targets: &[TargetId], draining: bool) -> Vec<TargetId> {
        let mut changed = Vec::with_capacity(targets.len());
        for id in targets {
            let Some(target) = self.targets.get(id) else { continue };
            let effective = self.effective(now, &target.reported);
            let Some(target) = self.targets.get_mut(id) else { continue };
            if target.effective != effective {
                target.effective = effective;
                changed.push(*id);
            }
            // An actor that begins later is told then.
            if let Some(mailbox) = &target.mailbox
                && mailbox.try_send(TargetMessage::SetDraining(draining)).is_err()
            {
                tracing::warn!(
                    target = target.reported.name,
                    "its connections are not told that it rests or is back"
                );
            }
        }
        changed
    }

    /// The mailbox of a new actor for a target.
    fn start_actor(&self, endpoint: &Endpoint) -> mpsc::Sender<TargetMessage> {
        let mailbox = (self.connect)(endpoint);
        if self.maintenance.is_out(&endpoint.name) {
            // A new mailbox has room.
            let _ = mailbox.try_send(TargetMessage::SetDraining(true));
        }
        mailbox
    }

    /// The mailbox of a target's actor, which begins with its first message. `None`: it is not listed.
    pub(super) fn mailbox(&mut self, id: TargetId) -> Option<mpsc::Sender<TargetMessage>> {
        let target = self.targets.get(&id)?;
        if let Some(mailbox) = &target.mailbox {
            return Some(mailbox.clone());
        }
        let mailbox = self.start_actor(&target.effective);
        self.targets.get_mut(&id)?.mailbox = Some(mailbox.clone());
        Some(mailbox)
    }

    /// The listed ones of these targets, as they hold.
    pub(super) fn effective_of(&self, ids: &[TargetId]) -> impl Iterator<Item = (TargetId, &Endpoint)> {
        ids.iter().filter_map(|id| Some((*id, &self.targets.get(id)?.effective)))
    }

    /// The same, as the scheduler is told.
    pub(super) fn entries(&self, names: &Names, ids: &[TargetId]) -> Vec<EndpointEntry> {
        let entry = |(target, endpoint): (TargetId, &Endpoint)| EndpointEntry {
            target,
            shard: ShardId(endpoint.shard),
            zone: names.zone(&endpoint.zone),
            state: endpoint.state,
            started: endpoint.started,
        };
        self.effective_of(ids).map(entry).collect()
    }

    /// Counts a change that has taken effect, for those who wait for one.
    pub(super) fn bump_revision(&self) {
        self.revision.send_modify(|revision| *revision += 1);
    }

    /// Forgets those of these targets that are removed.
    pub(super) fn drop_removed(&mut self, ids: &[TargetId]) {
        for id in ids {
            if self.targets.get(id).is_some_and(|target| target.effective.state == TargetState::Removed) {
                self.targets.remove(id);
            }
        }
    }
}

fn maintenance_state(state: TargetState) -> State {
    match state {
        TargetState::Active => State::Active,
        TargetState::Draining => State::Draining,
        TargetState::Removed => State::Removed,
    }
}
