//! The limits that a history is checked against.

use crate::Micros;

/// The limits that the settings and the protocol give.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A response this much later than its request's deadline is lost, as is none at all.
    pub response_slack: Micros,
    /// An attempt may begin this long after its client disconnected, or after its request's final response.
    pub disconnect_slack: Micros,
    /// An attempt may tell its target this much more time than its client has left.
    pub time_left_slack: Micros,
    /// A target may be sent new work this long after its drain became known.
    pub drain_grace: Micros,
    /// The time limits of the settings are longer by this on sockets.
    pub socket_slack: Micros,
    /// A change counts as known this long after discovery had it and could be reached.
    pub discovery_propagation: Micros,
    /// A process that got SIGTERM owes responses to what came later than this, even if it is killed.
    pub sigterm_grace: Micros,
    /// None: slow start is not checked.
    pub slow_start: Option<SlowStart>,
}

/// The budget of a target that has just started.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Requests of usual work that a target bears in a window at its start.
    pub requests: f64,
    /// The window's length.
    pub window: Micros,
    /// The part of its capacity that a target has at its start, between 0 and 1.
    pub initial_capacity: f64,
    /// It has all of it after this long.
    pub warm_within: Micros,
}

impl Rules {
    /// The protocol's own limits, with the settings' grace.
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
