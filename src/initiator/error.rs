//! Errors that keep an initiator from serving.

use crate::config::ConfigError;
use std::fmt;

/// Why an initiator could not start or went on no longer.
#[derive(Debug)]
pub enum Error {
    /// The configuration cannot be used.
    Config(ConfigError),
    /// A socket or file could not be opened, or failed.
    Io(std::io::Error),
    /// Another process of this initiator serves, and hands over by a version of the protocol that is unknown
    /// here.
    Version(u32),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Config(e) => e.fmt(f),
            Error::Io(e) => write!(f, "serve: {e}"),
            Error::Version(version) => write!(
                f,
                "serve: the process that serves hands over by version {version}, which this one does not know: \
                 end it first"
            ),
        }
    }
}

impl std::error::Error for Error {}

impl From<std::io::Error> for Error {
    fn from(e: std::io::Error) -> Error {
        Error::Io(e)
    }
}
