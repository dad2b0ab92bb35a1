//! The admin listener, where operators call. It has a thread of its own, so that it answers however busy the
//! rest is. It holds no state: a call that changes something goes to the state's owner, whose confirmation is
//! its response.

mod call;
mod connection;
mod server;

pub use server::{AdminListener, AdminService, MAX_CALLS, OWN_DESCRIPTORS, open};
