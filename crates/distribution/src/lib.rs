//! How one state, a list or a configuration, reaches every instance of a large fleet: a source, relays
//! between, and followers. Messages and times come in, messages and news go out; there are no sockets and no
//! clock here.
//!
//! A follower watches one relay at a time ([`follower`]): it says which version it has, and the answer comes
//! at once where the relay has a newer one, and else with the next news or when the watch ends. Relays are
//! followers of the source, or of each other, with a bounded number of followers of their own ([`relay`]).
//!
//! Messages go on connections that the driver keeps: an answer comes on the connection that its watch went
//! out by, and none outlives either end's restart. One that comes all the same does no harm, but may have a
//! whole state asked for twice.
//!
//! **What holds.**
//! - Newer wins, stale never replaces newer: a follower takes a state of a greater version only, whatever
//!   path it came by.
//! - A delta is applied only to the version that it is made for, and only if the result has the source's
//!   digest; otherwise nothing is changed, and the whole state is asked for.
//! - What is in force is the newest state that the instance's own check has let pass: a refused one is held,
//!   so that deltas go on, and counted up to the source, but the last good one stays in force.
//! - No two clocks are compared: versions come from the source, and ages are sums of spans that each measured
//!   itself.
//! - A relay that is silent, behind, cut off from the source, full or part of a loop is left for the next
//!   one.
#![forbid(unsafe_code)]

pub mod follower;
pub mod message;
pub mod relay;
pub mod state;
pub mod topology;

pub use follower::{Follower, News};
pub use message::{Answer, Body, Held, Key, Malformed, Message, Snapshot, Watch, decode, encode};
pub use relay::{Outgoing, Relay};
pub use state::{Change, Delta, Digest, State, Version};
pub use topology::{Place, Region, Topology, TopologyError};

use serde::{Deserialize, Serialize};

/// Milliseconds of the caller's clock.
pub type Millis = u64;

/// The source, a relay or an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u32);
