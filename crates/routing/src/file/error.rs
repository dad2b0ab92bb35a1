//! What is wrong with an operator's file.

use crate::table::Origin;

/// What is wrong with a file: where, and under which key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{origin}{problem}")]
pub struct RouteError {
    /// `FILE line N: KEY: `, as far as it is known.
    pub origin: String,
    /// What is wrong.
    pub problem: String,
}

impl RouteError {
    /// The file is not TOML, or has keys or types that it must not have. The parser's message shows the line
    /// and names the key.
    pub(super) fn syntax(file: &str, error: &toml::de::Error) -> RouteError {
        RouteError { origin: format!("{file}: "), problem: error.to_string().trim_end().to_string() }
    }

    /// A key of an entry is wrong; without a key, the entry is.
    pub(super) fn in_entry(origin: &Origin, key: &str, problem: String) -> RouteError {
        let dot = if key.is_empty() { "" } else { "." };
        RouteError { origin: format!("{origin}{dot}{key}: "), problem }
    }
}
