//! Limits and timing of the gossip, with their reasons.

use crate::{Micros, TargetKey};

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;

// Queries.

/// Number of peers queried per round: the chance that none of them has an open watch falls with each.
pub(crate) const PEERS_PER_ROUND: usize = 3;
/// Longest interval between the first round and the second. It doubles from round to round up to
/// [`MAX_ROUND_INTERVAL`].
pub(crate) const MIN_ROUND_INTERVAL: Micros = 250 * MILLISECOND;
/// Longest interval between two rounds: an initiator that waits for discovery learns of a new drain after
/// this time at most, at a cost of under 100 bytes per second.
pub(crate) const MAX_ROUND_INTERVAL: Micros = SECOND;
/// The first round starts at a random time within this interval, since all initiators may begin to query
/// together.
pub(crate) const FIRST_ROUND_WITHIN: Micros = 50 * MILLISECOND;
/// Number of latest rounds for whose queries reports are accepted: a late report still helps, an old one may
/// be forged or out of date.
pub(crate) const ACCEPTED_ROUNDS: u32 = 4;
/// Delay after which a peer whose answer was incomplete is queried again.
pub(crate) const FOLLOW_UP_AFTER: Micros = MILLISECOND;

// Datagrams and answers.

/// Maximum size of a datagram: far below the size at which any network between initiators fragments it.
pub const MAX_DATAGRAM_BYTES: usize = 256;
/// Maximum size of a report without its targets: format, variant, a round of up to 5 bytes, two positions of
/// up to 18 bytes each, two flags, a count.
const MAX_REPORT_HEAD_BYTES: usize = 47;
/// Maximum number of targets in a report, so that it fits into a datagram.
pub const MAX_TARGETS_PER_REPORT: usize =
    (MAX_DATAGRAM_BYTES - MAX_REPORT_HEAD_BYTES) / size_of::<TargetKey>();
/// Maximum number of reports that answer one query. The sender of the query queries again for the rest, so
/// that it notices a loss early.
pub const MAX_REPORTS_PER_QUERY: usize = 8;
/// Maximum number of out-of-order reports that are stored: the answers of a few peers at a time.
pub(crate) const MAX_OUT_OF_ORDER_REPORTS: usize = 4 * MAX_REPORTS_PER_QUERY;

// Bandwidth of answers.

/// Sustained rate of answers. A peer that misses 3,200 drains needs 32 KiB.
pub const BUDGET_BYTES_PER_SECOND: u64 = 64 * 1024;
/// Largest burst of answers: a quarter of a second's budget.
pub const MAX_BURST_BYTES: u64 = 16 * 1024;

// The log.

/// Maximum number of drains in the log, which take about 100 KiB; the oldest are dropped beyond it.
pub const MAX_LOG_ENTRIES: usize = 8_192;
/// How long a drain is kept: an initiator that missed it has received the list by then.
pub(crate) const LOG_RETENTION: Micros = 60 * SECOND;
