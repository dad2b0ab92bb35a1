//! What attempts, probes and the endpoint list reveal of sites, and what follows for a site's targets.

use crate::core::endpoint::Endpoint;
use crate::interface::{Micros, Outcome, TargetState};
use rowanglade_site_failover as failover;
use rowanglade_site_failover::{Command, FailoverConfig, SiteChange, SiteFailover};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Which sites are judged, and by what figures.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// The zones that are sites; empty: all.
    pub names: BTreeSet<String>,
    /// When a site counts as lost, and how it returns.
    pub rules: FailoverConfig,
    /// The longest time for which a client is asked to stay away.
    pub max_retry_after: Duration,
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
    sites: SiteFailover,
}

impl SiteMonitor {
    pub(super) fn new(settings: SiteSettings) -> SiteMonitor {
        let sites = SiteFailover::new(settings.rules);
        SiteMonitor { settings, sites }
    }

    /// An entry of the list, before anything else holds for it.
    pub(super) fn endpoint_listed(&mut self, now: Micros, endpoint: &Endpoint) {
        let zone = &endpoint.zone;
        if self.settings.names.is_empty() || self.settings.names.contains(zone) {
            self.sites.handle_endpoint(now, &endpoint.name, zone, endpoint.shard, site_state(endpoint.state));
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
                self.sites.handle_response(now, target, elapsed.filter(|_| outcome == Outcome::Served));
            }
            _ if response_started => self.sites.handle_response(now, target, None),
            Outcome::TimedOut | Outcome::Unreachable | Outcome::Broken | Outcome::Cancelled => {
                self.sites.handle_failure(now, target);
            }
        }
    }

    /// What holds for an endpoint of which all others say this.
    pub(super) fn effective(&self, mut endpoint: Endpoint) -> Endpoint {
        let (state, started) =
            self.sites.effective_state(&endpoint.name, site_state(endpoint.state), endpoint.started);
        endpoint.started = started;
        if state == failover::TargetState::Draining && endpoint.state == TargetState::Active {
            endpoint.state = TargetState::Draining;
        }
        endpoint
    }

    /// The lost site without which a shard has no target, and when a client should come back.
    pub(super) fn unavailable(&self, now: Micros, shard: Option<u32>) -> Option<(Rc<str>, Duration)> {
        let (site, wait) = self.sites.lost_site_of_shard(now, shard?)?;
        Some((site.into(), Duration::from_micros(wait).min(self.settings.max_retry_after)))
    }

    /// When [`poll`](Self::poll) has something to do next.
    pub(super) fn next_wake(&self, now: Micros) -> Option<Micros> {
        self.sites.next_timeout(now)
    }

    /// What has become of sites by now.
    pub(super) fn poll(&mut self, now: Micros) -> SiteActions {
        let mut actions = SiteActions::default();
        for command in self.sites.poll(now) {
            match command {
                Command::Probe(target) => actions.probes.push(target),
                Command::SiteChanged { site, change } => {
                    log_change(&site, change);
                    actions.changed.extend(self.sites.targets_of(&site).map(str::to_string));
                }
            }
        }
        actions
    }
}

fn log_change(site: &str, change: SiteChange) {
    match change {
        SiteChange::Lost { failing, targets, ejection_time } => {
            tracing::warn!(site, failing, of = targets, hold_ms = ejection_time / 1_000, "site lost");
        }
        SiteChange::Returning { responding, targets } => {
            tracing::info!(site, answering = responding, of = targets, "site recovery started");
        }
        SiteChange::RampRestarted { latency_percent } => {
            tracing::warn!(
                site,
                percent = latency_percent,
                "returning site is slow, recovery ramp restarted"
            );
        }
        SiteChange::Recovered => tracing::info!(site, "site recovered"),
    }
}

fn site_state(state: TargetState) -> failover::TargetState {
    match state {
        TargetState::Active => failover::TargetState::Active,
        TargetState::Draining => failover::TargetState::Draining,
        TargetState::Removed => failover::TargetState::Removed,
    }
}
