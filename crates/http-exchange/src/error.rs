//! Errors of an exchange.

/// Why an exchange has no valid response. After any of these errors the connection cannot be used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ExchangeError {
    /// The last byte of the request was not written.
    #[error("request was not written completely")]
    NotWritten,
    /// The connection ended before the first byte of a response. The request may have been executed, unless
    /// the connection had carried another before ([`Connection::is_unused`](crate::Connection::is_unused))
    /// and the server closed it at that moment because it was idle.
    #[error("connection ended before the first byte of a response")]
    NoResponse,
    /// The connection ended inside the response, or the response is invalid. The request may have been
    /// executed.
    #[error("response is incomplete or invalid")]
    Broken,
}
