//! Which relays an instance follows, from what an operator has written.

use crate::NodeId;
use serde::Deserialize;
use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Where a relay or an instance is.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeLocation {
    /// The address that others reach it at.
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

/// The relays, as an operator's file lists them.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    /// All regions.
    #[serde(rename = "region")]
    pub regions: Vec<Region>,
    /// All relays.
    #[serde(rename = "relay")]
    pub relays: Vec<NodeLocation>,
    /// Followers that a relay takes.
    pub fan_out: usize,
}

/// What is wrong with a topology; the text begins with the operator's key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum TopologyError {
    /// Relays would take no followers.
    #[error("{}: is zero", self.key())]
    ZeroFanOut,
    /// There are no relays.
    #[error("{}: names nobody", self.key())]
    NoRelays,
    /// A node is in a region that the file does not name.
    #[error("{}: {region:?} is no region of the file", self.key())]
    UnknownRegion {
        /// The node's key.
        node: String,
        /// The region.
        region: String,
    },
    /// A node is in a zone that its region does not have.
    #[error("{}: {zone:?} is no zone of {region:?}", self.key())]
    UnknownZone {
        /// The node's key.
        node: String,
        /// The zone.
        zone: String,
        /// The region.
        region: String,
    },
    /// Two relays have one address.
    #[error("{}: {addr} is there twice", self.key())]
    DuplicateRelay {
        /// The key of the second.
        node: String,
        /// The address.
        addr: SocketAddr,
    },
    /// A relay has the address of the instance that reads the file.
    #[error("{}: {addr} is this instance's own", self.key())]
    OwnAddress {
        /// The relay's key.
        node: String,
        /// The address.
        addr: SocketAddr,
    },
}

impl TopologyError {
    /// The operator's key that is at fault.
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
    /// Checks what is written, for a node at `own`; a relay also gives its index in the list.
    ///
    /// # Errors
    /// The first thing that is wrong, with its key.
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

    /// The relays that an instance follows, by their indices, the most preferred first: those of its own region
    /// come first, spread evenly over all instances by a hash of both.
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
