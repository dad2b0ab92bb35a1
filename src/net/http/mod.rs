//! The platform's protocol: HTTP/1.1 over TCP.

pub mod clients;
mod dial;
mod discovery;
mod handler;
mod message;
mod request_body;
mod response_body;
mod response_stream;
mod server;
mod target;

pub use clients::ConnectionTable;
pub use discovery::{DiscoveryAddress, DiscoveryPoller, EndpointPage, send_cached_list};
pub use rowanglade_http_exchange::ConnectionPool;
pub use server::{Front, serve};
pub use target::{TargetTransport, connect};
