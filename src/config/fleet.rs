//! The operator's `fleet` table: the initiators that exchange quota.

use super::ConfigError;
use crate::net::quota_exchange::FleetPeers;
use rowanglade_quota_exchange::Peer;
use rowanglade_quota_exchange::wire::{Key, parse_key};
use serde::Deserialize;
use std::collections::HashSet;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

/// The addresses of the fleet's initiators, and the file with the key that they share.
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
    /// Checks the addresses and reads the key.
    ///
    /// # Errors
    /// `me` is not an index of `peers`, an address is listed twice, or the key file cannot be read or is not
    /// 64 hex digits. No error contains the key.
    pub fn check(self) -> Result<FleetPeers, ConfigError> {
        if self.peers.len() > usize::from(u16::MAX) || self.own_index >= self.peers.len() {
            return Err(ConfigError::new(
                "fleet.me",
                format!(
                    "{} is not an index of fleet.peers ({} entries, at most {})",
                    self.own_index,
                    self.peers.len(),
                    u16::MAX
                ),
            ));
        }
        let mut unique = HashSet::with_capacity(self.peers.len());
        if let Some(index) = self.peers.iter().position(|peer| !unique.insert(peer)) {
            return Err(ConfigError::new(format!("fleet.peers[{index}]"), "is listed twice"));
        }
        let key = self.read_key()?;
        Ok(FleetPeers { addrs: self.peers, own: Peer(self.own_index as u16), key })
    }

    fn read_key(&self) -> Result<Key, ConfigError> {
        let error = |problem: &dyn fmt::Display| {
            ConfigError::new("fleet.key_file", format!("{}: {problem}", self.key_file.display()))
        };
        let text = std::fs::read_to_string(&self.key_file).map_err(|cause| error(&cause))?;
        // The key is secret, so that the error leaves the file's content out.
        parse_key(text.trim()).ok_or_else(|| error(&"the content is not 64 hex digits"))
    }
}
