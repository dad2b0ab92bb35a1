//! A test client of the iSCSI-style front.

use crate::harness::RunningInitiator;
use bytes::Bytes;
use rowanglade_iscsi::*;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

/// The volume that tests read and write.
pub const LUN: u64 = 0x3b4d60021;

/// A client's session with the front.
pub struct Client {
    pub reader: PduReader<OwnedReadHalf>,
    pub out: OwnedWriteHalf,
    pub cmd_sn: u32,
}

impl Client {
    pub async fn log_in(initiator: &RunningInitiator) -> Client {
        Client::log_in_as("iqn.test:client", initiator.iscsi.expect("the iSCSI front is on")).await
    }

    /// Logs in to the front at `addr` as the initiator named `name`.
    pub async fn log_in_as(name: &str, addr: SocketAddr) -> Client {
        let stream = TcpStream::connect(addr).await.expect("connected");
        let (from, mut out) = stream.into_split();
        let mut reader = PduReader::new(from);
        let data = Bytes::from(format!("InitiatorName={name}\0TargetName=iqn.test:front\0"));
        let login = Login { transit: true, current: 1, next: 3, cmd_sn: 1, data, ..Login::default() };
        out.write_all(&Pdu::LoginRequest(login).encode()).await.expect("written");
        let answer = reader.next().await;
        assert!(matches!(answer, Ok(Pdu::LoginResponse { status: 0, .. })), "{answer:?}");
        Client { reader, out, cmd_sn: 1 }
    }

    pub async fn send(&mut self, pdu: Pdu) {
        self.out.write_all(&pdu.encode()).await.expect("written");
    }

    /// Sends a READ(16) or WRITE(16) of `blocks` blocks. The data of a write is sent on its R2T.
    pub async fn command(&mut self, itt: u32, write: bool, blocks: u8) {
        self.command_to(LUN, itt, write, blocks).await;
    }

    pub async fn command_to(&mut self, lun: u64, itt: u32, write: bool, blocks: u8) {
        let mut cdb = [0; 16];
        (cdb[0], cdb[9], cdb[13], cdb[14]) = (if write { 0x8a } else { 0x88 }, 5, blocks, u8::from(write));
        let cmd_sn = self.cmd_sn;
        self.cmd_sn += 1;
        let (length, data) = (u32::from(blocks) * 512, Bytes::new());
        let (immediate, last, read) = (false, true, !write);
        self.send(Pdu::ScsiCommand {
            immediate,
            last,
            read,
            write,
            lun,
            itt,
            length,
            cmd_sn,
            exp_stat_sn: 0,
            cdb,
            data,
        })
        .await;
    }

    /// Describes the next PDU from the front. Answers each R2T with its data and goes on to the next PDU.
    pub async fn receive(&mut self) -> String {
        loop {
            return match self.reader.next().await {
                Ok(Pdu::R2t { lun, itt, ttt, offset, length, .. }) => {
                    let data = Bytes::from(vec![7; length as usize]);
                    self.send(Pdu::DataOut {
                        last: true,
                        lun,
                        itt,
                        ttt,
                        exp_stat_sn: 0,
                        data_sn: 0,
                        offset,
                        data,
                    })
                    .await;
                    continue;
                }
                Ok(Pdu::DataIn { data, .. }) => format!("data {}", String::from_utf8_lossy(&data)),
                Ok(Pdu::ScsiResponse { status: 0, itt, residual, .. }) => format!("{itt} GOOD {residual:?}"),
                Ok(Pdu::ScsiResponse { status: 8, itt, qualifier, .. }) => {
                    // The retry advice depends on measured load; the test checks only that there is one.
                    assert!((1..=5).contains(&qualifier), "{qualifier}");
                    format!("{itt} BUSY")
                }
                Ok(Pdu::ScsiResponse { status: 2, itt, data, .. }) => {
                    format!("{itt} CHECK CONDITION {:x}/{:x}/{:x}", data[4], data[14], data[15])
                }
                Ok(Pdu::TaskResponse { response, itt, .. }) => format!("{itt} task response {response}"),
                Ok(Pdu::NopIn { itt, .. }) => format!("{itt} nop"),
                Ok(Pdu::Reject { reason, .. }) => format!("reject {reason}"),
                Ok(Pdu::Async { event, .. }) => format!("async {event}"),
                Ok(Pdu::LogoutResponse { response, .. }) => format!("logged out {response}"),
                Ok(other) => format!("{other:?}"),
                Err(_) => "end".to_string(),
            };
        }
    }
}
