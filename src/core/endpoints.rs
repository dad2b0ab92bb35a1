//! The listed targets. Discovery, peers, operators and site failover each report a state for a target; its
//! effective state follows from all of them.

mod updates;

use crate::core::attempt::{Connect, TargetMessage};
use crate::core::endpoint::{Endpoint, Protocol};
use crate::core::site_monitor::{SiteMonitor, SiteSettings};
use crate::core::start_times::StartTimes;
use crate::interface::{EndpointEntry, Micros, ShardId, TargetId, TargetState};
use crate::names::Names;
use rowanglade_maintenance::{Maintenance, State};
use std::collections::{BTreeMap, BTreeSet, HashSet};
use tokio::sync::{mpsc, watch};

/// A listed target.
pub(super) struct Target {
    /// The entry as reported by its list, or by peers while discovery does not answer.
    pub(super) reported: Endpoint,
    /// The entry in effect: as reported, with maintenance and site failover applied.
    pub(super) effective: Endpoint,
    /// The mailbox of its actor; absent until the actor is first needed.
    mailbox: Option<mpsc::Sender<TargetMessage>>,
}

impl Target {
    /// Whether it accepts new requests.
    pub(super) fn is_active(&self) -> bool {
        self.effective.state == TargetState::Active
    }
}

/// A snapshot of which some parts have arrived.
struct PartialSnapshot {
    protocol: Protocol,
    /// The targets in the parts received so far.
    members: HashSet<TargetId>,
}

/// All listed targets. Applying an update looks at each of its entries; the cost beyond that is proportional
/// to the number of changed targets.
pub(super) struct Endpoints {
    targets: BTreeMap<TargetId, Target>,
    /// Targets that drain according to peers' gossip, while discovery does not answer.
    draining_by_gossip: BTreeSet<TargetId>,
    /// Absent while no snapshot is incomplete.
    partial_snapshot: Option<PartialSnapshot>,
    maintenance: Maintenance,
    /// Absent where site failover is disabled.
    sites: Option<SiteMonitor>,
    start_times: StartTimes,
    connect: Connect,
    /// Incremented with every change that takes effect.
    revision: watch::Sender<u64>,
}

impl Endpoints {
    /// An empty list of targets.
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

    /// The targets that accept new requests. Iterates over all targets: use it only where the list has
    /// changed.
    pub(super) fn active(&self) -> impl Iterator<Item = &Target> {
        self.targets.values().filter(|target| target.is_active())
    }

    pub(super) fn sites(&self) -> Option<&SiteMonitor> {
        self.sites.as_ref()
    }

    pub(super) fn sites_mut(&mut self) -> Option<&mut SiteMonitor> {
        self.sites.as_mut()
    }

    /// The site monitor, together with the name by which it identifies the target. `None`: the target is not
    /// listed, or site failover is disabled.
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

    /// Replaces the maintenance state by another process's. It takes effect with [`refresh`](Self::refresh).
    pub(super) fn set_maintenance(&mut self, maintenance: Maintenance) {
        self.maintenance = maintenance;
    }

    /// Marks targets as draining that peers report as such, until discovery answers: no new requests are sent
    /// to them. Returns the targets that changed.
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

    /// Applies maintenance and site failover to a reported endpoint.
    pub(super) fn effective(&self, now: Micros, reported: &Endpoint) -> Endpoint {
        let started = reported.started.map(|started| self.start_times.on_clock(now, started));
        let (state, started) =
            self.maintenance.effective_state(&reported.name, maintenance_state(reported.state), started);
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

    /// Whether maintenance or a lost site keeps requests from a target. A target that discovery reports as
    /// draining is not suspended because of its site: its actor would not be notified when the site returns.
    pub(super) fn is_suspended(&self, now: Micros, id: TargetId) -> bool {
        self.targets.get(&id).is_some_and(|target| {
            let suspended_by_site = target.reported.state == TargetState::Active
                && self.effective(now, &target.reported).state == TargetState::Draining;
            suspended_by_site || self.maintenance.is_in_maintenance(&target.reported.name)
        })
    }

    /// Re-evaluates targets whose state was changed by a source other than discovery, and notifies their
    /// actors. Returns the targets that changed.
    pub(super) fn refresh(&mut self, now: Micros, targets: &[TargetId], suspended: bool) -> Vec<TargetId> {
        let mut changed = Vec::with_capacity(targets.len());
        for id in targets {
            let Some(target) = self.targets.get(id) else { continue };
            let effective = self.effective(now, &target.reported);
            let Some(target) = self.targets.get_mut(id) else { continue };
            if target.effective != effective {
                target.effective = effective;
                changed.push(*id);
            }
            // An actor that starts later is notified on start.
            if let Some(mailbox) = &target.mailbox
                && mailbox.try_send(TargetMessage::SetSuspended(suspended)).is_err()
            {
                tracing::warn!(
                    target = target.reported.name,
                    "suspension not sent to target's connections, mailbox full"
                );
            }
        }
        changed
    }

    /// Starts the actor of a target and returns its mailbox.
    fn start_actor(&self, endpoint: &Endpoint) -> mpsc::Sender<TargetMessage> {
        let mailbox = (self.connect)(endpoint);
        if self.maintenance.is_in_maintenance(&endpoint.name) {
            // A new mailbox has room.
            let _ = mailbox.try_send(TargetMessage::SetSuspended(true));
        }
        mailbox
    }

    /// The mailbox of a target's actor, which is started on first use. `None`: the target is not listed.
    pub(super) fn mailbox(&mut self, id: TargetId) -> Option<mpsc::Sender<TargetMessage>> {
        let target = self.targets.get(&id)?;
        if let Some(mailbox) = &target.mailbox {
            return Some(mailbox.clone());
        }
        let mailbox = self.start_actor(&target.effective);
        self.targets.get_mut(&id)?.mailbox = Some(mailbox.clone());
        Some(mailbox)
    }

    /// The effective state of those of the given targets that are listed.
    pub(super) fn effective_of(&self, ids: &[TargetId]) -> impl Iterator<Item = (TargetId, &Endpoint)> {
        ids.iter().filter_map(|id| Some((*id, &self.targets.get(id)?.effective)))
    }

    /// The same as [`effective_of`](Self::effective_of), in the scheduler's representation.
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

    /// Announces to subscribers that a change has taken effect.
    pub(super) fn bump_revision(&self) {
        self.revision.send_modify(|revision| *revision += 1);
    }

    /// Deletes those of the given targets that are removed.
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
