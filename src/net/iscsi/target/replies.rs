//! Handles the PDUs from a target.

use super::session::{ABORT_TAG_FLAG, Session, protocol_error};
use crate::core::AttemptResult;
use crate::interface::Outcome;
use bytes::Bytes;
use rowanglade_iscsi::scsi;
use rowanglade_iscsi::{Pdu, RESERVED_TAG, Residual};
use std::io;

/// Response code of a command that completed at the target. With any other, the PDU has no status.
const COMPLETED_AT_TARGET: u8 = 0;

impl Session {
    /// Handles a PDU from the target.
    ///
    /// # Errors
    /// The connection broke, or the target violated the protocol.
    pub(super) async fn handle_pdu(&mut self, pdu: Pdu) -> io::Result<()> {
        if let Some((sequence, uses_stat_sn)) = pdu.sequence() {
            self.max_cmd_sn = sequence.max_cmd_sn;
            if uses_stat_sn {
                self.exp_stat_sn = sequence.stat_sn.wrapping_add(1);
            }
        }
        match pdu {
            Pdu::NopIn { lun, ttt, data, .. } if ttt != RESERVED_TAG => {
                self.send_nop_out(lun, RESERVED_TAG, ttt, data).await
            }
            Pdu::NopIn { .. } | Pdu::Async { .. } => Ok(()),
            Pdu::DataIn { status, itt, offset, data, .. } => self.receive_data(itt, offset, &data, status),
            Pdu::ScsiResponse { response, status, itt, residual, .. } => {
                let completed = response == COMPLETED_AT_TARGET;
                self.complete(itt, if completed { status } else { scsi::CHECK_CONDITION }, residual);
                Ok(())
            }
            Pdu::TaskResponse { itt, .. } => {
                self.tasks.remove(&(itt & !ABORT_TAG_FLAG));
                Ok(())
            }
            Pdu::R2t { lun, itt, ttt, offset, length, .. } => {
                self.send_data(lun, itt, ttt, offset, length).await
            }
            other => Err(protocol_error(format!("unexpected PDU from the target: {other:?}"))),
        }
    }

    /// Adds data to a read. A status in the same PDU completes the read.
    fn receive_data(
        &mut self,
        itt: u32,
        offset: u32,
        data: &Bytes,
        status: Option<(u8, Residual)>,
    ) -> io::Result<()> {
        let Some(task) = self.tasks.get_mut(&itt) else { return Ok(()) };
        let fits = task.read_data.len() + data.len() <= task.read_length as usize;
        if offset as usize != task.read_data.len() || !fits {
            return Err(protocol_error("Data-In is out of order or exceeds the expected transfer length"));
        }
        task.read_data.extend_from_slice(data);
        if let Some((status, residual)) = status {
            self.complete(itt, status, residual);
        }
        Ok(())
    }

    /// Completes a command with its status, and reports the result.
    fn complete(&mut self, itt: u32, status: u8, residual: Residual) {
        let Some(task) = self.tasks.remove(&itt) else { return };
        let Some(report) = task.report else { return };
        let missing = match residual {
            Residual::Under(missing) => missing,
            Residual::None | Residual::Over(_) => 0,
        };
        // A read without all the data that the target claims to have sent is not a valid response.
        let complete = task.read_data.len() as u64 + u64::from(missing) == u64::from(task.read_length);
        let outcome = match status {
            scsi::GOOD if complete => Outcome::Served,
            scsi::BUSY | scsi::TASK_SET_FULL => Outcome::QueueFull,
            _ => Outcome::Error,
        };
        let body = if outcome == Outcome::Served { task.read_data.freeze() } else { Bytes::new() };
        report.finish(AttemptResult { body: body.into(), ..AttemptResult::without_response(outcome) });
    }
}
