//! Which relay a follower watches: the most preferred one that is of use, with a backoff once all have failed.

use crate::{Millis, NodeId};
use xxhash_rust::xxh3::xxh3_64;

/// The wait before the next relay is tried once all have failed, doubled with each further round up to
/// [`MAX_BACKOFF`], and jittered.
const MIN_BACKOFF: Millis = 250;
/// The longest wait: a relay that is back is found within seconds.
const MAX_BACKOFF: Millis = 2_000;
/// The backoff doubles this often at most; by then [`MAX_BACKOFF`] is reached.
const MAX_DOUBLINGS: usize = 8;
/// A follower that has left its first relay tries it again after about this long, so that followers spread
/// evenly again after a fault.
const RETURN_TO_FIRST_AFTER: Millis = 30_000;

/// The relays that a follower may watch.
#[derive(Clone, Debug)]
pub(crate) struct Upstreams {
    own_id: NodeId,
    /// From the most preferred one on.
    relays: Vec<NodeId>,
    current: usize,
    /// The present relay has responded.
    settled: bool,
    /// Relays left one after another.
    consecutive_failures: u32,
    /// Not before this time the next request is sent.
    backoff_until: Millis,
    /// When the first relay is tried again.
    return_at: Option<Millis>,
}

impl Upstreams {
    pub fn new(own_id: NodeId, relays: Vec<NodeId>) -> Upstreams {
        Upstreams {
            own_id,
            relays,
            current: 0,
            settled: false,
            consecutive_failures: 0,
            backoff_until: 0,
            return_at: None,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.relays.is_empty()
    }

    /// The relay that is watched. None: there is none to watch.
    pub fn current(&self) -> Option<NodeId> {
        self.relays.get(self.current).copied()
    }

    /// Whether the present relay has responded.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    pub fn backoff_until(&self) -> Millis {
        self.backoff_until
    }

    /// Turns back to the first relay once that is due.
    pub fn return_to_first_if_due(&mut self, now: Millis) {
        if self.return_at.is_some_and(|at| now >= at) {
            self.current = 0;
            self.settled = false;
            self.return_at = None;
        }
    }

    /// The present relay is of use.
    pub fn record_success(&mut self, now: Millis) {
        self.settled = true;
        self.consecutive_failures = 0;
        self.backoff_until = now;
    }

    /// Turns to the next relay: at once, unless all have failed. There must be one.
    pub fn leave_current(&mut self, now: Millis) {
        self.settled = false;
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.current = (self.current + 1) % self.relays.len();
        self.backoff_until = now + self.backoff(now);
        if self.current != 0 && self.return_at.is_none() {
            self.return_at = Some(now + self.jittered(now, RETURN_TO_FIRST_AFTER));
        }
    }

    fn backoff(&self, now: Millis) -> Millis {
        let failed_rounds = self.consecutive_failures as usize / self.relays.len();
        if failed_rounds == 0 {
            return 0;
        }
        let doublings = (failed_rounds - 1).min(MAX_DOUBLINGS);
        let backoff = MIN_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF);
        self.jittered(now, backoff)
    }

    /// From half to one and a half of a span: unlike for any two followers and times, the same for the same.
    fn jittered(&self, now: Millis, span: Millis) -> Millis {
        let mut seed = [0; 12];
        seed[..4].copy_from_slice(&self.own_id.0.to_le_bytes());
        seed[4..].copy_from_slice(&now.to_le_bytes());
        span / 2 + xxh3_64(&seed) % span.max(1)
    }
}
