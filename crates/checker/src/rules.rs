//! The limits that a history is checked against.

use crate::Micros;

/// Time limits and tolerances from the protocol and the settings, in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A response that arrives later than this after its request's deadline counts as missing.
    pub response_slack: Micros,
    /// An attempt may start up to this long after its client disconnected or received the final response.
    pub disconnect_slack: Micros,
    /// The time left that an attempt states to its target may exceed what the client has left by this much.
    pub time_left_slack: Micros,
    /// A target may be sent new work up to this long after its drain counts as received by the process.
    pub drain_grace: Micros,
    /// Tolerance on the time limits of the settings, since events are observed at sockets.
    pub socket_slack: Micros,
    /// A change of the endpoint list counts as received by a process this long after discovery recorded it
    /// and was reachable, unless it was delivered earlier.
    pub discovery_propagation: Micros,
    /// A process that received SIGTERM must respond to each request that is sent later than this after the
    /// signal, even if the process is killed before it has responded.
    pub sigterm_grace: Micros,
    /// `None` if slow start is not checked.
    pub slow_start: Option<SlowStart>,
}

/// How much work a newly started target can take.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Work that a target can take in one window at its start, in requests of usual size.
    pub requests: f64,
    /// Length of the window over which the work is summed.
    pub window: Micros,
    /// Capacity of a target at its start as a fraction of its full capacity: greater than 0, at most 1.
    pub initial_capacity: f64,
    /// How long after its start a target has reached full capacity; capacity grows linearly until then.
    pub warm_within: Micros,
}

impl Rules {
    /// The protocol's limits, combined with the settings' drain grace. Slow start is not checked.
    pub fn with_grace(drain_grace: Micros) -> Rules {
        Rules {
            response_slack: 500_000,
            disconnect_slack: 100_000,
            time_left_slack: 150_000,
            drain_grace,
            socket_slack: 50_000,
            discovery_propagation: 6_000_000,
            sigterm_grace: 700_000,
            slow_start: None,
        }
    }
}
