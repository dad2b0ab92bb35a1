//! Network I/O: the fronts for clients, connections to targets, discovery, and datagrams between initiators.

pub mod accept;
pub mod admin;
pub mod budget;
pub mod close;
pub mod drain_gossip;
pub mod http;
pub mod iscsi;
mod phase;
pub mod quota_exchange;

pub use budget::{DescriptorBudget, MemoryBound, MemoryBudgets, OptionalParts, Reservations};
pub use phase::Phase;
