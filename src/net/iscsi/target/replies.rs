//! What a target's PDUs say.

use super::session::{ABORT_TAG_FLAG, Session, broken};
use crate::core::AttemptResult;
use crate::interface::Outcome;
use bytes::Bytes;
use rowanglade_iscsi::scsi;
use rowanglade_iscsi::{Pdu, RESERVED_TAG, Residual};
use std::io;

/// The response of a command that completed at the target; any other has no status.
const COMPLETED_AT_TARGET: u8 = 0;

impl Session {
    /// Handles a PDU of the target's.
    ///
    /// # Errors
    /// The connection broke, or the target broke the protocol.
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
            other => Err(broken(format!("unexpected: {other:?}"))),
        }
    }

    /// Adds data to a read, which a status completes.
    fn receive_data(
        &mut self,
        itt: u32,
        offset: u32,
        data: &Bytes,
        status: Option<(u8, Residual)>,
    ) -> io::Result<()> {
        let Some(task) = self.tasks.get_mut(&itt) else { return Ok(()) };
        let fits = task.read.len() + data.len() <= task.read_length as usize;
        if offset as usize != task.read.len() || !fits {
            return Err(broken("data out of place"));
        }
        task.read.extend_from_slice(data);
        if let Some((status, residual)) = status {
            self.complete(itt, status, residual);
        }
        Ok(())
    }

    /// Reports a command's status.
    fn complete(&mut self, itt: u32, status: u8, residual: Residual) {
        let Some(task) = self.tasks.remove(&itt) else { return };
        let Some(report) = task.report else { return };
        let missing = match residual {
            Residual::Under(missing) => missing,
            Residual::None | Residual::Over(_) => 0,
        };
        // A read without data that the target says it sent is no response.
        let complete = task.read.len() as u64 + u64::from(missing) == u64::from(task.read_length);
        let outcome = match status {
            scsi::GOOD if complete => Outcome::Served,
            scsi::BUSY | scsi::TASK_SET_FULL => Outcome::QueueFull,
            _ => Outcome::Error,
        };
        let body = if outcome == Outcome::Served { task.read.freeze() } else { Bytes::new() };
        report.finish(AttemptResult { body: body.into(), ..AttemptResult::without_response(outcome) });
    }
}
