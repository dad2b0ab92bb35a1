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
    pub name: Option<String>,
    pub listen: Option<String>,
    pub discovery: Option<String>,
    pub admin: Option<String>,
    /// In hex digits.
    pub seed: Option<String>,
    pub known: Option<EndpointPage>,
    /// Where datagrams of other instances come.
    pub peer_listen: Option<SocketAddr>,
    /// One address for each instance, in the order of their numbers.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    pub settings: Settings,
    #[serde(default)]
    pub limits: Limits,
}

impl PlatformFile {
    /// Reads the file.
    ///
    /// # Errors
    /// The file cannot be read, or its JSON lacks what is needed.
    pub fn read(path: &Path) -> Result<PlatformFile, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::new("LB_CONFIG", e))?;
        serde_json::from_str(&text).map_err(|e| ConfigError::new("LB_CONFIG", e))
    }
}

impl PlatformFile {
    /// Where the peers are; none where instances may not talk to each other, or need not, since each has the
    /// list from an agent of its own.
    ///
    /// # Errors
    /// This instance's number is no place in `peers`.
    pub fn peer_addresses(&self) -> Result<Option<PeerAddresses>, ConfigError> {
        let polled = matches!(self.settings.delivery(), Delivery::Polled { .. });
        let (Some(listen), Some(number)) = (self.peer_listen, self.settings.number()) else {
            return Ok(None);
        };
        if !polled || !self.settings.may_tell_peers() || self.peers.is_empty() {
            return Ok(None);
        }
        let own_index = number as usize;
        if own_index >= self.peers.len() {
            let problem = format!("{own_index} is no place in peers, which has {}", self.peers.len());
            return Err(ConfigError::new("settings.my-number", problem));
        }
        Ok(Some(PeerAddresses { listen, all: self.peers.clone(), own_index }))
    }
}

/// A value that the environment or the file has.
pub struct Setting {
    /// The variable or the file's key, for errors.
    key: String,
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
        value.parse().map_err(|e| ConfigError::new(key, format!("{value:?}: {e}")))
    }
}

/// The seed that the file has, or a random one: instances with the same seed would all choose alike.
///
/// # Errors
/// The text is no hex number of 64 bits.
pub fn seed(text: Option<&str>) -> Result<u64, ConfigError> {
    match text {
        Some(seed) => {
            u64::from_str_radix(seed, 16).map_err(|e| ConfigError::new("seed", format!("{seed:?}: {e}")))
        }
        None => Ok(RandomState::new().build_hasher().finish()),
    }
}
