//! HTTP/1.1 connections of a client, and the pool that keeps idle ones: the daemon's to its targets, and the
//! replay's to initiators.
//!
//! It speaks through the client codec of the HTTP library: the client above that codec takes a 1xx response,
//! and whatever comes behind a response, for the response to the next request.

#![forbid(unsafe_code)]

mod body;
mod connection;
mod error;
mod pool;
mod response;
pub mod stream;

pub use body::{BodyLost, BodyStream, NoStream, RequestBody};
pub use connection::Connection;
pub use error::ExchangeError;
pub use pool::ConnectionPool;
pub use response::CompleteResponse;
