//! The bounds of the schedule, with their reasons. docs/design/discovery.md has the measurements.

use crate::Micros;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// From the moment that discovery can be reached, the list is received within this time: from then on the
/// platform counts a change as known to every initiator.
pub const LIST_RECEIPT_DEADLINE: Micros = 6 * SECOND;

// Requests in flight.

/// Requests of one initiator in flight at most: the first and one hedged request, since each costs the shared
/// discovery work.
pub(crate) const MAX_REQUESTS_IN_FLIGHT: usize = 2;
/// The same to an initiator's own agent, for which one request more is little work.
pub(crate) const MAX_REQUESTS_TO_AGENT_IN_FLIGHT: usize = 8;
/// A request that does not wait, and has no response after this long, may be lost: a hedged request is sent
/// beside it. Discovery fails a request that waits too long in its queue before that.
pub(crate) const HEDGE_AFTER: Micros = 3 * SECOND;
/// A request that does not wait is given up after this long. Equal to [`MAX_CYCLE`]; why it is not shorter is
/// not recorded (docs/design/open-questions.md).
pub(crate) const REQUEST_TIMEOUT: Micros = 5 * SECOND;

// Long polls.

/// The longest wait of a long poll. A change missed by a silent watch counts as known 6 s after the watch fell
/// silent, or 2 s after the wait, whichever is later: a short wait leaves the most time to notice the silence
/// and to poll again.
pub(crate) const MAX_LONG_POLL_WAIT: Micros = 2 * SECOND;
/// The shortest wait, where the settings' poll interval is shorter: a watch must not become a busy loop.
pub(crate) const MIN_LONG_POLL_WAIT: Micros = 500 * MILLISECOND;
/// A response this much later than the end of its wait does not come any more: the watch is silent.
pub(crate) const LONG_POLL_RESPONSE_TIMEOUT: Micros = 700 * MILLISECOND;

// Cycles: from one request of an initiator to its next.

/// The longest cycle while discovery is not known to be overloaded. Within a cycle after discovery can be
/// reached, each initiator sends one request that can be served; together with its wait in discovery's queue
/// that has to stay under [`LIST_RECEIPT_DEADLINE`].
pub const MAX_CYCLE: Micros = 5 * SECOND;
/// The same for a fleet smaller than [`SMALL_FLEET_BELOW`]: each request is a larger part of discovery's work
/// there, so a shorter cycle leaves time for it. The requests of one cycle may then wait for each other, for
/// less than discovery lets them.
pub(crate) const MAX_CYCLE_OF_SMALL_FLEET: Micros = 3_500 * MILLISECOND;
/// An initiator alone shares discovery with nobody.
pub(crate) const MAX_CYCLE_OF_ONE: Micros = SECOND;
/// Initiators from which a cycle reaches [`MAX_CYCLE`] by [`CYCLE_PER_INSTANCE`] alone.
pub(crate) const SMALL_FLEET_BELOW: Micros = MAX_CYCLE / CYCLE_PER_INSTANCE;
/// The first cycle after a failure that was no rejection, at least.
pub(crate) const MIN_CYCLE: Micros = 500 * MILLISECOND;
/// What each initiator adds to a cycle that is shorter than the longest: more than discovery took for one
/// request where that was measured (50 to 80 ms).
pub(crate) const CYCLE_PER_INSTANCE: Micros = 125 * MILLISECOND;
/// After a rejection, from one request to the next at least: a rejected request still costs discovery work.
pub(crate) const MIN_CYCLE_AFTER_REJECTION: Micros = 2 * SECOND;
/// From a failure to the next request at least.
pub(crate) const MIN_RETRY_DELAY: Micros = 50 * MILLISECOND;
/// A cycle doubles for so many consecutive failures at most; by then every bound on it is reached.
pub(crate) const MAX_DOUBLINGS: u32 = 8;

// What one request costs discovery, as response times have shown.

/// The part of a request's learned service time that a cycle has for each initiator: the requests of one cycle
/// may wait for each other, for less than discovery lets them. Found by simulation (docs/design/discovery.md).
pub(crate) const SERVICE_TIME_PART: f64 = 0.7;
/// A response that took longer than the learned service time raises that by this part of the difference: one
/// that stood in a queue must not count in full. Found by simulation.
pub(crate) const SERVICE_TIME_GAIN: f64 = 0.125;

// Initiators that begin to poll together.

/// After a change of discovery's address, which operators make by a reload, initiators poll within this time.
pub(crate) const MAX_SPREAD_AFTER_ADDRESS_CHANGE: Micros = SECOND;
/// After silence, in which the watches of all initiators may have fallen silent together, and part of the time
/// is gone already.
pub(crate) const MAX_SPREAD_AFTER_SILENCE: Micros = 3 * SECOND;
/// A request that opens a silent watch again gets a hedged request beside it after this long at least, since
/// the change that was missed is older by then.
pub(crate) const MIN_HEDGE_AFTER_SILENCE: Micros = 500 * MILLISECOND;
/// The same at most, where many initiators may stand in discovery's queue with such requests.
pub(crate) const MAX_HEDGE_AFTER_SILENCE: Micros = 2_200 * MILLISECOND;
/// What each initiator adds between the two: the least that discovery took for one request
/// where that was measured.
pub(crate) const HEDGE_PER_INSTANCE: Micros = 50 * MILLISECOND;

// Long outages.

/// Requests that have failed for this long mean a long outage or an overload; initiators then poll less often
/// than once in [`MAX_CYCLE`], up to the settings' poll interval.
pub(crate) const LONG_OUTAGE_AFTER: Micros = 12 * SECOND;
/// The poll interval in a long outage where the settings give none.
pub(crate) const DEFAULT_MAX_POLL_INTERVAL: Micros = 10 * SECOND;

// An initiator's own agent.

/// The drain grace is divided by this for the pause between two requests to the agent, so that several fit
/// into it. Why four is not recorded (docs/design/open-questions.md).
pub(crate) const AGENT_RETRIES_PER_GRACE: Micros = 4;
/// The shortest pause, where the settings give a short grace or none.
pub(crate) const MIN_AGENT_RETRY_DELAY: Micros = 20 * MILLISECOND;
/// The longest pause, however long the grace: changes are wanted soon.
pub(crate) const MAX_AGENT_RETRY_DELAY: Micros = 500 * MILLISECOND;
/// A request to the agent is given up after so many pauses: in that time the others that may be in flight have
/// been sent, each about a grace after the one before.
pub(crate) const AGENT_TIMEOUT_RETRY_DELAYS: Micros = 32;
/// The same at most.
pub(crate) const MAX_AGENT_REQUEST_TIMEOUT: Micros = 5 * SECOND;
