//! Errors of the configuration.

use std::fmt;

/// A key that cannot be used, and why.
#[derive(Debug, PartialEq, Eq, thiserror::Error)]
#[error("configuration: {key}: {problem}")]
pub struct ConfigError {
    /// The variable, the key or the file.
    pub key: String,
    /// What is wrong with it.
    pub problem: String,
}

impl ConfigError {
    /// An error at this key.
    pub fn new(key: impl Into<String>, problem: impl fmt::Display) -> ConfigError {
        ConfigError { key: key.into(), problem: problem.to_string() }
    }
}
