//! SCSI commands, statuses and sense data.

use bytes::{BufMut, Bytes, BytesMut};
use std::time::Duration;

/// Status GOOD.
pub const GOOD: u8 = 0x00;
/// Status CHECK CONDITION: sense data describes the error.
pub const CHECK_CONDITION: u8 = 0x02;
/// Status BUSY.
pub const BUSY: u8 = 0x08;
/// Status TASK SET FULL.
pub const TASK_SET_FULL: u8 = 0x28;

/// Bytes in a logical block.
pub const BLOCK_BYTES: u32 = 512;

const READ_16: u8 = 0x88;
const WRITE_16: u8 = 0x8a;
/// The bits of the group number in its byte.
const GROUP_MASK: u8 = 0x3f;

/// Length of fixed format sense data.
const SENSE_BYTES: u16 = 18;
/// Response code of current errors in fixed format.
const CURRENT_FIXED: u8 = 0x70;
/// Length of fixed format sense data after the first eight bytes.
const ADDITIONAL_SENSE_BYTES: u8 = 10;

/// The unit of time of a status qualifier.
const QUALIFIER_UNIT_MILLIS: u128 = 100;
/// The longest time that a status qualifier can express, in its unit.
const MAX_QUALIFIER: u128 = 0x3fef;

/// Sense data of a command that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sense {
    /// The sense key.
    pub key: u8,
    /// The additional sense code.
    pub code: u8,
    /// The additional sense code's qualifier.
    pub qualifier: u8,
}

/// ILLEGAL REQUEST, INVALID COMMAND OPERATION CODE.
pub const INVALID_OPCODE: Sense = Sense { key: 0x05, code: 0x20, qualifier: 0x00 };
/// ILLEGAL REQUEST, INVALID FIELD IN CDB.
pub const INVALID_FIELD: Sense = Sense { key: 0x05, code: 0x24, qualifier: 0x00 };
/// ILLEGAL REQUEST, LOGICAL UNIT NOT SUPPORTED.
pub const NO_SUCH_LUN: Sense = Sense { key: 0x05, code: 0x25, qualifier: 0x00 };
/// ABORTED COMMAND, LOGICAL UNIT COMMUNICATION TIME-OUT: the command may have taken effect.
pub const NO_RESPONSE: Sense = Sense { key: 0x0b, code: 0x08, qualifier: 0x01 };
/// ABORTED COMMAND, DATA PHASE ERROR: the data of a write did not arrive completely.
pub const DATA_PHASE_ERROR: Sense = Sense { key: 0x0b, code: 0x4b, qualifier: 0x00 };

impl Sense {
    /// Encodes the sense data in fixed format, after the length with which the data segment of a SCSI
    /// Response begins.
    pub fn encode(self) -> Bytes {
        let Sense { key, code, qualifier } = self;
        let mut out = BytesMut::with_capacity(2 + usize::from(SENSE_BYTES));
        out.put_u16(SENSE_BYTES);
        out.put_slice(&[CURRENT_FIXED, 0, key, 0, 0, 0, 0, ADDITIONAL_SENSE_BYTES]);
        out.put_slice(&[0, 0, 0, 0, code, qualifier, 0, 0, 0, 0]);
        out.freeze()
    }
}

/// A READ(16) or WRITE(16) command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Command {
    /// Whether it is a WRITE(16).
    pub write: bool,
    /// Address of the first logical block.
    pub address: u64,
    /// Number of logical blocks.
    pub blocks: u32,
    /// The group number: the index of the request class in the settings.
    pub group: u8,
}

impl Command {
    /// Decodes a command descriptor block.
    ///
    /// # Errors
    /// The operation code is neither READ(16) nor WRITE(16).
    pub fn decode(cdb: &[u8; 16]) -> Result<Command, Sense> {
        let write = match cdb[0] {
            READ_16 => false,
            WRITE_16 => true,
            _ => return Err(INVALID_OPCODE),
        };
        let [_, _, address @ .., b0, b1, b2, b3, group, _] = *cdb;
        Ok(Command {
            write,
            address: u64::from_be_bytes(address),
            blocks: u32::from_be_bytes([b0, b1, b2, b3]),
            group: group & GROUP_MASK,
        })
    }

    /// Encodes the command descriptor block.
    pub fn encode(&self) -> [u8; 16] {
        let mut cdb = [0; 16];
        cdb[0] = if self.write { WRITE_16 } else { READ_16 };
        cdb[2..10].copy_from_slice(&self.address.to_be_bytes());
        cdb[10..14].copy_from_slice(&self.blocks.to_be_bytes());
        cdb[14] = self.group & GROUP_MASK;
        cdb
    }
}

/// Encodes how long a client should wait as a status qualifier: tenths of a second, rounded up.
pub fn retry_after_qualifier(retry_after: Duration) -> u16 {
    retry_after.as_millis().div_ceil(QUALIFIER_UNIT_MILLIS).min(MAX_QUALIFIER) as u16
}
