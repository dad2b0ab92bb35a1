//! Endpoints: targets as they appear in an endpoint list.

use crate::interface::{Micros, TargetState};
use std::net::SocketAddr;

/// The protocol of a front or a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    /// HTTP/1.1.
    Http,
    /// iSCSI.
    Iscsi,
}

/// An entry of an endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The target's name, which identifies it.
    pub name: String,
    /// How the target is reached; each protocol has its own list.
    pub protocol: Protocol,
    /// The address to connect to.
    pub addr: SocketAddr,
    /// The failure domain.
    pub zone: String,
    /// The machine type; empty if not known.
    pub kind: String,
    /// The shard of the data that the target holds.
    pub shard: u32,
    /// Whether the target accepts new requests.
    pub state: TargetState,
    /// When the target started, in microseconds of Unix time; absent if it has been running for long.
    pub started: Option<Micros>,
}
