//! The queue of each shard, and the new objects without a shard.

use crate::interface::{RequestId, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// The queues of all shards, and an index of those that are not empty.
#[derive(Default)]
pub(super) struct Queues {
    by_shard: BTreeMap<ShardId, Vec<RequestId>>,
    not_empty: BTreeSet<ShardId>,
    /// New objects that no target takes yet; their placement is retried at each tick.
    unplaced: Vec<RequestId>,
}

impl Queues {
    /// The queued requests of a shard, in the order in which they are dispatched.
    pub fn requests(&self, shard: ShardId) -> &[RequestId] {
        self.by_shard.get(&shard).map_or(&[], Vec::as_slice)
    }

    /// The shards with queued requests.
    pub fn not_empty(&self) -> impl Iterator<Item = ShardId> {
        self.not_empty.iter().copied()
    }

    /// Inserts a request into a shard's queue, and returns the requests behind it.
    pub fn insert(&mut self, shard: ShardId, position: usize, id: RequestId) -> &[RequestId] {
        let requests = self.by_shard.entry(shard).or_default();
        requests.insert(position, id);
        self.not_empty.insert(shard);
        &requests[position + 1..]
    }

    /// Removes a request from a shard's queue, if it is there.
    pub fn remove(&mut self, shard: ShardId, id: RequestId) {
        let Some(requests) = self.by_shard.get_mut(&shard) else { return };
        requests.retain(|other| *other != id);
        if requests.is_empty() {
            self.not_empty.remove(&shard);
        }
    }

    /// Adds a new object that no target takes yet.
    pub fn add_unplaced(&mut self, id: RequestId) {
        self.unplaced.push(id);
    }

    pub fn remove_unplaced(&mut self, id: RequestId) {
        self.unplaced.retain(|other| *other != id);
    }

    /// The number of new objects that no target takes yet.
    pub fn unplaced_count(&self) -> usize {
        self.unplaced.len()
    }

    /// Removes and returns all new objects that no target takes yet.
    pub fn take_unplaced(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.unplaced)
    }

    pub fn set_unplaced(&mut self, unplaced: Vec<RequestId>) {
        self.unplaced = unplaced;
    }

    /// Removes the empty queues of shards that no target holds any more.
    pub fn remove_empty(&mut self, has_target: impl Fn(ShardId) -> bool) {
        self.by_shard.retain(|shard, requests| !requests.is_empty() || has_target(*shard));
    }
}
