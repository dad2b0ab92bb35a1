//! All targets, with an index for each question that a request or a timer asks of them.
//!
//! There may be thousands of targets, and a request concerns a few. So nothing that happens for each request
//! or each timer walks over all of them: the indexes are kept up by what changes.

use super::request::InFlightKey;
use super::target::Target;
use crate::interface::{EndpointEntry, Micros, ShardId, TargetId, TargetState};
use indexmap::IndexSet;
use rowanglade_slow_start::TargetBudget;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Index;

/// The targets of the endpoint list, and those that left it while attempts are in flight there.
#[derive(Default)]
pub(super) struct Targets {
    all: BTreeMap<TargetId, Target>,
    /// The targets of each shard, in the order of their numbers.
    by_shard: BTreeMap<ShardId, Vec<TargetId>>,
    /// The active targets, in no order.
    active: IndexSet<TargetId>,
    /// The targets at which attempts take up capacity.
    busy: BTreeSet<TargetId>,
    /// The targets that have responded, by the time at which they last did.
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

    /// For fields without an index. Shard, state, the last response and what is in flight have methods of
    /// their own.
    pub fn get_mut(&mut self, target: &TargetId) -> Option<&mut Target> {
        self.all.get_mut(target)
    }

    pub fn contains(&self, target: &TargetId) -> bool {
        self.all.contains_key(target)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&TargetId, &Target)> {
        self.all.iter()
    }

    /// As [`Targets::get_mut`], of all targets.
    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut Target> {
        self.all.values_mut()
    }

    /// The targets of a shard, whatever their state.
    pub fn of_shard(&self, shard: ShardId) -> impl Iterator<Item = (TargetId, &Target)> {
        let targets = self.by_shard.get(&shard).map_or(&[][..], Vec::as_slice);
        targets.iter().map(|target| (*target, &self.all[target]))
    }

    /// The targets that may take new work.
    pub fn active(&self) -> &IndexSet<TargetId> {
        &self.active
    }

    /// Whether a target may take new work.
    pub fn is_active(&self, target: TargetId) -> bool {
        self.all.get(&target).is_some_and(|state| state.state == TargetState::Active)
    }

    /// The targets at which attempts take up capacity.
    pub fn busy(&self) -> impl Iterator<Item = (TargetId, &Target)> {
        self.busy.iter().map(|target| (*target, &self.all[target]))
    }

    /// The targets that have responded, the latest first.
    pub fn latest_responders(&self) -> impl Iterator<Item = TargetId> {
        self.by_last_response.iter().rev().map(|(_, target)| *target)
    }

    /// Sets when a target last responded with something to learn from.
    pub fn set_last_response(&mut self, target: TargetId, at: Option<Micros>) {
        let Some(state) = self.all.get_mut(&target) else { return };
        let before = std::mem::replace(&mut state.estimate.last_response_at, at);
        if let Some(before) = before {
            self.by_last_response.remove(&(before, target));
        }
        self.by_last_response.extend(at.map(|at| (at, target)));
    }

    /// An attempt takes up capacity at a target.
    pub fn add_in_flight(&mut self, target: TargetId, attempt: InFlightKey, units: f64) {
        let Some(state) = self.all.get_mut(&target) else { return };
        state.in_flight.insert(attempt);
        state.units_in_flight += units;
        self.busy.insert(target);
    }

    /// An attempt takes up none of a target's capacity any more.
    pub fn remove_in_flight(&mut self, target: TargetId, attempt: InFlightKey, units: f64) {
        let Some(state) = self.all.get_mut(&target) else { return };
        if !state.in_flight.remove(&attempt) {
            return;
        }
        state.units_in_flight -= units;
        if state.in_flight.is_empty() {
            state.units_in_flight = 0.0; // sums of fractions leave a remainder
            self.busy.remove(&target);
        }
    }

    /// A snapshot of the endpoint list begins: what it does not name is removed.
    pub fn begin_snapshot(&mut self) {
        self.all.values_mut().for_each(|target| target.state = TargetState::Removed);
        self.active.clear();
    }

    /// The target of this entry is new, or has started again: what was learned of it is void. What is in
    /// flight there stays.
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

    /// Takes over what the endpoint list says of a target that is known.
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

    /// Forgets removed targets at which nothing is in flight.
    pub fn forget_removed(&mut self) {
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
        if let Err(place) = targets.binary_search(&target) {
            targets.insert(place, target);
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
