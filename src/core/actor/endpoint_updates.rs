//! Applies changes of the listed targets: first to the routes, then to the scheduler, then to attempts that
//! have not started.

use super::Core;
use crate::core::endpoint::{Endpoint, Protocol};
use crate::interface::{EndpointUpdateKind, Event, Micros, TargetId};

impl Core {
    /// Applies an update of one endpoint list, or a part of one.
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

    /// Peers report these targets as draining: no new requests are sent to them until discovery answers.
    pub(super) fn handle_drain_gossip(&mut self, targets: &[String]) {
        let changed = self.endpoints.report_draining(self.clock.now(), &self.names, targets);
        self.diagnostics.counters.drain_gossip_applied += changed.len() as u64;
        self.apply_changes(&changed);
    }

    /// Re-evaluates targets whose state was changed by a source other than discovery.
    pub(super) fn refresh_targets(&mut self, targets: &[TargetId], draining: bool) {
        let changed = self.endpoints.refresh(self.clock.now(), targets, draining);
        self.apply_changes(&changed);
    }

    /// Publishes changed targets to the routes, the scheduler and attempts that have not started.
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

    /// Cancels attempts that have not started and whose target no longer accepts new requests, so that they
    /// do not wait for a connection that they may not use.
    fn cancel_unstarted_attempts(&mut self) {
        let endpoints = &self.endpoints;
        self.open_requests.cancel_unstarted(|attempt| {
            let target = endpoints.get(attempt.target);
            target.is_some_and(|target| target.is_active() && target.reported.addr == attempt.addr)
        });
    }

    /// Applies the site failover decisions that are due.
    pub(super) fn poll_sites(&mut self, now: Micros) {
        let Some(actions) = self.endpoints.sites_mut().map(|sites| sites.poll(now)) else { return };
        let probes = self.listed_targets(&actions.probes);
        let changed = self.listed_targets(&actions.changed);
        if !changed.is_empty() {
            let is_suspended = |target: &TargetId| self.endpoints.is_suspended(self.clock.now(), *target);
            let (draining, active): (Vec<TargetId>, Vec<TargetId>) =
                changed.into_iter().partition(is_suspended);
            for (targets, draining) in [(draining, true), (active, false)] {
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

    /// Informs the scheduler about target sets that have changed.
    pub(super) fn publish_target_sets(&mut self) {
        for event in self.routes.take_events() {
            self.apply_event(event);
        }
    }

    /// Informs the scheduler which targets this initiator prefers for new objects, if the list has changed
    /// them.
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
