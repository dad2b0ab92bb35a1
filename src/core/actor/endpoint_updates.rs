//! Changes of the known targets, and how they take effect: for the routes first, then for the scheduler, then
//! for the attempts that have not started.

use super::Core;
use crate::core::endpoint::{Endpoint, Protocol};
use crate::interface::{EndpointUpdateKind, Event, Micros, TargetId};

impl Core {
    /// An update of one list, or a part of one.
    pub(super) fn update_endpoints(
        &mut self,
        protocol: Protocol,
        kind: EndpointUpdateKind,
        entries: Vec<Endpoint>,
        more: bool,
    ) {
        let now = self.clock.now();
        let changed = self.endpoints.update(now, &mut self.names, protocol, kind, entries, more);
        self.apply_changes(&changed);
        if !more && self.readiness.accepts(kind) {
            self.update_readiness();
        }
    }

    /// Peers report that these targets drain: nothing new goes to them until discovery answers.
    pub(super) fn peers_report_draining(&mut self, targets: &[String]) {
        let changed = self.endpoints.report_draining(self.clock.now(), &self.names, targets);
        self.diagnostics.counters.drain_gossip_applied += changed.len() as u64;
        self.apply_changes(&changed);
    }

    /// Others than discovery have said that these targets drain or are back.
    pub(super) fn refresh_targets(&mut self, targets: &[TargetId], draining: bool) {
        let changed = self.endpoints.refresh(self.clock.now(), targets, draining);
        self.apply_changes(&changed);
    }

    /// Has changes of targets take effect.
    fn apply_changes(&mut self, changed: &[TargetId]) {
        if changed.is_empty() {
            return;
        }
        let entries = self.endpoints.entries(&self.names, changed);
        // The scheduler gets the target sets before the entries, which may dispatch queued requests.
        self.routes.apply_changes(self.endpoints.effective_of(changed));
        self.publish_target_sets();
        self.endpoints.bump_revision();
        self.publish_preferred_targets();
        self.apply_event(Event::EndpointsChanged { kind: EndpointUpdateKind::Delta, entries });
        self.cancel_unstarted_attempts();
        self.endpoints.drop_removed(changed);
    }

    /// Cancels what has not started at a target that takes nothing new, so that it need not wait for a
    /// connection that it may not use.
    fn cancel_unstarted_attempts(&mut self) {
        let endpoints = &self.endpoints;
        self.open_requests.cancel_unstarted(|attempt| {
            let target = endpoints.get(attempt.target);
            target.is_some_and(|target| target.is_active() && target.reported.addr == attempt.addr)
        });
    }

    /// What has become of sites by now.
    pub(super) fn poll_sites(&mut self, now: Micros) {
        let Some(actions) = self.endpoints.sites_mut().map(|sites| sites.poll(now)) else { return };
        let probes = self.listed_targets(&actions.probes);
        let changed = self.listed_targets(&actions.changed);
        if !changed.is_empty() {
            let held_out = |target: &TargetId| self.endpoints.is_suspended(self.clock.now(), *target);
            let (draining, back): (Vec<TargetId>, Vec<TargetId>) = changed.into_iter().partition(held_out);
            for (targets, draining) in [(draining, true), (back, false)] {
                if !targets.is_empty() {
                    self.refresh_targets(&targets, draining);
                }
            }
        }
        for target in probes {
            self.start_probe(now, target);
        }
    }

    fn listed_targets(&self, names: &[String]) -> Vec<TargetId> {
        let targets = names.iter().filter_map(|name| self.names.target(name));
        targets.filter(|target| self.endpoints.contains(*target)).collect()
    }

    /// Tells the scheduler whom routes let requests reach, where that has changed.
    pub(super) fn publish_target_sets(&mut self) {
        for event in self.routes.take_events() {
            self.apply_event(event);
        }
    }

    /// Tells the scheduler which targets this initiator's new objects go to, where the list has changed that.
    fn publish_preferred_targets(&mut self) {
        let Some(subset) = &mut self.subset else { return };
        let active = self.endpoints.active().map(|target| target.effective.name.clone());
        let Some(change) = subset.update_targets(active.collect()) else { return };
        let preferred = subset.preferred();
        if change.includes_all_targets && !preferred.is_empty() {
            tracing::warn!(targets = preferred.len(), "subset holds all targets, none preferred");
        } else {
            let (came, left) = (change.added.len(), change.removed.len());
            tracing::info!(?preferred, came, left, "preferred targets changed");
        }
        let preferred = preferred
            .iter()
            .filter(|_| !change.includes_all_targets)
            .filter_map(|name| self.names.target(name));
        let event = Event::PreferredTargetsChanged(preferred.collect());
        self.apply_event(event);
    }
}
