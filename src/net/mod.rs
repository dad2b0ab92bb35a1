//! The fronts, the targets and the list on their wires.

pub mod accept;
pub mod admin;
pub mod budget;
pub mod close;
pub mod drain_gossip;
pub mod http;
pub mod iscsi;
pub mod quota_exchange;

pub use budget::{Budget, Parts, Phase, Reservations};
