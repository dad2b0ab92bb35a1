//! The operator's `access_log` table.

use super::ConfigError;
use serde::Deserialize;
use std::path::PathBuf;

/// The most lines that may be set to wait for the disk: some hundred bytes each, so some megabytes.
const MAX_QUEUED_LINES: usize = 65_536;
/// How many lines may wait for the disk where the file does not say: some hundred kilobytes.
const DEFAULT_QUEUED_LINES: usize = 4_096;

/// Where requests are logged.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccessLog {
    /// The file.
    pub path: PathBuf,
    /// The most lines that may wait for the disk; further ones are dropped and counted.
    #[serde(default = "default_queue")]
    pub queue: usize,
}

fn default_queue() -> usize {
    DEFAULT_QUEUED_LINES
}

impl AccessLog {
    pub(super) fn check(self) -> Result<AccessLog, ConfigError> {
        if self.path.as_os_str().is_empty() {
            return Err(ConfigError::new("access_log.path", "is empty"));
        }
        if !(1..=MAX_QUEUED_LINES).contains(&self.queue) {
            let problem = format!("{} is not between 1 and {MAX_QUEUED_LINES}", self.queue);
            return Err(ConfigError::new("access_log.queue", problem));
        }
        Ok(self)
    }
}
