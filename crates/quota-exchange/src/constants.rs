//! The bounds of the exchange, with their reasons.

use crate::Micros;

const MILLISECOND: Micros = 1_000;

/// From one request to the next: an initiator sends 20 datagrams a second to each peer at most, and only while
/// it needs quota.
pub(crate) const REQUEST_INTERVAL: Micros = 50 * MILLISECOND;
/// How long a request stays open for grants. An answer takes some milliseconds; a grant that comes later may
/// be a duplicate, and its units are worth less than certainty.
pub(crate) const REQUEST_TIMEOUT: Micros = 500 * MILLISECOND;
/// A need for quota is forgotten after this long: the client requests that caused it are over.
pub(crate) const NEED_TIMEOUT: Micros = 1_000 * MILLISECOND;
/// Volumes that one datagram names: what fits into [`crate::wire::MAX_DATAGRAM_BYTES`].
pub const MAX_VOLUMES_PER_DATAGRAM: usize = 18;
