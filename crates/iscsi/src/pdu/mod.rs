//! Protocol data units: each is decoded once into a typed value and encoded once. Fields have the names of RFC
//! 7143: `itt` is the initiator task tag, `ttt` the target transfer tag, and the numbers that end in `sn` are
//! its sequence numbers.

mod decode;
mod encode;
mod header;
mod login;

pub use header::{HEADER_BYTES, Header, lengths};
pub use login::Login;

use bytes::Bytes;

/// The tag that stands for no task or transfer.
pub const RESERVED_TAG: u32 = u32::MAX;

/// The numbers that a target's PDUs carry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sequence {
    /// The number of this status.
    pub stat_sn: u32,
    /// The number of the next command that the target expects.
    pub exp_cmd_sn: u32,
    /// The number of the last command that the target takes at present.
    pub max_cmd_sn: u32,
}

/// What is wrong with a PDU, as a Reject has it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[repr(u8)]
pub enum RejectReason {
    /// It breaks the protocol.
    #[error("protocol error")]
    ProtocolError = 0x04,
    /// It is left out here.
    #[error("command not supported")]
    CommandNotSupported = 0x05,
    /// One of its fields cannot hold.
    #[error("invalid PDU field")]
    InvalidField = 0x09,
}

/// The bytes by which a transfer differed from what the command expected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Residual {
    /// It did not.
    #[default]
    None,
    /// There were so many more.
    Over(u32),
    /// There were so many fewer.
    Under(u32),
}

/// The PDUs of the subset, both directions. Lengths and offsets are in bytes.
#[derive(Clone, Debug, PartialEq)]
pub enum Pdu {
    /// NOP-Out: an initiator's ping, or its answer to one.
    NopOut {
        /// It uses up no command number.
        immediate: bool,
        /// The LUN that a ping of the target named.
        lun: u64,
        /// Its tag; reserved where it wants no answer.
        itt: u32,
        /// The tag of the ping that it answers.
        ttt: u32,
        /// The command number.
        cmd_sn: u32,
        /// The next status number that the initiator expects.
        exp_stat_sn: u32,
        /// What a ping is to bring back.
        data: Bytes,
    },
    /// SCSI Command.
    ScsiCommand {
        /// It uses up no command number.
        immediate: bool,
        /// No unsolicited data follows.
        last: bool,
        /// It reads.
        read: bool,
        /// It writes.
        write: bool,
        /// The logical unit.
        lun: u64,
        /// Its tag.
        itt: u32,
        /// The length that it is expected to transfer.
        length: u32,
        /// The command number.
        cmd_sn: u32,
        /// The next status number that the initiator expects.
        exp_stat_sn: u32,
        /// The SCSI command.
        cdb: [u8; 16],
        /// The first of the data that it writes.
        data: Bytes,
    },
    /// Task Management Function Request.
    TaskRequest {
        /// It uses up no command number.
        immediate: bool,
        /// The function.
        function: u8,
        /// The logical unit.
        lun: u64,
        /// Its tag.
        itt: u32,
        /// The tag of the task that it is about.
        referenced: u32,
        /// The command number.
        cmd_sn: u32,
        /// The next status number that the initiator expects.
        exp_stat_sn: u32,
    },
    /// Login Request.
    LoginRequest(Login),
    /// SCSI Data-Out.
    DataOut {
        /// The last of what an R2T solicits.
        last: bool,
        /// The logical unit.
        lun: u64,
        /// The command's tag.
        itt: u32,
        /// The tag of the R2T.
        ttt: u32,
        /// The next status number that the initiator expects.
        exp_stat_sn: u32,
        /// Its number among those that the R2T solicits.
        data_sn: u32,
        /// Where in the command's data it begins.
        offset: u32,
        /// The data.
        data: Bytes,
    },
    /// Logout Request.
    LogoutRequest {
        /// It uses up no command number.
        immediate: bool,
        /// What is to be closed.
        reason: u8,
        /// Its tag.
        itt: u32,
        /// The connection.
        cid: u16,
        /// The command number.
        cmd_sn: u32,
        /// The next status number that the initiator expects.
        exp_stat_sn: u32,
    },
    /// NOP-In: a target's ping, or its answer to one.
    NopIn {
        /// The logical unit.
        lun: u64,
        /// The tag of the ping that it answers.
        itt: u32,
        /// Its tag; reserved where it wants no answer.
        ttt: u32,
        /// The target's numbers.
        seq: Sequence,
        /// What the ping brought.
        data: Bytes,
    },
    /// SCSI Response.
    ScsiResponse {
        /// 0: the command completed at the target.
        response: u8,
        /// The SCSI status.
        status: u8,
        /// The status qualifier (RFC 7144).
        qualifier: u16,
        /// The command's tag.
        itt: u32,
        /// The target's numbers.
        seq: Sequence,
        /// What the transfer lacked or had too much.
        residual: Residual,
        /// Sense data.
        data: Bytes,
    },
    /// Task Management Function Response.
    TaskResponse {
        /// What became of the request.
        response: u8,
        /// The request's tag.
        itt: u32,
        /// The target's numbers.
        seq: Sequence,
    },
    /// Login Response.
    LoginResponse {
        /// What it has in common with the request.
        login: Login,
        /// The target's numbers.
        seq: Sequence,
        /// The status class and detail.
        status: u16,
    },
    /// SCSI Data-In.
    DataIn {
        /// The last of a sequence.
        last: bool,
        /// The command's status, where this PDU ends it.
        status: Option<(u8, Residual)>,
        /// The command's tag.
        itt: u32,
        /// The target's numbers.
        seq: Sequence,
        /// Its number among the command's.
        data_sn: u32,
        /// Where in the command's data it begins.
        offset: u32,
        /// The data.
        data: Bytes,
    },
    /// Logout Response.
    LogoutResponse {
        /// 0: closed.
        response: u8,
        /// The request's tag.
        itt: u32,
        /// The target's numbers.
        seq: Sequence,
    },
    /// Ready To Transfer.
    R2t {
        /// The logical unit.
        lun: u64,
        /// The command's tag.
        itt: u32,
        /// Its tag, which the data carries.
        ttt: u32,
        /// The target's numbers.
        seq: Sequence,
        /// Its number among the command's.
        r2t_sn: u32,
        /// Where in the command's data the transfer begins.
        offset: u32,
        /// How much is to be sent.
        length: u32,
    },
    /// Asynchronous Message.
    Async {
        /// The event.
        event: u8,
        /// The target's numbers.
        seq: Sequence,
        /// What the event says further.
        parameters: [u16; 3],
    },
    /// Reject.
    Reject {
        /// Why.
        reason: u8,
        /// The target's numbers.
        seq: Sequence,
        /// The header of what was rejected.
        data: Bytes,
    },
}

impl Pdu {
    /// The numbers of a target's PDU, and whether it uses up its status number: data without a status, an R2T
    /// and a NOP-In that answers nothing only name the next one. None: it is an initiator's.
    pub fn sequence(&self) -> Option<(Sequence, bool)> {
        match self {
            Pdu::NopIn { seq, itt, .. } => Some((*seq, *itt != RESERVED_TAG)),
            Pdu::DataIn { seq, status, .. } => Some((*seq, status.is_some())),
            Pdu::R2t { seq, .. } => Some((*seq, false)),
            Pdu::ScsiResponse { seq, .. }
            | Pdu::TaskResponse { seq, .. }
            | Pdu::LoginResponse { seq, .. }
            | Pdu::LogoutResponse { seq, .. }
            | Pdu::Async { seq, .. }
            | Pdu::Reject { seq, .. } => Some((*seq, true)),
            _ => None,
        }
    }
}
