//! Which connections give way when there is no room for another or no memory: first those without a request, then
//! uploads whose clients have stopped.

use super::connection::{ClientConnection, Phase};
use super::limits::{EVICTION_MIN_AGE, MIN_SHED_STALL, YOUNG_CONNECTION_AGE};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::time::Instant;

/// The connections of a table by their ids.
pub(super) type Connections = BTreeMap<u64, Rc<ClientConnection>>;

/// How many connections and requests gave way, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ShedCounters {
    /// Connections without a request that were ended for others.
    pub evicted: u64,
    /// Uploads that were answered with 503 because their clients had stopped and others wanted the room.
    pub uploads: u64,
    /// New connections that found no room.
    pub rejected: u64,
    /// Uploads that were answered with 503 at their start, because others held all that uploads may hold.
    pub refused_uploads: u64,
    /// Reads that were answered with 503 in place of a long response, for the same reason.
    pub refused_responses: u64,
}

/// A counter that the connections of one thread share.
#[derive(Debug, Default)]
pub(super) struct SharedCounters(Cell<ShedCounters>);

impl SharedCounters {
    pub(super) fn get(&self) -> ShedCounters {
        self.0.get()
    }

    pub(super) fn record(&self, change: impl FnOnce(&mut ShedCounters)) {
        let mut counters = self.0.get();
        change(&mut counters);
        self.0.set(counters);
    }
}

/// Which connections may be evicted for a new one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Evictable {
    /// Those that hold a descriptor and no request.
    Any,
    /// Those that also hold memory: not those that are being closed.
    Open,
}

impl Evictable {
    fn includes(self, connection: &ClientConnection) -> bool {
        self == Evictable::Any || connection.phase() != Phase::Closing
    }
}

/// Whether a connection will make room within [`YOUNG_CONNECTION_AGE`]: its first request may still come and be over by
/// then, or its last response has been given.
pub(super) fn will_make_room(connections: &Connections) -> bool {
    let now = Instant::now();
    connections.values().any(|connection| {
        let may_end =
            matches!(connection.phase(), Phase::Silent | Phase::Head) || connection.has_abandoned_body();
        may_end && connection.phase_age(now) < YOUNG_CONNECTION_AGE
    })
}

/// The connection to evict for a new one: the one that has been closing for longest, else the one silent for
/// longest, else the one idle for longest, else the one whose head has taken longest.
pub(super) fn eviction_candidate(connections: &Connections, evictable: Evictable) -> Option<u64> {
    let now = Instant::now();
    let settled = connections.iter().filter(|(_, connection)| {
        connection.phase_age(now) >= EVICTION_MIN_AGE && evictable.includes(connection)
    });
    let ranked = settled.filter_map(|(id, connection)| {
        let rank = eviction_rank(connection.phase_for_eviction())?;
        Some((rank, connection.phase_since(), *id))
    });
    ranked.min().map(|(.., id)| id)
}

/// Connections with a lower rank are evicted first; `None`: a request is open, and the connection stays.
fn eviction_rank(phase: Phase) -> Option<u8> {
    match phase {
        Phase::Closing => Some(0),
        Phase::Silent => Some(1),
        Phase::Idle => Some(2),
        Phase::Head => Some(3),
        Phase::Busy => None,
    }
}

/// The upload whose client has stopped for longest, if one has for at least [`MIN_SHED_STALL`].
pub(super) fn stalled_upload(connections: &Connections) -> Option<&Rc<ClientConnection>> {
    let now = Instant::now();
    let stalled = connections.values().filter_map(|connection| {
        let stall = connection.upload_stall(now).filter(|stall| *stall >= MIN_SHED_STALL)?;
        Some((stall, connection))
    });
    stalled.max_by_key(|(stall, _)| *stall).map(|(_, connection)| connection)
}
