//! The iSCSI-style front: a session to each initiator, whose commands share its window (RFC 7143, section
//! 4.2.2). A volume is a LUN, a piece an address, a class a group number. Refusals tell when to come back in
//! the status qualifier, in tenths of a second.

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

/// How long a connection may take to come up, and a login after it.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Commands that wait for a session.
const QUEUE_CAPACITY: usize = 4_096;
/// ABORT TASK (RFC 7143, section 11.5.1).
const ABORT_TASK: u8 = 1;
/// The largest write, in blocks.
const MAX_BLOCKS: u32 = 128;

/// Clients of several initiators, with one session each.
#[derive(Clone, Debug)]
pub struct Iscsi {
    sessions: Rc<Vec<mpsc::Sender<Task>>>,
    blocks_per_unit: u32,
}

/// A command on its way to a session.
#[derive(Debug)]
struct Task {
    lun: u64,
    command: Command,
    deadline: Instant,
    outcome: oneshot::Sender<AttemptOutcome>,
}

impl Iscsi {
    /// Sessions to the target of this name at each address, opened when first used and again after a break.
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
        let (outcome, outcome_rx) = oneshot::channel();
        let deadline = outgoing.deadline;
        let task = Task { lun: outgoing.record.volume, command, deadline, outcome };
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
                // What is out when the session breaks may have run: its ends, dropped, tell so. What still
                // waits for the window was never sent.
                let _ = session.run(first, &mut rx).await;
                for task in session.waiting {
                    let _ = task.outcome.send(AttemptOutcome::Unreachable);
                }
            }
            Err(_) => {
                let _ = first.outcome.send(AttemptOutcome::Unreachable);
                while let Ok(task) = rx.try_recv() {
                    let _ = task.outcome.send(AttemptOutcome::Unreachable);
                }
            }
        }
    }
}

struct InFlightCommand {
    lun: u64,
    data: Bytes,
    deadline: Instant,
    outcome: Option<oneshot::Sender<AttemptOutcome>>,
}

struct Session {
    reader: PduReader<OwnedReadHalf>,
    out: OwnedWriteHalf,
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
        let Connection { reader, writer: out, parameters, sequence } = connection;
        Ok(Session {
            reader,
            out,
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
            let next_deadline = self.tasks.values().filter(|t| t.outcome.is_some()).map(|t| t.deadline).min();
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

    /// Sends as many commands as the target's window takes.
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
            let room = self.parameters.max_segment_bytes.min(self.parameters.first_burst_bytes);
            let first = match self.parameters.immediate_data {
                true => body.slice(..body.len().min(room)),
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
                data: first,
            };
            self.cmd_sn = self.cmd_sn.wrapping_add(1);
            let out = InFlightCommand {
                lun: task.lun,
                data: body,
                deadline: task.deadline,
                outcome: Some(task.outcome),
            };
            self.tasks.insert(itt, out);
            self.out.write_all(&command.encode()).await?;
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

    /// The client of a command has gone: the command is aborted at the target.
    async fn abort_expired(&mut self) -> io::Result<()> {
        let now = Instant::now();
        let expired = |t: &InFlightCommand| t.outcome.is_some() && t.deadline <= now;
        let expired: Vec<u32> = self.tasks.iter().filter(|(_, t)| expired(t)).map(|(itt, _)| *itt).collect();
        for referenced in expired {
            let lun = match self.tasks.get_mut(&referenced) {
                Some(task) => {
                    task.outcome = None;
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
            self.out.write_all(&request.encode()).await?;
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
                    self.out.write_all(&pdu.encode()).await?;
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
            // A ping that wants its answer (RFC 7143, section 11.19).
            Pdu::NopIn { ttt, lun, .. } if ttt != RESERVED_TAG => {
                let (cmd_sn, exp_stat_sn) = (self.cmd_sn, self.exp_stat_sn);
                let pong = Pdu::NopOut {
                    immediate: true,
                    lun,
                    itt: RESERVED_TAG,
                    ttt,
                    cmd_sn,
                    exp_stat_sn,
                    data: Bytes::new(),
                };
                self.out.write_all(&pong.encode()).await?;
            }
            // The target ends, or wants to: commands without a response have to be sent again.
            Pdu::Async { .. } if self.tasks.is_empty() => return Err(io::ErrorKind::ConnectionAborted.into()),
            _ => {}
        }
        Ok(())
    }

    fn complete(&mut self, itt: u32, outcome: AttemptOutcome) {
        if let Some(client) = self.tasks.remove(&itt).and_then(|t| t.outcome) {
            let _ = client.send(outcome);
        }
    }
}
