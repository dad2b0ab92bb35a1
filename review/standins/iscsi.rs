//! A client of the iSCSI-style front, after RFC 7143: login, WRITE(16) with immediate data, READ(16), logout.

#![allow(dead_code)]

use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

pub const BLOCK_BYTES: usize = 512;
const HEADER_BYTES: usize = 48;

/// A PDU as received.
#[derive(Clone, Debug)]
pub struct Pdu {
    pub header: [u8; HEADER_BYTES],
    pub data: Vec<u8>,
}

impl Pdu {
    pub fn opcode(&self) -> u8 {
        self.header[0] & 0x3f
    }

    pub fn u32(&self, at: usize) -> u32 {
        u32::from_be_bytes(self.header[at..at + 4].try_into().unwrap())
    }
}

/// Reads a PDU from a stream.
pub fn read_pdu(stream: &mut impl Read) -> io::Result<Pdu> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header)?;
    let length = u32::from_be_bytes([0, header[5], header[6], header[7]]) as usize;
    let mut data = vec![0; length.div_ceil(4) * 4];
    stream.read_exact(&mut data)?;
    data.truncate(length);
    Ok(Pdu { header, data })
}

/// Encodes a PDU: fields are positions and their bytes.
pub fn pdu(opcode: u8, flags: u8, fields: &[(usize, &[u8])], data: &[u8]) -> Vec<u8> {
    let mut out = vec![0; HEADER_BYTES];
    (out[0], out[1]) = (opcode, flags);
    out[5..8].copy_from_slice(&(data.len() as u32).to_be_bytes()[1..]);
    for (at, bytes) in fields {
        out[*at..at + bytes.len()].copy_from_slice(bytes);
    }
    out.extend_from_slice(data);
    out.resize(out.len().div_ceil(4) * 4, 0);
    out
}

/// The answer to a command.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The SCSI status: 0 is GOOD, 2 CHECK CONDITION, 8 BUSY.
    pub status: u8,
    pub data: Vec<u8>,
}

/// A session with the front. It has one command open at a time.
pub struct Session {
    stream: TcpStream,
    cmd_sn: u32,
    exp_stat_sn: u32,
    itt: u32,
    /// The front has asked for a logout.
    pub asked_to_log_out: bool,
    pending: VecDeque<Pdu>,
}

impl Session {
    pub fn log_in(front: SocketAddr, initiator: &str, target: &str) -> io::Result<Session> {
        let mut stream = TcpStream::connect(front)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        let keys = format!("InitiatorName={initiator}\0TargetName={target}\0SessionType=Normal\0MaxRecvDataSegmentLength=65536\0");
        // Operational stage to full feature phase.
        let request = pdu(0x43, 0x87, &[(8, &[0x80, 0, 0, 0, 0, 1]), (24, &1u32.to_be_bytes())], keys.as_bytes());
        stream.write_all(&request)?;
        let answer = read_pdu(&mut stream)?;
        if answer.opcode() != 0x23 || answer.header[36] != 0 {
            return Err(io::Error::new(io::ErrorKind::Other, "the login was refused"));
        }
        let exp_stat_sn = answer.u32(24).wrapping_add(1);
        Ok(Session { stream, cmd_sn: 1, exp_stat_sn, itt: 0, asked_to_log_out: false, pending: VecDeque::new() })
    }

    /// Sends a WRITE(16) with its data, and waits for its answer.
    pub fn write(&mut self, lun: u64, address: u64, group: u8, data: &[u8]) -> io::Result<Answer> {
        self.command(0x8a, lun, address, group, data.len(), data)
    }

    /// Sends a READ(16) of one block, and waits for its answer.
    pub fn read(&mut self, lun: u64, address: u64, group: u8) -> io::Result<Answer> {
        self.command(0x88, lun, address, group, BLOCK_BYTES, &[])
    }

    /// Sends a WRITE(16) of `length` bytes with the first of them as immediate data, and does not wait.
    pub fn begin_write(&mut self, lun: u64, address: u64, group: u8, length: usize, first: &[u8]) -> io::Result<()> {
        self.send(0x8a, lun, address, group, length, first)
    }

    fn command(&mut self, code: u8, lun: u64, address: u64, group: u8, length: usize, data: &[u8]) -> io::Result<Answer> {
        self.send(code, lun, address, group, length, data)?;
        self.receive()
    }

    fn send(&mut self, code: u8, lun: u64, address: u64, group: u8, length: usize, data: &[u8]) -> io::Result<()> {
        self.itt += 1;
        let mut cdb = [0u8; 16];
        cdb[0] = code;
        cdb[2..10].copy_from_slice(&address.to_be_bytes());
        cdb[10..14].copy_from_slice(&((length / BLOCK_BYTES) as u32).to_be_bytes());
        cdb[14] = group;
        let flags = if code == 0x8a { 0x80 | 0x20 | 1 } else { 0x80 | 0x40 | 1 };
        let fields: [(usize, &[u8]); 6] = [
            (8, &lun.to_be_bytes()),
            (16, &self.itt.to_be_bytes()),
            (20, &(length as u32).to_be_bytes()),
            (24, &self.cmd_sn.to_be_bytes()),
            (28, &self.exp_stat_sn.to_be_bytes()),
            (32, &cdb),
        ];
        let command = pdu(0x01, flags, &fields, data);
        self.cmd_sn = self.cmd_sn.wrapping_add(1);
        self.stream.write_all(&command)
    }

    /// Waits for the answer to the command that was sent last.
    fn receive(&mut self) -> io::Result<Answer> {
        let mut read = Vec::new();
        loop {
            let answer = read_pdu(&mut self.stream)?;
            match answer.opcode() {
                0x25 if answer.u32(16) == self.itt => {
                    read.extend_from_slice(&answer.data);
                    if answer.header[1] & 1 != 0 {
                        return Ok(Answer { status: answer.header[3], data: read });
                    }
                }
                0x21 if answer.u32(16) == self.itt => {
                    self.exp_stat_sn = answer.u32(24).wrapping_add(1);
                    return Ok(Answer { status: answer.header[3], data: read });
                }
                0x32 => self.asked_to_log_out = true,
                _ => {}
            }
        }
    }

    /// Waits until the front asks for a logout, or for as long as this.
    pub fn wait_for_logout_request(&mut self, limit: Duration) -> bool {
        let _ = self.stream.set_read_timeout(Some(limit));
        while !self.asked_to_log_out {
            match read_pdu(&mut self.stream) {
                Ok(pdu) => self.asked_to_log_out |= pdu.opcode() == 0x32,
                Err(_) => return false,
            }
        }
        true
    }

    /// Logs out, and waits for the front's answer.
    pub fn log_out(mut self) {
        let _ = self.stream.set_read_timeout(Some(Duration::from_secs(1)));
        let fields: [(usize, &[u8]); 3] = [
            (16, &0x7fff_0000u32.to_be_bytes()),
            (24, &self.cmd_sn.to_be_bytes()),
            (28, &self.exp_stat_sn.to_be_bytes()),
        ];
        if self.stream.write_all(&pdu(0x46, 0x80, &fields, &[])).is_ok() {
            while let Ok(pdu) = read_pdu(&mut self.stream) {
                if pdu.opcode() == 0x26 {
                    return;
                }
            }
        }
    }
}
