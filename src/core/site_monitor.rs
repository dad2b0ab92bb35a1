//! Passes evidence from attempts, probes and the endpoint list to site failover, and applies its decisions to
//! the targets of each site.

use crate::core::endpoint::Endpoint;
use crate::interface::{Micros, Outcome, TargetState};
use rowanglade_site_failover as failover;
use rowanglade_site_failover::{Command, FailoverConfig, SiteChange, SiteFailover};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Which sites are monitored, and the parameters of site failover.
#[derive(Clone, Debug)]
pub struct SiteSettings {
    /// The zones that are monitored as sites; if empty, all zones.
    pub names: BTreeSet<String>,
    /// When a site counts as lost, and how it recovers.
    pub rules: FailoverConfig,
    /// The longest Retry-After that clients are given while a site is lost.
    pub max_retry_after: Duration,
}

/// The actions that follow from a poll.
#[derive(Debug, Default)]
pub(super) struct SiteActions {
    /// The targets to probe.
    pub(super) probes: Vec<String>,
    /// The targets whose state may have changed with that of their site.
    pub(super) changed: Vec<String>,
}

/// The state of the monitored sites.
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

    /// Records an endpoint list entry, as reported by discovery.
    pub(super) fn handle_endpoint(&mut self, now: Micros, endpoint: &Endpoint) {
        let zone = &endpoint.zone;
        if self.settings.names.is_empty() || self.settings.names.contains(zone) {
            self.sites.handle_endpoint(now, &endpoint.name, zone, endpoint.shard, site_state(endpoint.state));
        }
    }

    /// Records how an attempt or a probe ended. `elapsed` is used only if it was served.
    pub(super) fn handle_attempt_end(
        &mut self,
        now: Micros,
        target: &str,
        outcome: Outcome,
        response_started: bool,
        elapsed: Option<Micros>,
    ) {
        match outcome {
            Outcome::NotSent | Outcome::ClientAborted => {}
            Outcome::Served | Outcome::Error | Outcome::QueueFull | Outcome::DeadlineExceeded => {
                self.sites.handle_response(now, target, elapsed.filter(|_| outcome == Outcome::Served));
            }
            _ if response_started => self.sites.handle_response(now, target, None),
            Outcome::TimedOut | Outcome::Unreachable | Outcome::Broken | Outcome::Cancelled => {
                self.sites.handle_failure(now, target);
            }
        }
    }

    /// Applies the state of the endpoint's site to the endpoint.
    pub(super) fn effective(&self, mut endpoint: Endpoint) -> Endpoint {
        let (state, started) =
            self.sites.effective_state(&endpoint.name, site_state(endpoint.state), endpoint.started);
        endpoint.started = started;
        if state == failover::TargetState::Draining && endpoint.state == TargetState::Active {
            endpoint.state = TargetState::Draining;
        }
        endpoint
    }

    /// If all active targets of a shard are in lost sites: the site that may return soonest, and the Retry-After
    /// for clients. `None` otherwise, or if the shard has no active target.
    pub(super) fn unavailable(&self, now: Micros, shard: Option<u32>) -> Option<(Rc<str>, Duration)> {
        let (site, wait) = self.sites.lost_site_of_shard(now, shard?)?;
        Some((site.into(), Duration::from_micros(wait).min(self.settings.max_retry_after)))
    }

    /// When [`poll`](Self::poll) is due next.
    pub(super) fn next_wake(&self, now: Micros) -> Option<Micros> {
        self.sites.next_timeout(now)
    }

    /// Applies the state changes that are due, and returns the resulting actions.
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
