//! The part of a changed configuration that a running process applies.

use super::{Config, ConfigError, Routing};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Delay between the two reads of the files. Files that differ between the reads are still being written, and
/// are not applied.
const REREAD_DELAY: Duration = Duration::from_millis(50);

/// The part of a configuration that a running process applies; everything else takes effect at its next
/// start.
#[derive(Clone, Debug)]
pub struct Reload {
    /// The address of discovery; absent if the configuration alone lists the targets.
    pub discovery: Option<SocketAddr>,
    /// Routes, and the expectations that they must meet.
    pub routing: Routing,
}

impl Reload {
    /// Reads the files again; blocks for 50 ms. The discovery address is taken from the platform's file alone,
    /// since `LB_DISCOVERY` holds the address of the time when the process started.
    ///
    /// # Errors
    /// Those of [`Config::load`], or one of the operator's files changed while it was read.
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
