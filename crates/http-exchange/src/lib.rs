//! HTTP/1.1 client connections, and the pool that keeps idle ones: the daemon's to its targets, and the
//! replay's to initiators.
//!
//! The crate uses the client codec of the HTTP library, and not the client above it: that client takes a 1xx
//! response, and bytes that follow a response, for the response to the next request.

#![forbid(unsafe_code)]

mod body;
mod connection;
mod error;
mod pool;
mod response;
pub mod stream;

pub use body::{BodyAborted, BodyStream, EmptyStream, RequestBody};
pub use connection::Connection;
pub use error::ExchangeError;
pub use pool::ConnectionPool;
pub use response::CompleteResponse;
