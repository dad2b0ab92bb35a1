//! An iSCSI-style protocol over TCP, in the terms of RFC 7143: a front that serves sessions of clients, and
//! sessions to targets.
//!
//! A LUN is a volume and a logical block address an object. The group number of READ(16) and WRITE(16) is the
//! request class, in the order of the settings. A session has one connection, error recovery level 0, no
//! digests and no authentication. Text negotiation outside login, discovery sessions, bidirectional commands,
//! SNACK and task reassignment are not supported and are rejected. When a client is rejected, the SCSI
//! Response's status qualifier (RFC 7144) carries the time to wait before a retry, in tenths of a second.

mod front;
mod target;

pub use front::{Front, Lun, serve};
pub use target::{SessionSettings, connect};

/// The task management function ABORT TASK.
const ABORT_TASK: u8 = 1;
