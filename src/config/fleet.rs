//! The operator's `fleet` table.

use super::ConfigError;
use crate::net::quota_exchange::FleetPeers;
use rowanglade_quota_exchange::Peer;
use rowanglade_quota_exchange::wire::{Key, parse_key};
use serde::Deserialize;
use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The initiators of the fleet, and the key that all of them share.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetTable {
    peers: Vec<SocketAddr>,
    /// This initiator's index in `peers`.
    #[serde(rename = "me")]
    own_index: usize,
    key_file: PathBuf,
}

impl FleetTable {
    /// Checks the table and reads the key.
    ///
    /// # Errors
    /// `me` is no place in `peers`, a peer stands there twice, or the key file does not hold 64 hex digits. No error
    /// shows the key.
    pub fn check(self) -> Result<FleetPeers, ConfigError> {
        if self.peers.len() > usize::from(u16::MAX) || self.own_index >= self.peers.len() {
            return Err(ConfigError::new(
                "fleet.me",
                format!("{} is no place in fleet.peers", self.own_index),
            ));
        }
        let mut known = HashSet::with_capacity(self.peers.len());
        if let Some(index) = self.peers.iter().position(|peer| !known.insert(peer)) {
            return Err(ConfigError::new(format!("fleet.peers[{index}]"), "is there twice"));
        }
        let key = self.read_key()?;
        Ok(FleetPeers { addrs: self.peers, own: Peer(self.own_index as u16), key })
    }

    fn read_key(&self) -> Result<Key, ConfigError> {
        let error = |problem: &dyn fmt::Display| {
            ConfigError::new("fleet.key_file", format!("{}: {problem}", self.key_file.display()))
        };
        let text = std::fs::read_to_string(&self.key_file).map_err(|cause| error(&cause))?;
        // The key itself is secret and stays out of the message.
        parse_key(text.trim()).ok_or_else(|| error(&"is not 64 hex digits"))
    }
}
