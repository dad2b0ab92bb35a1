//! Sites as the core sees them: what attempts, probes and the list tell of them, in the core's words.

use crate::core::message::Endpoint;
use crate::interface::{Micros, Outcome, TargetState};
use rowanglade_site_failover::{
    Command, FailoverConfig, SiteChange, SiteFailover, TargetState as SiteTargetState,
};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Which sites are judged, and by what figures.
#[derive(Clone, Debug)]
pub struct Watch {
    /// The zones that are sites; empty: all.
    pub names: BTreeSet<String>,
    pub rules: FailoverConfig,
    pub longest_advice: Duration,
}

/// The sites that are judged.
#[derive(Debug)]
pub(super) struct Watched {
    watch: Watch,
    sites: SiteFailover,
}

impl Watched {
    pub fn new(watch: Watch) -> Watched {
        let sites = SiteFailover::new(watch.rules);
        Watched { watch, sites }
    }

    /// A line of the list, before anything else holds for it.
    pub fn listed(&mut self, now: Micros, line: &Endpoint) {
        if self.watch.names.is_empty() || self.watch.names.contains(&line.zone) {
            self.sites.handle_endpoint(now, &line.name, &line.zone, line.shard, state(line.state));
        }
    }

    /// How an attempt or a probe ended. `heard`: the head of its answer came.
    pub fn ended(&mut self, now: Micros, name: &str, outcome: Outcome, heard: bool, took: Option<Micros>) {
        match outcome {
            Outcome::NotSent => {}
            Outcome::Served | Outcome::Error | Outcome::QueueFull | Outcome::DeadlineExceeded => {
                self.sites.handle_response(now, name, took.filter(|_| outcome == Outcome::Served));
            }
            _ if heard => self.sites.handle_response(now, name, None),
            Outcome::TimedOut | Outcome::Unreachable | Outcome::Broken | Outcome::Cancelled => {
                self.sites.handle_failure(now, name);
            }
        }
    }

    /// What holds for a line of which all others say this.
    pub fn view(&self, mut line: Endpoint) -> Endpoint {
        let (held, started) = self.sites.effective_state(&line.name, state(line.state), line.started);
        line.started = started;
        if held == SiteTargetState::Draining && line.state == TargetState::Active {
            line.state = TargetState::Draining;
        }
        line
    }

    /// The site without which a shard has nobody, and when to come back.
    pub fn refused(&self, now: Micros, shard: Option<u32>) -> Option<(Rc<str>, Duration)> {
        let (site, wait) = self.sites.lost_site_of_shard(now, shard?)?;
        Some((site.into(), Duration::from_micros(wait).min(self.watch.longest_advice)))
    }

    pub fn wake(&self, now: Micros) -> Option<Micros> {
        self.sites.next_timeout(now)
    }

    /// The targets to probe, and those for which something else holds now.
    pub fn poll(&mut self, now: Micros) -> (Vec<String>, Vec<String>) {
        let (mut probes, mut changed) = (Vec::new(), Vec::new());
        for command in self.sites.poll(now) {
            match command {
                Command::Probe(name) => probes.push(name),
                Command::SiteChanged { site, change } => {
                    tell(&site, change);
                    changed.extend(self.sites.targets_of(&site).map(str::to_string));
                }
            }
        }
        (probes, changed)
    }
}

fn tell(site: &str, change: SiteChange) {
    match change {
        SiteChange::Lost { failing, targets, ejection_time } => {
            tracing::warn!(site, failing, of = targets, hold_ms = ejection_time / 1_000, "a site is lost");
        }
        SiteChange::Returning { responding, targets } => {
            tracing::info!(site, answering = responding, of = targets, "a site returns");
        }
        SiteChange::RampRestarted { latency_percent } => {
            tracing::warn!(site, percent = latency_percent, "a returning site is slow; its ramp begins anew");
        }
        SiteChange::Recovered => tracing::info!(site, "a site is back"),
    }
}

fn state(listed: TargetState) -> SiteTargetState {
    match listed {
        TargetState::Active => SiteTargetState::Active,
        TargetState::Draining => SiteTargetState::Draining,
        TargetState::Removed => SiteTargetState::Removed,
    }
}
