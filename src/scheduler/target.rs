//! The state of one target.

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
    /// When this initiator was notified of the target's current start.
    pub notified_at: Micros,
    /// The budget of what is sent to the target while it warms up.
    pub slow_start: TargetBudget,
    /// The estimate from the target's own responses.
    pub estimate: Estimate,
    /// The attempts that occupy the target's capacity.
    pub in_flight: BTreeSet<InFlightKey>,
    pub units_in_flight: f64,
    /// Nothing is sent to the target before this time.
    pub backoff_until: Micros,
    /// Failures that started a backoff since the target last served a request.
    pub consecutive_failures: u32,
    /// When the target last responded, or a connection to it last failed.
    pub responded_at: Micros,
    /// When the most recently answered attempts were sent.
    pub answered_sends: VecDeque<Micros>,
}
