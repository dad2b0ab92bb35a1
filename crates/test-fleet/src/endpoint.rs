//! The endpoints that discovery lists.

use crate::target::StubTarget;
use serde_json::json;
use std::net::SocketAddr;

/// What the endpoint list says of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// It takes new work.
    Active,
    /// It takes no new work.
    Draining,
    /// It is no longer listed; only among changes.
    Removed,
}

/// A target as the endpoint list names it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The target's name.
    pub id: String,
    /// Where it listens.
    pub addr: SocketAddr,
    /// The shard that it holds.
    pub shard: u32,
    /// Whether it takes new work.
    pub state: EndpointState,
    /// Unix time of its last start, in milliseconds; 0: long ago.
    pub started_ms: u64,
    /// Its zone, where it is not the service's own.
    pub zone: Option<String>,
}

impl Endpoint {
    /// A stub target in this state, in the service's own zone.
    pub fn of(target: &StubTarget, state: EndpointState) -> Endpoint {
        Endpoint {
            id: target.name().to_string(),
            addr: target.addr(),
            shard: target.shard(),
            state,
            started_ms: target.started_ms(),
            zone: None,
        }
    }

    /// The entry as the platform words it, for a service in `zone`.
    pub fn json(&self, zone: &str) -> serde_json::Value {
        let state = match self.state {
            EndpointState::Active => "active",
            EndpointState::Draining => "leaving",
            EndpointState::Removed => "left",
        };
        json!({
            "id": self.id, "addr": self.addr.to_string(), "zone": self.zone.as_deref().unwrap_or(zone), "kind": "std-box",
            "cell": self.shard, "state": state, "weight": 1.0, "started_ms": self.started_ms,
        })
    }
}
