//! Errors of single entries in a file of recorded requests.

use crate::lines::MAX_LINE_BYTES;
use std::num::ParseIntError;

/// Why a line of a log or an entry of a HAR file cannot be read. The reader adds the file and the line or
/// entry number.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// A line is longer than [`MAX_LINE_BYTES`].
    #[error("{0} bytes exceed the maximum line length of {MAX_LINE_BYTES}")]
    TooLong(u64),
    /// A line is not valid UTF-8.
    #[error("not valid UTF-8")]
    NotUtf8,
    /// An entry is not valid JSON, or lacks a required key.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A line of the daemon's own log has a version that is not supported.
    #[error("rowanglade: log version {found} is not supported, expected {expected}")]
    Version {
        /// The line's version.
        found: u32,
        /// The version that this program reads.
        expected: u32,
    },
    /// A line ends before this field.
    #[error("{0}: the field is missing")]
    Missing(&'static str),
    /// A field's value is not valid.
    #[error("{field}: {value:?} is not valid")]
    Invalid {
        /// The name of the field.
        field: &'static str,
        /// The field's text.
        value: String,
    },
    /// A value of the daemon's own log is not a hex number.
    #[error("{key}: {value:?} is not a hex number: {source}")]
    Hexadecimal {
        /// The key in the log line.
        key: &'static str,
        /// The key's text.
        value: String,
        /// The error of the parser.
        source: ParseIntError,
    },
    /// The size of a request is not above zero, or is larger than the largest valid size.
    #[error("units: {0} is not above 0 and at most 1000000")]
    Units(f64),
    /// The time of an access log's line cannot be parsed.
    #[error("time: {value:?} is not a valid time: {source}")]
    Time {
        /// The field's text.
        value: String,
        /// The error of the parser.
        source: jiff::Error,
    },
    /// The time of a HAR entry cannot be parsed.
    #[error("startedDateTime: {0}")]
    StartedDateTime(jiff::Error),
    /// The URL of a HAR entry cannot be parsed.
    #[error("request.url: {url:?} is not a valid URL: {source}")]
    Url {
        /// The URL's text.
        url: String,
        /// The error of the parser.
        source: http::uri::InvalidUri,
    },
    /// The URL of a HAR entry has no scheme.
    #[error("request.url: {0:?} has no scheme")]
    RelativeUrl(String),
    /// The status of a HAR entry's response is not a valid HTTP status.
    #[error("response.status: {0} is not a valid HTTP status")]
    Status(i64),
}
