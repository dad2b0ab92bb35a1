//! Errors that prevent an initiator from starting or serving.

use crate::config::ConfigError;

/// Why an initiator could not start or stopped serving.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration is invalid. The text names the file, line or key at fault.
    #[error(transparent)]
    Config(ConfigError),
    /// A socket or file could not be opened, or failed later.
    #[error("serve: {0}")]
    Io(#[from] std::io::Error),
    /// Another process of this initiator serves, and its handover protocol version is not supported by this
    /// build.
    #[error(
        "serve: the running process uses handover protocol version {0}, which this build does not support; stop it first"
    )]
    Version(u32),
}

/// Why a configuration was not reloaded. The previous one stays in force.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The configuration is invalid. The text names the file, line or key at fault.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The thread that checks the configuration could not be started.
    #[error("the thread that checks the configuration could not be started: {0}")]
    Thread(std::io::Error),
    /// The thread that checks the configuration panicked.
    #[error("the thread that checks the configuration panicked")]
    CheckPanicked,
}
