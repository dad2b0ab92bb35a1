//! One session to a target: its events, its pings and its end.

use super::waiting::WaitingMessages;
use super::{SessionSettings, Target};
use crate::core::{AttemptReporter, AttemptResult, Endpoint, Probe, TargetMessage};
use crate::interface::{LoadReport, Outcome, TargetState};
use crate::net::close::{LINGER, close};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use rowanglade_iscsi::{Connection, Pdu, PduReader, RESERVED_TAG, ReadError, SessionParameters, Timeouts};
use std::collections::HashMap;
use std::io;
use std::ops::RangeInclusive;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::Instant;

/// Asynchronous events by which a target drains: it asks for a logout, will drop this connection, or all of the
/// session's.
const DRAINING_EVENTS: RangeInclusive<u8> = 1..=3;
/// The reason of a logout that closes the session.
const CLOSE_SESSION: u8 = 0;
/// The only connection of a session.
const CONNECTION_ID: u16 = 0;
/// Task management requests use the upper half of the tags, commands the lower.
pub(super) const ABORT_TAG_FLAG: u32 = 0x8000_0000;

/// Why a session ended.
pub(super) enum SessionEnd {
    /// The core dropped the target's mailbox.
    MailboxClosed,
    /// The target asked for it, or operators have taken the target out.
    LoggedOut,
    /// The connection broke, or the target broke the protocol.
    Broken(io::Error),
}

/// A command without its status.
pub(super) struct Task {
    /// Absent: its end was reported, and the target's last PDU about it is only waited for.
    pub(super) report: Option<AttemptReporter>,
    pub(super) lun: u64,
    /// The data of a write.
    pub(super) write: Bytes,
    /// The last byte of the command and its data has been written.
    pub(super) sent: bool,
    /// Bytes that a read is expected to transfer.
    pub(super) read_length: u32,
    pub(super) read: BytesMut,
}

/// One session to a target.
pub(super) struct Session {
    pub(super) settings: SessionSettings,
    reader: PduReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    pub(super) parameters: SessionParameters,
    pub(super) cmd_sn: u32,
    pub(super) max_cmd_sn: u32,
    pub(super) exp_stat_sn: u32,
    next_itt: u32,
    pub(super) tasks: HashMap<u32, Task>,
    /// Resolve when an attempt is cancelled or out of time.
    pub(super) expirations: FuturesUnordered<LocalBoxFuture<'static, (u32, Outcome)>>,
    last_received_at: Instant,
    /// A ping has been sent since then.
    pinged: bool,
    /// The target drains: the session ends once it carries nothing.
    pub(super) draining: bool,
    /// Operators have taken the target out: the session ends once it carries nothing.
    suspended: bool,
}

/// The error of a target that breaks the protocol.
pub(super) fn broken(reason: impl Into<String>) -> io::Error {
    io::Error::other(reason.into())
}

impl Session {
    /// Connects and logs in.
    ///
    /// # Errors
    /// The target cannot be reached in time, or refuses the login.
    pub(super) async fn open(endpoint: &Endpoint, settings: &SessionSettings) -> io::Result<Session> {
        let timeouts = Timeouts { connect: settings.connect_timeout, login: settings.login_timeout };
        let connection = Connection::open(endpoint.addr, &settings.initiator, &endpoint.name, timeouts);
        let Connection { reader, writer, parameters, sequence } = connection.await?;
        Ok(Session {
            settings: settings.clone(),
            reader,
            writer,
            cmd_sn: parameters.cmd_sn,
            max_cmd_sn: sequence.max_cmd_sn,
            exp_stat_sn: parameters.stat_sn,
            parameters,
            next_itt: 1,
            tasks: HashMap::new(),
            expirations: FuturesUnordered::new(),
            last_received_at: Instant::now(),
            pinged: false,
            draining: false,
            suspended: false,
        })
    }

    /// Serves until the session ends, and reports every command's end.
    pub(super) async fn run(mut self, target: &mut Target, waiting: WaitingMessages) -> SessionEnd {
        let end = match self.serve(target, waiting).await {
            Ok(end) => end,
            Err(error) => SessionEnd::Broken(error),
        };
        if matches!(end, SessionEnd::LoggedOut | SessionEnd::MailboxClosed) {
            close_in_order(self.reader, self.writer);
        }
        for task in self.tasks.into_values() {
            report_lost(task);
        }
        if self.draining { SessionEnd::LoggedOut } else { end }
    }

    async fn serve(&mut self, target: &mut Target, waiting: WaitingMessages) -> io::Result<SessionEnd> {
        for message in waiting.into_messages() {
            self.handle_message(message).await?;
        }
        loop {
            if (self.draining || self.suspended) && self.tasks.is_empty() {
                self.log_out().await?;
                return Ok(SessionEnd::LoggedOut);
            }
            let owes_responses = !self.tasks.is_empty();
            let silence_deadline = self.silence_deadline();
            tokio::select! {
                read = self.reader.next() => self.handle_read(read, target).await?,
                message = target.messages.recv() => match message {
                    Some(message) => self.handle_message(message).await?,
                    None => {
                        self.log_out().await?;
                        return Ok(SessionEnd::MailboxClosed);
                    }
                },
                Some((itt, outcome)) = self.expirations.next() => self.abort(itt, outcome).await?,
                () = tokio::time::sleep_until(silence_deadline), if owes_responses => {
                    self.handle_silence().await?;
                }
            }
        }
    }

    /// When a target that owes responses has been silent for too long.
    fn silence_deadline(&self) -> Instant {
        let timeouts = if self.pinged { 2 } else { 1 };
        self.last_received_at + self.settings.silence_timeout * timeouts
    }

    /// Starts the silence that counts, with the first response that is owed.
    pub(super) fn restart_silence(&mut self) {
        self.last_received_at = Instant::now();
        self.pinged = false;
    }

    /// Pings a silent target, or gives it up. Guards against a target that takes a login, and commands, and
    /// never answers: its commands would all wait for their deadlines.
    async fn handle_silence(&mut self) -> io::Result<()> {
        if self.pinged {
            return Err(broken("it owes answers and says nothing"));
        }
        self.pinged = true;
        let itt = self.next_tag();
        self.send_nop_out(0, itt, RESERVED_TAG, Bytes::new()).await
    }

    pub(super) async fn send_nop_out(&mut self, lun: u64, itt: u32, ttt: u32, data: Bytes) -> io::Result<()> {
        let (cmd_sn, exp_stat_sn) = (self.cmd_sn, self.exp_stat_sn);
        self.send(&Pdu::NopOut { immediate: true, lun, itt, ttt, cmd_sn, exp_stat_sn, data }).await
    }

    async fn handle_read(&mut self, read: Result<Pdu, ReadError>, target: &mut Target) -> io::Result<()> {
        let pdu = read.map_err(|error| broken(format!("{error:?}")))?;
        self.restart_silence();
        if matches!(pdu, Pdu::Async { event, .. } if DRAINING_EVENTS.contains(&event)) {
            // The endpoint list has it at once, so that nothing new comes; what is in flight may still be
            // answered.
            self.draining = true;
            target.report_state(TargetState::Draining).await;
        }
        self.handle_pdu(pdu).await
    }

    async fn handle_message(&mut self, message: TargetMessage) -> io::Result<()> {
        match message {
            TargetMessage::Probe(Probe { report, .. }) => {
                // The session is up: that is all that a shallow probe asks.
                report.finish(Outcome::Served, LoadReport::default());
                Ok(())
            }
            TargetMessage::Attempt(attempt) => self.start_attempt(*attempt).await,
            TargetMessage::SetSuspended(suspended) => {
                self.suspended = suspended;
                Ok(())
            }
        }
    }

    /// A tag that no command uses.
    pub(super) fn next_tag(&mut self) -> u32 {
        loop {
            let itt = self.next_itt;
            self.next_itt = (itt + 1) & !ABORT_TAG_FLAG;
            if !self.tasks.contains_key(&itt) {
                return itt;
            }
        }
    }

    /// Closes the session; the target's response is not waited for.
    async fn log_out(&mut self) -> io::Result<()> {
        let logout = Pdu::LogoutRequest {
            immediate: true,
            reason: CLOSE_SESSION,
            itt: self.next_tag(),
            cid: CONNECTION_ID,
            cmd_sn: self.cmd_sn,
            exp_stat_sn: self.exp_stat_sn,
        };
        self.send(&logout).await
    }

    /// Writes a PDU whole, unless the target takes nothing for too long.
    pub(super) async fn send(&mut self, pdu: &Pdu) -> io::Result<()> {
        let bytes = pdu.encode();
        tokio::time::timeout(self.settings.silence_timeout, self.writer.write_all(&bytes)).await?
    }
}

/// Reports a command whose session ended. What was written whole may have run; the rest never did.
fn report_lost(task: Task) {
    let outcome = if task.sent { Outcome::Broken } else { Outcome::Unreachable };
    if let Some(report) = task.report {
        report.finish(AttemptResult::without_response(outcome));
    }
}

/// Closes the connection on a task of its own. Closed over unread bytes, it would be reset, and the logout might
/// not arrive.
fn close_in_order(reader: PduReader<OwnedReadHalf>, writer: OwnedWriteHalf) {
    actix_rt::spawn(async move {
        let _ = tokio::time::timeout(LINGER, close(writer.as_ref())).await;
        drop(reader);
    });
}
