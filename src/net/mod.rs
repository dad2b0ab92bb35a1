//! The fronts, the targets and the list on their wires.

pub mod admin;
pub mod fleet;
pub mod http;
pub mod iscsi;
