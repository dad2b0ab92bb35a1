//! The platform's protocol: HTTP/1.1 over TCP.

pub mod clients;
mod dial;
mod discovery;
mod message;
mod server;
mod target;

pub use clients::Clients;
pub use discovery::{DiscoveryAddress, DiscoveryPoller, EndpointPage, send_cached_list};
pub use rowanglade_http_exchange::Links;
pub use server::{Front, serve};
pub use target::{Pool, connect};
