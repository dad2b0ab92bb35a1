//! Sites as the core sees them: what attempts, probes and the list tell of them, in the core's words.

use crate::core::message::Endpoint;
use crate::interface::{Micros, Outcome, TargetState};
use rowanglade_site_failover::{Change, Order, Rules, Sites, State};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

/// Which sites are judged, and by what figures.
#[derive(Clone, Debug)]
pub struct Watch {
    /// The zones that are sites; empty: all.
    pub names: BTreeSet<String>,
    pub rules: Rules,
    pub longest_advice: Duration,
}

/// The sites that are judged.
#[derive(Debug)]
pub(super) struct Watched {
    watch: Watch,
    sites: Sites,
}

impl Watched {
    pub fn new(watch: Watch) -> Watched {
        let sites = Sites::new(watch.rules);
        Watched { watch, sites }
    }

    /// A line of the list, before anything else holds for it.
    pub fn listed(&mut self, now: Micros, line: &Endpoint) {
        if self.watch.names.is_empty() || self.watch.names.contains(&line.zone) {
            self.sites.listed(now, &line.name, &line.zone, line.shard, state(line.state));
        }
    }

    /// How an attempt or a probe ended. `heard`: the head of its answer came.
    pub fn ended(&mut self, now: Micros, name: &str, outcome: Outcome, heard: bool, took: Option<Micros>) {
        match outcome {
            Outcome::NotSent => {}
            Outcome::Served | Outcome::Error | Outcome::QueueFull | Outcome::DeadlineExceeded => {
                self.sites.answered(now, name, took.filter(|_| outcome == Outcome::Served));
            }
            _ if heard => self.sites.answered(now, name, None),
            Outcome::TimedOut | Outcome::Unreachable | Outcome::Broken | Outcome::Cancelled => {
                self.sites.failed(now, name);
            }
        }
    }

    /// What holds for a line of which all others say this.
    pub fn view(&self, mut line: Endpoint) -> Endpoint {
        let (held, started) = self.sites.view(&line.name, state(line.state), line.started);
        line.started = started;
        if held == State::Draining && line.state == TargetState::Active {
            line.state = TargetState::Draining;
        }
        line
    }

    /// The site without which a shard has nobody, and when to come back.
    pub fn refused(&self, now: Micros, shard: Option<u32>) -> Option<(Rc<str>, Duration)> {
        let (site, wait) = self.sites.refused(now, shard?)?;
        Some((site.into(), Duration::from_micros(wait).min(self.watch.longest_advice)))
    }

    pub fn wake(&self, now: Micros) -> Option<Micros> {
        self.sites.wake(now)
    }

    /// The targets to probe, and those for which something else holds now.
    pub fn poll(&mut self, now: Micros) -> (Vec<String>, Vec<String>) {
        let (mut probes, mut changed) = (Vec::new(), Vec::new());
        for order in self.sites.poll(now) {
            match order {
                Order::Probe(name) => probes.push(name),
                Order::Changed(site, change) => {
                    tell(&site, change);
                    changed.extend(self.sites.targets_of(&site).map(str::to_string));
                }
            }
        }
        (probes, changed)
    }
}

fn tell(site: &str, change: Change) {
    match change {
        Change::Lost { failing, of, hold } => {
            tracing::warn!(site, failing, of, hold_ms = hold / 1_000, "a site is lost");
        }
        Change::Returning { answering, of } => tracing::info!(site, answering, of, "a site returns"),
        Change::Slowed { percent } => {
            tracing::warn!(site, percent, "a returning site is slow; its ramp begins anew");
        }
        Change::Back => tracing::info!(site, "a site is back"),
    }
}

fn state(told: TargetState) -> State {
    match told {
        TargetState::Active => State::In,
        TargetState::Draining => State::Draining,
        TargetState::Removed => State::Gone,
    }
}
