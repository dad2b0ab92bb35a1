//! Responses to a client's commands.

use super::session::Session;
use super::tasks::CompletedTask;
use crate::core::{Response, ResponseBody};
use bytes::Bytes;
use rowanglade_iscsi::scsi::{self, Sense};
use rowanglade_iscsi::{Header, Pdu, RejectReason, Residual};
use std::time::Duration;

/// While more bytes than this wait to be written, further responses are held back: each may come on top of it.
const UNSENT_BYTES_BEFORE_HOLDING: usize = 128 * 1024;
/// The response of a command that completed at the target.
const COMPLETED_AT_TARGET: u8 = 0;

impl Session<'_> {
    /// Sends responses for as long as few bytes wait. The others keep their tasks, whose number is limited.
    pub(super) fn send_completed(&mut self) {
        while self.out.len() <= UNSENT_BYTES_BEFORE_HOLDING
            && let Some(CompletedTask { itt, read_length, response }) = self.completed.pop_front()
        {
            self.tasks.remove(&itt);
            match response {
                Ok(response) => self.send_response(itt, read_length, response),
                Err(reason) => {
                    tracing::debug!(%reason, "command rejected as invalid");
                    self.send_check_condition(itt, scsi::INVALID_FIELD);
                }
            }
        }
    }

    fn send_response(&mut self, itt: u32, read_length: Option<u32>, response: Response) {
        match response {
            Response::Rejected { retry_after } | Response::SiteUnavailable { retry_after, .. } => {
                self.send_status(itt, scsi::BUSY, retry_after, None);
            }
            // A body that is not held whole does not fit the transfer of a command.
            Response::Failed | Response::Served(ResponseBody::Streamed(_)) => {
                self.send_check_condition(itt, scsi::NO_RESPONSE);
            }
            Response::Served(ResponseBody::Buffered(body)) => match read_length {
                None => self.send_status(itt, scsi::GOOD, Duration::ZERO, None),
                Some(read_length) => self.send_read(itt, read_length, body),
            },
        }
    }

    /// Sends the data of a read and its status.
    fn send_read(&mut self, itt: u32, read_length: u32, body: Bytes) {
        let residual = residual(body.len() as u32, read_length);
        let body = body.slice(..body.len().min(read_length as usize));
        let mut offset = 0;
        let mut data_sn = 0;
        while offset < body.len() {
            let end = body.len().min(offset + self.parameters.max_segment_bytes);
            let data = body.slice(offset..end);
            let seq = self.sequence();
            let last = end == body.len();
            let offset_bytes = offset as u32;
            self.out.push(&Pdu::DataIn { last, status: None, itt, seq, data_sn, offset: offset_bytes, data });
            offset = end;
            data_sn += 1;
        }
        self.send_scsi_response(itt, scsi::GOOD, 0, residual, Bytes::new());
    }

    /// Sends a status, with sense data where there is any. `retry_after`: how long the client should stay away.
    pub(super) fn send_status(&mut self, itt: u32, status: u8, retry_after: Duration, sense: Option<Sense>) {
        let qualifier = scsi::retry_after_qualifier(retry_after);
        let data = sense.map(Sense::encode).unwrap_or_default();
        self.send_scsi_response(itt, status, qualifier, Residual::None, data);
    }

    pub(super) fn send_check_condition(&mut self, itt: u32, sense: Sense) {
        self.send_status(itt, scsi::CHECK_CONDITION, Duration::ZERO, Some(sense));
    }

    fn send_scsi_response(&mut self, itt: u32, status: u8, qualifier: u16, residual: Residual, data: Bytes) {
        let seq = self.next_sequence();
        let response = COMPLETED_AT_TARGET;
        self.out.push(&Pdu::ScsiResponse { response, status, qualifier, itt, seq, residual, data });
    }

    pub(super) fn reject(&mut self, reason: RejectReason, header: &Header) {
        let seq = self.next_sequence();
        let data = Bytes::copy_from_slice(header);
        self.out.push(&Pdu::Reject { reason: reason as u8, seq, data });
    }
}

/// How a body differs from the length that a read is expected to transfer.
fn residual(length: u32, expected: u32) -> Residual {
    match length.cmp(&expected) {
        std::cmp::Ordering::Greater => Residual::Over(length - expected),
        std::cmp::Ordering::Less => Residual::Under(expected - length),
        std::cmp::Ordering::Equal => Residual::None,
    }
}
