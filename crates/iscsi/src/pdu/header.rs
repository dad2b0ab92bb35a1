//! The basic header segment: the positions of its fields (RFC 7143, section 11).

use super::Sequence;
use bytes::{BufMut, Bytes, BytesMut};

/// Length in bytes of a basic header segment.
pub const HEADER_BYTES: usize = 48;
/// Segments are padded to a multiple of this many bytes.
const WORD_BYTES: usize = 4;
/// The data segment's length has 24 bits.
const DATA_LENGTH_MASK: u32 = 0x00ff_ffff;

/// A basic header segment as received.
pub type Header = [u8; HEADER_BYTES];

/// Position of the opcode, whose byte also has the flag of an immediate command.
pub(super) const OPCODE: usize = 0;
/// Position of the flags, which differ from PDU to PDU.
pub(super) const FLAGS: usize = 1;
/// Position of a response code, or of a Reject's reason code.
pub(super) const RESPONSE: usize = 2;
/// Position of a SCSI status.
pub(super) const STATUS: usize = 3;
const ADDITIONAL_LENGTH: usize = 4;
const DATA_LENGTH: usize = 4;
pub(super) const LUN: usize = 8;
/// Position of the status qualifier in a SCSI Response.
pub(super) const STATUS_QUALIFIER: usize = 8;
/// Position of the initiator's part of the session identifier in a login.
pub(super) const ISID: usize = 8;
pub(super) const TSIH: usize = 14;
pub(super) const ITT: usize = 16;
pub(super) const TTT: usize = 20;
/// Position of the referenced task tag in a task management request.
pub(super) const REFERENCED_TAG: usize = 20;
/// Position of the expected data transfer length in a SCSI command.
pub(super) const EXPECTED_LENGTH: usize = 20;
pub(super) const CID: usize = 20;
pub(super) const CMD_SN: usize = 24;
pub(super) const EXP_STAT_SN: usize = 28;
const STAT_SN: usize = 24;
const EXP_CMD_SN: usize = 28;
const MAX_CMD_SN: usize = 32;
pub(super) const CDB: usize = 32;
pub(super) const DATA_SN: usize = 36;
pub(super) const LOGIN_STATUS: usize = 36;
pub(super) const ASYNC_EVENT: usize = 36;
/// Positions of the three parameters in an asynchronous message.
pub(super) const ASYNC_PARAMETERS: [usize; 3] = [38, 40, 42];
pub(super) const BUFFER_OFFSET: usize = 40;
pub(super) const RESIDUAL_COUNT: usize = 44;
/// Position of the desired data transfer length in an R2T.
pub(super) const DESIRED_LENGTH: usize = 44;

/// Flag of an immediate command, in the byte of the opcode.
pub(super) const IMMEDIATE: u8 = 0x40;
pub(super) const OPCODE_MASK: u8 = 0x3f;
/// Flag of the last PDU of a sequence; set in all PDUs that form no sequences.
pub(super) const FINAL: u8 = 0x80;
/// Flags of a SCSI command.
pub(super) const READ: u8 = 0x40;
pub(super) const WRITE: u8 = 0x20;
pub(super) const SIMPLE_TASK: u8 = 0x01;
/// Flag of a Data-In that carries the command's status.
pub(super) const HAS_STATUS: u8 = 0x01;
/// Mask of a function or reason code that shares its byte with [`FINAL`].
pub(super) const FUNCTION_MASK: u8 = 0x7f;

/// The opcodes of the supported subset.
pub(super) mod opcode {
    pub const NOP_OUT: u8 = 0x00;
    pub const SCSI_COMMAND: u8 = 0x01;
    pub const TASK_REQUEST: u8 = 0x02;
    pub const LOGIN_REQUEST: u8 = 0x03;
    pub const DATA_OUT: u8 = 0x05;
    pub const LOGOUT_REQUEST: u8 = 0x06;
    pub const NOP_IN: u8 = 0x20;
    pub const SCSI_RESPONSE: u8 = 0x21;
    pub const TASK_RESPONSE: u8 = 0x22;
    pub const LOGIN_RESPONSE: u8 = 0x23;
    pub const DATA_IN: u8 = 0x25;
    pub const LOGOUT_RESPONSE: u8 = 0x26;
    pub const R2T: u8 = 0x31;
    pub const ASYNC: u8 = 0x32;
    pub const REJECT: u8 = 0x3f;
}

pub(super) fn read_u16(header: &Header, at: usize) -> u16 {
    u16::from_be_bytes([header[at], header[at + 1]])
}

pub(super) fn read_u32(header: &Header, at: usize) -> u32 {
    u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
}

pub(super) fn read_u64(header: &Header, at: usize) -> u64 {
    u64::from(read_u32(header, at)) << 32 | u64::from(read_u32(header, at + 4))
}

pub(super) fn read_sequence(header: &Header) -> Sequence {
    Sequence {
        stat_sn: read_u32(header, STAT_SN),
        exp_cmd_sn: read_u32(header, EXP_CMD_SN),
        max_cmd_sn: read_u32(header, MAX_CMD_SN),
    }
}

/// Whether additional header segments follow the header.
pub(super) fn has_additional_segments(header: &Header) -> bool {
    header[ADDITIONAL_LENGTH] != 0
}

/// Lengths in bytes of the additional header segments and of the data segment, without padding.
pub fn lengths(header: &Header) -> (usize, usize) {
    let additional = usize::from(header[ADDITIONAL_LENGTH]) * WORD_BYTES;
    let data = (read_u32(header, DATA_LENGTH) & DATA_LENGTH_MASK) as usize;
    (additional, data)
}

/// Builds a PDU field by field.
pub(super) struct HeaderWriter(Header);

impl HeaderWriter {
    /// A header with this opcode, whose other fields are zero.
    pub(super) fn new(opcode: u8) -> HeaderWriter {
        HeaderWriter([0; HEADER_BYTES]).byte(OPCODE, opcode)
    }

    pub(super) fn immediate(mut self, immediate: bool) -> HeaderWriter {
        self.0[OPCODE] |= if immediate { IMMEDIATE } else { 0 };
        self
    }

    pub(super) fn byte(mut self, at: usize, value: u8) -> HeaderWriter {
        self.0[at] = value;
        self
    }

    pub(super) fn flags(self, flags: u8) -> HeaderWriter {
        self.byte(FLAGS, flags)
    }

    pub(super) fn bytes(mut self, at: usize, value: &[u8]) -> HeaderWriter {
        self.0[at..at + value.len()].copy_from_slice(value);
        self
    }

    pub(super) fn u16(self, at: usize, value: u16) -> HeaderWriter {
        self.bytes(at, &value.to_be_bytes())
    }

    pub(super) fn u32(self, at: usize, value: u32) -> HeaderWriter {
        self.bytes(at, &value.to_be_bytes())
    }

    pub(super) fn u64(self, at: usize, value: u64) -> HeaderWriter {
        self.bytes(at, &value.to_be_bytes())
    }

    /// Sets the CmdSN and ExpStatSN of an initiator's PDU.
    pub(super) fn command_numbers(self, cmd_sn: u32, exp_stat_sn: u32) -> HeaderWriter {
        self.u32(CMD_SN, cmd_sn).u32(EXP_STAT_SN, exp_stat_sn)
    }

    /// Sets the sequence numbers of a target's PDU.
    pub(super) fn sequence(self, sequence: &Sequence) -> HeaderWriter {
        self.u32(STAT_SN, sequence.stat_sn)
            .u32(EXP_CMD_SN, sequence.exp_cmd_sn)
            .u32(MAX_CMD_SN, sequence.max_cmd_sn)
    }

    /// The complete PDU, with its data segment padded.
    pub(super) fn finish(self, data: &[u8]) -> Bytes {
        let HeaderWriter(header) = self.u32(DATA_LENGTH, data.len() as u32 & DATA_LENGTH_MASK);
        let mut out = BytesMut::with_capacity(HEADER_BYTES + data.len() + WORD_BYTES - 1);
        out.put_slice(&header);
        out.put_slice(data);
        out.put_bytes(0, data.len().wrapping_neg() % WORD_BYTES);
        out.freeze()
    }
}
