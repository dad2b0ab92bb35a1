//! Timing constants of the polling schedule, with their reasons. docs/design/discovery.md has the
//! measurements.

use crate::Micros;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// Time from the moment that discovery becomes reachable until every initiator must have received the list.
/// The platform treats a change as known to all initiators from then on.
pub const LIST_RECEIPT_DEADLINE: Micros = 6 * SECOND;

// Requests in flight.

/// Maximum requests in flight from one initiator: the first and one hedged request, since each costs the
/// shared discovery service work.
pub(crate) const MAX_REQUESTS_IN_FLIGHT: usize = 2;
/// Maximum requests in flight to an initiator's own agent, for which an additional request is little work.
pub(crate) const MAX_REQUESTS_TO_AGENT_IN_FLIGHT: usize = 8;
/// Time without a response after which a request that does not wait for a change may be lost, so that a
/// hedged request is sent. Discovery rejects a request that waits too long in its queue sooner than that.
pub(crate) const HEDGE_AFTER: Micros = 3 * SECOND;
/// Time after which a request that does not wait for a change is abandoned; equal to [`MAX_CYCLE`]. Whether
/// it can be shorter is an open question (docs/design/open-questions.md).
pub(crate) const REQUEST_TIMEOUT: Micros = 5 * SECOND;

// Long polls.

/// Longest wait of a long poll. A change missed by a silent watch counts as known 6 s after the watch went
/// silent or 2 s after the end of the wait, whichever is later, so a short wait leaves the most time to
/// detect the silence and to poll again.
pub(crate) const MAX_LONG_POLL_WAIT: Micros = 2 * SECOND;
/// Shortest wait of a long poll, even if the poll interval of the settings is shorter: a watch must not
/// become a busy loop.
pub(crate) const MIN_LONG_POLL_WAIT: Micros = 500 * MILLISECOND;
/// Time after the end of a long poll's wait at which a missing response means that the watch is silent.
pub(crate) const LONG_POLL_RESPONSE_TIMEOUT: Micros = 700 * MILLISECOND;

// Cycles: from one request of an initiator to its next.

/// Longest cycle while discovery is not known to be overloaded. Within one cycle after discovery becomes
/// reachable, each initiator sends one request that can be served; the cycle and the request's time in
/// discovery's queue together have to stay under [`LIST_RECEIPT_DEADLINE`].
pub const MAX_CYCLE: Micros = 5 * SECOND;
/// Longest cycle of a fleet smaller than [`SMALL_FLEET_BELOW`]. Each request is a larger part of discovery's
/// work there, so a shorter cycle leaves more of [`LIST_RECEIPT_DEADLINE`] for serving the request. The
/// requests of one cycle may then queue behind each other, for less than discovery's queue timeout.
pub(crate) const MAX_CYCLE_OF_SMALL_FLEET: Micros = 3_500 * MILLISECOND;
/// Longest cycle of a single initiator, which shares discovery with no other.
pub(crate) const MAX_CYCLE_OF_SINGLE_INITIATOR: Micros = SECOND;
/// Number of initiators from which [`CYCLE_PER_INITIATOR`] alone makes a cycle as long as [`MAX_CYCLE`].
pub(crate) const SMALL_FLEET_BELOW: Micros = MAX_CYCLE / CYCLE_PER_INITIATOR;
/// Shortest first cycle after a failure other than a rejection.
pub(crate) const MIN_CYCLE: Micros = 500 * MILLISECOND;
/// Time that each initiator adds to a cycle that is shorter than the longest: more than the 50 to 80 ms that
/// discovery takes for one request.
pub(crate) const CYCLE_PER_INITIATOR: Micros = 125 * MILLISECOND;
/// Shortest time from a rejected request to the next request: a rejected request still costs discovery work.
pub(crate) const MIN_CYCLE_AFTER_REJECTION: Micros = 2 * SECOND;
/// Shortest delay between a failure and the next request.
pub(crate) const MIN_RETRY_DELAY: Micros = 50 * MILLISECOND;
/// Maximum number of doublings of a cycle for consecutive failures; by then every upper bound on it is
/// reached.
pub(crate) const MAX_DOUBLINGS: u32 = 8;

// Service time of one request at discovery, estimated from response times.

/// Fraction of a request's estimated service time that a cycle allots to each initiator: the requests of one
/// cycle may queue behind each other, for less than discovery's queue timeout (docs/design/discovery.md).
pub(crate) const SERVICE_TIME_FRACTION: f64 = 0.7;
/// Fraction by which a response time above the estimated service time raises the estimate: time that a
/// request spent in discovery's queue must not count in full.
pub(crate) const SERVICE_TIME_GAIN: f64 = 0.125;

// Initiators that begin to poll at the same time.

/// Longest spread of the initiators' polls after a change of discovery's address, which operators make by
/// reloading the configuration.
pub(crate) const MAX_SPREAD_AFTER_ADDRESS_CHANGE: Micros = SECOND;
/// Longest spread of the polls after a watch went silent: the watches of all initiators may have gone silent
/// together, and part of the time to receive the missed change has passed already.
pub(crate) const MAX_SPREAD_AFTER_SILENCE: Micros = 3 * SECOND;
/// Shortest delay between the request that reopens a silent watch and its hedged request. It is shorter than
/// [`HEDGE_AFTER`], since the missed change is older by then.
pub(crate) const MIN_HEDGE_AFTER_SILENCE: Micros = 500 * MILLISECOND;
/// Longest such delay, for fleets that may have many such requests in discovery's queue.
pub(crate) const MAX_HEDGE_AFTER_SILENCE: Micros = 2_200 * MILLISECOND;
/// Time that each initiator adds between the two bounds: the shortest time that discovery takes for one
/// request.
pub(crate) const HEDGE_PER_INITIATOR: Micros = 50 * MILLISECOND;

// Long outages.

/// Failures that last this long indicate a long outage or an overload. Initiators then poll less often than
/// once per [`MAX_CYCLE`], down to once per poll interval of the settings.
pub(crate) const LONG_OUTAGE_AFTER: Micros = 12 * SECOND;
/// Poll interval in a long outage if the settings give none.
pub(crate) const DEFAULT_MAX_POLL_INTERVAL: Micros = 10 * SECOND;

// An initiator's own agent.

/// The delay between two requests to the agent is the drain grace divided by this, so that several requests
/// fit into the grace. The best divisor is an open question (docs/design/open-questions.md).
pub(crate) const AGENT_RETRIES_PER_GRACE: Micros = 4;
/// Shortest delay between requests to the agent, for settings with a short grace or none.
pub(crate) const MIN_AGENT_RETRY_DELAY: Micros = 20 * MILLISECOND;
/// Longest delay between requests to the agent, however long the grace is: changes must be received soon.
pub(crate) const MAX_AGENT_RETRY_DELAY: Micros = 500 * MILLISECOND;
/// Time after which a request to the agent is abandoned, in retry delays. It is long enough to send all the
/// others that may be in flight, each about one grace after the previous one.
pub(crate) const AGENT_TIMEOUT_RETRY_DELAYS: Micros = 32;
/// Upper bound on the time after which a request to the agent is abandoned.
pub(crate) const MAX_AGENT_REQUEST_TIMEOUT: Micros = 5 * SECOND;
