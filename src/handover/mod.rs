//! Handover: a successor that is started beside this process takes over all that it owns.
//!
//! What is said, and who owns when, is decided in crates/handover. Here stand the I/O around that state
//! machine (the lock file, the socket, the links) and what its messages carry.

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
