//! Errors in an operator's file.

use crate::table::Origin;

/// Why a file was rejected: the position in the file, and the problem.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{origin}{problem}")]
pub struct RouteError {
    /// `FILE line N: KEY: `, or `FILE: ` if the problem describes the position.
    pub origin: String,
    /// The problem with the file or the key.
    pub problem: String,
}

impl RouteError {
    /// The file is not valid TOML, or contains unknown keys or wrong types. The parser's message shows the
    /// line and names the key.
    pub(super) fn syntax(file: &str, error: &toml::de::Error) -> RouteError {
        RouteError { origin: format!("{file}: "), problem: error.to_string().trim_end().to_string() }
    }

    /// A key of an entry is invalid; if `key` is empty, the entry itself is.
    pub(super) fn in_entry(origin: &Origin, key: &str, problem: String) -> RouteError {
        let dot = if key.is_empty() { "" } else { "." };
        RouteError { origin: format!("{origin}{dot}{key}: "), problem }
    }
}
