//! Protocol data units: each is decoded once into a typed value and encoded once. Fields have the names of
//! RFC 7143: `itt` is the initiator task tag, `ttt` the target transfer tag, and the fields that end in `sn`
//! are its sequence numbers.

mod decode;
mod encode;
mod header;
mod login;

pub use header::{HEADER_BYTES, Header, lengths};
pub use login::Login;

use bytes::Bytes;

/// The reserved value of a tag, which identifies no task or transfer.
pub const RESERVED_TAG: u32 = u32::MAX;

/// The sequence numbers that a target's PDUs carry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sequence {
    /// StatSN: the number of this status.
    pub stat_sn: u32,
    /// ExpCmdSN: the number of the next command that the target expects.
    pub exp_cmd_sn: u32,
    /// MaxCmdSN: the number of the last command that the target accepts at present.
    pub max_cmd_sn: u32,
}

/// The reason code of a Reject PDU.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[repr(u8)]
pub enum RejectReason {
    /// The PDU violates the protocol.
    #[error("protocol error")]
    ProtocolError = 0x04,
    /// The PDU or its command is not supported.
    #[error("command not supported")]
    CommandNotSupported = 0x05,
    /// A field of the PDU has an invalid value.
    #[error("invalid PDU field")]
    InvalidField = 0x09,
}

/// The bytes by which a transfer differed from the expected transfer length of its command.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Residual {
    /// The lengths are equal.
    #[default]
    None,
    /// Overflow: this many bytes more than expected.
    Over(u32),
    /// Underflow: this many bytes fewer than expected.
    Under(u32),
}

/// The PDUs of the supported subset, in both directions. Lengths and offsets are in bytes.
#[derive(Clone, Debug, PartialEq)]
pub enum Pdu {
    /// NOP-Out: an initiator's ping, or its response to one.
    NopOut {
        /// Whether the command is immediate, so that it consumes no command number.
        immediate: bool,
        /// The LUN of the target's ping that this PDU responds to.
        lun: u64,
        /// The initiator task tag; reserved if no response is wanted.
        itt: u32,
        /// The target transfer tag of the ping that this PDU responds to.
        ttt: u32,
        /// The command number.
        cmd_sn: u32,
        /// The next status number that the initiator expects.
        exp_stat_sn: u32,
        /// The data that the response to a ping returns.
        data: Bytes,
    },
    /// SCSI Command.
    ScsiCommand {
        /// Whether the command is immediate, so that it consumes no command number.
        immediate: bool,
        /// Whether no unsolicited data follows.
        last: bool,
        /// Whether the command reads.
        read: bool,
        /// Whether the command writes.
        write: bool,
        /// The logical unit.
        lun: u64,
        /// The initiator task tag.
        itt: u32,
        /// The expected data transfer length.
        length: u32,
        /// The command number.
        cmd_sn: u32,
        /// The next status number that the initiator expects.
        exp_stat_sn: u32,
        /// The SCSI command descriptor block.
        cdb: [u8; 16],
        /// The first part of the data that the command writes.
        data: Bytes,
    },
    /// Task Management Function Request.
    TaskRequest {
        /// Whether the command is immediate, so that it consumes no command number.
        immediate: bool,
        /// The function code.
        function: u8,
        /// The logical unit.
        lun: u64,
        /// The initiator task tag of the request itself.
        itt: u32,
        /// The initiator task tag of the task that the function applies to.
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
        /// Whether this PDU is the last that the R2T solicits.
        last: bool,
        /// The logical unit.
        lun: u64,
        /// The initiator task tag of the command.
        itt: u32,
        /// The target transfer tag of the R2T.
        ttt: u32,
        /// The next status number that the initiator expects.
        exp_stat_sn: u32,
        /// DataSN: the number of this PDU among those that the R2T solicits.
        data_sn: u32,
        /// Buffer offset: where the data begins in the command's data.
        offset: u32,
        /// The part of the command's data that this PDU transfers.
        data: Bytes,
    },
    /// Logout Request.
    LogoutRequest {
        /// Whether the command is immediate, so that it consumes no command number.
        immediate: bool,
        /// The reason code: what is to be closed.
        reason: u8,
        /// The initiator task tag.
        itt: u32,
        /// The connection ID.
        cid: u16,
        /// The command number.
        cmd_sn: u32,
        /// The next status number that the initiator expects.
        exp_stat_sn: u32,
    },
    /// NOP-In: a target's ping, or its response to one.
    NopIn {
        /// The logical unit.
        lun: u64,
        /// The initiator task tag of the ping that this PDU responds to.
        itt: u32,
        /// The target transfer tag; reserved if no response is wanted.
        ttt: u32,
        /// The target's sequence numbers.
        seq: Sequence,
        /// The data of the ping that this PDU responds to.
        data: Bytes,
    },
    /// SCSI Response.
    ScsiResponse {
        /// The response code; 0: the command completed at the target.
        response: u8,
        /// The SCSI status.
        status: u8,
        /// The status qualifier (RFC 7144).
        qualifier: u16,
        /// The initiator task tag of the command.
        itt: u32,
        /// The target's sequence numbers.
        seq: Sequence,
        /// How the transfer differed from the expected length.
        residual: Residual,
        /// Sense data.
        data: Bytes,
    },
    /// Task Management Function Response.
    TaskResponse {
        /// The response code of the requested function.
        response: u8,
        /// The initiator task tag of the request.
        itt: u32,
        /// The target's sequence numbers.
        seq: Sequence,
    },
    /// Login Response.
    LoginResponse {
        /// The fields that the response shares with its request.
        login: Login,
        /// The target's sequence numbers.
        seq: Sequence,
        /// The status class and detail.
        status: u16,
    },
    /// SCSI Data-In.
    DataIn {
        /// Whether this PDU is the last of a sequence.
        last: bool,
        /// The command's status and residual, if this PDU ends the command.
        status: Option<(u8, Residual)>,
        /// The initiator task tag of the command.
        itt: u32,
        /// The target's sequence numbers.
        seq: Sequence,
        /// DataSN: the number of this PDU among the command's Data-In PDUs.
        data_sn: u32,
        /// Buffer offset: where the data begins in the command's data.
        offset: u32,
        /// The part of the command's data that this PDU transfers.
        data: Bytes,
    },
    /// Logout Response.
    LogoutResponse {
        /// The response code; 0: the session or connection is closed.
        response: u8,
        /// The initiator task tag of the request.
        itt: u32,
        /// The target's sequence numbers.
        seq: Sequence,
    },
    /// Ready To Transfer.
    R2t {
        /// The logical unit.
        lun: u64,
        /// The initiator task tag of the command.
        itt: u32,
        /// The target transfer tag, which the solicited data carries.
        ttt: u32,
        /// The target's sequence numbers.
        seq: Sequence,
        /// R2TSN: the number of this R2T among the command's.
        r2t_sn: u32,
        /// Where in the command's data the transfer begins.
        offset: u32,
        /// The desired data transfer length.
        length: u32,
    },
    /// Asynchronous Message.
    Async {
        /// The AsyncEvent code.
        event: u8,
        /// The target's sequence numbers.
        seq: Sequence,
        /// Further parameters of the event.
        parameters: [u16; 3],
    },
    /// Reject.
    Reject {
        /// The reason code.
        reason: u8,
        /// The target's sequence numbers.
        seq: Sequence,
        /// The header of the rejected PDU.
        data: Bytes,
    },
}

impl Pdu {
    /// The sequence numbers of a target's PDU, and whether it consumes its status number: data without a
    /// status, an R2T and a NOP-In that responds to nothing only carry the next one. `None`: the PDU is an
    /// initiator's.
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
