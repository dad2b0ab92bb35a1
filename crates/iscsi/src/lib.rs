//! An iSCSI-style protocol over TCP in the terms of RFC 7143: PDUs and their framing, the login phase, and
//! the SCSI commands and statuses that the daemon's front, its sessions to targets, and the replay's client
//! share.
#![forbid(unsafe_code)]

pub mod connection;
pub mod login;
pub mod pdu;
pub mod reader;
pub mod scsi;

pub use connection::{Connection, Timeouts};
pub use login::SessionParameters;
pub use pdu::{Header, Login, Pdu, RESERVED_TAG, RejectReason, Residual, Sequence};
pub use reader::{MAX_SEGMENT_BYTES, PduReader, ReadError};
