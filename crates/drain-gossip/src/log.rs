//! The departures that an instance knows, in the order that all instances share.

use crate::{Micros, TargetKey};
use std::collections::{BTreeMap, BTreeSet};

/// Departures that are kept at most, about 100 KiB; beyond them the oldest are forgotten.
pub const MOST_KEPT: usize = 8_192;
/// A departure is kept for this long: who missed it has heard the list by then.
const KEPT_FOR: Micros = 60_000_000;

/// A place in the order of all departures: the version of the list that told it, then the target's key.
/// Instances that ask the same discovery agree on it, so one can go on at a peer where another peer stopped.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, serde::Serialize, serde::Deserialize,
)]
pub struct Position {
    pub version: u64,
    pub key: TargetKey,
}

impl Position {
    /// Behind all departures that a list of this version tells; of version 0, before all that there are.
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

/// The departures by their positions.
#[derive(Debug, Default)]
pub struct DepartureLog {
    positions: BTreeMap<TargetKey, Position>,
    order: BTreeSet<Position>,
    /// When each version's departures were heard; the oldest first.
    heard: BTreeMap<u64, Micros>,
    /// All departures behind this one are here.
    complete_after: Position,
    /// Departures forgotten because there were too many.
    pub forgotten: u64,
}

impl DepartureLog {
    /// The list is held as of a version; what left before it is not known here.
    pub fn begin_after(&mut self, version: u64) {
        self.complete_after = self.complete_after.max(Position::after_version(version));
    }

    /// Another discovery counts its versions in its own way: what is known comes before all of them.
    pub fn restart(&mut self) {
        let keys: Vec<TargetKey> = self.positions.keys().copied().collect();
        let heard = self.heard.values().copied().max();
        self.order.clear();
        self.positions.clear();
        self.heard = heard.map(|at| (0, at)).into_iter().collect();
        self.complete_after = Position::default();
        keys.into_iter().for_each(|key| self.insert(Position { version: 0, key }));
    }

    fn insert(&mut self, position: Position) {
        self.positions.insert(position.key, position);
        self.order.insert(position);
    }

    /// A target left or is leaving, as a version told. One that is known keeps its position.
    pub fn departed(&mut self, now: Micros, version: u64, key: TargetKey) {
        if !self.positions.contains_key(&key) {
            self.insert(Position { version, key });
            self.heard.entry(version).or_insert(now);
        }
    }

    /// A target is in use again.
    pub fn returned(&mut self, key: TargetKey) {
        if let Some(position) = self.positions.remove(&key) {
            self.order.remove(&position);
        }
    }

    /// Forgets what is old, and the oldest where there are too many.
    pub fn prune(&mut self, now: Micros) {
        while let Some((version, heard)) = self.heard.first_key_value().map(|(v, h)| (*v, *h))
            && heard + KEPT_FOR <= now
        {
            self.forget_through(Position::last_of(version));
            self.heard.remove(&version);
        }
        while self.order.len() > MOST_KEPT
            && let Some(oldest) = self.order.first().copied()
        {
            self.forgotten += 1;
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

    /// Where a report that goes on behind `cursor` can begin, and whether departures before that are not
    /// known here.
    pub fn start(&self, cursor: Position) -> (Position, bool) {
        (cursor.max(self.complete_after), cursor < self.complete_after)
    }

    /// The departures behind a position, in order.
    pub fn after(&self, position: Position) -> impl Iterator<Item = Position> {
        use std::ops::Bound::{Excluded, Unbounded};
        self.order.range((Excluded(position), Unbounded)).copied()
    }
}
