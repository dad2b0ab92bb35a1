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

/// AsyncEvent codes by which a target announces a drain: it requests a logout, or will drop this connection
/// or all connections of the session.
const DRAINING_EVENTS: RangeInclusive<u8> = 1..=3;
/// The reason of a logout that closes the session.
const CLOSE_SESSION: u8 = 0;
/// The only connection of a session.
const CONNECTION_ID: u16 = 0;
/// Task management requests have tags with this bit, commands tags without it.
pub(super) const ABORT_TAG_FLAG: u32 = 0x8000_0000;

/// Why a session ended.
pub(super) enum SessionEnd {
    /// The core dropped the target's mailbox.
    MailboxClosed,
    /// The target requested a logout, or was suspended.
    LoggedOut,
    /// The connection broke, or the target violated the protocol.
    Broken(io::Error),
}

/// An open command.
pub(super) struct Task {
    /// `None`: its end was reported, and only the target's last PDU about it is still to come.
    pub(super) report: Option<AttemptReporter>,
    pub(super) lun: u64,
    /// The data of a write.
    pub(super) write_data: Bytes,
    /// Whether the command and its data have been written completely.
    pub(super) sent: bool,
    /// Expected transfer length of a read in bytes; 0 for a write.
    pub(super) read_length: u32,
    pub(super) read_data: BytesMut,
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
    /// Each resolves when its attempt is cancelled or times out.
    pub(super) expirations: FuturesUnordered<LocalBoxFuture<'static, (u32, Outcome)>>,
    last_received_at: Instant,
    /// Whether a ping was sent after `last_received_at`.
    pinged: bool,
    /// Whether the target is draining: the session ends once no command is open.
    pub(super) draining: bool,
    /// Whether operators or a lost site have suspended the target: the session ends once no command is open.
    suspended: bool,
}

/// The error of a target that violates the protocol.
pub(super) fn protocol_error(reason: impl Into<String>) -> io::Error {
    io::Error::other(reason.into())
}

impl Session {
    /// Connects and logs in.
    ///
    /// # Errors
    /// The target cannot be reached in time, or rejects the login.
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

    /// Serves until the session ends, then reports the end of every open command.
    pub(super) async fn run(mut self, target: &mut Target, waiting: WaitingMessages) -> SessionEnd {
        let end = match self.serve(target, waiting).await {
            Ok(end) => end,
            Err(error) => SessionEnd::Broken(error),
        };
        if matches!(end, SessionEnd::LoggedOut | SessionEnd::MailboxClosed) {
            close_gracefully(self.reader, self.writer);
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

    /// When a target with open commands has been silent for too long.
    fn silence_deadline(&self) -> Instant {
        let timeouts = if self.pinged { 2 } else { 1 };
        self.last_received_at + self.settings.silence_timeout * timeouts
    }

    /// Restarts the silence timeout: at each PDU from the target, and at the first open command.
    pub(super) fn restart_silence(&mut self) {
        self.last_received_at = Instant::now();
        self.pinged = false;
    }

    /// Pings a silent target, or fails the session if a ping was already sent. Without this, all commands to
    /// a target that accepts a login and commands but never responds would wait for their deadlines.
    async fn handle_silence(&mut self) -> io::Result<()> {
        if self.pinged {
            return Err(protocol_error("target responded neither to its open commands nor to a ping"));
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
        let pdu = read.map_err(|error| protocol_error(format!("{error}")))?;
        self.restart_silence();
        if matches!(pdu, Pdu::Async { event, .. } if DRAINING_EVENTS.contains(&event)) {
            // The endpoint list is updated at once, so that no new commands arrive; those in flight may still
            // be answered.
            self.draining = true;
            target.report_state(TargetState::Draining).await;
        }
        self.handle_pdu(pdu).await
    }

    async fn handle_message(&mut self, message: TargetMessage) -> io::Result<()> {
        match message {
            TargetMessage::Probe(Probe { report, .. }) => {
                // An open session is all that a shallow probe checks.
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

    /// Closes the session, without waiting for the target's response.
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

    /// Writes a PDU completely, or fails after the silence timeout.
    pub(super) async fn send(&mut self, pdu: &Pdu) -> io::Result<()> {
        let bytes = pdu.encode();
        tokio::time::timeout(self.settings.silence_timeout, self.writer.write_all(&bytes)).await?
    }
}

/// Reports a command whose session ended. If it was written completely it may have been executed, otherwise
/// it was not.
fn report_lost(task: Task) {
    let outcome = if task.sent { Outcome::Broken } else { Outcome::Unreachable };
    if let Some(report) = task.report {
        report.finish(AttemptResult::without_response(outcome));
    }
}

/// Closes the connection gracefully, on a task of its own. Closing it over unread bytes would reset it, and
/// the logout might not arrive.
fn close_gracefully(reader: PduReader<OwnedReadHalf>, writer: OwnedWriteHalf) {
    actix_rt::spawn(async move {
        let _ = tokio::time::timeout(LINGER, close(writer.as_ref())).await;
        drop(reader);
    });
}
