//! The deltas that a relay keeps for followers that are behind.

use crate::delta::{Delta, EntryChange};
use crate::version::Version;
use std::collections::VecDeque;

/// Deltas that are kept: over an hour of changes, one every 20 s.
const MAX_DELTAS: usize = 256;
/// Bytes of a change on a wire beside its text, nearly.
const CHANGE_OVERHEAD_BYTES: usize = 8;

/// Deltas from older to newer, each the base of the next, up to the present state.
#[derive(Debug, Default)]
pub(crate) struct DeltaHistory(VecDeque<Delta>);

impl DeltaHistory {
    /// Adds what led to the present state; without deltas that is not known, and no earlier delta leads there.
    pub fn extend(&mut self, deltas: Vec<Delta>) {
        if deltas.is_empty() {
            self.0.clear();
        }
        self.0.extend(deltas);
        let excess = self.0.len().saturating_sub(MAX_DELTAS);
        self.0.drain(..excess);
    }

    /// The index of the first delta that a follower at `version` needs. None: it needs a snapshot.
    pub fn first_after(&self, version: Version) -> Option<usize> {
        self.0.iter().position(|delta| delta.base == version)
    }

    /// The deltas from an index on.
    pub fn since(&self, first: usize) -> impl Iterator<Item = &Delta> {
        self.0.iter().skip(first)
    }

    /// The bytes of the deltas from an index on, nearly.
    pub fn bytes_since(&self, first: usize) -> usize {
        self.since(first).flat_map(|delta| &delta.changes).map(change_bytes).sum()
    }
}

fn change_bytes(change: &EntryChange) -> usize {
    let value_bytes = change.value.as_ref().map_or(0, |value| value.len());
    change.name.len() + value_bytes + CHANGE_OVERHEAD_BYTES
}
