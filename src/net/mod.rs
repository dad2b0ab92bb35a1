//! The fronts, the targets and the list on their wires.

pub mod http;
pub mod iscsi;
