//! The queue of each shard, and new objects that no shard takes yet.

use crate::interface::{RequestId, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// The queues of all shards that were asked for, and which of them are not empty.
#[derive(Default)]
pub(super) struct Queues {
    by_shard: BTreeMap<ShardId, Vec<RequestId>>,
    not_empty: BTreeSet<ShardId>,
    /// New objects that no target takes yet; they are placed again at each tick.
    unplaced: Vec<RequestId>,
}

impl Queues {
    /// The requests that wait for a shard, in the order in which they are dispatched.
    pub fn requests(&self, shard: ShardId) -> &[RequestId] {
        self.by_shard.get(&shard).map_or(&[], Vec::as_slice)
    }

    /// The shards that a request waits for.
    pub fn not_empty(&self) -> impl Iterator<Item = ShardId> {
        self.not_empty.iter().copied()
    }

    /// Puts a request into a shard's queue, and returns those behind it.
    pub fn insert(&mut self, shard: ShardId, position: usize, id: RequestId) -> &[RequestId] {
        let requests = self.by_shard.entry(shard).or_default();
        requests.insert(position, id);
        self.not_empty.insert(shard);
        &requests[position + 1..]
    }

    /// Takes a request out of a shard's queue, if it is there.
    pub fn remove(&mut self, shard: ShardId, id: RequestId) {
        let Some(requests) = self.by_shard.get_mut(&shard) else { return };
        requests.retain(|other| *other != id);
        if requests.is_empty() {
            self.not_empty.remove(&shard);
        }
    }

    /// Keeps a new object that no shard takes yet.
    pub fn add_unplaced(&mut self, id: RequestId) {
        self.unplaced.push(id);
    }

    pub fn remove_unplaced(&mut self, id: RequestId) {
        self.unplaced.retain(|other| *other != id);
    }

    /// How many new objects no shard takes yet.
    pub fn unplaced_count(&self) -> usize {
        self.unplaced.len()
    }

    /// Takes out all new objects that no shard takes yet.
    pub fn take_unplaced(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.unplaced)
    }

    pub fn set_unplaced(&mut self, unplaced: Vec<RequestId>) {
        self.unplaced = unplaced;
    }

    /// Forgets empty queues of shards that no target has any more.
    pub fn forget_empty(&mut self, has_target: impl Fn(ShardId) -> bool) {
        self.by_shard.retain(|shard, requests| !requests.is_empty() || has_target(*shard));
    }
}
