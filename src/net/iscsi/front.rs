//! Sessions that come in: this side is the target.

use crate::core::{CoreHandle, InvalidRequest, Protocol, Request, RequestOrigin, Response, ResponseBody};
use crate::net::Phase;
use crate::net::accept::{AcceptFailures, pause};
use crate::net::close::{LINGER, close, read_closed};
use bytes::{Buf, Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::future::{AbortHandle, Abortable, LocalBoxFuture};
use futures_util::stream::FuturesUnordered;
use rowanglade_iscsi::frame::{Frames, LARGEST_SEGMENT, Unreadable};
use rowanglade_iscsi::login::{self, Session as Settled};
use rowanglade_iscsi::pdu::{Header, NO_TAG, Pdu, RejectReason, Residual, Sequence};
use rowanglade_iscsi::scsi::{self, Command, Sense};
use std::cell::Cell;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::Instant;

/// Commands of one session that may be open at once.
const WINDOW: u32 = 32;
/// How long a login may take, and how long a peer may leave what is written to it unread.
const LOGIN: Duration = Duration::from_secs(5);
const UNREAD: Duration = Duration::from_secs(5);
/// While more than this waits to be written, further answers are not said yet: one may come on top of it.
const ENOUGH_UNSENT: usize = 128 * 1024;
/// A peer that has so much said to it and reads nothing of it has lost its session.
const MOST_UNSENT: usize = 1 << 20;
/// When a refused command may come back, where the session itself is full.
const FULL_ADVICE: Duration = Duration::from_millis(100);
const LARGEST_WRITE: u32 = LARGEST_SEGMENT as u32;

const ABORT_TASK: u8 = 1;
const FUNCTION_COMPLETE: u8 = 0;
const NO_SUCH_TASK: u8 = 1;
const FUNCTION_NOT_SUPPORTED: u8 = 5;
const LOGOUT_REQUESTED: u8 = 1;

/// A volume that sessions reach as a LUN.
#[derive(Clone, Debug, PartialEq)]
pub struct Lun {
    pub plan: Option<String>,
    pub shard: Option<u32>,
    pub hosts: u32,
}

/// What all sessions share.
#[derive(Debug)]
pub struct Front {
    pub core: CoreHandle,
    /// The target's name, which a login must give.
    pub name: String,
    pub luns: HashMap<u64, Lun>,
    /// Names and deadlines of the classes, in the order of their group numbers.
    pub classes: Vec<(String, Duration)>,
    pub blocks_per_unit: u32,
    /// Turns true when the program is to end: sessions are asked to log out.
    pub ending: watch::Receiver<bool>,
    /// Sessions are accepted while this process serves.
    pub phase: watch::Receiver<Phase>,
    /// Sessions open at once; further connections are closed.
    pub most_sessions: Rc<Cell<usize>>,
    /// Sessions open now.
    pub sessions: Rc<Cell<usize>>,
}

/// Accepts sessions until dropped. Sessions go on by themselves.
pub async fn serve(listener: TcpListener, front: Rc<Front>) {
    let mut number: u64 = 0;
    let mut failures = AcceptFailures::default();
    let mut phase = front.phase.clone();
    loop {
        let accepting = phase.borrow_and_update().accepts();
        let accepted = tokio::select! {
            accepted = listener.accept(), if accepting => accepted,
            Ok(()) = phase.changed() => continue,
        };
        match accepted {
            Ok((stream, _)) if front.sessions.get() < front.most_sessions.get() => {
                number += 1;
                failures.succeeded();
                let (front, prefix) = (Rc::clone(&front), number);
                front.sessions.set(front.sessions.get() + 1);
                actix_rt::spawn(async move {
                    if let Err(error) = session(&front, stream, prefix).await {
                        tracing::debug!(%error, "a session ended");
                    }
                    front.sessions.set(front.sessions.get() - 1);
                });
            }
            Ok(_) => tracing::warn!("too many sessions; a connection is closed"),
            Err(error) => pause(failures.failed(&error, "iscsi")).await,
        }
    }
}

async fn session(front: &Front, stream: TcpStream, number: u64) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let client = stream.peer_addr().ok();
    let (from, mut out) = stream.into_split();
    let mut frames = Frames::new(from);
    let ended = log_in_and_run(front, &mut frames, &mut out, client, number).await;
    // Whatever was open has lost its client by now. The last word reaches it, whatever it still sends.
    let _ = tokio::time::timeout(LINGER, close(out.as_ref())).await;
    ended
}

async fn log_in_and_run(
    front: &Front,
    frames: &mut Frames<OwnedReadHalf>,
    out: &mut OwnedWriteHalf,
    client: Option<SocketAddr>,
    number: u64,
) -> io::Result<()> {
    let logged_in = login::accept(frames, out, &front.name, WINDOW);
    let settled = tokio::time::timeout(LOGIN, logged_in).await??;
    let session = Session {
        front,
        client,
        number,
        exp_cmd_sn: settled.cmd_sn,
        stat_sn: settled.stat_sn,
        settled,
        out,
        unsent: BytesMut::new(),
        written: Instant::now(),
        gone: false,
        tasks: HashMap::new(),
        answers: FuturesUnordered::new(),
        ended: VecDeque::new(),
        taken: 0,
    };
    session.run(frames).await
}

/// A write whose data has not come whole.
struct Gathering {
    lun: u64,
    command: Command,
    length: u32,
    data: BytesMut,
    until: Instant,
}

enum Task {
    Gathering(Gathering),
    /// With the core.
    Open(AbortHandle),
}

/// A task's end: its tag, the bytes that a read expects, and the answer.
type Ended = (u32, Option<u32>, Result<Response, InvalidRequest>);

struct Session<'a> {
    front: &'a Front,
    client: Option<SocketAddr>,
    number: u64,
    settled: Settled,
    stat_sn: u32,
    exp_cmd_sn: u32,
    out: &'a mut OwnedWriteHalf,
    /// What is said and not written. A peer that is slow to read must not keep what it sends from being read:
    /// it may abort what waits.
    unsent: BytesMut,
    /// When the last of it was written, or the first of it said.
    written: Instant,
    /// The peer has closed its side, though PDUs of its may still be unread: nothing of it is sent on.
    gone: bool,
    tasks: HashMap<u32, Task>,
    /// Dropped with the session, they tell the core that the client has gone.
    answers: FuturesUnordered<Abortable<LocalBoxFuture<'static, Ended>>>,
    /// Answers that wait for room among what is said.
    ended: VecDeque<Ended>,
    taken: u64,
}

impl Session<'_> {
    async fn run(mut self, frames: &mut Frames<OwnedReadHalf>) -> io::Result<()> {
        let ended = self.serve(frames).await;
        self.withdraw();
        let flushed = tokio::time::timeout(UNREAD, self.out.write_all(&self.unsent));
        ended.and(flushed.await?)
    }

    /// The client wants no more answers: what is open tells the core so by its drop.
    fn withdraw(&mut self) {
        self.tasks.clear();
        self.answers.clear();
        self.ended.clear();
    }

    async fn serve(&mut self, frames: &mut Frames<OwnedReadHalf>) -> io::Result<()> {
        let mut ending = self.front.ending.clone();
        let mut asked_to_leave = false;
        loop {
            self.answer_ended();
            let until = self.tasks.values().filter_map(|t| match t {
                Task::Gathering(g) => Some(g.until),
                Task::Open(_) => None,
            });
            let until = until.min();
            let late = async {
                match until {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            let unread = self.written + UNREAD;
            tokio::select! {
                // What comes from the peer is last: nothing before it can keep it waiting for long.
                biased;
                () = read_closed(self.out.as_ref()), if !self.gone => {
                    self.gone = true;
                    self.withdraw();
                }
                ready = self.out.writable(), if !self.unsent.is_empty() => {
                    ready?;
                    self.write()?;
                }
                () = tokio::time::sleep_until(unread), if !self.unsent.is_empty() => {
                    self.unsent.clear();
                    return Err(io::ErrorKind::TimedOut.into());
                }
                // An aborted task has been answered by its task management response.
                Some(ended) = self.answers.next() => self.ended.extend(ended),
                () = late => self.give_up_late(),
                changed = ending.wait_for(|on| *on), if !asked_to_leave => {
                    asked_to_leave = true;
                    if changed.is_ok() {
                        let seq = self.sequence(true);
                        self.send(&Pdu::Async { event: LOGOUT_REQUESTED, seq, parameters: [0, 0, 3] });
                    }
                }
                pdu = frames.next() => match pdu {
                    Ok(Pdu::LogoutRequest { itt, .. }) => {
                        let seq = self.sequence(true);
                        self.send(&Pdu::LogoutResponse { response: 0, itt, seq });
                        return Ok(());
                    }
                    Ok(pdu) => self.take(pdu)?,
                    Err(Unreadable::Rejected(reason, header)) => self.reject(reason, &header),
                    Err(Unreadable::TooLong(header)) => {
                        self.reject(RejectReason::InvalidField, &header);
                        return Err(io::ErrorKind::InvalidData.into());
                    }
                    Err(Unreadable::Io(e)) => return Err(e),
                    Err(Unreadable::End) => return Ok(()),
                },
            }
            if self.unsent.len() > MOST_UNSENT {
                self.unsent.clear();
                return Err(io::Error::other("the peer reads nothing of what is said to it"));
            }
        }
    }

    /// Says the answers that there is room for. The others keep their tasks, of which there are so many at
    /// most.
    fn answer_ended(&mut self) {
        while self.unsent.len() <= ENOUGH_UNSENT
            && let Some((itt, expected, answer)) = self.ended.pop_front()
        {
            self.tasks.remove(&itt);
            match answer {
                Ok(answer) => self.answer(itt, expected, answer),
                Err(unfit) => {
                    tracing::debug!(%unfit, "a command is turned away");
                    self.check(itt, scsi::INVALID_FIELD);
                }
            }
        }
    }

    /// The numbers of the next PDU; one with a status, or a message of its own, uses up a StatSN.
    fn sequence(&mut self, counts: bool) -> Sequence {
        let stat_sn = self.stat_sn;
        self.stat_sn = stat_sn.wrapping_add(u32::from(counts));
        let room = WINDOW.saturating_sub(self.tasks.len() as u32);
        Sequence {
            stat_sn,
            exp_cmd_sn: self.exp_cmd_sn,
            max_cmd_sn: self.exp_cmd_sn.wrapping_add(room).wrapping_sub(1),
        }
    }

    /// Says this to the peer: it is written as the peer reads.
    fn send(&mut self, pdu: &Pdu) {
        if self.unsent.is_empty() {
            self.written = Instant::now();
        }
        self.unsent.extend_from_slice(&pdu.encode());
    }

    /// Writes what the connection takes by now.
    fn write(&mut self) -> io::Result<()> {
        match self.out.try_write(&self.unsent) {
            Ok(written) => {
                self.unsent.advance(written);
                self.written = Instant::now();
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
        }
    }

    fn reject(&mut self, reason: RejectReason, header: &Header) {
        let seq = self.sequence(true);
        self.send(&Pdu::Reject { reason: reason as u8, seq, data: Bytes::copy_from_slice(header) })
    }

    fn status(&mut self, itt: u32, status: u8, wait: Duration, sense: Option<Sense>) {
        let seq = self.sequence(true);
        let data = sense.map(Sense::encode).unwrap_or_default();
        let (qualifier, residual) = (scsi::qualifier(wait), Residual::None);
        self.send(&Pdu::ScsiResponse { response: 0, status, qualifier, itt, seq, residual, data })
    }

    fn check(&mut self, itt: u32, sense: Sense) {
        self.status(itt, scsi::CHECK_CONDITION, Duration::ZERO, Some(sense))
    }

    /// On one connection commands come in order: one out of order breaks the protocol.
    fn count(&mut self, immediate: bool, cmd_sn: u32) -> bool {
        if cmd_sn != self.exp_cmd_sn {
            return false;
        }
        self.exp_cmd_sn = self.exp_cmd_sn.wrapping_add(u32::from(!immediate));
        true
    }

    fn take(&mut self, pdu: Pdu) -> io::Result<()> {
        let (immediate, cmd_sn) = match &pdu {
            Pdu::NopOut { immediate, cmd_sn, .. }
            | Pdu::ScsiCommand { immediate, cmd_sn, .. }
            | Pdu::TaskRequest { immediate, cmd_sn, .. } => (*immediate, *cmd_sn),
            Pdu::DataOut { .. } => (true, self.exp_cmd_sn),
            _ => {
                self.reject(RejectReason::ProtocolError, &header_of(&pdu));
                return Ok(());
            }
        };
        if !self.count(immediate, cmd_sn) {
            self.reject(RejectReason::ProtocolError, &header_of(&pdu));
            return Ok(());
        }
        match pdu {
            Pdu::NopOut { lun, itt, data, .. } if itt != NO_TAG => {
                let seq = self.sequence(true);
                self.send(&Pdu::NopIn { lun, itt, ttt: NO_TAG, seq, data });
            }
            Pdu::ScsiCommand { lun, itt, length, write, cdb, data, .. } => {
                self.command(lun, itt, length, write, &cdb, data)?;
            }
            Pdu::TaskRequest { function, itt, referenced, .. } => self.manage(function, itt, referenced),
            Pdu::DataOut { last, itt, offset, data, .. } => self.gather(itt, offset, &data, last),
            _ => {}
        }
        Ok(())
    }

    fn manage(&mut self, function: u8, itt: u32, referenced: u32) {
        let response = match (function, self.tasks.remove(&referenced)) {
            (ABORT_TASK, Some(Task::Open(handle))) => {
                handle.abort();
                self.ended.retain(|(itt, ..)| *itt != referenced);
                FUNCTION_COMPLETE
            }
            (ABORT_TASK, Some(Task::Gathering(_))) => FUNCTION_COMPLETE,
            (ABORT_TASK, None) => NO_SUCH_TASK,
            (_, task) => {
                self.tasks.extend(task.map(|t| (referenced, t)));
                FUNCTION_NOT_SUPPORTED
            }
        };
        let seq = self.sequence(true);
        self.send(&Pdu::TaskResponse { response, itt, seq });
    }

    /// Data for a task that was aborted or given up may still be under way, and is dropped.
    fn gather(&mut self, itt: u32, offset: u32, data: &Bytes, last: bool) {
        let Some(Task::Gathering(g)) = self.tasks.get_mut(&itt) else { return };
        let fits = offset as usize == g.data.len() && g.data.len() + data.len() <= g.length as usize;
        g.data.extend_from_slice(data);
        if !fits || (last && g.data.len() < g.length as usize) {
            self.tasks.remove(&itt);
            self.check(itt, scsi::DATA_PHASE);
        } else if g.data.len() == g.length as usize
            && let Some(Task::Gathering(g)) = self.tasks.remove(&itt)
        {
            self.submit(itt, g.lun, g.command, None, g.data.freeze());
        }
    }

    fn command(
        &mut self,
        lun: u64,
        itt: u32,
        length: u32,
        write: bool,
        cdb: &[u8; 16],
        data: Bytes,
    ) -> io::Result<()> {
        if self.tasks.contains_key(&itt) || itt == NO_TAG {
            // A tag in use names two tasks: the session cannot go on.
            return Err(io::Error::new(io::ErrorKind::InvalidData, "a task tag is in use"));
        }
        if self.tasks.len() as u32 >= WINDOW {
            self.status(itt, scsi::TASK_SET_FULL, FULL_ADVICE, None);
            return Ok(());
        }
        let (command, deadline) = match self.fit(lun, length, write, cdb, data.len()) {
            Ok(fit) => fit,
            Err(sense) => {
                self.check(itt, sense);
                return Ok(());
            }
        };
        if !command.write {
            self.submit(itt, lun, command, Some(length), Bytes::new());
        } else if data.len() == length as usize {
            self.submit(itt, lun, command, None, data);
        } else {
            let offset = data.len() as u32;
            let until = Instant::now() + deadline;
            let gathering = Gathering { lun, command, length, data: data.into(), until };
            self.tasks.insert(itt, Task::Gathering(gathering));
            let seq = self.sequence(false);
            self.send(&Pdu::R2t { lun, itt, ttt: itt, seq, r2t_sn: 0, offset, length: length - offset });
        }
        Ok(())
    }

    /// A command that the settings have, and its class's deadline.
    fn fit(
        &self,
        lun: u64,
        length: u32,
        write: bool,
        cdb: &[u8; 16],
        sent: usize,
    ) -> Result<(Command, Duration), Sense> {
        let command = Command::decode(cdb)?;
        if !self.front.luns.contains_key(&lun) {
            return Err(scsi::NO_SUCH_LUN);
        }
        let asked = u64::from(command.blocks) * u64::from(scsi::BLOCK);
        let class = self.front.classes.get(usize::from(command.group));
        let (_, deadline) = class.ok_or(scsi::INVALID_FIELD)?;
        let odd = command.blocks == 0 || asked > u64::from(LARGEST_WRITE) || sent > length as usize;
        if odd || asked != u64::from(length) || command.write != write {
            return Err(scsi::INVALID_FIELD);
        }
        Ok((command, *deadline))
    }

    fn give_up_late(&mut self) {
        let now = Instant::now();
        let late = |t: &Task| matches!(t, Task::Gathering(g) if g.until <= now);
        let late: Vec<u32> = self.tasks.iter().filter(|(_, t)| late(t)).map(|(itt, _)| *itt).collect();
        for itt in late {
            self.tasks.remove(&itt);
            self.check(itt, scsi::DATA_PHASE);
        }
    }

    /// Hands a whole command to the core, unless its client has gone.
    fn submit(&mut self, itt: u32, lun: u64, command: Command, expected: Option<u32>, body: Bytes) {
        if self.gone {
            return;
        }
        let (Some(volume), Some((class, deadline))) =
            (self.front.luns.get(&lun), self.front.classes.get(usize::from(command.group)))
        else {
            return;
        };
        self.taken += 1;
        let id = format!("{}.{}.{}", self.settled.initiator, self.number, self.taken);
        let request = Request {
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
            initiators: volume.hosts,
            length: command.blocks * scsi::BLOCK,
            body,
            time_left: *deadline,
        };
        let core = self.front.core.clone();
        let answer: LocalBoxFuture<'static, Ended> = Box::pin(async move {
            let answer = match core.submit(request).await {
                Ok(pending) => Ok(pending.response().await),
                Err(unfit) => Err(unfit),
            };
            (itt, expected, answer)
        });
        let (handle, registration) = AbortHandle::new_pair();
        self.tasks.insert(itt, Task::Open(handle));
        self.answers.push(Abortable::new(answer, registration));
    }

    fn answer(&mut self, itt: u32, expected: Option<u32>, answer: Response) {
        match answer {
            Response::Rejected { retry_after } | Response::SiteUnavailable { retry_after, .. } => {
                self.status(itt, scsi::BUSY, retry_after, None)
            }
            Response::Failed => self.check(itt, scsi::NO_ANSWER),
            Response::Served(ResponseBody::Streamed(_)) => self.check(itt, scsi::NO_ANSWER),
            Response::Served(ResponseBody::Whole(body)) => {
                let Some(expected) = expected else {
                    return self.status(itt, scsi::GOOD, Duration::ZERO, None);
                };
                let residual = match (body.len() as u32, expected) {
                    (len, expected) if len > expected => Residual::Over(len - expected),
                    (len, expected) if len < expected => Residual::Under(expected - len),
                    _ => Residual::None,
                };
                let body = body.slice(..body.len().min(expected as usize));
                let (mut offset, mut data_sn) = (0, 0);
                while offset < body.len() {
                    let end = body.len().min(offset + self.settled.segment);
                    let (seq, data) = (self.sequence(false), body.slice(offset..end));
                    let last = end == body.len();
                    let offset32 = offset as u32;
                    self.send(&Pdu::DataIn { last, status: None, itt, seq, data_sn, offset: offset32, data });
                    (offset, data_sn) = (end, data_sn + 1);
                }
                let seq = self.sequence(true);
                let (status, data) = (scsi::GOOD, Bytes::new());
                self.send(&Pdu::ScsiResponse { response: 0, status, qualifier: 0, itt, seq, residual, data });
            }
        }
    }
}

/// The header that a Reject sends back.
fn header_of(pdu: &Pdu) -> Header {
    let bytes = pdu.encode();
    let mut header = [0; 48];
    header.copy_from_slice(&bytes[..48]);
    header
}
