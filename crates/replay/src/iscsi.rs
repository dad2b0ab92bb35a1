//! Client of the iSCSI-style front: one session to each initiator, whose commands share its command window
//! (RFC 7143, section 4.2.2). A volume is a LUN, an object an address, and a request class a group number.
//! The status qualifier of a rejection gives the time to wait before a retry, in tenths of a second.

use crate::drive::{Outgoing, Transport};
use crate::plan::AttemptOutcome;
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use rowanglade_iscsi::scsi::{BLOCK_BYTES, BUSY, Command, GOOD, TASK_SET_FULL};
use rowanglade_iscsi::{Connection, Pdu, PduReader, RESERVED_TAG, SessionParameters, Timeouts};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, timeout_at};

/// Time limit of connecting, and of the login that follows.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Commands that may wait for a session; further ones end as [`AttemptOutcome::Unreachable`].
const QUEUE_CAPACITY: usize = 4_096;
/// Function code of ABORT TASK (RFC 7143, section 11.5.1).
const ABORT_TASK: u8 = 1;
/// Upper limit of a command's length, in blocks.
const MAX_BLOCKS: u32 = 128;

/// Sessions to several initiators, one each, shared by all simulated clients.
#[derive(Clone, Debug)]
pub struct Iscsi {
    sessions: Rc<Vec<mpsc::Sender<Task>>>,
    blocks_per_unit: u32,
}

/// A command that waits to be sent.
#[derive(Debug)]
struct Task {
    lun: u64,
    command: Command,
    deadline: Instant,
    outcome_tx: oneshot::Sender<AttemptOutcome>,
}

impl Iscsi {
    /// Creates a session to the named target at each address. It is opened with its first command and, after
    /// it breaks, with the next one. Must be called within a [`tokio::task::LocalSet`].
    pub fn new(initiators: Vec<SocketAddr>, target: &str, blocks_per_unit: u32) -> Iscsi {
        let session = |(number, addr): (usize, SocketAddr)| {
            let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
            let initiator_name = format!("iqn.2026-12.example.kingston:replay-{number}");
            tokio::task::spawn_local(run_sessions(addr, initiator_name, target.to_string(), rx));
            tx
        };
        let sessions = initiators.into_iter().enumerate().map(session).collect();
        Iscsi { sessions: Rc::new(sessions), blocks_per_unit }
    }
}

impl Transport for Iscsi {
    fn send(&self, initiator: usize, outgoing: Outgoing) -> LocalBoxFuture<'static, AttemptOutcome> {
        let blocks = (f64::from(outgoing.record.units) * f64::from(self.blocks_per_unit)).ceil();
        let blocks = (blocks as u32).clamp(1, MAX_BLOCKS);
        let command = Command {
            write: outgoing.class.write,
            address: outgoing.record.piece,
            blocks,
            group: outgoing.class_number as u8,
        };
        let (outcome_tx, outcome_rx) = oneshot::channel();
        let deadline = outgoing.deadline;
        let task = Task { lun: outgoing.record.volume, command, deadline, outcome_tx };
        let session = self.sessions.get(initiator).cloned();
        Box::pin(async move {
            let Some(session) = session else { return AttemptOutcome::Unreachable };
            if session.try_send(task).is_err() {
                return AttemptOutcome::Unreachable;
            }
            match timeout_at(deadline, outcome_rx).await {
                Ok(outcome) => outcome.unwrap_or(AttemptOutcome::Lost),
                Err(_) => AttemptOutcome::Lost,
            }
        })
    }
}

async fn run_sessions(
    addr: SocketAddr,
    initiator_name: String,
    target: String,
    mut rx: mpsc::Receiver<Task>,
) {
    while let Some(first) = rx.recv().await {
        match Session::open(addr, &initiator_name, &target).await {
            Ok(mut session) => {
                // Commands in flight when the session breaks may have been executed; dropping their senders
                // ends them as `Lost`. Commands that still wait for the command window were never sent.
                let _ = session.run(first, &mut rx).await;
                for task in session.waiting {
                    let _ = task.outcome_tx.send(AttemptOutcome::Unreachable);
                }
            }
            Err(_) => {
                let _ = first.outcome_tx.send(AttemptOutcome::Unreachable);
                while let Ok(task) = rx.try_recv() {
                    let _ = task.outcome_tx.send(AttemptOutcome::Unreachable);
                }
            }
        }
    }
}

struct InFlightCommand {
    lun: u64,
    data: Bytes,
    deadline: Instant,
    outcome_tx: Option<oneshot::Sender<AttemptOutcome>>,
}

struct Session {
    reader: PduReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    parameters: SessionParameters,
    cmd_sn: u32,
    max_cmd_sn: u32,
    exp_stat_sn: u32,
    next_itt: u32,
    tasks: HashMap<u32, InFlightCommand>,
    waiting: VecDeque<Task>,
}

impl Session {
    async fn open(addr: SocketAddr, initiator_name: &str, target: &str) -> io::Result<Session> {
        let timeouts = Timeouts { connect: CONNECT_TIMEOUT, login: CONNECT_TIMEOUT };
        let connection = Connection::open(addr, initiator_name, target, timeouts).await?;
        let Connection { reader, writer, parameters, sequence } = connection;
        Ok(Session {
            reader,
            writer,
            cmd_sn: parameters.cmd_sn,
            max_cmd_sn: sequence.max_cmd_sn,
            exp_stat_sn: parameters.stat_sn,
            parameters,
            next_itt: 1,
            tasks: HashMap::new(),
            waiting: VecDeque::new(),
        })
    }

    async fn run(&mut self, first: Task, rx: &mut mpsc::Receiver<Task>) -> io::Result<()> {
        self.waiting.push_back(first);
        loop {
            self.send_waiting().await?;
            let next_deadline =
                self.tasks.values().filter(|t| t.outcome_tx.is_some()).map(|t| t.deadline).min();
            let next_deadline = next_deadline.unwrap_or_else(|| Instant::now() + Duration::from_secs(60));
            tokio::select! {
                pdu = self.reader.next() => match pdu {
                    Ok(pdu) => self.handle_pdu(pdu).await?,
                    Err(_) => return Err(io::ErrorKind::ConnectionReset.into()),
                },
                task = rx.recv() => match task {
                    Some(task) => self.waiting.push_back(task),
                    None => return Ok(()),
                },
                () = tokio::time::sleep_until(next_deadline) => self.abort_expired().await?,
            }
        }
    }

    /// Sends waiting commands until the target's command window is full. Expired ones are dropped.
    async fn send_waiting(&mut self) -> io::Result<()> {
        // Serial number arithmetic (RFC 1982): the window is closed where CmdSN is past MaxCmdSN.
        while self.max_cmd_sn.wrapping_sub(self.cmd_sn) < 1 << 31 {
            let Some(task) = self.waiting.pop_front() else { return Ok(()) };
            if task.deadline <= Instant::now() {
                continue;
            }
            let itt = self.next_task_tag();
            let length = task.command.blocks * BLOCK_BYTES;
            let write = task.command.write;
            let body = if write { Bytes::from(vec![b'*'; length as usize]) } else { Bytes::new() };
            let max_immediate = self.parameters.max_segment_bytes.min(self.parameters.first_burst_bytes);
            let immediate_data = match self.parameters.immediate_data {
                true => body.slice(..body.len().min(max_immediate)),
                false => Bytes::new(),
            };
            let command = Pdu::ScsiCommand {
                immediate: false,
                last: true,
                read: !write,
                write,
                lun: task.lun,
                itt,
                length,
                cmd_sn: self.cmd_sn,
                exp_stat_sn: self.exp_stat_sn,
                cdb: task.command.encode(),
                data: immediate_data,
            };
            self.cmd_sn = self.cmd_sn.wrapping_add(1);
            let in_flight = InFlightCommand {
                lun: task.lun,
                data: body,
                deadline: task.deadline,
                outcome_tx: Some(task.outcome_tx),
            };
            self.tasks.insert(itt, in_flight);
            self.writer.write_all(&command.encode()).await?;
        }
        Ok(())
    }

    fn next_task_tag(&mut self) -> u32 {
        let itt = self.next_itt;
        self.next_itt = match itt.wrapping_add(1) {
            RESERVED_TAG => 1,
            next => next,
        };
        itt
    }

    /// Aborts commands whose deadline has passed; their clients have stopped waiting.
    async fn abort_expired(&mut self) -> io::Result<()> {
        let now = Instant::now();
        let expired = |t: &InFlightCommand| t.outcome_tx.is_some() && t.deadline <= now;
        let expired: Vec<u32> = self.tasks.iter().filter(|(_, t)| expired(t)).map(|(itt, _)| *itt).collect();
        for referenced in expired {
            let lun = match self.tasks.get_mut(&referenced) {
                Some(task) => {
                    task.outcome_tx = None;
                    task.lun
                }
                None => continue,
            };
            let itt = self.next_task_tag();
            let (cmd_sn, exp_stat_sn) = (self.cmd_sn, self.exp_stat_sn);
            let request = Pdu::TaskRequest {
                immediate: true,
                function: ABORT_TASK,
                lun,
                itt,
                referenced,
                cmd_sn,
                exp_stat_sn,
            };
            self.writer.write_all(&request.encode()).await?;
        }
        Ok(())
    }

    async fn handle_pdu(&mut self, pdu: Pdu) -> io::Result<()> {
        if let Some((seq, counts)) = pdu.sequence() {
            if seq.max_cmd_sn.wrapping_sub(self.max_cmd_sn) < 1 << 31 {
                self.max_cmd_sn = seq.max_cmd_sn;
            }
            if counts {
                self.exp_stat_sn = seq.stat_sn.wrapping_add(1);
            }
        }
        match pdu {
            Pdu::R2t { lun, itt, ttt, offset, length, .. } => {
                let Some(task) = self.tasks.get(&itt) else { return Ok(()) };
                let (from, end) = (offset as usize, offset as usize + length as usize);
                if end > task.data.len() {
                    return Err(io::ErrorKind::InvalidData.into());
                }
                let (data, mut at, mut data_sn) = (task.data.clone(), from, 0);
                while at < end {
                    let until = end.min(at + self.parameters.max_segment_bytes);
                    let last = until == end;
                    let (exp_stat_sn, offset) = (self.exp_stat_sn, at as u32);
                    let data = data.slice(at..until);
                    let pdu = Pdu::DataOut { last, lun, itt, ttt, exp_stat_sn, data_sn, offset, data };
                    self.writer.write_all(&pdu.encode()).await?;
                    (at, data_sn) = (until, data_sn + 1);
                }
            }
            Pdu::ScsiResponse { response, status, qualifier, itt, .. } => {
                let outcome = match (response, status) {
                    (0, GOOD) => AttemptOutcome::Served,
                    (0, BUSY | TASK_SET_FULL) => {
                        AttemptOutcome::Refused { retry_after: u64::from(qualifier) * 100_000 }
                    }
                    _ => AttemptOutcome::Failed,
                };
                self.complete(itt, outcome);
            }
            Pdu::DataIn { status: Some((status, _)), itt, .. } => {
                self.complete(
                    itt,
                    if status == GOOD { AttemptOutcome::Served } else { AttemptOutcome::Failed },
                );
            }
            // A ping that requests a response (RFC 7143, section 11.19).
            Pdu::NopIn { ttt, lun, .. } if ttt != RESERVED_TAG => {
                let (cmd_sn, exp_stat_sn) = (self.cmd_sn, self.exp_stat_sn);
                let response = Pdu::NopOut {
                    immediate: true,
                    lun,
                    itt: RESERVED_TAG,
                    ttt,
                    cmd_sn,
                    exp_stat_sn,
                    data: Bytes::new(),
                };
                self.writer.write_all(&response.encode()).await?;
            }
            // The target closes the session, or asks for a logout. The session is reopened with the next
            // command.
            Pdu::Async { .. } if self.tasks.is_empty() => return Err(io::ErrorKind::ConnectionAborted.into()),
            _ => {}
        }
        Ok(())
    }

    fn complete(&mut self, itt: u32, outcome: AttemptOutcome) {
        if let Some(client) = self.tasks.remove(&itt).and_then(|t| t.outcome_tx) {
            let _ = client.send(outcome);
        }
    }
}
