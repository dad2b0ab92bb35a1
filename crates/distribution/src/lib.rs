//! Distributes one state, an endpoint list or a configuration, to every instance of a large fleet: from a
//! source, through relays, to followers. The crate is sans-I/O: the caller passes in messages and times and
//! sends the returned messages; there are no sockets and no clock here.
//!
//! A [`Follower`] watches one relay at a time. Its request names the version that it has. The relay responds
//! at once if it has a newer one, and otherwise with the next change or when the watch times out. A [`Relay`]
//! is itself a follower of the source or of another relay, and serves a bounded number of followers.
//!
//! Messages are sent on connections that the driver keeps. A response is sent on the connection that its
//! request arrived on, and is dropped if either end has restarted in between. Delivering it nevertheless does
//! no harm, but may cause a snapshot to be requested twice.
//!
//! **Invariants**
//! - Newer wins, stale never replaces newer: a follower accepts a state of a greater version only, whatever
//!   path it arrived by.
//! - A delta is applied only to its base version, and only if the result has the source's digest; otherwise
//!   the state stays unchanged and a snapshot is requested.
//! - The active state is the newest one that the instance's validation has accepted. A rejected state is kept
//!   as the base of later deltas and reported up to the source as a count, but the last accepted state stays
//!   active.
//! - Clocks of different nodes are never compared: versions come from the source, and ages are sums of time
//!   spans that each node measured itself.
//! - A follower switches to the next relay if its relay is silent, behind, cut off from the source, at
//!   capacity or part of a loop.

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

/// A point in time or a time span, in milliseconds of the caller's monotonic clock.
pub type Millis = u64;

/// The id of the source, a relay or an instance, unique in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u32);
