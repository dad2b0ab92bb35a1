//! The bounds of the gossip, with their reasons.

use crate::{Micros, TargetKey};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;

// Queries.

/// Peers that one round of queries goes to: the chance that none of them has a watch falls with each.
pub(crate) const PEERS_PER_ROUND: usize = 3;
/// From the first round to the second; doubled from round to round up to [`MAX_ROUND_INTERVAL`].
pub(crate) const MIN_ROUND_INTERVAL: Micros = 250 * MILLISECOND;
/// The longest time between two rounds: an initiator that waits for discovery learns of new drains this late at
/// most, at under 100 bytes a second.
pub(crate) const MAX_ROUND_INTERVAL: Micros = SECOND;
/// The first round comes at a random time within this: all initiators may begin to query together.
pub(crate) const FIRST_ROUND_WITHIN: Micros = 50 * MILLISECOND;
/// Reports are accepted for the queries of so many last rounds: a late answer still helps, an old one may be
/// forged or out of date.
pub(crate) const ACCEPTED_ROUNDS: u32 = 4;
/// A peer whose answer ended with more behind it is queried again this soon.
pub(crate) const FOLLOW_UP_AFTER: Micros = MILLISECOND;

// Datagrams and answers.

/// The most bytes of a datagram: far below what any network between initiators splits into fragments.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// The most bytes before the targets of a report: format, variant, a round of up to 5 bytes, two positions of
/// up to 18, two flags, a count.
const MAX_REPORT_HEAD_BYTES: usize = 47;
/// Targets that one report names at most: what fits into a datagram.
pub const MAX_TARGETS_PER_REPORT: usize =
    (MAX_DATAGRAM_BYTES - MAX_REPORT_HEAD_BYTES) / size_of::<TargetKey>();
/// Reports that answer one query at most; its sender queries again for the rest, so that what is lost is
/// noticed early.
pub const MAX_REPORTS_PER_QUERY: usize = 8;
/// Reports received out of order that are remembered at most: the answers of a few peers at once.
pub(crate) const MAX_OUT_OF_ORDER_REPORTS: usize = 4 * MAX_REPORTS_PER_QUERY;

// What an initiator sends in answers.

/// Bytes a second in the long run: a peer that misses 3,200 drains needs 32 KiB.
pub const BUDGET_BYTES_PER_SECOND: u64 = 64 * 1024;
/// Bytes at once: a quarter of a second's budget.
pub const MAX_BURST_BYTES: u64 = 16 * 1024;

// The log.

/// Drains that are kept at most, about 100 KiB; beyond them the oldest are forgotten.
pub const MAX_LOG_ENTRIES: usize = 8_192;
/// A drain is kept for this long: whoever missed it has received the list by then.
pub(crate) const LOG_RETENTION: Micros = 60 * SECOND;
