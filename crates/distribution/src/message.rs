//! What passes between instances, relays and the source.
//!
//! Postcard writes fields and variants by their order and not by their names: the order is the wire's.

use crate::delta::Delta;
use crate::snapshot::Snapshot;
use crate::version::{Digest, Version};
use crate::{Millis, NodeId};
use serde::{Deserialize, Serialize};

/// What a follower has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct HeldVersion {
    /// The version of its newest state.
    pub version: Version,
    /// The digest of that state.
    pub digest: Digest,
}

/// Asks for what is newer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WatchRequest {
    /// None: nothing is held, or not to be built on. A snapshot is requested.
    pub held: Option<HeldVersion>,
    /// How long the response may wait for a change, in milliseconds.
    #[serde(rename = "hold")]
    pub max_wait: Millis,
    /// Instances at or behind the sender that reject the newest version that they have.
    #[serde(rename = "refusing")]
    pub rejecting: u32,
}

/// What a relay has for a follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ResponseBody {
    /// Nothing is newer.
    #[serde(rename = "Same")]
    Unchanged,
    /// From older to newer, each the base of the next: whoever passes them on can serve followers at any of
    /// them.
    Deltas(Vec<Delta>),
    /// The whole state.
    Snapshot(Snapshot),
    /// The relay's state at that version is another: a snapshot must be requested.
    #[serde(rename = "Differs")]
    DigestMismatch,
    /// The relay has nothing newer, and is itself behind.
    #[serde(rename = "Older")]
    Behind,
    /// The relay has nothing yet.
    Empty,
    /// It has as many followers as it may.
    Busy,
}

/// The response to a [`WatchRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WatchResponse {
    /// The nodes that it came through, the source first.
    pub path: Vec<NodeId>,
    /// How long ago the source responded, in milliseconds: a span, so that no two clocks are compared.
    pub age: Millis,
    /// What the relay has.
    pub body: ResponseBody,
}

/// What passes between two nodes.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// From a follower to a relay or the source.
    #[serde(rename = "Watch")]
    Request(WatchRequest),
    /// From a relay or the source to a follower.
    #[serde(rename = "Answer")]
    Response(WatchResponse),
}
