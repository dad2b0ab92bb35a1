//! Endpoints as listed by the discovery service.

use crate::target::StubTarget;
use serde_json::json;
use std::net::SocketAddr;

/// The state of a target in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointState {
    /// The target accepts new requests.
    Active,
    /// The target accepts no new requests.
    Draining,
    /// The target is no longer listed; appears only in deltas.
    Removed,
}

/// A target's entry in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The target's name.
    pub id: String,
    /// The address that the target listens on.
    pub addr: SocketAddr,
    /// The shard that the target stores.
    pub shard: u32,
    /// Whether the target is active, draining or removed.
    pub state: EndpointState,
    /// The Unix time of the last start, in milliseconds. 0 if the target has been up for a long time.
    pub started_ms: u64,
    /// The target's zone. `None` if it is the discovery service's own zone.
    pub zone: Option<String>,
}

impl Endpoint {
    /// The entry of a stub target in this state, in the discovery service's own zone.
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

    /// The entry as JSON in the platform's format, for a discovery service in `zone`.
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
