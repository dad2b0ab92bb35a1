//! The platform's JSON file, and the environment variables that override it.

use super::{ConfigError, Limits};
use crate::net::drain_gossip::PeerAddresses;
use crate::net::http::EndpointPage;
use crate::settings::Settings;
use rowanglade_discovery_polling::Delivery;
use serde::Deserialize;
use std::hash::{BuildHasher, Hasher, RandomState};
use std::net::SocketAddr;
use std::path::Path;

/// The platform's JSON file, before its values are checked.
#[derive(Deserialize)]
pub struct PlatformFile {
    pub name: Option<String>,
    pub listen: Option<String>,
    pub discovery: Option<String>,
    pub admin: Option<String>,
    /// The seed of the initiator's random numbers, in hex digits.
    pub seed: Option<String>,
    /// The endpoint list that is used until discovery answers.
    pub known: Option<EndpointPage>,
    /// The address for datagrams of other initiators.
    pub peer_listen: Option<SocketAddr>,
    /// The address of each initiator, at the index that is its number.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    pub settings: Settings,
    #[serde(default)]
    pub limits: Limits,
}

impl PlatformFile {
    /// Reads and parses the file.
    ///
    /// # Errors
    /// The file cannot be read, is not valid JSON, or lacks a required key.
    pub fn read(path: &Path) -> Result<PlatformFile, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|error| ConfigError::new("LB_CONFIG", error))?;
        serde_json::from_str(&text).map_err(|error| ConfigError::new("LB_CONFIG", error))
    }

    /// The addresses for drain gossip. Absent if initiators may not send messages to each other, or don't
    /// need to because each receives the endpoint list from an agent of its own.
    ///
    /// # Errors
    /// This initiator's number is not an index of `peers`.
    pub fn peer_addresses(&self) -> Result<Option<PeerAddresses>, ConfigError> {
        let polled = matches!(self.settings.delivery(), Delivery::Polled { .. });
        let (Some(listen), Some(number)) = (self.peer_listen, self.settings.initiator_number()) else {
            return Ok(None);
        };
        if !polled || !self.settings.peer_messages_allowed() || self.peers.is_empty() {
            return Ok(None);
        }
        let own_index = number as usize;
        if own_index >= self.peers.len() {
            let problem =
                format!("{own_index} is not an index of peers, which has {} entries", self.peers.len());
            return Err(ConfigError::new("settings.my-number", problem));
        }
        Ok(Some(PeerAddresses { listen, addrs: self.peers.clone(), own_index }))
    }
}

/// A value from the environment or from the platform's file.
pub struct Setting {
    /// The variable or the key that the value comes from, for errors.
    key: String,
    pub value: String,
}

impl Setting {
    /// Finds the value of an environment variable, or else that of the file. The variable has priority, since
    /// it is set for this process alone.
    pub fn find(
        env: &impl Fn(&str) -> Option<String>,
        variable: &str,
        key: &str,
        in_file: Option<String>,
    ) -> Option<Setting> {
        match env(variable) {
            Some(value) => Some(Setting { key: variable.to_string(), value }),
            None => in_file.map(|value| Setting { key: key.to_string(), value }),
        }
    }

    /// Finds a value as [`Setting::find`] does, and parses it as an address.
    ///
    /// # Errors
    /// The value is not an IP address and port.
    pub fn find_address(
        env: &impl Fn(&str) -> Option<String>,
        variable: &str,
        key: &str,
        in_file: Option<String>,
    ) -> Result<Option<SocketAddr>, ConfigError> {
        Setting::find(env, variable, key, in_file).map(Setting::address).transpose()
    }

    /// Parses the value as an address.
    ///
    /// # Errors
    /// The value is not an IP address and port.
    pub fn address(self) -> Result<SocketAddr, ConfigError> {
        let Setting { key, value } = self;
        value.parse().map_err(|error| {
            ConfigError::new(key, format!("{value:?} is not an IP address and port: {error}"))
        })
    }
}

/// Parses the file's seed, or draws a random one. Initiators with the same seed would all make the same
/// choices.
///
/// # Errors
/// The text is not a hex number of at most 64 bits.
pub fn seed(text: Option<&str>) -> Result<u64, ConfigError> {
    match text {
        Some(seed) => {
            let parsed = u64::from_str_radix(seed, 16);
            parsed.map_err(|error| {
                ConfigError::new("seed", format!("{seed:?} is not a 64-bit hex number: {error}"))
            })
        }
        None => Ok(RandomState::new().build_hasher().finish()),
    }
}
