//! The discovery client: polls discovery for the endpoint list and watches it for changes.
//!
//! [`page`] defines the list's wire format, [`client`] sends one request, and [`poller`] is the actor that
//! carries out the schedule's commands and passes the responses to the core.

mod client;
mod page;
mod poller;

pub use page::EndpointPage;
pub use poller::{DiscoveryAddress, DiscoveryPoller, send_cached_list};
