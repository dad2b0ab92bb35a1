//! The part of a replaced configuration that a running program takes over.

use super::{Config, ConfigError, Routing};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// How far apart files are read twice, so that one that is being written is left alone.
const REREAD_DELAY: Duration = Duration::from_millis(50);

/// What a running program takes over; everything else waits for its next start.
#[derive(Clone, Debug)]
pub struct Reload {
    /// Discovery's address.
    pub discovery: Option<SocketAddr>,
    /// Routes and expectations.
    pub routing: Routing,
}

impl Reload {
    /// Reads the files again; blocks for 50 ms. Their address of discovery wins over `LB_DISCOVERY`, which
    /// holds what was in force at the start.
    ///
    /// # Errors
    /// As [`Config::load`]; also where one of the operator's files changes meanwhile.
    pub fn load(env: impl Fn(&str) -> Option<String>, operator: &[PathBuf]) -> Result<Reload, ConfigError> {
        let texts = || operator.iter().map(|path| std::fs::read(path).ok()).collect::<Vec<_>>();
        let before = texts();
        std::thread::sleep(REREAD_DELAY);
        let without_discovery = |name: &str| env(name).filter(|_| name != "LB_DISCOVERY");
        let config = Config::load(without_discovery, operator)?;
        if before != texts() {
            return Err(ConfigError::new("--operator", "a file changed while it was read"));
        }
        Ok(Reload { discovery: config.discovery, routing: config.routing })
    }
}
