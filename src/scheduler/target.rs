//! What the scheduler keeps of one target.

use super::estimates::Estimate;
use super::request::InFlightKey;
use crate::interface::{Micros, ShardId, TargetState, ZoneId};
use rowanglade_slow_start::TargetBudget;
use std::collections::{BTreeSet, VecDeque};

/// A target as this initiator sees it.
#[derive(Default)]
pub(super) struct Target {
    pub shard: ShardId,
    pub zone: ZoneId,
    pub state: TargetState,
    /// When it last started; absent: long ago.
    pub started: Option<Micros>,
    /// When this initiator was notified of that start.
    pub notified_at: Micros,
    /// What was sent while it warms up.
    pub slow_start: TargetBudget,
    /// What its own responses taught.
    pub estimate: Estimate,
    /// The attempts that take up its capacity.
    pub in_flight: BTreeSet<InFlightKey>,
    pub units_in_flight: f64,
    /// Nothing is sent before then.
    pub backoff_until: Micros,
    /// Times at which it was full or unreachable since it last served.
    pub consecutive_failures: u32,
    /// Its last response of any kind.
    pub responded_at: Micros,
    /// When the attempts of its last responses were sent.
    pub answered_sends: VecDeque<Micros>,
}
