//! How one state, an endpoint list or a configuration, reaches every instance of a large fleet: a source,
//! relays between, and followers. Messages and times come in, messages and updates go out; there are no sockets
//! and no clock here.
//!
//! A [`Follower`] watches one relay at a time: it says which version it has, and the response comes at once
//! where the relay has a newer one, and else with the next change or when the watch ends. A [`Relay`] is a
//! follower of the source, or of another relay, with a bounded number of followers of its own.
//!
//! Messages go on connections that the driver keeps: a response comes on the connection that its request went
//! out by, and none outlives either end's restart. One that comes all the same does no harm, but may have a
//! snapshot requested twice.
//!
//! **What holds.**
//! - Newer wins, stale never replaces newer: a follower takes a state of a greater version only, whatever path
//!   it came by.
//! - A delta is applied only to the version that it is made for, and only if the result has the source's
//!   digest; otherwise nothing is changed, and a snapshot is requested.
//! - What is active is the newest state that the instance's own check has accepted: a rejected one is kept, so
//!   that deltas go on, and counted up to the source, but the last good one stays active.
//! - No two clocks are compared: versions come from the source, and ages are sums of spans that each node
//!   measured itself.
//! - A relay that is silent, behind, cut off from the source, full or part of a loop is left for the next one.

#![forbid(unsafe_code)]

mod budget;
mod check;
mod codec;
mod counters;
mod delta;
mod follower;
mod history;
mod message;
mod relay;
mod snapshot;
mod state;
mod topology;
mod upstreams;
mod version;

pub use check::{InvalidState, StateCheck};
pub use codec::{DecodeError, EncodeError, Key, MAX_MESSAGE_BYTES, decode, encode};
pub use counters::{FollowerCounters, RelayCounters};
pub use delta::{ApplyError, Delta, EntryChange};
pub use follower::{Follower, StateUpdate};
pub use message::{HeldVersion, Message, ResponseBody, WatchRequest, WatchResponse};
pub use relay::{Outgoing, RELAY_MAX_WAIT, Relay, RelayLimits};
pub use snapshot::{Snapshot, SnapshotError};
pub use state::State;
pub use topology::{NodeLocation, Region, Topology, TopologyError};
pub use version::{Digest, Version};

use serde::{Deserialize, Serialize};

/// A point in time or a span, in milliseconds of the caller's monotonic clock.
pub type Millis = u64;

/// The source, a relay or an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u32);
