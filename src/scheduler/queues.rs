//! What waits for each shard, in order, and the level of dues there.

use super::decaying_sum::Rate;
use crate::interface::{Micros, RequestId, ShardId};
use std::collections::{BTreeMap, BTreeSet};

/// The level of dues at a shard: units a second beyond the reserve for a weight of 1.
#[derive(Default)]
pub(super) struct ShardQueue {
    requests: Vec<RequestId>,
    /// No bound until it is first looked at.
    pub level: f64,
    pub level_at: Micros,
    /// The most that any volume asked lately, in the same measure.
    pub top: f64,
    pub asked: Rate,
}

/// The queues of all shards that were asked for, and which of them are not empty.
#[derive(Default)]
pub(super) struct Queues {
    all: BTreeMap<ShardId, ShardQueue>,
    waiting: BTreeSet<ShardId>,
}

impl Queues {
    /// The queue of a shard, for its level.
    pub fn level(&mut self, shard: ShardId) -> &mut ShardQueue {
        self.all.entry(shard).or_default()
    }

    /// What waits for a shard.
    pub fn requests(&self, shard: ShardId) -> &[RequestId] {
        self.all.get(&shard).map_or(&[], |queue| &queue.requests)
    }

    /// The shards that something waits for.
    pub fn waiting(&self) -> impl Iterator<Item = ShardId> {
        self.waiting.iter().copied()
    }

    /// Puts a request into a shard's queue, and returns those behind it.
    pub fn insert(&mut self, shard: ShardId, place: usize, id: RequestId) -> &[RequestId] {
        let requests = &mut self.all.entry(shard).or_default().requests;
        requests.insert(place, id);
        self.waiting.insert(shard);
        &requests[place + 1..]
    }

    /// Takes a request out of a shard's queue, if it is there.
    pub fn remove(&mut self, shard: ShardId, id: RequestId) {
        let Some(queue) = self.all.get_mut(&shard) else { return };
        queue.requests.retain(|other| *other != id);
        if queue.requests.is_empty() {
            self.waiting.remove(&shard);
        }
    }

    /// Forgets the levels of shards for which nothing waits, unless `kept` wants them.
    pub fn forget(&mut self, kept: impl Fn(ShardId) -> bool) {
        self.all.retain(|shard, queue| !queue.requests.is_empty() || kept(*shard));
    }
}
