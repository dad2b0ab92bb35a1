//! Handles a client's PDUs: commands, their data, and task management.

use super::COMMAND_WINDOW;
use super::session::Session;
use super::tasks::{CompletedTask, PartialWrite, Task, overdue_writes};
use crate::core::{Protocol, Request, RequestOrigin};
use crate::net::budget::MemoryReservation;
use crate::net::iscsi::ABORT_TASK;
use bytes::{Bytes, BytesMut};
use futures_util::future::{AbortHandle, Abortable, LocalBoxFuture};
use rowanglade_iscsi::pdu::HEADER_BYTES;
use rowanglade_iscsi::scsi::{self, Command, Sense};
use rowanglade_iscsi::{Header, MAX_SEGMENT_BYTES, Pdu, RESERVED_TAG, RejectReason};
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// Retry-After of a command beyond the command window of its session.
const SESSION_FULL_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Retry-After of a write for whose data no memory or no time is left.
const REJECTED_WRITE_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The most bytes that a command transfers.
const MAX_TRANSFER_BYTES: u64 = MAX_SEGMENT_BYTES as u64;

/// Response codes of task management.
const FUNCTION_COMPLETE: u8 = 0;
const TASK_DOES_NOT_EXIST: u8 = 1;
const FUNCTION_NOT_SUPPORTED: u8 = 5;

/// The fields of a SCSI Command PDU that the front uses.
struct CommandPdu {
    lun: u64,
    itt: u32,
    length: u32,
    write: bool,
    cdb: [u8; 16],
    data: Bytes,
}

impl Session<'_> {
    /// Handles a PDU from the client.
    ///
    /// # Errors
    /// The session cannot continue.
    pub(super) fn handle_pdu(&mut self, pdu: Pdu) -> io::Result<()> {
        if !self.advance_cmd_sn(&pdu) {
            self.reject(RejectReason::ProtocolError, &header_of(&pdu));
            return Ok(());
        }
        match pdu {
            Pdu::NopOut { lun, itt, data, .. } if itt != RESERVED_TAG => {
                let seq = self.next_sequence();
                self.out.push(&Pdu::NopIn { lun, itt, ttt: RESERVED_TAG, seq, data });
            }
            Pdu::ScsiCommand { lun, itt, length, write, cdb, data, .. } => {
                self.start_command(CommandPdu { lun, itt, length, write, cdb, data })?;
            }
            Pdu::TaskRequest { function, itt, referenced, .. } => {
                self.manage_task(function, itt, referenced);
            }
            Pdu::DataOut { last, itt, offset, data, .. } => self.receive_data(itt, offset, &data, last),
            _ => {}
        }
        Ok(())
    }

    /// Checks the command number of a PDU, and advances the expected one. Returns false if the PDU is not one
    /// that a client sends here, or is out of order: on one connection commands arrive in order, so that
    /// violates the protocol.
    fn advance_cmd_sn(&mut self, pdu: &Pdu) -> bool {
        let (immediate, cmd_sn) = match pdu {
            Pdu::NopOut { immediate, cmd_sn, .. }
            | Pdu::ScsiCommand { immediate, cmd_sn, .. }
            | Pdu::TaskRequest { immediate, cmd_sn, .. } => (*immediate, *cmd_sn),
            Pdu::DataOut { .. } => return true,
            _ => return false,
        };
        if cmd_sn != self.exp_cmd_sn {
            return false;
        }
        self.exp_cmd_sn = self.exp_cmd_sn.wrapping_add(u32::from(!immediate));
        true
    }

    fn manage_task(&mut self, function: u8, itt: u32, referenced: u32) {
        let response = match function {
            ABORT_TASK => self.abort_task(referenced),
            _ => FUNCTION_NOT_SUPPORTED,
        };
        let seq = self.next_sequence();
        self.out.push(&Pdu::TaskResponse { response, itt, seq });
    }

    fn abort_task(&mut self, itt: u32) -> u8 {
        match self.tasks.remove(&itt) {
            Some(Task::Submitted(handle)) => {
                handle.abort();
                self.completed.retain(|completed| completed.itt != itt);
                FUNCTION_COMPLETE
            }
            Some(Task::ReceivingData(_)) => FUNCTION_COMPLETE,
            None => TASK_DOES_NOT_EXIST,
        }
    }

    /// Adds data to a write. Data for a task that was aborted or failed may still arrive, and is dropped.
    fn receive_data(&mut self, itt: u32, offset: u32, data: &Bytes, last: bool) {
        let Some(Task::ReceivingData(write)) = self.tasks.get_mut(&itt) else { return };
        if !write.memory.admits_more() {
            self.tasks.remove(&itt);
            self.reject_write(itt);
            return;
        }
        let fits = write.append(offset, data);
        let complete = write.is_complete();
        if !fits || (last && !complete) {
            self.tasks.remove(&itt);
            self.send_check_condition(itt, scsi::DATA_PHASE_ERROR);
        } else if complete && let Some(Task::ReceivingData(write)) = self.tasks.remove(&itt) {
            self.submit(itt, write.lun, write.command, None, write.memory.hold(write.data));
        }
    }

    /// Fails writes whose data is incomplete at their deadline.
    pub(super) fn fail_overdue_writes(&mut self) {
        for itt in overdue_writes(&self.tasks) {
            self.tasks.remove(&itt);
            self.send_check_condition(itt, scsi::DATA_PHASE_ERROR);
        }
    }

    fn start_command(&mut self, pdu: CommandPdu) -> io::Result<()> {
        let itt = pdu.itt;
        if self.tasks.contains_key(&itt) || itt == RESERVED_TAG {
            // A tag that is in use would name two tasks, so the session cannot continue.
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "initiator task tag is reserved or already in use",
            ));
        }
        if self.tasks.len() as u32 >= COMMAND_WINDOW {
            self.send_status(itt, scsi::TASK_SET_FULL, SESSION_FULL_RETRY_AFTER, None);
            return Ok(());
        }
        match self.validate(&pdu) {
            Err(sense) => self.send_check_condition(itt, sense),
            Ok((command, _)) if !command.write => {
                self.submit(itt, pdu.lun, command, Some(pdu.length), Bytes::new());
            }
            Ok((command, deadline)) => self.start_write(pdu, command, deadline),
        }
        Ok(())
    }

    /// Reserves the memory of a write's data, and submits the write or requests the rest of the data.
    fn start_write(&mut self, pdu: CommandPdu, command: Command, deadline: Duration) {
        let mut memory = self.front.bodies.reservation();
        if !memory.try_grow(pdu.length as usize) {
            self.reject_write(pdu.itt);
        } else if pdu.data.len() == pdu.length as usize {
            self.submit(pdu.itt, pdu.lun, command, None, memory.hold(pdu.data));
        } else if self.finishing {
            self.reject_write(pdu.itt);
        } else {
            self.request_data(pdu, command, deadline, memory);
        }
    }

    /// Rejects a write for which no memory or no time is left. It was not submitted, so that its client may send it again.
    pub(super) fn reject_write(&mut self, itt: u32) {
        self.send_status(itt, scsi::TASK_SET_FULL, REJECTED_WRITE_RETRY_AFTER, None);
    }

    /// Requests the rest of a write's data with an R2T.
    fn request_data(
        &mut self,
        pdu: CommandPdu,
        command: Command,
        deadline: Duration,
        memory: MemoryReservation,
    ) {
        let CommandPdu { lun, itt, length, data: immediate, .. } = pdu;
        let offset = immediate.len() as u32;
        let deadline = Instant::now() + deadline;
        let mut data = BytesMut::with_capacity(length as usize);
        data.extend_from_slice(&immediate);
        let write = PartialWrite { lun, command, length, data, memory, deadline };
        self.tasks.insert(itt, Task::ReceivingData(write));
        let seq = self.sequence();
        self.out.push(&Pdu::R2t { lun, itt, ttt: itt, seq, r2t_sn: 0, offset, length: length - offset });
    }

    /// Decodes a command and checks that the settings allow it. Returns it with the deadline of its class.
    fn validate(&self, pdu: &CommandPdu) -> Result<(Command, Duration), Sense> {
        let command = Command::decode(&pdu.cdb)?;
        if !self.front.luns.contains_key(&pdu.lun) {
            return Err(scsi::NO_SUCH_LUN);
        }
        let class = self.front.classes.get(usize::from(command.group));
        let (_, deadline) = class.ok_or(scsi::INVALID_FIELD)?;
        let transfer = u64::from(command.blocks) * u64::from(scsi::BLOCK_BYTES);
        let fits = (1..=MAX_TRANSFER_BYTES).contains(&transfer) && pdu.data.len() <= pdu.length as usize;
        if !fits || transfer != u64::from(pdu.length) || command.write != pdu.write {
            return Err(scsi::INVALID_FIELD);
        }
        Ok((command, *deadline))
    }

    /// Submits a complete command to the core, unless its client has disconnected. `read_length` is the
    /// expected transfer length of a read in bytes; `None` for a write.
    fn submit(&mut self, itt: u32, lun: u64, command: Command, read_length: Option<u32>, body: Bytes) {
        if self.client_closed {
            return;
        }
        let Some(request) = self.request(lun, command, body) else { return };
        let core = self.front.core.clone();
        let response: LocalBoxFuture<'static, CompletedTask> = Box::pin(async move {
            let response = match core.submit(request).await {
                Ok(pending) => Ok(pending.response().await),
                Err(invalid) => Err(invalid),
            };
            CompletedTask { itt, read_length, response }
        });
        let (handle, registration) = AbortHandle::new_pair();
        self.tasks.insert(itt, Task::Submitted(handle));
        self.responses.push(Abortable::new(response, registration));
    }

    /// Builds the core's request for a command; `None`: the LUN or the class is unknown.
    fn request(&mut self, lun: u64, command: Command, body: Bytes) -> Option<Request> {
        let volume = self.front.luns.get(&lun)?;
        let (class, deadline) = self.front.classes.get(usize::from(command.group))?;
        self.requests_submitted += 1;
        let id = self.id.request_id(self.requests_submitted);
        Some(Request {
            origin: RequestOrigin {
                front: Protocol::Iscsi,
                client: self.client.map(|client| client.ip()),
                connection: self.client.map(|client| client.port()),
            },
            class: class.clone(),
            plan: volume.plan.clone(),
            write: command.write,
            volume: lun,
            object: command.address,
            body_rest: None,
            locator: format!("/{class}/{lun:016x}/{:016x}", command.address),
            idempotency_key: command.write.then(|| id.clone()),
            id,
            units: f64::from(command.blocks.div_ceil(self.front.blocks_per_unit)),
            shard: volume.shard,
            initiators: volume.initiators,
            length: command.blocks * scsi::BLOCK_BYTES,
            body,
            time_left: *deadline,
        })
    }
}

/// The header of a PDU, which a Reject returns to its sender.
fn header_of(pdu: &Pdu) -> Header {
    let bytes = pdu.encode();
    let mut header = [0; HEADER_BYTES];
    header.copy_from_slice(&bytes[..HEADER_BYTES]);
    header
}
