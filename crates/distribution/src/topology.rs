//! The relays of a fleet as configured by an operator, and which of them an instance follows.

use crate::NodeId;
use serde::Deserialize;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The address, region and zone of a relay or an instance.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeLocation {
    /// The address at which other nodes reach the node.
    pub addr: SocketAddr,
    /// Its region.
    pub region: String,
    /// Its zone within the region.
    pub zone: String,
}

/// A region and its zones.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The region's name.
    pub name: String,
    /// The names of its zones.
    pub zones: Vec<String>,
}

/// The regions and relays as listed in an operator's file.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// All regions of the fleet.
    #[serde(rename = "region")]
    pub regions: Vec<Region>,
    /// All relays of the fleet.
    #[serde(rename = "relay")]
    pub relays: Vec<NodeLocation>,
    /// The maximum number of followers of a relay.
    pub fan_out: usize,
}

/// Why a topology is invalid; the message begins with the operator's key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TopologyError {
    /// Relays would accept no followers.
    #[error("{}: must be at least 1, found 0", self.key())]
    ZeroFanOut,
    /// No relay is listed.
    #[error("{}: must list at least one relay", self.key())]
    NoRelays,
    /// A node's region is not listed in the file.
    #[error("{}: {region:?} is not a region listed in the file", self.key())]
    UnknownRegion {
        /// The operator's key of the node.
        node: String,
        /// The region that is not listed.
        region: String,
    },
    /// A node's zone is not listed for its region.
    #[error("{}: {zone:?} is not a zone of region {region:?}", self.key())]
    UnknownZone {
        /// The operator's key of the node.
        node: String,
        /// The zone that is not listed.
        zone: String,
        /// The node's region.
        region: String,
    },
    /// Two relays have the same address.
    #[error("{}: {addr} is already the address of another relay", self.key())]
    DuplicateRelay {
        /// The operator's key of the second relay.
        node: String,
        /// The address of both relays.
        addr: SocketAddr,
    },
    /// A relay has the address of the instance that reads the file.
    #[error("{}: {addr} is this instance's own address", self.key())]
    OwnAddress {
        /// The operator's key of the relay.
        node: String,
        /// The address of both the relay and the instance.
        addr: SocketAddr,
    },
}

impl TopologyError {
    /// The operator's key of the invalid value.
    pub fn key(&self) -> String {
        match self {
            TopologyError::ZeroFanOut => "distribution.fan_out".to_string(),
            TopologyError::NoRelays => "distribution.relay".to_string(),
            TopologyError::UnknownRegion { node, .. } => format!("{node}.region"),
            TopologyError::UnknownZone { node, .. } => format!("{node}.zone"),
            TopologyError::DuplicateRelay { node, .. } | TopologyError::OwnAddress { node, .. } => {
                format!("{node}.addr")
            }
        }
    }
}

impl Topology {
    /// Validates the topology for the node at `own`. A relay passes its own index in the list.
    ///
    /// # Errors
    /// The first invalid value, with its key.
    pub fn check(&self, own: &NodeLocation, own_relay_index: Option<usize>) -> Result<(), TopologyError> {
        if self.fan_out == 0 {
            return Err(TopologyError::ZeroFanOut);
        }
        if self.relays.is_empty() {
            return Err(TopologyError::NoRelays);
        }
        self.check_location("distribution.me", own)?;
        let mut addrs = BTreeSet::new();
        for (index, relay) in self.relays.iter().enumerate() {
            let node = format!("distribution.relay[{index}]");
            self.check_location(&node, relay)?;
            let addr = relay.addr;
            if !addrs.insert(addr) {
                return Err(TopologyError::DuplicateRelay { node, addr });
            }
            if addr == own.addr && own_relay_index != Some(index) {
                return Err(TopologyError::OwnAddress { node, addr });
            }
        }
        Ok(())
    }

    fn check_location(&self, node: &str, location: &NodeLocation) -> Result<(), TopologyError> {
        let (node, zone, region) = (node.to_string(), location.zone.clone(), location.region.clone());
        let Some(known) = self.regions.iter().find(|known| known.name == region) else {
            return Err(TopologyError::UnknownRegion { node, region });
        };
        if !known.zones.contains(&zone) {
            return Err(TopologyError::UnknownZone { node, zone, region });
        }
        Ok(())
    }

    /// The indices of all relays, in the order in which an instance prefers them: relays of its own region
    /// first, then the rest. A hash of instance and relay orders them within both groups, which spreads the
    /// instances evenly.
    pub fn preferred_relays(&self, instance: NodeId, region: &str) -> Vec<usize> {
        let mut indices: Vec<usize> = (0..self.relays.len()).collect();
        indices.sort_by_key(|index| {
            let relay = &self.relays[*index];
            let score = xxh3_64_with_seed(relay.addr.to_string().as_bytes(), u64::from(instance.0));
            (relay.region != region, Reverse(score))
        });
        indices
    }
}
