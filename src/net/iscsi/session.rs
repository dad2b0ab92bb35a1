//! Sessions that go out: the actor of an iSCSI-style target. This side is the initiator.

use crate::core::{
    Attempt, AttemptReporter, AttemptResult, Clock, CoreHandle, Endpoint, Message, Probe, Protocol,
    TargetMessage,
};
use crate::interface::{EndpointUpdateKind, LoadReport, Outcome, TargetState};
use crate::net::close::{LINGER, close};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use futures_util::stream::FuturesUnordered;
use rowanglade_iscsi::frame::{Frames, LARGEST_SEGMENT};
use rowanglade_iscsi::login::Session as Settled;
use rowanglade_iscsi::pdu::{NO_TAG, Pdu, Residual};
use rowanglade_iscsi::scsi::{self, Command};
use rowanglade_iscsi::{Connection, Timeouts};
use std::collections::{HashMap, VecDeque};
use std::io;
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::Instant;

const MAILBOX: usize = 256;
const ABORT_TASK: u8 = 1;
/// Task management requests use the upper half of the tags, commands the lower.
const ABORTS: u32 = 0x8000_0000;
/// Asynchronous events: the target asks for a logout, will drop this connection, or all of the session's.
const LEAVING: std::ops::RangeInclusive<u8> = 1..=3;
/// How long after a drain was told the target is tried again, in case it is back.
const TRY_AGAIN: Duration = Duration::from_millis(1_000);

/// What all sessions that go out share.
#[derive(Clone, Debug)]
pub struct Figures {
    /// This initiator's name.
    pub initiator: String,
    pub classes: Vec<String>,
    pub connect_timeout: Duration,
    pub login_timeout: Duration,
    /// A session that owes answers and says nothing for this long is asked with a NOP, and given up after as
    /// long again.
    pub silence: Duration,
    pub blocks_per_unit: u32,
    /// The core's clock.
    pub clock: Clock,
}

/// Starts the actor, which lives as long as its mailbox is held.
pub fn connect(line: &Endpoint, figures: Figures, core: CoreHandle) -> mpsc::Sender<TargetMessage> {
    let (tx, rx) = mpsc::channel(MAILBOX);
    actix_rt::spawn(Target { line: line.clone(), figures, core, rx }.run());
    tx
}

struct Target {
    line: Endpoint,
    figures: Figures,
    core: CoreHandle,
    rx: mpsc::Receiver<TargetMessage>,
}

impl Target {
    async fn run(mut self) {
        let mut waiting = VecDeque::new();
        loop {
            let drained = self.line.state != TargetState::Active;
            let again = Instant::now() + TRY_AGAIN;
            while waiting.is_empty() {
                tokio::select! {
                    message = self.rx.recv() => match message {
                        // Without a session there is none to end.
                        Some(TargetMessage::SetDraining(_)) => {}
                        // Sent just before the drain was told: nothing new goes to it.
                        Some(message) if drained => tell_unsent(message, Outcome::Unreachable),
                        Some(message) => waiting.push_back(message),
                        None => return,
                    },
                    () = tokio::time::sleep_until(again), if drained => break,
                }
            }
            match self.opened(&mut waiting).await {
                Ok(session) => {
                    if drained {
                        self.tell(TargetState::Active).await;
                    }
                    match session.run(&mut self, waiting).await {
                        End::Mailbox => return,
                        End::Left => {}
                        End::Broken(error) => {
                            tracing::info!(target = self.line.name, %error, "session broken")
                        }
                    }
                }
                Err(error) => {
                    tracing::debug!(target = self.line.name, %error, "no session");
                    // None of it was sent.
                    while let Ok(message) = self.rx.try_recv() {
                        waiting.push_back(message);
                    }
                    for message in waiting {
                        tell_unsent(message, Outcome::Unreachable);
                    }
                }
            }
            waiting = VecDeque::new();
        }
    }

    /// Opens a session. What waits for it and is called off or out of time meanwhile is told so at once.
    async fn opened(&mut self, waiting: &mut VecDeque<TargetMessage>) -> io::Result<Session> {
        let Target { line, figures, rx, .. } = self;
        let open = Session::open(line, figures);
        tokio::pin!(open);
        loop {
            tokio::select! {
                biased;
                at = unwanted(waiting) => {
                    let message = waiting.remove(at);
                    message.into_iter().for_each(|message| tell_unsent(message, Outcome::NotSent));
                }
                message = rx.recv(), if waiting.len() < MAILBOX => match message {
                    Some(TargetMessage::SetDraining(_)) => {}
                    Some(message) => waiting.push_back(message),
                    None => return Err(broken("the core let go of the target")),
                },
                session = &mut open => return session,
            }
        }
    }

    /// The core's list learns what the session told. A target that is back counts as just started.
    async fn tell(&mut self, state: TargetState) {
        self.line.state = state;
        if state == TargetState::Active {
            // The core's own clock: a step of the wall clock must not make it far past or future.
            self.line.started = Some(self.figures.clock.now());
        }
        let entries = vec![self.line.clone()];
        self.core.send(Message::endpoints(Protocol::Iscsi, EndpointUpdateKind::Delta, entries)).await;
    }
}

/// Resolves with the place of the first that is called off or out of time.
async fn unwanted(waiting: &mut VecDeque<TargetMessage>) -> usize {
    let until = |message: &TargetMessage| match message {
        TargetMessage::Attempt(attempt) => Some(attempt.until),
        TargetMessage::Probe(probe) => Some(probe.until),
        TargetMessage::SetDraining(_) => None,
    };
    let first = waiting.iter().enumerate().filter_map(|(at, message)| Some((until(message)?, at))).min();
    let late = async {
        match first {
            Some((until, at)) => {
                tokio::time::sleep_until(until).await;
                at
            }
            None => std::future::pending().await,
        }
    };
    let called_off = std::future::poll_fn(|cx| {
        let ended = waiting.iter_mut().position(|message| match message {
            TargetMessage::Attempt(attempt) => Pin::new(&mut attempt.cancel).poll(cx).is_ready(),
            _ => false,
        });
        ended.map_or(Poll::Pending, Poll::Ready)
    });
    tokio::select! {
        at = late => at,
        at = called_off => at,
    }
}

fn tell_unsent(message: TargetMessage, outcome: Outcome) {
    match message {
        TargetMessage::Attempt(attempt) => attempt.report.finish(AttemptResult::without_response(outcome)),
        TargetMessage::Probe(probe) => probe.report.finish(outcome, LoadReport::default()),
        TargetMessage::SetDraining(_) => {}
    }
}

/// Why a session ended.
enum End {
    /// The core let go of the target.
    Mailbox,
    /// The target asked for it.
    Left,
    Broken(io::Error),
}

/// A command without its status.
struct Task {
    /// Absent: its end was told, and the target's last word on it is only waited for.
    report: Option<AttemptReporter>,
    lun: u64,
    write: Bytes,
    /// The last byte of the command and its data is written.
    written: bool,
    expected: u32,
    read: BytesMut,
}

struct Session {
    figures: Figures,
    frames: Frames<OwnedReadHalf>,
    out: OwnedWriteHalf,
    settled: Settled,
    cmd_sn: u32,
    max_cmd_sn: u32,
    exp_stat_sn: u32,
    next_itt: u32,
    tasks: HashMap<u32, Task>,
    /// Resolve when an attempt is cancelled or out of time.
    ends: FuturesUnordered<LocalBoxFuture<'static, (u32, Outcome)>>,
    heard: Instant,
    pinged: bool,
    leaving: bool,
    /// Operators leave the target out: the session ends once it carries nothing.
    resting: bool,
}

impl Session {
    /// Connects and logs in.
    async fn open(line: &Endpoint, figures: &Figures) -> io::Result<Session> {
        let timeouts = Timeouts { connect: figures.connect_timeout, login: figures.login_timeout };
        let connection = Connection::open(line.addr, &figures.initiator, &line.name, timeouts).await?;
        let Connection { frames, out, session: settled, sequence } = connection;
        Ok(Session {
            figures: figures.clone(),
            frames,
            out,
            cmd_sn: settled.cmd_sn,
            max_cmd_sn: sequence.max_cmd_sn,
            exp_stat_sn: settled.stat_sn,
            settled,
            next_itt: 1,
            tasks: HashMap::new(),
            ends: FuturesUnordered::new(),
            heard: Instant::now(),
            pinged: false,
            leaving: false,
            resting: false,
        })
    }

    async fn run(mut self, target: &mut Target, waiting: VecDeque<TargetMessage>) -> End {
        let end = match self.serve(target, waiting).await {
            Ok(end) => end,
            Err(error) => End::Broken(error),
        };
        if matches!(end, End::Left | End::Mailbox) {
            // Closed over unread bytes, the connection would be reset, and the logout might not arrive.
            let (out, frames) = (self.out, self.frames);
            actix_rt::spawn(async move {
                let _ = tokio::time::timeout(LINGER, close(out.as_ref())).await;
                drop(frames);
            });
        }
        // What was written whole may have run; the rest never did.
        for task in self.tasks.into_values() {
            if let Some(report) = task.report {
                report.finish(AttemptResult::without_response(if task.written {
                    Outcome::Broken
                } else {
                    Outcome::Unreachable
                }));
            }
        }
        if self.leaving { End::Left } else { end }
    }

    async fn serve(&mut self, target: &mut Target, waiting: VecDeque<TargetMessage>) -> io::Result<End> {
        for message in waiting {
            self.take(message).await?;
        }
        loop {
            if (self.leaving || self.resting) && self.tasks.is_empty() {
                self.log_out().await?;
                return Ok(End::Left);
            }
            let quiet = self.heard + self.figures.silence * (1 + u32::from(self.pinged));
            let owed = !self.tasks.is_empty();
            tokio::select! {
                pdu = self.frames.next() => match pdu {
                    Ok(pdu) => {
                        (self.heard, self.pinged) = (Instant::now(), false);
                        if matches!(pdu, Pdu::Async { event, .. } if LEAVING.contains(&event)) {
                            // The list is told at once, so that nothing new comes; what is out may still be
                            // answered.
                            self.leaving = true;
                            target.tell(TargetState::Draining).await;
                        }
                        self.hear(pdu).await?;
                    }
                    Err(e) => return Err(broken(format!("{e:?}"))),
                },
                message = target.rx.recv() => match message {
                    Some(message) => self.take(message).await?,
                    None => {
                        self.log_out().await?;
                        return Ok(End::Mailbox);
                    }
                },
                Some((itt, outcome)) = self.ends.next() => self.give_up(itt, outcome).await?,
                () = tokio::time::sleep_until(quiet), if owed => {
                    // Guards against a target that takes a login, and commands, and never answers.
                    if self.pinged {
                        return Err(broken("it owes answers and says nothing"));
                    }
                    self.pinged = true;
                    let itt = self.tag();
                    let (cmd_sn, exp_stat_sn) = (self.cmd_sn, self.exp_stat_sn);
                    let data = Bytes::new();
                    let ping = Pdu::NopOut { immediate: true, lun: 0, itt, ttt: NO_TAG, cmd_sn, exp_stat_sn, data };
                    self.send(&ping).await?;
                }
            }
        }
    }

    fn tag(&mut self) -> u32 {
        loop {
            let itt = self.next_itt;
            self.next_itt = (itt + 1) & !ABORTS;
            if !self.tasks.contains_key(&itt) {
                return itt;
            }
        }
    }

    /// Closes the session; the target's response is not waited for.
    async fn log_out(&mut self) -> io::Result<()> {
        let (itt, cmd_sn, exp_stat_sn) = (self.tag(), self.cmd_sn, self.exp_stat_sn);
        self.send(&Pdu::LogoutRequest { immediate: true, reason: 0, itt, cid: 0, cmd_sn, exp_stat_sn }).await
    }

    async fn send(&mut self, pdu: &Pdu) -> io::Result<()> {
        tokio::time::timeout(self.figures.silence, self.out.write_all(&pdu.encode())).await?
    }

    async fn take(&mut self, message: TargetMessage) -> io::Result<()> {
        match message {
            TargetMessage::Probe(Probe { report, .. }) => {
                // The session stands: that is all that a shallow probe asks.
                report.finish(Outcome::Served, LoadReport::default());
                Ok(())
            }
            TargetMessage::Attempt(attempt) => self.command(*attempt).await,
            TargetMessage::SetDraining(resting) => {
                self.resting = resting;
                Ok(())
            }
        }
    }

    async fn command(&mut self, attempt: Attempt) -> io::Result<()> {
        let Attempt { request, until, cancel, report } = attempt;
        if request.body_rest.is_some() {
            // A write of blocks holds all its data.
            report.finish(AttemptResult::without_response(Outcome::NotSent));
            return Ok(());
        }
        let group = self.figures.classes.iter().position(|c| *c == request.class);
        let in_window = self.max_cmd_sn.wrapping_sub(self.cmd_sn) as i32 >= 0;
        let (Some(group), true, false) = (group, in_window && until > Instant::now(), self.leaving) else {
            report.finish(AttemptResult::without_response(if self.leaving || !in_window {
                Outcome::QueueFull
            } else {
                Outcome::NotSent
            }));
            return Ok(());
        };
        if !report.may_start().await {
            report.finish(AttemptResult::without_response(Outcome::NotSent));
            return Ok(());
        }
        // A request of a wire that tells no length asks for its units' blocks.
        let told = if request.write { request.body.len() as u32 } else { request.length };
        let blocks = match told {
            0 => (request.units.ceil() as u32).saturating_mul(self.figures.blocks_per_unit),
            bytes => bytes.div_ceil(scsi::BLOCK),
        };
        let blocks = blocks.clamp(1, LARGEST_SEGMENT as u32 / scsi::BLOCK);
        let length = if request.write { request.body.len() as u32 } else { blocks * scsi::BLOCK };
        let command = Command { write: request.write, address: request.object, blocks, group: group as u8 };
        let most = self.settled.segment.min(self.settled.first_burst);
        let immediate = if self.settled.immediate_data { request.body.len().min(most) } else { 0 };
        let itt = self.tag();
        let pdu = Pdu::ScsiCommand {
            immediate: false,
            last: true,
            read: !request.write,
            write: request.write,
            lun: request.volume,
            itt,
            length,
            cmd_sn: self.cmd_sn,
            exp_stat_sn: self.exp_stat_sn,
            cdb: command.encode(),
            data: request.body.slice(..immediate),
        };
        self.cmd_sn = self.cmd_sn.wrapping_add(1);
        if self.tasks.is_empty() {
            // The silence that counts begins with the first thing owed.
            (self.heard, self.pinged) = (Instant::now(), false);
        }
        let task = Task {
            report: Some(report),
            lun: request.volume,
            write: request.body.clone(),
            written: false,
            expected: if request.write { 0 } else { length },
            read: BytesMut::new(),
        };
        self.tasks.insert(itt, task);
        self.ends.push(Box::pin(async move {
            tokio::select! {
                _ = cancel => (itt, Outcome::Cancelled),
                () = tokio::time::sleep_until(until) => (itt, Outcome::TimedOut),
            }
        }));
        self.send(&pdu).await?;
        if immediate == request.body.len()
            && let Some(task) = self.tasks.get_mut(&itt)
        {
            task.written = true;
        }
        Ok(())
    }

    /// Tells an attempt's end and asks the target to stop; its tag stays taken until the target's last word.
    async fn give_up(&mut self, itt: u32, outcome: Outcome) -> io::Result<()> {
        let Some(task) = self.tasks.get_mut(&itt) else { return Ok(()) };
        let Some(report) = task.report.take() else { return Ok(()) };
        report.finish(AttemptResult::without_response(outcome));
        let lun = task.lun;
        let abort = Pdu::TaskRequest {
            immediate: true,
            function: ABORT_TASK,
            lun,
            // The response carries the aborted task's own tag, which ends it.
            itt: itt | ABORTS,
            referenced: itt,
            cmd_sn: self.cmd_sn,
            exp_stat_sn: self.exp_stat_sn,
        };
        self.send(&abort).await
    }

    async fn hear(&mut self, pdu: Pdu) -> io::Result<()> {
        if let Some((seq, counts)) = pdu.sequence() {
            self.max_cmd_sn = seq.max_cmd_sn;
            if counts {
                self.exp_stat_sn = seq.stat_sn.wrapping_add(1);
            }
        }
        match pdu {
            Pdu::NopIn { lun, ttt, data, .. } if ttt != NO_TAG => {
                let (cmd_sn, exp_stat_sn) = (self.cmd_sn, self.exp_stat_sn);
                let pong = Pdu::NopOut { immediate: true, lun, itt: NO_TAG, ttt, cmd_sn, exp_stat_sn, data };
                self.send(&pong).await?;
            }
            Pdu::NopIn { .. } => {}
            Pdu::DataIn { status, itt, offset, data, .. } => {
                let Some(task) = self.tasks.get_mut(&itt) else { return Ok(()) };
                let fits = task.read.len() + data.len() <= task.expected as usize;
                if offset as usize != task.read.len() || !fits {
                    return Err(broken("data out of place"));
                }
                task.read.extend_from_slice(&data);
                if let Some((status, residual)) = status {
                    self.end(itt, status, residual);
                }
            }
            Pdu::ScsiResponse { response, status, itt, residual, .. } => {
                // A response other than 'completed at target' has no status.
                self.end(itt, if response == 0 { status } else { scsi::CHECK_CONDITION }, residual);
            }
            Pdu::TaskResponse { itt, .. } => {
                self.tasks.remove(&(itt & !ABORTS));
            }
            Pdu::R2t { lun, itt, ttt, offset, length, .. } => {
                self.data_out(lun, itt, ttt, offset, length).await?
            }
            Pdu::Async { .. } => {}
            other => return Err(broken(format!("unexpected: {other:?}"))),
        }
        Ok(())
    }

    async fn data_out(&mut self, lun: u64, itt: u32, ttt: u32, offset: u32, length: u32) -> io::Result<()> {
        let Some(task) = self.tasks.get(&itt).filter(|t| t.report.is_some()) else { return Ok(()) };
        let (start, end) = (offset as usize, offset as usize + length as usize);
        if length == 0 || end > task.write.len() {
            return Err(broken("it asks for data that the command does not have"));
        }
        let data = task.write.slice(start..end);
        let segment = self.settled.segment;
        for (data_sn, at) in (0..data.len()).step_by(segment).enumerate() {
            let chunk = data.slice(at..data.len().min(at + segment));
            let last = at + chunk.len() == data.len();
            let (data_sn, offset) = (data_sn as u32, (start + at) as u32);
            let exp_stat_sn = self.exp_stat_sn;
            self.send(&Pdu::DataOut { last, lun, itt, ttt, exp_stat_sn, data_sn, offset, data: chunk })
                .await?;
        }
        if let Some(task) = self.tasks.get_mut(&itt).filter(|t| end == t.write.len()) {
            task.written = true;
        }
        Ok(())
    }

    fn end(&mut self, itt: u32, status: u8, residual: Residual) {
        let Some(task) = self.tasks.remove(&itt) else { return };
        let Some(report) = task.report else { return };
        let missing = match residual {
            Residual::Under(n) => n,
            _ => 0,
        };
        // Data that the target says it sent and that did not come is not an answer.
        let whole = task.read.len() as u64 + u64::from(missing) == u64::from(task.expected);
        let outcome = match status {
            scsi::GOOD if whole => Outcome::Served,
            scsi::BUSY | scsi::TASK_SET_FULL => Outcome::QueueFull,
            _ => Outcome::Error,
        };
        let body = if outcome == Outcome::Served { task.read.freeze() } else { Bytes::new() };
        report.finish(AttemptResult { body: body.into(), ..AttemptResult::without_response(outcome) });
    }
}

fn broken(reason: impl Into<String>) -> io::Error {
    io::Error::other(reason.into())
}
