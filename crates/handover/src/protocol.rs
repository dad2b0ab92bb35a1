//! The messages between two processes. Their names on the wire are part of the protocol version and are
//! stable.

use serde::{Deserialize, Serialize};

/// The protocol version. It changes when the meaning of a message changes, but not when optional fields are
/// added.
pub const VERSION: u32 = 1;

/// A connection between two processes. The number is local to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LinkId(pub u64);

/// The kinds of messages on a link. The driver of the state machine defines their contents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MessageKind {
    /// Sent by a process that has just started, to become the successor.
    Hello {
        /// The sender's protocol version.
        version: u32,
    },
    /// Accepts the successor. Carries the listeners, and the state that can be sent in advance.
    Welcome,
    /// Rejects the successor for now: another one is connected, or the sender does not own the state yet.
    Busy,
    /// Rejects the successor, because the predecessor uses another protocol version.
    #[serde(rename = "refuse")]
    VersionMismatch {
        /// The sender's protocol version.
        version: u32,
    },
    /// The successor is ready to serve and needs only the state.
    Ready,
    /// Carries the predecessor's state, which is frozen.
    #[serde(rename = "given")]
    State,
    /// The successor has received the state.
    #[serde(rename = "taken")]
    StateReceived,
    /// The predecessor has released the lock: the successor is now the owner.
    #[serde(rename = "yours")]
    OwnershipGranted,
}
