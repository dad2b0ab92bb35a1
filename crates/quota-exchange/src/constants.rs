//! Limits and timing of the exchange, with their reasons.

use crate::Micros;

const MILLISECOND: Micros = 1_000;

/// Shortest interval between two requests: an initiator sends at most 20 datagrams per second to each peer,
/// and only while it needs quota.
pub(crate) const REQUEST_INTERVAL: Micros = 50 * MILLISECOND;
/// How long a request accepts grants. An answer takes some milliseconds. A grant that arrives later may be a
/// duplicate; losing its units is better than risking to count them twice.
pub(crate) const REQUEST_TIMEOUT: Micros = 500 * MILLISECOND;
/// A need for quota expires after this long: the client requests that caused it have ended by then.
pub(crate) const NEED_TIMEOUT: Micros = 1_000 * MILLISECOND;
/// Maximum number of volumes in a datagram, so that it fits into [`crate::wire::MAX_DATAGRAM_BYTES`].
pub const MAX_VOLUMES_PER_DATAGRAM: usize = 18;
