//! Sends commands to a target, and aborts them.

use super::session::{ABORT_TAG_FLAG, Session, Task, protocol_error};
use crate::core::{Attempt, AttemptResult, Request};
use crate::interface::Outcome;
use crate::net::iscsi::ABORT_TASK;
use bytes::BytesMut;
use rowanglade_iscsi::scsi::{self, Command};
use rowanglade_iscsi::{MAX_SEGMENT_BYTES, Pdu};
use std::io;
use tokio::time::Instant;

/// The most logical blocks that a command transfers.
const MAX_BLOCKS: u32 = MAX_SEGMENT_BYTES as u32 / scsi::BLOCK_BYTES;

impl Session {
    /// Sends an attempt's command, or reports that it cannot be sent now.
    pub(super) async fn start_attempt(&mut self, attempt: Attempt) -> io::Result<()> {
        let command = match self.command(&attempt) {
            Ok(command) => command,
            Err(outcome) => {
                attempt.report.finish(AttemptResult::without_response(outcome));
                return Ok(());
            }
        };
        if !attempt.report.may_start().await {
            attempt.report.finish(AttemptResult::without_response(Outcome::NotSent));
            return Ok(());
        }
        self.send_command(attempt, command).await
    }

    /// The command of an attempt; the error is the outcome of an attempt that cannot be sent.
    fn command(&self, attempt: &Attempt) -> Result<Command, Outcome> {
        let request = &attempt.request;
        if request.body_rest.is_some() {
            // A command needs all the data of its write, and a streamed body is not buffered.
            return Err(Outcome::NotSent);
        }
        let in_window = self.max_cmd_sn.wrapping_sub(self.cmd_sn) as i32 >= 0;
        if self.draining || !in_window {
            return Err(Outcome::QueueFull);
        }
        let group = self.settings.classes.iter().position(|class| *class == request.class);
        let group = group.filter(|_| attempt.until > Instant::now()).ok_or(Outcome::NotSent)?;
        let blocks = self.blocks(request);
        Ok(Command { write: request.write, address: request.object, blocks, group: group as u8 })
    }

    /// The number of logical blocks of a request. A request that was received over a protocol without lengths
    /// has as many blocks as its units stand for.
    fn blocks(&self, request: &Request) -> u32 {
        let length = if request.write { request.body.len() as u32 } else { request.length };
        let blocks = match length {
            0 => (request.units.ceil() as u32).saturating_mul(self.settings.blocks_per_unit),
            length => length.div_ceil(scsi::BLOCK_BYTES),
        };
        blocks.clamp(1, MAX_BLOCKS)
    }

    async fn send_command(&mut self, attempt: Attempt, command: Command) -> io::Result<()> {
        let Attempt { request, until, cancel, report, .. } = attempt;
        let read_length = if request.write { 0 } else { command.blocks * scsi::BLOCK_BYTES };
        let immediate_bytes = self.immediate_bytes(request.body.len());
        let itt = self.next_tag();
        let pdu = Pdu::ScsiCommand {
            immediate: false,
            last: true,
            read: !request.write,
            write: request.write,
            lun: request.volume,
            itt,
            length: if request.write { request.body.len() as u32 } else { read_length },
            cmd_sn: self.cmd_sn,
            exp_stat_sn: self.exp_stat_sn,
            cdb: command.encode(),
            data: request.body.slice(..immediate_bytes),
        };
        self.cmd_sn = self.cmd_sn.wrapping_add(1);
        if self.tasks.is_empty() {
            self.restart_silence();
        }
        let task = Task {
            report: Some(report),
            lun: request.volume,
            write_data: request.body.clone(),
            sent: false,
            read_length,
            read_data: BytesMut::new(),
        };
        self.tasks.insert(itt, task);
        self.expirations.push(Box::pin(async move {
            tokio::select! {
                _ = cancel => (itt, Outcome::Cancelled),
                () = tokio::time::sleep_until(until) => (itt, Outcome::TimedOut),
            }
        }));
        self.send(&pdu).await?;
        if immediate_bytes == request.body.len()
            && let Some(task) = self.tasks.get_mut(&itt)
        {
            task.sent = true;
        }
        Ok(())
    }

    /// How many bytes of a write's data are sent with its command.
    fn immediate_bytes(&self, length: usize) -> usize {
        let parameters = &self.parameters;
        let max = parameters.max_segment_bytes.min(parameters.first_burst_bytes);
        if parameters.immediate_data { length.min(max) } else { 0 }
    }

    /// Reports an attempt's end and asks the target to abort its task. The tag stays in use until the
    /// target's last PDU about the task.
    pub(super) async fn abort(&mut self, itt: u32, outcome: Outcome) -> io::Result<()> {
        let Some(task) = self.tasks.get_mut(&itt) else { return Ok(()) };
        let Some(report) = task.report.take() else { return Ok(()) };
        report.finish(AttemptResult::without_response(outcome));
        let abort = Pdu::TaskRequest {
            immediate: true,
            function: ABORT_TASK,
            lun: task.lun,
            // The target's response carries this tag. Without the flag, the tag is that of the aborted task,
            // which the response ends.
            itt: itt | ABORT_TAG_FLAG,
            referenced: itt,
            cmd_sn: self.cmd_sn,
            exp_stat_sn: self.exp_stat_sn,
        };
        self.send(&abort).await
    }

    /// Sends the data that an R2T requests.
    pub(super) async fn send_data(
        &mut self,
        lun: u64,
        itt: u32,
        ttt: u32,
        offset: u32,
        length: u32,
    ) -> io::Result<()> {
        let Some(task) = self.tasks.get(&itt).filter(|task| task.report.is_some()) else { return Ok(()) };
        let start = offset as usize;
        let end = start + length as usize;
        if length == 0 || end > task.write_data.len() {
            return Err(protocol_error("R2T requests no data, or data beyond the end of the command's data"));
        }
        let data = task.write_data.slice(start..end);
        let segment = self.parameters.max_segment_bytes;
        for (index, segment_start) in (0..data.len()).step_by(segment).enumerate() {
            let segment_end = data.len().min(segment_start + segment);
            let pdu = Pdu::DataOut {
                last: segment_end == data.len(),
                lun,
                itt,
                ttt,
                exp_stat_sn: self.exp_stat_sn,
                data_sn: index as u32,
                offset: (start + segment_start) as u32,
                data: data.slice(segment_start..segment_end),
            };
            self.send(&pdu).await?;
        }
        if let Some(task) = self.tasks.get_mut(&itt).filter(|task| end == task.write_data.len()) {
            task.sent = true;
        }
        Ok(())
    }
}
