//! The entries of the endpoint list, and its updates.

use super::{Micros, ShardId, TargetId, ZoneId};

/// The state of a target in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetState {
    /// The target accepts requests.
    Active,
    /// The target finishes the requests that it has; no new ones may be sent to it.
    Draining,
    /// The target is no longer in the list, or never was.
    #[default]
    Removed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    /// The target that the entry describes.
    pub target: TargetId,
    /// The shard whose data the target holds.
    pub shard: ShardId,
    /// The zone of the target.
    pub zone: ZoneId,
    /// Whether the target accepts requests.
    pub state: TargetState,
    /// When the target last started, by the caller's clock. Absent: long ago.
    pub started: Option<Micros>,
}

/// Which targets the entries of an endpoint update name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// The targets that have changed.
    Delta,
    /// All targets: one without an entry is removed.
    Snapshot,
    /// All targets of the list that this initiator stored last, which may be stale.
    Cached,
}
