//! The one place where configuration is read, checked and given defaults: the environment and the JSON that
//! the platform hands over.

use crate::net::http::Page;
use crate::settings::Settings;
use serde::Deserialize;
use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

/// All that the program is told.
#[derive(Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: Option<SocketAddr>,
    pub seed: u64,
    pub known: Option<Page>,
    pub settings: Settings,
}

/// A key that cannot be used, and why.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError {
    pub key: String,
    pub problem: String,
}

impl ConfigError {
    pub fn new(key: impl Into<String>, problem: impl fmt::Display) -> ConfigError {
        ConfigError { key: key.into(), problem: problem.to_string() }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration: {}: {}", self.key, self.problem)
    }
}

impl std::error::Error for ConfigError {}

/// The platform's JSON, of which the environment may repeat the first fields.
#[derive(Deserialize)]
struct File {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    seed: Option<String>,
    known: Option<Page>,
    settings: Settings,
}

impl Config {
    /// Reads what the variables and the file they name tell.
    pub fn load(env: impl Fn(&str) -> Option<String>) -> Result<Config, ConfigError> {
        let path = env("LB_CONFIG").ok_or_else(|| ConfigError::new("LB_CONFIG", "is not set"))?;
        let file = File::read(Path::new(&path))?;
        // The variables win: they are what the process itself was started with.
        let pick = |variable: &str, key: &str, value: Option<String>| {
            env(variable).map(|v| (variable.to_string(), v)).or(value.map(|v| (key.to_string(), v)))
        };
        let address = |(key, value): (String, String)| {
            value.parse::<SocketAddr>().map_err(|e| ConfigError::new(key, format!("{value:?}: {e}")))
        };
        let listen = pick("LB_LISTEN", "listen", file.listen)
            .ok_or_else(|| ConfigError::new("LB_LISTEN", "is not set, and the file has no `listen`"))?;
        let seed = file.seed.as_deref().unwrap_or("0");
        Ok(Config {
            name: pick("LB_NAME", "name", file.name).map_or("rowanglade".to_string(), |(_, name)| name),
            listen: address(listen)?,
            discovery: pick("LB_DISCOVERY", "discovery", file.discovery).map(address).transpose()?,
            seed: u64::from_str_radix(seed, 16)
                .map_err(|e| ConfigError::new("seed", format!("{seed:?}: {e}")))?,
            known: file.known,
            settings: file.settings,
        })
    }
}

impl File {
    fn read(path: &Path) -> Result<File, ConfigError> {
        let text = std::fs::read_to_string(path).map_err(|e| ConfigError::new("LB_CONFIG", e))?;
        serde_json::from_str(&text).map_err(|e| ConfigError::new("LB_CONFIG", e))
    }
}
