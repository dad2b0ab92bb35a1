//! Connections of HTTP clients: the phase of each, which of them make room for new ones, when a client has
//! gone, and how a connection is closed.
//!
//! A close over unread bytes resets the connection, and takes along what the client has not read yet. So
//! writing is shut down first, what still arrives is read and dropped for a bounded time, and only then the
//! connection is closed.

mod connection;
mod limits;
mod open_streams;
mod stream;
mod table;

pub use connection::{ActiveRequest, AwaitingResponse, ClientConnection};
pub use limits::{
    EVICTION_MIN_AGE, HEAD_TIMEOUT, IDLE_TIMEOUT, MAX_PIPELINED_BYTES, MAX_UNREGISTERED,
    SURPLUS_IDLE_TIMEOUT, UNCROWDED_DIVISOR, UNCROWDED_IDLE_TIMEOUT, WRITE_TIMEOUT,
};
pub use stream::ClientStream;
pub use table::ConnectionTable;
