//! Why an exchange has no response.

/// Why an exchange has no response. After any of these the connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// The last byte of the request was not written.
    #[error("the request was not written whole")]
    NotWritten,
    /// The connection ended before a byte of a response came. The request may have run, unless the connection
    /// had served before ([`Connection::is_unused`](crate::Connection::is_unused)) and was closed for its
    /// idleness just then.
    #[error("the connection ended without a byte of a response")]
    NoResponse,
    /// The connection ended, or what came is no response. The request may have run.
    #[error("the response broke off or cannot be read")]
    Broken,
}
