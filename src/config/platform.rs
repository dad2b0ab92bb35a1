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

/// The platform's JSON, before its values are checked.
#[derive(Deserialize)]
pub struct PlatformFile {
    /// The initiator's name.
    pub name: Option<String>,
    /// Where clients of the HTTP front connect.
    pub listen: Option<String>,
    /// Discovery's address.
    pub discovery: Option<String>,
    /// Where operators call.
    pub admin: Option<String>,
    /// The seed of random numbers, in hex digits.
    pub seed: Option<String>,
    /// The endpoint list that was known before.
    pub known: Option<EndpointPage>,
    /// Where datagrams of other initiators arrive.
    pub peer_listen: Option<SocketAddr>,
    /// One address for each initiator, in the order of their numbers.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Classes, plans and rules.
    pub settings: Settings,
    /// Memory and descriptors.
    #[serde(default)]
    pub limits: Limits,
}

impl PlatformFile {
    /// Reads the file.
    ///
    /// # Errors
    /// The file cannot be read, or its JSON lacks what is needed.
    pub fn read(path: &Path) -> Result<PlatformFile, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|error| ConfigError::new("LB_CONFIG", error))?;
        serde_json::from_str(&text).map_err(|error| ConfigError::new("LB_CONFIG", error))
    }

    /// Where the peers are; none where initiators may not talk to each other, or need not, since each has the
    /// list from an agent of its own.
    ///
    /// # Errors
    /// This initiator's number is no index of `peers`.
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
            let problem = format!("{own_index} is no place in peers, which has {}", self.peers.len());
            return Err(ConfigError::new("settings.my-number", problem));
        }
        Ok(Some(PeerAddresses { listen, addrs: self.peers.clone(), own_index }))
    }
}

/// A value that the environment or the file has.
pub struct Setting {
    /// The variable or the file's key, for errors.
    key: String,
    /// The value.
    pub value: String,
}

impl Setting {
    /// The variable's value, or else the file's: variables are what the process itself was started with.
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

    /// As [`Setting::find`], read as an address.
    ///
    /// # Errors
    /// The value is no address and port.
    pub fn find_address(
        env: &impl Fn(&str) -> Option<String>,
        variable: &str,
        key: &str,
        in_file: Option<String>,
    ) -> Result<Option<SocketAddr>, ConfigError> {
        Setting::find(env, variable, key, in_file).map(Setting::address).transpose()
    }

    /// The value as an address.
    ///
    /// # Errors
    /// The value is no address and port.
    pub fn address(self) -> Result<SocketAddr, ConfigError> {
        let Setting { key, value } = self;
        value.parse().map_err(|error| ConfigError::new(key, format!("{value:?}: {error}")))
    }
}

/// The seed that the file has, or a random one: initiators with the same seed would all choose alike.
///
/// # Errors
/// The text is no hex number of 64 bits.
pub fn seed(text: Option<&str>) -> Result<u64, ConfigError> {
    match text {
        Some(seed) => {
            let parsed = u64::from_str_radix(seed, 16);
            parsed.map_err(|error| ConfigError::new("seed", format!("{seed:?}: {error}")))
        }
        None => Ok(RandomState::new().build_hasher().finish()),
    }
}
