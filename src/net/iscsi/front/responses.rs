//! Responses to a client's commands.

use super::session::Session;
use super::tasks::CompletedTask;
use crate::core::{Response, ResponseBody};
use bytes::Bytes;
use rowanglade_iscsi::scsi::{self, Sense};
use rowanglade_iscsi::{Header, Pdu, RejectReason, Residual};
use std::time::Duration;

/// High watermark of the send buffer: while more bytes wait, further responses are held back. One response
/// may exceed it by its own size.
const RESPONSE_HIGH_WATERMARK_BYTES: usize = 128 * 1024;
/// Response code of a command that completed at the target.
const COMPLETED_AT_TARGET: u8 = 0;

impl Session<'_> {
    /// Sends responses until the send buffer exceeds its high watermark. The others remain open tasks, whose
    /// number is limited.
    pub(super) fn send_completed(&mut self) {
        while self.may_send_more()
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

    /// Whether another response may be added to the send buffer: without memory, only to an empty one.
    fn may_send_more(&self) -> bool {
        self.out.is_empty()
            || (self.out.len() <= RESPONSE_HIGH_WATERMARK_BYTES && self.front.bodies.admits_more())
    }

    fn send_response(&mut self, itt: u32, read_length: Option<u32>, response: Response) {
        match response {
            Response::Rejected { retry_after } | Response::SiteUnavailable { retry_after, .. } => {
                self.send_status(itt, scsi::BUSY, retry_after, None);
            }
            // A body that is not buffered completely does not fit the transfer of a command.
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

    /// Sends a status, with sense data if there is any. `retry_after` is how long the client should wait
    /// before a retry.
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

/// How the length of a body differs from the expected transfer length of a read.
fn residual(length: u32, expected: u32) -> Residual {
    match length.cmp(&expected) {
        std::cmp::Ordering::Greater => Residual::Over(length - expected),
        std::cmp::Ordering::Less => Residual::Under(expected - length),
        std::cmp::Ordering::Equal => Residual::None,
    }
}
