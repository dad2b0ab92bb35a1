//! The recent deltas that a relay keeps to serve followers at older versions.

use crate::delta::{Delta, EntryChange};
use crate::version::Version;
use std::collections::VecDeque;

/// The maximum number of deltas kept: with one change every 20 s they cover over an hour.
const MAX_DELTAS: usize = 256;
/// Approximate encoded bytes of a change in addition to its name and value.
const CHANGE_OVERHEAD_BYTES: usize = 8;

/// Deltas from older to newer, each the base of the next, up to the current state.
#[derive(Debug, Default)]
pub(crate) struct DeltaHistory(VecDeque<Delta>);

impl DeltaHistory {
    /// Appends the deltas that led to the current state. If there are none, the state came from a snapshot:
    /// the history is cleared, since no earlier delta leads to the current state.
    pub fn extend(&mut self, deltas: Vec<Delta>) {
        if deltas.is_empty() {
            self.0.clear();
        }
        self.0.extend(deltas);
        let excess = self.0.len().saturating_sub(MAX_DELTAS);
        self.0.drain(..excess);
    }

    /// The index of the first delta that a follower at `version` needs. `None` if the follower needs a
    /// snapshot.
    pub fn first_after(&self, version: Version) -> Option<usize> {
        self.0.iter().position(|delta| delta.base == version)
    }

    /// The deltas from index `first` on.
    pub fn since(&self, first: usize) -> impl Iterator<Item = &Delta> {
        self.0.iter().skip(first)
    }

    /// The approximate encoded size in bytes of the deltas from index `first` on.
    pub fn bytes_since(&self, first: usize) -> usize {
        self.since(first).flat_map(|delta| &delta.changes).map(change_bytes).sum()
    }
}

fn change_bytes(change: &EntryChange) -> usize {
    let value_bytes = change.value.as_ref().map_or(0, |value| value.len());
    change.name.len() + value_bytes + CHANGE_OVERHEAD_BYTES
}
