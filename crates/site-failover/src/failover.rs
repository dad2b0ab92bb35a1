//! The state of all sites as observed by one initiator.

use crate::shards::ShardIndex;
use crate::site::{Phase, Review, Site};
use crate::target::Target;
use crate::{Command, FailoverConfig, Micros, TargetState};
use std::collections::{BTreeMap, BTreeSet};

/// How soon to review the sites again while a site is not up or a target fails. This is well within the
/// shortest evidence window in use, so that a loss is detected within the window.
const REVIEW_INTERVAL: Micros = 50_000;

/// The state of all sites as observed by one initiator.
#[derive(Clone, Debug)]
pub struct SiteFailover {
    config: FailoverConfig,
    targets: BTreeMap<String, Target>,
    by_shard: ShardIndex,
    /// Targets that may have failed or been removed recently. While there are none and all sites are up, no
    /// review is needed.
    suspects: BTreeSet<String>,
    sites: BTreeMap<String, Site>,
}

impl SiteFailover {
    /// Creates the state machine without any target.
    pub fn new(config: FailoverConfig) -> SiteFailover {
        SiteFailover {
            config,
            targets: BTreeMap::new(),
            by_shard: ShardIndex::default(),
            suspects: BTreeSet::new(),
            sites: BTreeMap::new(),
        }
    }

    /// Handles the endpoint list's entry for a target.
    pub fn handle_endpoint(&mut self, now: Micros, name: &str, site: &str, shard: u32, state: TargetState) {
        let ejection_time = self.config.ejection_time;
        self.sites.entry(site.to_string()).or_insert_with(|| Site::new(ejection_time));
        let target = self.targets.entry(name.to_string()).or_insert_with(|| Target::new(site, shard));
        target.update_state(now, state);
        if state == TargetState::Removed {
            self.suspects.insert(name.to_string());
        }
        if target.site != site {
            target.site = site.to_string();
        }
        if target.shard != shard {
            self.by_shard.remove(target.shard, name);
            target.shard = shard;
        }
        self.by_shard.insert(shard, name);
    }

    /// Handles a response of a target, whatever its status. `latency`, in microseconds, is given if it served
    /// a request.
    pub fn handle_response(&mut self, now: Micros, name: &str, latency: Option<Micros>) {
        let Some(target) = self.targets.get_mut(name) else { return };
        target.record_response(now);
        if let (Some(latency), Some(site)) = (latency, self.sites.get_mut(&target.site)) {
            site.record_latency(latency);
        }
    }

    /// Handles a target that refused a connection, broke one, or did not respond.
    pub fn handle_failure(&mut self, now: Micros, name: &str) {
        if let Some(target) = self.targets.get_mut(name) {
            target.record_failure(now);
            self.suspects.insert(name.to_string());
        }
    }

    /// The phase of a site; up for a site that was never listed.
    pub fn phase(&self, site: &str) -> Phase {
        self.sites.get(site).map_or(Phase::Up, |site| site.phase)
    }

    /// The site of a target; `None` for an unknown target.
    pub fn site_of(&self, name: &str) -> Option<&str> {
        self.targets.get(name).map(|target| target.site.as_str())
    }

    /// The targets of a site, in the order of their names.
    pub fn targets_of<'a>(&'a self, site: &'a str) -> impl Iterator<Item = &'a str> {
        self.targets.iter().filter(move |(_, target)| target.site == site).map(|(name, _)| name.as_str())
    }

    /// The effective state and start time, in microseconds, of a target for which the endpoint list gives
    /// these: a target of a lost site counts as draining, and one that has returned as started at its return.
    pub fn effective_state(
        &self,
        name: &str,
        listed: TargetState,
        started_at: Option<Micros>,
    ) -> (TargetState, Option<Micros>) {
        let Some(target) = self.targets.get(name) else { return (listed, started_at) };
        match self.phase(&target.site) {
            Phase::Lost { .. } if listed == TargetState::Active => (TargetState::Draining, started_at),
            _ => (listed, started_at.max(target.returned_at)),
        }
    }

    /// If all targets of a shard belong to lost sites, returns the site that may return first and the
    /// microseconds until then. `None` if another target serves the shard, or no target at all.
    pub fn lost_site_of_shard(&self, now: Micros, shard: u32) -> Option<(&str, Micros)> {
        let mut soonest = None;
        let targets = self.by_shard.targets_of(shard).filter_map(|name| self.targets.get(name));
        for target in targets.filter(|target| target.is_active()) {
            let Phase::Lost { until, .. } = self.phase(&target.site) else { return None };
            let wait = until.saturating_sub(now).max(self.config.probe_interval);
            if soonest.is_none_or(|(_, shortest)| wait < shortest) {
                soonest = Some((target.site.as_str(), wait));
            }
        }
        soonest
    }

    /// When to call [`SiteFailover::poll`] again; `None` while all sites are up and no target fails.
    pub fn next_timeout(&self, now: Micros) -> Option<Micros> {
        let window = self.config.evidence_window;
        let mut suspects = self.suspects.iter().filter_map(|name| self.targets.get(name));
        let needs_review = !self.all_sites_are_up() || suspects.any(|target| target.is_failing(now, window));
        needs_review.then_some(now + REVIEW_INTERVAL)
    }

    fn all_sites_are_up(&self) -> bool {
        self.sites.values().all(|site| site.phase == Phase::Up)
    }

    /// Reviews all sites, and returns the probes that are due and the changes.
    pub fn poll(&mut self, now: Micros) -> Vec<Command> {
        let mut commands = Vec::new();
        if self.suspects.is_empty() && self.all_sites_are_up() {
            return commands;
        }
        for (name, site) in &mut self.sites {
            let targets = self.targets.iter_mut().filter(|(_, target)| target.site == *name).collect();
            let config = self.config;
            site.poll(&mut Review { now, config, site: name, targets, commands: &mut commands });
        }
        self.remove_suspects(now);
        commands
    }

    /// Removes suspects that no longer fail, and removed targets whose removal no longer counts as evidence.
    fn remove_suspects(&mut self, now: Micros) {
        let window = self.config.evidence_window;
        let SiteFailover { targets, by_shard, suspects, .. } = self;
        suspects.retain(|name| {
            let Some(target) = targets.get(name) else { return false };
            let is_removed = target.state == TargetState::Removed;
            if is_removed && !target.counts_for_site(now, window) {
                by_shard.remove(target.shard, name);
                targets.remove(name);
                return false;
            }
            is_removed || target.is_failing(now, window)
        });
    }
}
