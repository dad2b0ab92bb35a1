//! Who follows whom, from what an operator has written.

use crate::NodeId;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Where a relay or an instance stands.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    pub addr: SocketAddr,
    pub region: String,
    pub zone: String,
}

/// A region and its zones.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Region {
    pub name: String,
    pub zones: Vec<String>,
}

/// The relays, as an operator's file lists them.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Topology {
    pub region: Vec<Region>,
    pub relay: Vec<Place>,
    /// Followers that a relay takes.
    pub fan_out: usize,
}

/// What is wrong, and under which key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {problem}")]
pub struct TopologyError {
    pub key: String,
    pub problem: String,
}

fn wrong(key: impl Into<String>, problem: impl Into<String>) -> TopologyError {
    TopologyError { key: key.into(), problem: problem.into() }
}

impl Topology {
    /// Checks what is written, for a node at `me`; a relay is also given as its place in the list.
    ///
    /// # Errors
    /// The first thing that is wrong, with its key.
    pub fn check(&self, me: &Place, relay: Option<usize>) -> Result<(), TopologyError> {
        if self.fan_out == 0 {
            return Err(wrong("distribution.fan_out", "is zero"));
        }
        if self.relay.is_empty() {
            return Err(wrong("distribution.relay", "names nobody"));
        }
        self.known("distribution.me", me)?;
        let mut seen = BTreeSet::new();
        for (i, place) in self.relay.iter().enumerate() {
            let key = format!("distribution.relay[{i}]");
            self.known(&key, place)?;
            if !seen.insert(place.addr) {
                return Err(wrong(format!("{key}.addr"), format!("{} is there twice", place.addr)));
            }
            if place.addr == me.addr && relay != Some(i) {
                return Err(wrong(format!("{key}.addr"), format!("{} is this instance's own", place.addr)));
            }
        }
        Ok(())
    }

    fn known(&self, key: &str, place: &Place) -> Result<(), TopologyError> {
        let region = self.region.iter().find(|region| region.name == place.region);
        let Some(region) = region else {
            return Err(wrong(
                format!("{key}.region"),
                format!("{:?} is no region of the file", place.region),
            ));
        };
        if region.zones.contains(&place.zone) {
            return Ok(());
        }
        Err(wrong(format!("{key}.zone"), format!("{:?} is no zone of {:?}", place.zone, place.region)))
    }

    /// Whom an instance watches, by the places of the list: relays of its own region first, spread evenly
    /// over all instances by a hash of both.
    pub fn preferred(&self, me: NodeId, region: &str) -> Vec<usize> {
        let mut places: Vec<usize> = (0..self.relay.len()).collect();
        places.sort_by_key(|i| {
            let relay = &self.relay[*i];
            let score = xxh3_64_with_seed(relay.addr.to_string().as_bytes(), u64::from(me.0));
            (relay.region != region, std::cmp::Reverse(score))
        });
        places
    }
}
