//! Counters of followers and relays, for monitoring the distribution.

/// A follower's counts since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FollowerCounters {
    /// Deltas applied.
    pub deltas: u64,
    /// Snapshots accepted.
    pub snapshots: u64,
    /// States that the instance's validation rejected.
    pub rejected: u64,
    /// Dropped responses whose version was not newer than the follower's.
    pub stale: u64,
    /// Dropped deltas whose base was not the follower's version.
    pub wrong_base: u64,
    /// Deltas whose result had another digest than the source's, and relays that had a different state at the
    /// follower's version.
    pub digest_mismatches: u64,
    /// Dropped snapshots that could not be decompressed, or whose entries did not match their digest.
    pub malformed_snapshots: u64,
    /// Dropped responses that belong to no request in flight.
    pub unsolicited: u64,
    /// Switches to the next relay because no response arrived in time.
    pub timeouts: u64,
    /// Switches to the next relay because the connection ended.
    pub disconnects: u64,
    /// Switches to the next relay because the relay was at capacity.
    pub busy: u64,
    /// Switches to the next relay because the relay was part of a loop.
    pub loops: u64,
    /// Switches to the next relay because the relay was cut off from the source.
    pub cut_off: u64,
}

/// A relay's counts since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayCounters {
    /// Responses with deltas.
    pub deltas: u64,
    /// Responses with a snapshot.
    pub snapshots: u64,
    /// Responses without a change.
    pub unchanged: u64,
    /// Follower requests rejected because the relay was at capacity.
    pub busy: u64,
    /// Times that responses were delayed because the byte budget was spent.
    pub delayed: u64,
}
