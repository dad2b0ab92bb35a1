//! Messages between instances, relays and the source.
//!
//! Postcard encodes fields and variants by their order and not by their names: reordering them breaks the
//! wire format.

use crate::delta::Delta;
use crate::snapshot::Snapshot;
use crate::version::{Digest, Version};
use crate::{Millis, NodeId};
use serde::{Deserialize, Serialize};

/// The version and digest of a follower's newest state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeldVersion {
    /// The version of that state.
    pub version: Version,
    /// The digest of that state's entries.
    pub digest: Digest,
}

/// Requests any state newer than the follower's.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WatchRequest {
    /// The follower's newest state. `None` requests a snapshot: the follower has no state, or its state
    /// cannot serve as the base of a delta.
    pub held: Option<HeldVersion>,
    /// How long the relay may delay its response until a change occurs, in milliseconds.
    #[serde(rename = "hold")]
    pub max_wait: Millis,
    /// The number of instances, at the sender or downstream of it, that reject the newest state that they
    /// have received.
    #[serde(rename = "refusing")]
    pub rejecting: u32,
}

/// A relay's response to a follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ResponseBody {
    /// The relay has no newer state.
    #[serde(rename = "Same")]
    Unchanged,
    /// From older to newer, each the base of the next. A relay that receives them can serve followers at any
    /// of these versions.
    Deltas(Vec<Delta>),
    /// The complete state.
    Snapshot(Snapshot),
    /// The relay has a different state at the follower's version: the follower must request a snapshot.
    #[serde(rename = "Differs")]
    DigestMismatch,
    /// The relay's state is older than the follower's.
    #[serde(rename = "Older")]
    Behind,
    /// The relay has not received a state yet.
    Empty,
    /// The relay already has its maximum number of followers.
    Busy,
}

/// The response to a [`WatchRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The nodes that the state passed through, the source first.
    pub path: Vec<NodeId>,
    /// How long ago the source last responded, in milliseconds. A time span, so that clocks of different
    /// nodes are never compared.
    pub age: Millis,
    /// The result of the request.
    pub body: ResponseBody,
}

/// A message between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// From a follower to a relay or the source.
    #[serde(rename = "Watch")]
    Request(WatchRequest),
    /// From a relay or the source to a follower.
    #[serde(rename = "Answer")]
    Response(WatchResponse),
}
