//! Counts that show whether the distribution works.

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowerCounters {
    /// Deltas applied.
    pub deltas: u64,
    /// Snapshots taken.
    pub snapshots: u64,
    /// States that the instance's own check rejected.
    pub rejected: u64,
    /// Responses older than what is held; dropped.
    pub stale: u64,
    /// Deltas for another version than the one held; dropped.
    pub wrong_base: u64,
    /// Deltas whose result had another digest, and relays with another state of the version held.
    pub digest_mismatches: u64,
    /// Snapshots that could not be decompressed; dropped.
    pub malformed_snapshots: u64,
    /// Responses to no request; dropped.
    pub unsolicited: u64,
    /// Relays left because no response came.
    pub timeouts: u64,
    /// Relays left because the connection ended.
    pub disconnects: u64,
    /// Relays left because they had no room.
    pub busy: u64,
    /// Relays left because they were part of a loop.
    pub loops: u64,
    /// Relays left because they were cut off from the source.
    pub cut_off: u64,
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayCounters {
    /// Responses with deltas.
    pub deltas: u64,
    /// Responses with a snapshot.
    pub snapshots: u64,
    /// Responses without a change.
    pub unchanged: u64,
    /// Followers rejected because there was no room.
    pub busy: u64,
    /// Responses delayed because the byte budget was spent.
    pub delayed: u64,
}
