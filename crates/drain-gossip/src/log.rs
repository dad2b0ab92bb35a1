//! The log of drains, in the order that all initiators share.

use crate::constants::{LOG_RETENTION, MAX_LOG_ENTRIES};
use crate::{Micros, TargetKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

/// A position in the order of all drains: the version of the list that first contained the drain, then the
/// target's key. Initiators that poll the same discovery service agree on it, so a query can continue at one
/// peer from where another peer's answer ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The version of the endpoint list; 0 comes before all versions.
    pub version: u64,
    /// The key of the target.
    pub key: TargetKey,
}

impl Position {
    /// The position after all drains of this version of the list; for version 0, before all drains.
    pub fn after_version(version: u64) -> Position {
        match version {
            0 => Position::default(),
            version => Position::last_of(version),
        }
    }

    fn last_of(version: u64) -> Position {
        Position { version, key: TargetKey([u8::MAX; 8]) }
    }
}

/// The known drains, by target and in the order of their positions.
#[derive(Debug, Default)]
pub(crate) struct DrainLog {
    positions: BTreeMap<TargetKey, Position>,
    order: BTreeSet<Position>,
    /// When the drains of each version were received, in the order of the versions.
    received_at: BTreeMap<u64, Micros>,
    /// The log contains all drains after this position.
    complete_after: Position,
}

impl DrainLog {
    /// Marks the drains up to and including this version as unknown.
    pub fn begin_after(&mut self, version: u64) {
        self.complete_after = self.complete_after.max(Position::after_version(version));
    }

    /// Handles a change to a discovery service with its own versions: the known drains move before all of
    /// them.
    pub fn restart(&mut self) {
        let keys: Vec<TargetKey> = self.positions.keys().copied().collect();
        let last_received_at = self.received_at.values().copied().max();
        self.order.clear();
        self.positions.clear();
        self.received_at = last_received_at.map(|at| (0, at)).into_iter().collect();
        self.complete_after = Position::default();
        for key in keys {
            self.insert(Position { version: 0, key });
        }
    }

    fn insert(&mut self, position: Position) {
        self.positions.insert(position.key, position);
        self.order.insert(position);
    }

    /// Records that a list of this version has a target as draining or removed. A drain that is already in
    /// the log keeps its position.
    pub fn record_drain(&mut self, now: Micros, version: u64, key: TargetKey) {
        if !self.positions.contains_key(&key) {
            self.insert(Position { version, key });
            self.received_at.entry(version).or_insert(now);
        }
    }

    /// Removes the drain of a target that is active again.
    pub fn record_active(&mut self, key: TargetKey) {
        if let Some(position) = self.positions.remove(&key) {
            self.order.remove(&position);
        }
    }

    /// Drops drains older than [`LOG_RETENTION`], and the oldest beyond [`MAX_LOG_ENTRIES`].
    pub fn prune(&mut self, now: Micros) {
        while let Some(entry) = self.received_at.first_entry()
            && *entry.get() + LOG_RETENTION <= now
        {
            let (version, _) = entry.remove_entry();
            self.evict_through(Position::last_of(version));
        }
        while self.order.len() > MAX_LOG_ENTRIES
            && let Some(oldest) = self.order.first().copied()
        {
            self.evict_through(oldest);
        }
    }

    fn evict_through(&mut self, last: Position) {
        while let Some(position) = self.order.first().copied().filter(|position| *position <= last) {
            self.order.remove(&position);
            self.positions.remove(&position.key);
        }
        self.complete_after = self.complete_after.max(last);
    }

    /// Returns the position after which a report that continues from `cursor` begins, and whether drains
    /// between the two are no longer in the log.
    pub fn report_start(&self, cursor: Position) -> (Position, bool) {
        (cursor.max(self.complete_after), cursor < self.complete_after)
    }

    /// The drains after a position, in order.
    pub fn after(&self, position: Position) -> impl Iterator<Item = Position> {
        self.order.range((Excluded(position), Unbounded)).copied()
    }
}
