//! The targets that are known, with an index for each question that a request or a timer asks of them.
//!
//! There may be thousands of targets, and a request concerns a few. So nothing that happens for each request
//! or each timer walks over all of them: the indexes are kept up by what changes.

use crate::interface::{EndpointEntry, Micros, RequestId, ShardId, TargetId, TargetState, ZoneId};
use indexmap::IndexSet;
use rowanglade_slow_start as slow_start;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Index;

/// An attempt that takes up room at its target: when it was sent, its request, and its number.
pub(super) type OutKey = (Micros, RequestId, u32);

/// A target as this initiator sees it.
#[derive(Default)]
pub(super) struct Target {
    pub shard: ShardId,
    pub zone: ZoneId,
    pub state: TargetState,
    pub started: Option<Micros>,
    /// When that start was told.
    pub since: Micros,
    pub warming: slow_start::Target,
    /// Microseconds.
    pub latency: f64,
    /// Units a second.
    pub speed: f64,
    /// When it last served.
    pub heard: Option<Micros>,
    pub out: BTreeMap<OutKey, f64>,
    pub out_units: f64,
    pub rest_until: Micros,
    /// Its last answer of any kind.
    pub answered: Micros,
    /// When the attempts of its last answers were sent.
    pub answers: VecDeque<Micros>,
    /// Turned away or unreachable since it last served.
    pub failing: u32,
}

/// All targets that are known.
#[derive(Default)]
pub(super) struct Targets {
    all: BTreeMap<TargetId, Target>,
    /// The targets of each shard, in the order of their numbers.
    by_shard: BTreeMap<ShardId, Vec<TargetId>>,
    /// Those that may take new work, in no order.
    usable: IndexSet<TargetId>,
    /// Those at which attempts take up room.
    busy: BTreeSet<TargetId>,
    /// Those that have served, by the time at which they last did.
    heard: BTreeSet<(Micros, TargetId)>,
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

    /// For what no index is kept of: all but shard, state, `heard` and `out`, which have methods of their
    /// own.
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
    pub fn usable(&self) -> &IndexSet<TargetId> {
        &self.usable
    }

    /// The targets at which attempts take up room.
    pub fn busy(&self) -> impl Iterator<Item = (TargetId, &Target)> {
        self.busy.iter().map(|target| (*target, &self.all[target]))
    }

    /// The targets that have served, the last first.
    pub fn heard_last(&self) -> impl Iterator<Item = TargetId> {
        self.heard.iter().rev().map(|(_, target)| *target)
    }

    /// A target has served.
    pub fn heard(&mut self, target: TargetId, at: Option<Micros>) {
        let Some(known) = self.all.get_mut(&target) else { return };
        let before = std::mem::replace(&mut known.heard, at);
        if let Some(before) = before {
            self.heard.remove(&(before, target));
        }
        self.heard.extend(at.map(|at| (at, target)));
    }

    /// An attempt takes up room at a target.
    pub fn take_room(&mut self, target: TargetId, out: OutKey, units: f64) {
        let Some(known) = self.all.get_mut(&target) else { return };
        known.out.insert(out, units);
        known.out_units += units;
        self.busy.insert(target);
    }

    /// An attempt takes up none of a target's room any more.
    pub fn free_room(&mut self, target: TargetId, out: OutKey, units: f64) {
        let Some(known) = self.all.get_mut(&target) else { return };
        if known.out.remove(&out).is_none() {
            return;
        }
        known.out_units -= units;
        if known.out.is_empty() {
            known.out_units = 0.0;
            self.busy.remove(&target);
        }
    }

    /// A whole list begins: what it does not name is gone.
    pub fn begin_whole_list(&mut self) {
        self.all.values_mut().for_each(|target| target.state = TargetState::Removed);
        self.usable.clear();
    }

    /// The target of this entry is new, or has started again: what was learned of it is void. What is out
    /// there stays.
    pub fn replace(&mut self, entry: &EndpointEntry, since: Micros, warming: slow_start::Target) {
        self.heard(entry.target, None);
        let old = self.all.remove(&entry.target);
        let (out, out_units, shard) =
            old.map_or_else(|| (BTreeMap::new(), 0.0, None), |old| (old.out, old.out_units, Some(old.shard)));
        if let Some(shard) = shard {
            self.leave_shard(entry.target, shard);
        }
        let started = entry.started.filter(|started| *started > 0);
        let target =
            Target { shard: entry.shard, started, since, warming, out, out_units, ..Target::default() };
        self.all.insert(entry.target, target);
        self.join_shard(entry.target, entry.shard);
    }

    /// What the list says of a target that is known.
    pub fn update(&mut self, entry: &EndpointEntry) {
        let Some(target) = self.all.get_mut(&entry.target) else { return };
        let before = std::mem::replace(&mut target.shard, entry.shard);
        (target.state, target.zone) = (entry.state, entry.zone);
        match entry.state {
            TargetState::Active => self.usable.insert(entry.target),
            TargetState::Draining | TargetState::Removed => self.usable.swap_remove(&entry.target),
        };
        if before != entry.shard {
            self.leave_shard(entry.target, before);
            self.join_shard(entry.target, entry.shard);
        }
    }

    /// Forgets targets that are gone and at which nothing is out.
    pub fn forget_gone(&mut self) {
        let gone = self.all.iter().filter(|(_, n)| n.state == TargetState::Removed && n.out.is_empty());
        for target in gone.map(|(id, _)| *id).collect::<Vec<TargetId>>() {
            self.heard(target, None);
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
