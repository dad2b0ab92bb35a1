//! Connections of HTTP clients: the phase of each, which of them are closed for new ones, how a client's
//! disconnect is detected, and how a connection is closed.
//!
//! Closing a socket that has unread bytes resets the connection, and the client loses what it has not read
//! yet. So writing is shut down first, what still arrives is read and discarded for a bounded time, and only
//! then the socket is closed.

mod body_reading;
mod connection;
mod guards;
mod head_scanner;
mod limits;
mod open_streams;
mod request_reader;
mod shedding;
mod stream;
mod surplus;
mod table;

pub use connection::ClientConnection;
pub use guards::{ActiveRequest, AwaitingResponse};
pub use limits::{
    BODY_READ_BYTES, EVICTION_MIN_AGE, HEAD_TIMEOUT, IDLE_TIMEOUT, MAX_HEAD_BYTES, MAX_PIPELINED_BYTES,
    MAX_PIPELINED_HEADS, MAX_UNREGISTERED, MIN_SHED_STALL, SURPLUS_IDLE_TIMEOUT, UNCROWDED_DIVISOR,
    UNCROWDED_IDLE_TIMEOUT, WRITE_TIMEOUT,
};
pub use shedding::ShedCounters;
pub use stream::ClientStream;
pub use table::{ConnectionSlot, ConnectionTable, ConnectionUsage};
