//! The operator's `access_log` table: the file that requests are logged to, and the queue of its writer.

use super::ConfigError;
use serde::Deserialize;
use std::path::PathBuf;

/// The longest queue that may be configured, in lines. A line has some hundred bytes, so the queue takes up
/// some megabytes.
const MAX_QUEUED_LINES: usize = 65_536;
/// The length of the queue, in lines, if the table sets none. It takes up some hundred kilobytes.
const DEFAULT_QUEUED_LINES: usize = 4_096;

/// The access log's settings.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccessLog {
    /// The file that lines are appended to.
    pub path: PathBuf,
    /// How many lines may wait to be written; further lines are dropped and counted.
    #[serde(default = "default_queue")]
    pub queue: usize,
}

fn default_queue() -> usize {
    DEFAULT_QUEUED_LINES
}

impl AccessLog {
    pub(super) fn check(self) -> Result<AccessLog, ConfigError> {
        if self.path.as_os_str().is_empty() {
            return Err(ConfigError::new("access_log.path", "must not be empty"));
        }
        if !(1..=MAX_QUEUED_LINES).contains(&self.queue) {
            let problem = format!("{} is not between 1 and {MAX_QUEUED_LINES}", self.queue);
            return Err(ConfigError::new("access_log.queue", problem));
        }
        Ok(self)
    }
}
