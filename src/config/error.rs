//! Errors of the configuration.

use std::fmt;

/// A key of the configuration whose value cannot be used.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("configuration: {key}: {problem}")]
pub struct ConfigError {
    /// The environment variable, the key or the file; a key of a table with its path, such as
    /// `sites.hold_ms`.
    pub key: String,
    /// Why the value cannot be used, as a clause that continues the key.
    pub problem: String,
}

impl ConfigError {
    /// Builds the error for this key.
    pub fn new(key: impl Into<String>, problem: impl fmt::Display) -> ConfigError {
        ConfigError { key: key.into(), problem: problem.to_string() }
    }
}
