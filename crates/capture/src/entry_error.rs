//! Why an entry of a file of recorded requests cannot be read.

use std::num::ParseIntError;

/// What is wrong with a line of a log or an entry of a HAR file. Where it stands is the reader's to say.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// A line has more bytes than are taken.
    #[error("{0} bytes are too long for a line")]
    TooLong(u64),
    /// A line is not UTF-8.
    #[error("is not UTF-8")]
    NotUtf8,
    /// An entry is not the JSON that it should be.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A line of the daemon's own log has another version.
    #[error("rowanglade: version {found} is not {expected}")]
    Version {
        /// The line's version.
        found: u32,
        /// The version that is read.
        expected: u32,
    },
    /// A line ends before this field.
    #[error("{0}: is missing")]
    Missing(&'static str),
    /// A field has a value that it cannot have.
    #[error("{field}: {value:?} is not one")]
    Invalid {
        /// The field.
        field: &'static str,
        /// Its text.
        value: String,
    },
    /// A key of the daemon's own log is not a number in hexadecimal digits.
    #[error("{key}: {value:?}: {source}")]
    Hexadecimal {
        /// The key.
        key: &'static str,
        /// Its text.
        value: String,
        /// What is wrong with it.
        source: ParseIntError,
    },
    /// The size of a request is not above zero, or larger than any is.
    #[error("units: {0} is not a size")]
    Units(f64),
    /// The time of an access log's line cannot be read.
    #[error("time: {value:?}: {source}")]
    Time {
        /// Its text.
        value: String,
        /// What is wrong with it.
        source: jiff::Error,
    },
    /// The time of a HAR entry cannot be read.
    #[error("startedDateTime: {0}")]
    StartedDateTime(jiff::Error),
    /// The URL of a HAR entry cannot be read.
    #[error("request.url: {url:?}: {source}")]
    Url {
        /// Its text.
        url: String,
        /// What is wrong with it.
        source: http::uri::InvalidUri,
    },
    /// The URL of a HAR entry has no scheme.
    #[error("request.url: {0:?} is not whole")]
    RelativeUrl(String),
    /// The status of a HAR entry's response is none of HTTP.
    #[error("response.status: {0} is not one")]
    Status(i64),
}
