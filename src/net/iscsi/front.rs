//! Sessions that come in: this side is the target.

use crate::core::{Answer, Content, Handle, Order, Origin, Unfit, Wire};
use crate::net::Phase;
use crate::net::close::{LINGER, close};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::future::{AbortHandle, Abortable, LocalBoxFuture};
use futures_util::stream::FuturesUnordered;
use rowanglade_iscsi::frame::{Frames, LARGEST_SEGMENT, Unreadable};
use rowanglade_iscsi::login::{self, Session as Settled};
use rowanglade_iscsi::pdu::{Header, NO_TAG, Pdu, RejectReason, Residual, Sequence};
use rowanglade_iscsi::scsi::{self, Command, Sense};
use std::cell::Cell;
use std::collections::HashMap;
use std::io;
use std::net::IpAddr;
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
    pub core: Handle,
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
    pub most_sessions: usize,
    /// Sessions open now.
    pub sessions: Rc<Cell<usize>>,
}

/// Accepts sessions until dropped. Sessions go on by themselves.
pub async fn serve(listener: TcpListener, front: Rc<Front>) {
    let mut number: u64 = 0;
    let mut phase = front.phase.clone();
    loop {
        let accepting = phase.borrow_and_update().accepts();
        let accepted = tokio::select! {
            accepted = listener.accept(), if accepting => accepted,
            Ok(()) = phase.changed() => continue,
        };
        match accepted {
            Ok((stream, _)) if front.sessions.get() < front.most_sessions => {
                number += 1;
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
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

async fn session(front: &Front, stream: TcpStream, number: u64) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let client = stream.peer_addr().ok().map(|peer| peer.ip());
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
    client: Option<IpAddr>,
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
        tasks: HashMap::new(),
        answers: FuturesUnordered::new(),
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
type Ended = (u32, Option<u32>, Result<Answer, Unfit>);

struct Session<'a> {
    front: &'a Front,
    client: Option<IpAddr>,
    number: u64,
    settled: Settled,
    stat_sn: u32,
    exp_cmd_sn: u32,
    out: &'a mut OwnedWriteHalf,
    tasks: HashMap<u32, Task>,
    /// Dropped with the session, they tell the core that the client has gone.
    answers: FuturesUnordered<Abortable<LocalBoxFuture<'static, Ended>>>,
    taken: u64,
}

impl Session<'_> {
    async fn run(mut self, frames: &mut Frames<OwnedReadHalf>) -> io::Result<()> {
        let mut ending = self.front.ending.clone();
        let mut asked_to_leave = false;
        loop {
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
            tokio::select! {
                pdu = frames.next() => match pdu {
                    Ok(Pdu::LogoutRequest { itt, .. }) => {
                        let seq = self.sequence(true);
                        return self.send(&Pdu::LogoutResponse { response: 0, itt, seq }).await;
                    }
                    Ok(pdu) => self.take(pdu).await?,
                    Err(Unreadable::Rejected(reason, header)) => self.reject(reason, &header).await?,
                    Err(Unreadable::TooLong(header)) => {
                        self.reject(RejectReason::InvalidField, &header).await?;
                        return Err(io::ErrorKind::InvalidData.into());
                    }
                    Err(Unreadable::Io(e)) => return Err(e),
                    Err(Unreadable::End) => return Ok(()),
                },
                Some(ended) = self.answers.next() => {
                    // An aborted task has been answered by its task management response.
                    if let Ok((itt, expected, answer)) = ended {
                        self.tasks.remove(&itt);
                        match answer {
                            Ok(answer) => self.answer(itt, expected, answer).await?,
                            Err(unfit) => {
                                tracing::debug!(%unfit, "a command is turned away");
                                self.check(itt, scsi::INVALID_FIELD).await?;
                            }
                        }
                    }
                }
                () = late => self.give_up_late().await?,
                changed = ending.wait_for(|on| *on), if !asked_to_leave => {
                    asked_to_leave = true;
                    if changed.is_ok() {
                        let seq = self.sequence(true);
                        self.send(&Pdu::Async { event: LOGOUT_REQUESTED, seq, parameters: [0, 0, 3] }).await?;
                    }
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

    async fn send(&mut self, pdu: &Pdu) -> io::Result<()> {
        tokio::time::timeout(UNREAD, self.out.write_all(&pdu.encode())).await?
    }

    async fn reject(&mut self, reason: RejectReason, header: &Header) -> io::Result<()> {
        let seq = self.sequence(true);
        self.send(&Pdu::Reject { reason: reason as u8, seq, data: Bytes::copy_from_slice(header) }).await
    }

    async fn status(&mut self, itt: u32, status: u8, wait: Duration, sense: Option<Sense>) -> io::Result<()> {
        let seq = self.sequence(true);
        let data = sense.map(Sense::encode).unwrap_or_default();
        let (qualifier, residual) = (scsi::qualifier(wait), Residual::None);
        self.send(&Pdu::ScsiResponse { response: 0, status, qualifier, itt, seq, residual, data }).await
    }

    async fn check(&mut self, itt: u32, sense: Sense) -> io::Result<()> {
        self.status(itt, scsi::CHECK_CONDITION, Duration::ZERO, Some(sense)).await
    }

    /// On one connection commands come in order: one out of order breaks the protocol.
    fn count(&mut self, immediate: bool, cmd_sn: u32) -> bool {
        if cmd_sn != self.exp_cmd_sn {
            return false;
        }
        self.exp_cmd_sn = self.exp_cmd_sn.wrapping_add(u32::from(!immediate));
        true
    }

    async fn take(&mut self, pdu: Pdu) -> io::Result<()> {
        let (immediate, cmd_sn) = match &pdu {
            Pdu::NopOut { immediate, cmd_sn, .. }
            | Pdu::ScsiCommand { immediate, cmd_sn, .. }
            | Pdu::TaskRequest { immediate, cmd_sn, .. } => (*immediate, *cmd_sn),
            Pdu::DataOut { .. } => (true, self.exp_cmd_sn),
            _ => {
                let header = header_of(&pdu);
                return self.reject(RejectReason::ProtocolError, &header).await;
            }
        };
        if !self.count(immediate, cmd_sn) {
            let header = header_of(&pdu);
            return self.reject(RejectReason::ProtocolError, &header).await;
        }
        match pdu {
            Pdu::NopOut { lun, itt, data, .. } if itt != NO_TAG => {
                let seq = self.sequence(true);
                self.send(&Pdu::NopIn { lun, itt, ttt: NO_TAG, seq, data }).await
            }
            Pdu::ScsiCommand { lun, itt, length, write, cdb, data, .. } => {
                self.command(lun, itt, length, write, &cdb, data).await
            }
            Pdu::TaskRequest { function, itt, referenced, .. } => {
                let response = match (function, self.tasks.remove(&referenced)) {
                    (ABORT_TASK, Some(Task::Open(handle))) => {
                        handle.abort();
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
                self.send(&Pdu::TaskResponse { response, itt, seq }).await
            }
            Pdu::DataOut { last, itt, offset, ref data, .. } => {
                let Some(Task::Gathering(g)) = self.tasks.get_mut(&itt) else {
                    // Data for a task that was aborted or given up may still be under way.
                    return Ok(());
                };
                let fits = offset as usize == g.data.len() && g.data.len() + data.len() <= g.length as usize;
                g.data.extend_from_slice(data);
                if !fits || (last && g.data.len() < g.length as usize) {
                    self.tasks.remove(&itt);
                    return self.check(itt, scsi::DATA_PHASE).await;
                }
                if g.data.len() == g.length as usize
                    && let Some(Task::Gathering(g)) = self.tasks.remove(&itt)
                {
                    self.submit(itt, g.lun, g.command, None, g.data.freeze());
                }
                Ok(())
            }
            _ => Ok(()),
        }
    }

    async fn command(
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
            return self.status(itt, scsi::TASK_SET_FULL, FULL_ADVICE, None).await;
        }
        let command = match Command::decode(cdb) {
            Ok(command) => command,
            Err(sense) => return self.check(itt, sense).await,
        };
        if !self.front.luns.contains_key(&lun) {
            return self.check(itt, scsi::NO_SUCH_LUN).await;
        }
        let asked = u64::from(command.blocks) * u64::from(scsi::BLOCK);
        let Some((_, deadline)) = self.front.classes.get(usize::from(command.group)) else {
            return self.check(itt, scsi::INVALID_FIELD).await;
        };
        let odd = command.blocks == 0 || asked > u64::from(LARGEST_WRITE) || data.len() > length as usize;
        if odd || asked != u64::from(length) || command.write != write {
            return self.check(itt, scsi::INVALID_FIELD).await;
        }
        if !command.write {
            self.submit(itt, lun, command, Some(length), Bytes::new());
            return Ok(());
        }
        if data.len() == length as usize {
            self.submit(itt, lun, command, None, data);
            return Ok(());
        }
        let offset = data.len() as u32;
        let until = Instant::now() + *deadline;
        self.tasks.insert(itt, Task::Gathering(Gathering { lun, command, length, data: data.into(), until }));
        let seq = self.sequence(false);
        self.send(&Pdu::R2t { lun, itt, ttt: itt, seq, r2t_sn: 0, offset, length: length - offset }).await
    }

    async fn give_up_late(&mut self) -> io::Result<()> {
        let now = Instant::now();
        let late = |t: &Task| matches!(t, Task::Gathering(g) if g.until <= now);
        let late: Vec<u32> = self.tasks.iter().filter(|(_, t)| late(t)).map(|(itt, _)| *itt).collect();
        for itt in late {
            self.tasks.remove(&itt);
            self.check(itt, scsi::DATA_PHASE).await?;
        }
        Ok(())
    }

    /// Hands a whole command to the core.
    fn submit(&mut self, itt: u32, lun: u64, command: Command, expected: Option<u32>, body: Bytes) {
        let (Some(volume), Some((class, deadline))) =
            (self.front.luns.get(&lun), self.front.classes.get(usize::from(command.group)))
        else {
            return;
        };
        self.taken += 1;
        let id = format!("{}.{}.{}", self.settled.initiator, self.number, self.taken);
        let order = Order {
            origin: Origin { front: Wire::Iscsi, client: self.client },
            class: class.clone(),
            plan: volume.plan.clone(),
            write: command.write,
            volume: lun,
            piece: command.address,
            more: None,
            locator: format!("/{class}/{lun:016x}/{:016x}", command.address),
            repeat_key: command.write.then(|| id.clone()),
            id,
            units: f64::from(command.blocks.div_ceil(self.front.blocks_per_unit)),
            shard: volume.shard,
            hosts: volume.hosts,
            length: command.blocks * scsi::BLOCK,
            body,
            time_left: *deadline,
        };
        let core = self.front.core.clone();
        let answer: LocalBoxFuture<'static, Ended> = Box::pin(async move {
            let answer = match core.submit(order).await {
                Ok(pending) => Ok(pending.answer().await),
                Err(unfit) => Err(unfit),
            };
            (itt, expected, answer)
        });
        let (handle, registration) = AbortHandle::new_pair();
        self.tasks.insert(itt, Task::Open(handle));
        self.answers.push(Abortable::new(answer, registration));
    }

    async fn answer(&mut self, itt: u32, expected: Option<u32>, answer: Answer) -> io::Result<()> {
        match answer {
            Answer::Refused { wait } | Answer::Away { wait, .. } => {
                self.status(itt, scsi::BUSY, wait, None).await
            }
            Answer::Failed => self.check(itt, scsi::NO_ANSWER).await,
            Answer::Served(Content::Streamed(_)) => self.check(itt, scsi::NO_ANSWER).await,
            Answer::Served(Content::Whole(body)) => {
                let Some(expected) = expected else {
                    return self.status(itt, scsi::GOOD, Duration::ZERO, None).await;
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
                    self.send(&Pdu::DataIn { last, status: None, itt, seq, data_sn, offset: offset32, data })
                        .await?;
                    (offset, data_sn) = (end, data_sn + 1);
                }
                let seq = self.sequence(true);
                let (status, data) = (scsi::GOOD, Bytes::new());
                self.send(&Pdu::ScsiResponse { response: 0, status, qualifier: 0, itt, seq, residual, data })
                    .await
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
