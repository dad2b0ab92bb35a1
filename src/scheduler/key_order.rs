//! Requests with the same key run one at a time, in the order in which they arrived.

use crate::interface::{KeyId, Micros, RequestId};
use std::collections::{BTreeMap, VecDeque};

#[derive(Default)]
struct KeyQueue {
    /// In the order of arrival.
    requests: VecDeque<RequestId>,
    /// No first attempt of the key is sent before this time: an attempt of an earlier request may still run.
    quiet_until: Micros,
}

/// The order of requests whose class is ordered by key.
///
/// Guards against two requests of one key that run at the same time: an attempt of the first request may
/// still run after its time-out, so the next request waits for the quiet period.
#[derive(Default)]
pub(super) struct KeyOrder {
    queues: BTreeMap<KeyId, KeyQueue>,
}

impl KeyOrder {
    pub fn push(&mut self, key: KeyId, id: RequestId) {
        self.queues.entry(key).or_default().requests.push_back(id);
    }

    pub fn remove(&mut self, key: KeyId, id: RequestId) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.requests.retain(|other| *other != id);
            if queue.requests.is_empty() && queue.quiet_until == 0 {
                self.queues.remove(&key);
            }
        }
    }

    /// Extends the quiet period of a key after an attempt that may still run: no other request of the key is
    /// sent before `until`.
    pub fn extend_quiet_period(&mut self, key: KeyId, until: Micros) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.quiet_until = queue.quiet_until.max(until);
        }
    }

    /// Whether a request may be sent: it is the first of its key and, unless it is a retry, the quiet period
    /// is over.
    pub fn allows(&self, now: Micros, key: KeyId, id: RequestId, is_retry: bool) -> bool {
        let Some(queue) = self.queues.get(&key) else { return true };
        queue.requests.front() == Some(&id) && (queue.quiet_until <= now || is_retry)
    }

    /// Removes keys without requests whose quiet period is over.
    pub fn remove_idle(&mut self, now: Micros) {
        self.queues.retain(|_, queue| !queue.requests.is_empty() || queue.quiet_until > now);
    }
}
