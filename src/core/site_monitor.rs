//! What attempts, probes and the endpoint list reveal of sites, and what follows for a site's targets.

use crate::core::endpoint::Endpoint;
use crate::interface::{Micros, Outcome, TargetState};
use rowanglade_site_failover::{Change, Order, Rules, Sites, State};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Which sites are judged, and by what figures.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// The zones that are sites; empty: all.
    pub names: BTreeSet<String>,
    /// When a site counts as lost, and how it returns.
    pub rules: Rules,
    /// The longest time for which a client is asked to stay away.
    pub longest_advice: Duration,
}

/// What is to be done about sites.
#[derive(Debug, Default)]
pub(super) struct SiteActions {
    /// The targets to probe.
    pub(super) probes: Vec<String>,
    /// The targets whose state may have changed with their site's.
    pub(super) changed: Vec<String>,
}

/// The sites that are judged.
#[derive(Debug)]
pub(super) struct SiteMonitor {
    settings: SiteSettings,
    sites: Sites,
}

impl SiteMonitor {
    pub(super) fn new(settings: SiteSettings) -> SiteMonitor {
        let sites = Sites::new(settings.rules);
        SiteMonitor { settings, sites }
    }

    /// An entry of the list, before anything else holds for it.
    pub(super) fn endpoint_listed(&mut self, now: Micros, endpoint: &Endpoint) {
        let zone = &endpoint.zone;
        if self.settings.names.is_empty() || self.settings.names.contains(zone) {
            self.sites.listed(now, &endpoint.name, zone, endpoint.shard, site_state(endpoint.state));
        }
    }

    /// How an attempt or a probe ended. `elapsed` is what a served one took.
    pub(super) fn attempt_ended(
        &mut self,
        now: Micros,
        target: &str,
        outcome: Outcome,
        response_started: bool,
        elapsed: Option<Micros>,
    ) {
        match outcome {
            Outcome::NotSent => {}
            Outcome::Served | Outcome::Error | Outcome::QueueFull | Outcome::DeadlineExceeded => {
                self.sites.answered(now, target, elapsed.filter(|_| outcome == Outcome::Served));
            }
            _ if response_started => self.sites.answered(now, target, None),
            Outcome::TimedOut | Outcome::Unreachable | Outcome::Broken | Outcome::Cancelled => {
                self.sites.failed(now, target);
            }
        }
    }

    /// What holds for an endpoint of which all others say this.
    pub(super) fn effective(&self, mut endpoint: Endpoint) -> Endpoint {
        let (state, started) = self.sites.view(&endpoint.name, site_state(endpoint.state), endpoint.started);
        endpoint.started = started;
        if state == State::Draining && endpoint.state == TargetState::Active {
            endpoint.state = TargetState::Draining;
        }
        endpoint
    }

    /// The lost site without which a shard has no target, and when a client should come back.
    pub(super) fn unavailable(&self, now: Micros, shard: Option<u32>) -> Option<(Rc<str>, Duration)> {
        let (site, wait) = self.sites.refused(now, shard?)?;
        Some((site.into(), Duration::from_micros(wait).min(self.settings.longest_advice)))
    }

    /// When [`poll`](Self::poll) has something to do next.
    pub(super) fn next_wake(&self, now: Micros) -> Option<Micros> {
        self.sites.wake(now)
    }

    /// What has become of sites by now.
    pub(super) fn poll(&mut self, now: Micros) -> SiteActions {
        let mut actions = SiteActions::default();
        for order in self.sites.poll(now) {
            match order {
                Order::Probe(target) => actions.probes.push(target),
                Order::Changed(site, change) => {
                    log_change(&site, change);
                    actions.changed.extend(self.sites.targets_of(&site).map(str::to_string));
                }
            }
        }
        actions
    }
}

fn log_change(site: &str, change: Change) {
    match change {
        Change::Lost { failing, of, hold } => {
            tracing::warn!(site, failing, of, hold_ms = hold / 1_000, "site lost");
        }
        Change::Returning { answering, of } => tracing::info!(site, answering, of, "site recovery started"),
        Change::Slowed { percent } => {
            tracing::warn!(site, percent, "returning site is slow, recovery ramp restarted");
        }
        Change::Back => tracing::info!(site, "site recovered"),
    }
}

fn site_state(state: TargetState) -> State {
    match state {
        TargetState::Active => State::In,
        TargetState::Draining => State::Draining,
        TargetState::Removed => State::Gone,
    }
}
