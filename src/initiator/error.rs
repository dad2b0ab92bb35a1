//! Errors that keep an initiator from serving.

use crate::config::ConfigError;

/// Why an initiator could not start or went on no longer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The configuration cannot be used. Names the file, line or key at fault.
    #[error(transparent)]
    Config(ConfigError),
    /// A socket or file could not be opened, or failed.
    #[error("serve: {0}")]
    Io(#[from] std::io::Error),
    /// Another process of this initiator serves, and hands over by a version of the protocol that is unknown
    /// here.
    #[error(
        "serve: the process that serves hands over by version {0}, which this one does not know: end it first"
    )]
    Version(u32),
}

/// Why a configuration was not read again. The one that was read last stays in force.
#[derive(Debug, thiserror::Error)]
pub enum ReloadError {
    /// The configuration cannot be used. Names the file, line or key at fault.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The thread that checks it could not be started.
    #[error(transparent)]
    Thread(std::io::Error),
    /// The thread that checks it panicked.
    #[error("the check did not come to its end")]
    CheckPanicked,
}
