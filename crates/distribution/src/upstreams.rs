//! Selects the relay that a follower watches: the most preferred usable one, with a backoff once all relays
//! have failed.

use crate::{Millis, NodeId};
use xxhash_rust::xxh3::xxh3_64;

/// The backoff, in milliseconds, after all relays have failed once. It doubles with each further round of
/// failures up to [`MAX_BACKOFF`], and is jittered.
const MIN_BACKOFF: Millis = 250;
/// The maximum backoff in milliseconds: a recovered relay is found within seconds.
const MAX_BACKOFF: Millis = 2_000;
/// The maximum number of times the backoff doubles; [`MAX_BACKOFF`] is reached before.
const MAX_DOUBLINGS: usize = 8;
/// How long after leaving its first relay a follower tries that relay again, in milliseconds before jitter.
/// Spreads followers evenly over the relays again after a fault.
const RETURN_TO_FIRST_AFTER: Millis = 30_000;

/// The relays that a follower may watch, and which of them it watches now.
#[derive(Clone, Debug)]
pub(crate) struct Upstreams {
    own_id: NodeId,
    /// Sorted by preference, the most preferred first.
    relays: Vec<NodeId>,
    current: usize,
    /// The current relay has responded.
    settled: bool,
    /// Failures since the last successful response.
    consecutive_failures: u32,
    /// No request is sent before this time.
    backoff_until: Millis,
    /// When to try the first relay again.
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

    /// The relay to watch. `None` if there are no relays.
    pub fn current(&self) -> Option<NodeId> {
        self.relays.get(self.current).copied()
    }

    /// Whether the current relay has responded.
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    pub fn backoff_until(&self) -> Millis {
        self.backoff_until
    }

    /// Switches back to the first relay if that is due.
    pub fn return_to_first_if_due(&mut self, now: Millis) {
        if self.return_at.is_some_and(|at| now >= at) {
            self.current = 0;
            self.settled = false;
            self.return_at = None;
        }
    }

    /// Records a usable response from the current relay.
    pub fn record_success(&mut self, now: Millis) {
        self.settled = true;
        self.consecutive_failures = 0;
        self.backoff_until = now;
    }

    /// Switches to the next relay. A backoff applies only after all relays have failed. The list of relays
    /// must not be empty.
    pub fn switch_to_next(&mut self, now: Millis) {
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

    /// Jitters a time span to between 0.5 and 1.5 times its length. The result is a hash of the follower's id
    /// and the time: followers get different values, and the same inputs always give the same value.
    fn jittered(&self, now: Millis, span: Millis) -> Millis {
        let mut seed = [0; 12];
        seed[..4].copy_from_slice(&self.own_id.0.to_le_bytes());
        seed[4..].copy_from_slice(&now.to_le_bytes());
        span / 2 + xxh3_64(&seed) % span.max(1)
    }
}
