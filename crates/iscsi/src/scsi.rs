//! SCSI commands, statuses and sense data.

use bytes::{BufMut, Bytes, BytesMut};
use std::time::Duration;

pub const GOOD: u8 = 0x00;
pub const CHECK_CONDITION: u8 = 0x02;
pub const BUSY: u8 = 0x08;
pub const TASK_SET_FULL: u8 = 0x28;

const READ_16: u8 = 0x88;
const WRITE_16: u8 = 0x8a;
pub const BLOCK: u32 = 512;

/// Sense key, additional sense code and its qualifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sense(pub u8, pub u8, pub u8);

pub const INVALID_OPCODE: Sense = Sense(0x05, 0x20, 0x00);
pub const INVALID_FIELD: Sense = Sense(0x05, 0x24, 0x00);
pub const NO_SUCH_LUN: Sense = Sense(0x05, 0x25, 0x00);
/// ABORTED COMMAND, LOGICAL UNIT COMMUNICATION TIME-OUT: nothing is promised of the effect.
pub const NO_ANSWER: Sense = Sense(0x0b, 0x08, 0x01);
/// ABORTED COMMAND, DATA PHASE ERROR: the data of a write never came whole.
pub const DATA_PHASE: Sense = Sense(0x0b, 0x4b, 0x00);

impl Sense {
    /// Fixed format, behind the length that the data segment of a SCSI Response begins with.
    pub fn encode(self) -> Bytes {
        let mut out = BytesMut::with_capacity(20);
        out.put_u16(18);
        out.put_slice(&[0x70, 0, self.0, 0, 0, 0, 0, 10, 0, 0, 0, 0, self.1, self.2, 0, 0, 0, 0]);
        out.freeze()
    }
}

/// READ(16) or WRITE(16).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Command {
    pub write: bool,
    pub address: u64,
    pub blocks: u32,
    /// The group number: the place of the class in the settings.
    pub group: u8,
}

impl Command {
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
            group: group & 0x3f,
        })
    }

    pub fn encode(&self) -> [u8; 16] {
        let mut cdb = [0; 16];
        cdb[0] = if self.write { WRITE_16 } else { READ_16 };
        cdb[2..10].copy_from_slice(&self.address.to_be_bytes());
        cdb[10..14].copy_from_slice(&self.blocks.to_be_bytes());
        cdb[14] = self.group & 0x3f;
        cdb
    }
}

/// Advice to stay away as a status qualifier: tenths of a second, rounded up.
pub fn qualifier(wait: Duration) -> u16 {
    wait.as_millis().div_ceil(100).min(0x3fef) as u16
}
