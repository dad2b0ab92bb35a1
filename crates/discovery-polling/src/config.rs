//! Configuration of a polling schedule.

use crate::Micros;

/// How discovery delivers the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// One service answers the polls of all initiators.
    Polled {
        /// Longest time that an initiator may go without polling, in microseconds; 0 if the settings give
        /// none.
        max_poll_interval: Micros,
    },
    /// This initiator's own agent receives every change without being polled. A change that the agent has
    /// received counts as known to the initiator.
    Pushed {
        /// How long requests may still be sent according to an outdated list, in microseconds.
        drain_grace: Micros,
    },
}

/// How a watch is kept open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// By consecutive requests, each of which waits for a change for a bounded time.
    LongPoll,
    /// By one request: discovery sends changes without further requests until the subscription breaks.
    Subscription,
}

/// Configuration of a [`Schedule`](crate::Schedule).
#[derive(Clone, Copy, Debug)]
pub struct PollingConfig {
    /// Whether the list is polled from a shared service or pushed to an agent.
    pub delivery: Delivery,
    /// How a watch is kept open once the list has been received.
    pub watch_mode: WatchMode,
    /// Number of initiators that poll the same discovery service, this one included.
    pub initiators: u32,
    /// Index of this initiator in the fleet, from 0; `None` if unknown.
    pub instance_index: Option<u32>,
}
