//! The drains that an initiator knows, in the order that all initiators share.

use crate::constants::{LOG_RETENTION, MAX_LOG_ENTRIES};
use crate::{Micros, TargetKey};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound::{Excluded, Unbounded};

/// A place in the order of all drains: the version of the list that first named it, then the target's key.
/// Initiators that poll the same discovery agree on it, so one can go on at a peer where another peer stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// The version of the endpoint list; 0: before all versions.
    pub version: u64,
    /// The target.
    pub key: TargetKey,
}

impl Position {
    /// Behind all drains that a list of this version names; for version 0, before all that there are.
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

/// The drains by their positions.
#[derive(Debug, Default)]
pub(crate) struct DrainLog {
    positions: BTreeMap<TargetKey, Position>,
    order: BTreeSet<Position>,
    /// When each version's drains were received; the oldest first.
    received_at: BTreeMap<u64, Micros>,
    /// All drains behind this position are here.
    complete_after: Position,
}

impl DrainLog {
    /// The list is held as of a version; drains before it are not known here.
    pub fn begin_after(&mut self, version: u64) {
        self.complete_after = self.complete_after.max(Position::after_version(version));
    }

    /// Another discovery counts its versions in its own way: what is known comes before all of them.
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

    /// A list of this version names a target as draining or removed. A target that is known keeps its position.
    pub fn record_drain(&mut self, now: Micros, version: u64, key: TargetKey) {
        if !self.positions.contains_key(&key) {
            self.insert(Position { version, key });
            self.received_at.entry(version).or_insert(now);
        }
    }

    /// A target is active again.
    pub fn record_return(&mut self, key: TargetKey) {
        if let Some(position) = self.positions.remove(&key) {
            self.order.remove(&position);
        }
    }

    /// Forgets what is old, and the oldest where there are too many.
    pub fn prune(&mut self, now: Micros) {
        while let Some(entry) = self.received_at.first_entry()
            && *entry.get() + LOG_RETENTION <= now
        {
            let (version, _) = entry.remove_entry();
            self.forget_through(Position::last_of(version));
        }
        while self.order.len() > MAX_LOG_ENTRIES
            && let Some(oldest) = self.order.first().copied()
        {
            self.forget_through(oldest);
        }
    }

    fn forget_through(&mut self, last: Position) {
        while let Some(position) = self.order.first().copied().filter(|position| *position <= last) {
            self.order.remove(&position);
            self.positions.remove(&position.key);
        }
        self.complete_after = self.complete_after.max(last);
    }

    /// Where a report that goes on behind `cursor` can begin, and whether drains before that are not known
    /// here.
    pub fn start(&self, cursor: Position) -> (Position, bool) {
        (cursor.max(self.complete_after), cursor < self.complete_after)
    }

    /// The drains behind a position, in order.
    pub fn after(&self, position: Position) -> impl Iterator<Item = Position> {
        self.order.range((Excluded(position), Unbounded)).copied()
    }
}
