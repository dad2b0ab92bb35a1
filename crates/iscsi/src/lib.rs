//! An iSCSI-style protocol over TCP in the terms of RFC 7143: PDUs and their framing, the login phase, and
//! the SCSI commands and statuses that the daemon's front, its sessions to targets, and the replay's client
//! share.
#![forbid(unsafe_code)]

pub mod connection;
pub mod frame;
pub mod login;
pub mod pdu;
pub mod scsi;

pub use connection::{Connection, Timeouts};
pub use frame::{Frames, Unreadable};
pub use pdu::{Header, Login, NO_TAG, Pdu, RejectReason, Residual, Sequence};
