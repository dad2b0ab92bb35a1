//! Handover: a successor process that is started beside this one takes over all state that it owns.
//!
//! The protocol, and which process is the owner at which moment, is decided in `crates/handover`. This module
//! does the I/O for that state machine (the lock file, the socket, the links), and defines what its messages
//! carry.

mod actor;
mod codec;
mod controls;
mod links;
mod message;
mod paths;

pub use actor::{CoreUpdates, HandoverActor, HandoverStart};
pub use codec::send;
pub use controls::HandoverControls;
pub use message::{DescriptorShare, Listeners, Message, Welcome};
pub use paths::HandoverPaths;
