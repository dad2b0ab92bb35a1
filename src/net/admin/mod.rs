//! Where operators call: a listener and a thread of its own, so that it answers however busy the rest is. It
//! holds no state: a call that changes something goes to the state's owner, and its yes is the owner's.

mod call;
mod server;

pub use server::{Admin, MOST_CALLS, OWN_SOCKETS, Service, open};
