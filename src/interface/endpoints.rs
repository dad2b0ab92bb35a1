//! What the endpoint list says of targets.

use super::{Micros, ShardId, TargetId, ZoneId};

/// The state of a target in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetState {
    /// It takes requests.
    Active,
    /// It finishes its work; nothing new may be sent to it.
    Draining,
    /// It is not in the list any more, or never was.
    #[default]
    Removed,
}

/// One target of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    /// The target.
    pub target: TargetId,
    /// The shard whose data it holds.
    pub shard: ShardId,
    /// The zone that it is in.
    pub zone: ZoneId,
    /// Whether it takes requests.
    pub state: TargetState,
    /// When it last started, by the caller's clock; absent: long ago.
    pub started: Option<Micros>,
}

/// What an update of the endpoint list contains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Only what has changed.
    Delta,
    /// All of it: a target that is not named is removed.
    Snapshot,
    /// All of it as this initiator last had it; it may be stale.
    Cached,
}
