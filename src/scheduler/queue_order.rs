//! The order of the requests in a shard's queue: by earliest virtual deadline, with capped overtakes.

use super::Scheduler;
use crate::interface::{Micros, RequestId, ShardId};

/// How often a queued request may be overtaken by requests with an earlier virtual deadline. Without a cap, a
/// stream of requests with tight objectives would keep a request with a long objective waiting until its
/// deadline.
const MAX_OVERTAKES: u32 = 12;

impl Scheduler {
    /// Inserts a request into the queue of its shard; a new object chooses its shard first. There is no
    /// admission check: a request that was admitted once stays admitted when it is retried.
    pub(super) fn enqueue(&mut self, now: Micros, id: RequestId) {
        self.choose_shard(now, id);
        let request = &self.requests[&id];
        match request.shard {
            Some(shard) => {
                let position = self.queue_position(shard, request.virtual_deadline);
                self.insert_into_queue(shard, id, position);
            }
            None => self.queues.add_unplaced(id),
        }
    }

    /// The position at which a request with this virtual deadline is inserted: behind all requests with an
    /// earlier or equal virtual deadline, and behind those that were overtaken [`MAX_OVERTAKES`] times.
    pub(super) fn queue_position(&self, shard: ShardId, virtual_deadline: Micros) -> usize {
        let stays_ahead = |id: &RequestId| {
            let queued = &self.requests[id];
            queued.virtual_deadline <= virtual_deadline || queued.overtaken_count >= MAX_OVERTAKES
        };
        self.queues.requests(shard).iter().rposition(stays_ahead).map_or(0, |last_ahead| last_ahead + 1)
    }

    /// Inserts a request at a position, and counts an overtake of each request behind it.
    pub(super) fn insert_into_queue(&mut self, shard: ShardId, id: RequestId, position: usize) {
        for overtaken in self.queues.insert(shard, position, id) {
            self.requests.entry(*overtaken).and_modify(|request| request.overtaken_count += 1);
        }
        self.requests.entry(id).and_modify(|request| request.queued = true);
    }
}
