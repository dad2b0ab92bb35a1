//! What two processes say to each other. The words on the wire are part of the protocol's version and stay.

use serde::{Deserialize, Serialize};

/// The version of the protocol. One in which a message means something else has another number; fields that
/// are added and may be left out do not change it.
pub const VERSION: u32 = 1;

/// A connection between two processes. Numbers are a process's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// The kinds of messages on a link. What goes with them is the driver's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MessageKind {
    /// A process that has just started asks to be the successor.
    Hello {
        /// The version that it speaks.
        version: u32,
    },
    /// It is the successor. The listeners come along, and all that may be known early.
    Welcome,
    /// Another successor is being served, or what there is to hand over is not owned yet.
    Busy,
    /// The predecessor speaks another version.
    #[serde(rename = "refuse")]
    VersionMismatch {
        /// The version that it speaks.
        version: u32,
    },
    /// The successor is ready to serve, but for the state.
    Ready,
    /// The state that the predecessor owns, frozen.
    #[serde(rename = "given")]
    State,
    /// The successor has the state.
    #[serde(rename = "taken")]
    StateReceived,
    /// The predecessor has released the lock: the successor is the owner.
    #[serde(rename = "yours")]
    OwnershipGranted,
}
