//! What a schedule is made from.

use crate::Micros;

/// How discovery delivers the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// One service for all initiators answers when polled.
    Polled {
        /// How long an initiator may go without polling, in microseconds; 0 if the settings do not say.
        max_poll_interval: Micros,
    },
    /// An agent of this initiator's own is up to date without being polled, and what it has counts as known
    /// here.
    Pushed {
        /// How long sends by an older list are allowed, in microseconds.
        drain_grace: Micros,
    },
}

/// How a watch is kept open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatchMode {
    /// By requests that wait for a change for a bounded time, one after another.
    LongPoll,
    /// By one request; changes come without further requests until the subscription breaks.
    Subscription,
}

/// What a schedule is made from.
#[derive(Clone, Copy, Debug)]
pub struct PollingConfig {
    /// How discovery delivers the list.
    pub delivery: Delivery,
    /// How a watch is kept open.
    pub watch_mode: WatchMode,
    /// How many initiators poll the same discovery, this one included.
    pub initiators: u32,
    /// The index of this initiator among all, from 0; none: not known.
    pub instance_index: Option<u32>,
}
