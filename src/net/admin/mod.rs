//! The admin listener for operators' calls. It runs on a thread of its own, so that it responds however busy
//! the rest of the process is. It has no state: a call that changes something is forwarded to the owner of
//! the state, whose confirmation determines the response.

mod call;
mod connection;
mod server;

pub use server::{AdminListener, AdminService, MAX_CALLS, OWN_DESCRIPTORS, open};
