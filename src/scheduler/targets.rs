//! All targets, with an index for each lookup that requests and timers need.
//!
//! There may be thousands of targets, while a request concerns a few of them. No event of a request or a
//! timer may iterate over all targets, so every change updates the indexes.

use super::request::InFlightKey;
use super::target::Target;
use crate::interface::{EndpointEntry, Micros, ShardId, TargetId, TargetState};
use indexmap::IndexSet;
use rowanglade_slow_start::TargetBudget;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// The targets of the endpoint list, and removed targets with attempts still in flight.
#[derive(Default)]
pub(super) struct Targets {
    all: BTreeMap<TargetId, Target>,
    /// The targets of each shard, in the order of their ids.
    by_shard: BTreeMap<ShardId, Vec<TargetId>>,
    /// The active targets, unordered.
    active: IndexSet<TargetId>,
    /// The targets with attempts that occupy capacity.
    busy: BTreeSet<TargetId>,
    /// The targets that have responded, by the time of their last response.
    by_last_response: BTreeSet<(Micros, TargetId)>,
}

impl Index<&TargetId> for Targets {
    type Output = Target;

    fn index(&self, target: &TargetId) -> &Target {
        &self.all[target]
    }
}

impl Targets {
    pub fn get(&self, target: &TargetId) -> Option<&Target> {
        self.all.get(target)
    }

    /// For fields without an index only. Shard, state, last response and attempts in flight are changed by
    /// other methods.
    pub fn get_mut(&mut self, target: &TargetId) -> Option<&mut Target> {
        self.all.get_mut(target)
    }

    pub fn contains(&self, target: &TargetId) -> bool {
        self.all.contains_key(target)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&TargetId, &Target)> {
        self.all.iter()
    }

    /// All targets, to change fields without an index as with [`Targets::get_mut`].
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        self.all.values_mut()
    }

    /// The targets of a shard, whatever their state.
    pub fn of_shard(&self, shard: ShardId) -> impl Iterator<Item = (TargetId, &Target)> {
        let targets = self.by_shard.get(&shard).map_or(&[][..], Vec::as_slice);
        targets.iter().map(|target| (*target, &self.all[target]))
    }

    /// The targets to which new attempts may be sent.
    pub fn active(&self) -> &IndexSet<TargetId> {
        &self.active
    }

    /// Whether new attempts may be sent to a target.
    pub fn is_active(&self, target: TargetId) -> bool {
        self.all.get(&target).is_some_and(|state| state.state == TargetState::Active)
    }

    /// The targets with attempts that occupy capacity.
    pub fn busy(&self) -> impl Iterator<Item = (TargetId, &Target)> {
        self.busy.iter().map(|target| (*target, &self.all[target]))
    }

    /// The targets that have responded, the most recent first.
    pub fn latest_responders(&self) -> impl Iterator<Item = TargetId> {
        self.by_last_response.iter().rev().map(|(_, target)| *target)
    }

    /// Sets when the estimate of a target was last updated from a response.
    pub fn set_last_response(&mut self, target: TargetId, at: Option<Micros>) {
        let Some(state) = self.all.get_mut(&target) else { return };
        let before = std::mem::replace(&mut state.estimate.last_response_at, at);
        if let Some(before) = before {
            self.by_last_response.remove(&(before, target));
        }
        self.by_last_response.extend(at.map(|at| (at, target)));
    }

    /// Adds an attempt that occupies capacity at a target.
    pub fn add_in_flight(&mut self, target: TargetId, attempt: InFlightKey, units: f64) {
        let Some(state) = self.all.get_mut(&target) else { return };
        state.in_flight.insert(attempt);
        state.units_in_flight += units;
        self.busy.insert(target);
    }

    /// Removes an attempt that no longer occupies capacity at a target.
    pub fn remove_in_flight(&mut self, target: TargetId, attempt: InFlightKey, units: f64) {
        let Some(state) = self.all.get_mut(&target) else { return };
        if !state.in_flight.remove(&attempt) {
            return;
        }
        state.units_in_flight -= units;
        if state.in_flight.is_empty() {
            state.units_in_flight = 0.0; // removes the rounding error of the sum
            self.busy.remove(&target);
        }
    }

    /// Begins a snapshot of the endpoint list by marking all targets as removed; those that it names are
    /// updated after.
    pub fn begin_snapshot(&mut self) {
        self.all.values_mut().for_each(|target| target.state = TargetState::Removed);
        self.active.clear();
    }

    /// Replaces a target that is new, or has restarted, by one without learned state. Attempts in flight
    /// there are kept.
    pub fn replace(&mut self, entry: &EndpointEntry, notified_at: Micros, slow_start: TargetBudget) {
        self.set_last_response(entry.target, None);
        let mut target = Target {
            shard: entry.shard,
            started: entry.started.filter(|started| *started > 0),
            notified_at,
            slow_start,
            ..Target::default()
        };
        if let Some(old) = self.all.remove(&entry.target) {
            self.leave_shard(entry.target, old.shard);
            (target.in_flight, target.units_in_flight) = (old.in_flight, old.units_in_flight);
        }
        self.all.insert(entry.target, target);
        self.join_shard(entry.target, entry.shard);
    }

    /// Applies an endpoint entry to a known target.
    pub fn update(&mut self, entry: &EndpointEntry) {
        let Some(target) = self.all.get_mut(&entry.target) else { return };
        let shard_before = std::mem::replace(&mut target.shard, entry.shard);
        (target.state, target.zone) = (entry.state, entry.zone);
        match entry.state {
            TargetState::Active => self.active.insert(entry.target),
            TargetState::Draining | TargetState::Removed => self.active.swap_remove(&entry.target),
        };
        if shard_before != entry.shard {
            self.leave_shard(entry.target, shard_before);
            self.join_shard(entry.target, entry.shard);
        }
    }

    /// Drops removed targets without attempts in flight.
    pub fn drop_removed(&mut self) {
        let is_idle = |target: &Target| target.state == TargetState::Removed && target.in_flight.is_empty();
        let idle: Vec<TargetId> =
            self.all.iter().filter(|(_, target)| is_idle(target)).map(|(id, _)| *id).collect();
        for target in idle {
            self.set_last_response(target, None);
            if let Some(old) = self.all.remove(&target) {
                self.leave_shard(target, old.shard);
            }
        }
    }

    pub fn has_shard(&self, shard: ShardId) -> bool {
        self.by_shard.contains_key(&shard)
    }

    fn join_shard(&mut self, target: TargetId, shard: ShardId) {
        let targets = self.by_shard.entry(shard).or_default();
        if let Err(position) = targets.binary_search(&target) {
            targets.insert(position, target);
        }
    }

    fn leave_shard(&mut self, target: TargetId, shard: ShardId) {
        let Some(targets) = self.by_shard.get_mut(&shard) else { return };
        targets.retain(|other| *other != target);
        if targets.is_empty() {
            self.by_shard.remove(&shard);
        }
    }
}
