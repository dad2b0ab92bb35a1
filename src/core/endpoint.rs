//! Endpoints: targets as a list names them.

use crate::interface::{Micros, TargetState};
use std::net::SocketAddr;

/// Which protocol a front or a target speaks.
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
    /// The target's name.
    pub name: String,
    /// How it is reached; each protocol has a list of its own.
    pub protocol: Protocol,
    /// Where it is reached.
    pub addr: SocketAddr,
    /// Its failure domain.
    pub zone: String,
    /// The kind of machine; empty: not known.
    pub kind: String,
    /// The part of the data that it holds.
    pub shard: u32,
    /// Whether it may be sent requests.
    pub state: TargetState,
    /// When it started, in Unix time; absent: long ago.
    pub started: Option<Micros>,
}
