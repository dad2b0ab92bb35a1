//! One session of a client: its events, and the order in which they are handled.

use super::send_buffer::SendBuffer;
use super::session_id::SessionId;
use super::tasks::{CompletedTask, Task, data_deadline, incomplete_writes};
use super::{COMMAND_WINDOW, Front};
use futures_util::StreamExt;
use futures_util::future::{Abortable, LocalBoxFuture};
use futures_util::stream::FuturesUnordered;
use rowanglade_iscsi::{Pdu, PduReader, ReadError, RejectReason, Sequence, SessionParameters};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::ops::ControlFlow;
use std::time::Duration;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::time::Instant;

/// How long a client may read nothing of what is written to it.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Most bytes that may wait for a client: beyond this number its session is closed.
const MAX_UNSENT_BYTES: usize = 1 << 20;
/// AsyncEvent code of a request to log out.
const LOGOUT_REQUESTED: u8 = 1;
/// Seconds within which the client must log out.
const LOGOUT_TIME_SECS: u16 = 3;
/// Response code of a logout that closed the session.
const SESSION_CLOSED: u8 = 0;

/// How a session ended without an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SessionEnd {
    /// Its client logged out or closed its side.
    ByClient,
    /// The process is about to exit, and every command has its response.
    BetweenCommands,
}

/// One session of a client.
pub(super) struct Session<'a> {
    pub(super) front: &'a Front,
    pub(super) id: SessionId,
    pub(super) client: Option<SocketAddr>,
    pub(super) parameters: SessionParameters,
    stat_sn: u32,
    pub(super) exp_cmd_sn: u32,
    pub(super) out: SendBuffer<'a>,
    /// Whether the client has closed its side. PDUs that it sent before may still be unread; nothing more is
    /// submitted.
    pub(super) client_closed: bool,
    /// Whether the process is about to exit: no more data is requested, and the session ends between two commands.
    pub(super) finishing: bool,
    pub(super) tasks: HashMap<u32, Task>,
    /// Responses that the core has not given yet. Dropping them notifies the core that the client has
    /// disconnected.
    pub(super) responses: FuturesUnordered<Abortable<LocalBoxFuture<'static, CompletedTask>>>,
    /// Responses that wait until the client has read earlier ones.
    pub(super) completed: VecDeque<CompletedTask>,
    pub(super) requests_submitted: u64,
}

/// Resolves at `deadline`; never if it is `None`.
async fn sleep_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline).await,
        None => std::future::pending().await,
    }
}

impl<'a> Session<'a> {
    pub(super) fn new(
        front: &'a Front,
        client: Option<SocketAddr>,
        parameters: SessionParameters,
        writer: &'a mut OwnedWriteHalf,
    ) -> Session<'a> {
        let id = SessionId::random();
        tracing::debug!(session = %id, initiator = ?parameters.initiator, ?client, "session opened");
        Session {
            front,
            id,
            client,
            exp_cmd_sn: parameters.cmd_sn,
            stat_sn: parameters.stat_sn,
            parameters,
            out: SendBuffer::new(writer),
            client_closed: false,
            finishing: false,
            tasks: HashMap::new(),
            responses: FuturesUnordered::new(),
            completed: VecDeque::new(),
            requests_submitted: 0,
        }
    }

    /// Serves until the session ends, then writes what is still buffered.
    pub(super) async fn run(mut self, reader: &mut PduReader<OwnedReadHalf>) -> io::Result<SessionEnd> {
        let ended = self.serve(reader).await;
        self.cancel_tasks();
        let flushed = tokio::time::timeout(WRITE_TIMEOUT, self.out.flush());
        let flushed = flushed.await?;
        ended.and_then(|end| flushed.map(|()| end))
    }

    /// Drops all open tasks, because the client expects no more responses. The drop notifies the core.
    fn cancel_tasks(&mut self) {
        self.tasks.clear();
        self.responses.clear();
        self.completed.clear();
    }

    async fn serve(&mut self, reader: &mut PduReader<OwnedReadHalf>) -> io::Result<SessionEnd> {
        let mut ending = self.front.ending.clone();
        let mut finishing = self.front.finishing.clone();
        let mut logout_requested = false;
        loop {
            self.send_completed();
            if self.finishing && !reader.is_inside_pdu() && self.is_between_commands() {
                return Ok(SessionEnd::BetweenCommands);
            }
            let data_deadline = data_deadline(&self.tasks);
            let write_deadline = self.out.progress_at() + WRITE_TIMEOUT;
            tokio::select! {
                // PDUs from the client come last: none of the other branches can delay them for long.
                biased;
                () = self.out.client_closed(), if !self.client_closed => {
                    self.client_closed = true;
                    self.cancel_tasks();
                }
                writable = self.out.writable(), if !self.out.is_empty() => {
                    writable?;
                    self.out.write()?;
                }
                () = tokio::time::sleep_until(write_deadline), if !self.out.is_empty() => {
                    self.out.clear();
                    return Err(io::ErrorKind::TimedOut.into());
                }
                // An aborted task needs no response: its task management response has been sent.
                Some(completed) = self.responses.next() => self.completed.extend(completed),
                () = sleep_until(data_deadline) => self.fail_overdue_writes(),
                changed = ending.wait_for(|ending| *ending), if !logout_requested => {
                    logout_requested = true;
                    if changed.is_ok() {
                        self.request_logout();
                    }
                }
                // Without its sender the process is ending too.
                _ = finishing.wait_for(|finishing| *finishing), if !self.finishing => self.begin_finishing(),
                read = reader.next() => if self.handle_read(read)?.is_break() {
                    return Ok(SessionEnd::ByClient);
                },
            }
            if self.out.len() > MAX_UNSENT_BYTES {
                self.out.clear();
                return Err(io::Error::other(
                    "send buffer limit exceeded: the client does not read its responses",
                ));
            }
        }
    }

    /// Handles the result of a read. `Break`: the session has ended normally.
    fn handle_read(&mut self, read: Result<Pdu, ReadError>) -> io::Result<ControlFlow<()>> {
        match read {
            Ok(Pdu::LogoutRequest { itt, .. }) => {
                let seq = self.next_sequence();
                self.out.push(&Pdu::LogoutResponse { response: SESSION_CLOSED, itt, seq });
                return Ok(ControlFlow::Break(()));
            }
            Ok(pdu) => self.handle_pdu(pdu)?,
            Err(ReadError::Rejected(reason, header)) => self.reject(reason, &header),
            Err(ReadError::TooLong(header)) => {
                self.reject(RejectReason::InvalidField, &header);
                return Err(io::ErrorKind::InvalidData.into());
            }
            Err(ReadError::Io(error)) => return Err(error),
            Err(ReadError::End) => return Ok(ControlFlow::Break(())),
        }
        Ok(ControlFlow::Continue(()))
    }

    /// Answers the writes whose data has not arrived: none of them was submitted. Commands that are submitted have their
    /// responses by now.
    fn begin_finishing(&mut self) {
        self.finishing = true;
        for itt in incomplete_writes(&self.tasks) {
            self.tasks.remove(&itt);
            self.reject_write(itt);
        }
    }

    /// Whether every command that has arrived has its response, and the responses are written.
    fn is_between_commands(&self) -> bool {
        self.tasks.is_empty()
            && self.completed.is_empty()
            && self.out.is_empty()
            && self.out.unread_bytes() == 0
    }

    fn request_logout(&mut self) {
        let seq = self.next_sequence();
        let parameters = [0, 0, LOGOUT_TIME_SECS];
        self.out.push(&Pdu::Async { event: LOGOUT_REQUESTED, seq, parameters });
    }

    /// The sequence numbers of a PDU that consumes a StatSN: one with a status, or a message of its own such
    /// as a Reject.
    pub(super) fn next_sequence(&mut self) -> Sequence {
        let sequence = self.sequence();
        self.stat_sn = self.stat_sn.wrapping_add(1);
        sequence
    }

    /// The sequence numbers of a PDU that consumes no StatSN.
    pub(super) fn sequence(&self) -> Sequence {
        let capacity = COMMAND_WINDOW.saturating_sub(self.tasks.len() as u32);
        Sequence {
            stat_sn: self.stat_sn,
            exp_cmd_sn: self.exp_cmd_sn,
            max_cmd_sn: self.exp_cmd_sn.wrapping_add(capacity).wrapping_sub(1),
        }
    }
}
