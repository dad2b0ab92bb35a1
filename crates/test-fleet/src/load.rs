//! Clients that ask at random times whether or not earlier requests have their answers, and record how each
//! ended.

use crate::recorder::Recorder;
use bytes::BytesMut;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade_checker::{ClientEnd, Effect, ProcessId, Request};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

/// A client that has no answer this long after its time stops waiting.
const AFTER_ITS_TIME: Duration = Duration::from_millis(505);
const CONNECT: Duration = Duration::from_secs(1);
const LONGEST_HEAD: usize = 16 << 10;

/// A class of requests.
#[derive(Clone, Debug)]
pub struct ClassPlan {
    pub name: &'static str,
    /// Its part of all requests.
    pub share: f64,
    pub write: bool,
    pub effect: Effect,
    pub wait: Duration,
    /// The part of its requests that are for new objects.
    pub fresh: f64,
}

/// The co-operative's classes, with half of the deposits for new objects.
pub fn usual_classes() -> Vec<ClassPlan> {
    let class = |name, share, write, effect, wait, fresh| {
        let wait = Duration::from_millis(wait);
        ClassPlan { name, share, write, effect, wait, fresh }
    };
    vec![
        class("view", 0.55, false, Effect::Repeatable, 1_500, 0.0),
        class("deposit", 0.30, true, Effect::Keyed { span: 3_000_000 }, 3_000, 0.5),
        class("export", 0.15, false, Effect::Repeatable, 5_000, 0.0),
    ]
}

/// How long clients stay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Patience {
    /// The part of requests whose client leaves before its time is up.
    pub leaves: f64,
}

/// The traffic of one initiator's clients.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Requests a second, at random times.
    pub rate: f64,
    pub classes: Vec<ClassPlan>,
    pub plan: &'static str,
    /// Each volume with the shards that hold its data.
    pub volumes: Vec<(u64, Vec<u32>)>,
    pub units: f64,
    pub hosts: u32,
    pub patience: Patience,
}

/// What became of the requests of a load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub asked: u64,
    pub served: u64,
    /// Refused or failed.
    pub refused: u64,
    /// No connection could be made.
    pub not_taken: u64,
    /// The client left, or waited in vain, or its connection was closed.
    pub unanswered: u64,
}

impl Counts {
    pub fn and(self, other: Counts) -> Counts {
        Counts {
            asked: self.asked + other.asked,
            served: self.served + other.served,
            refused: self.refused + other.refused,
            not_taken: self.not_taken + other.not_taken,
            unanswered: self.unanswered + other.unanswered,
        }
    }

    /// The part that was served.
    pub fn share_served(&self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

/// The clients of one initiator, whose process may change.
pub struct Load {
    plan: LoadPlan,
    recorder: Rc<Recorder>,
    name: String,
    process: Cell<(ProcessId, SocketAddr)>,
    idle: RefCell<Vec<(ProcessId, TcpStream)>>,
    counts: Cell<Counts>,
    open: Cell<u64>,
    ended: Cell<bool>,
    /// New connections are made.
    connects: Cell<bool>,
}

impl Load {
    /// Begins to ask, until [`Load::end`]. `name` begins the ids of its requests.
    pub fn start(
        plan: LoadPlan,
        name: &str,
        process: ProcessId,
        addr: SocketAddr,
        recorder: Rc<Recorder>,
        seed: u64,
    ) -> Rc<Load> {
        let load = Rc::new(Load {
            plan,
            recorder,
            name: name.to_string(),
            process: Cell::new((process, addr)),
            idle: RefCell::default(),
            counts: Cell::default(),
            open: Cell::new(0),
            ended: Cell::new(false),
            connects: Cell::new(true),
        });
        tokio::task::spawn_local(Rc::clone(&load).run(Pcg64Mcg::seed_from_u64(seed)));
        load
    }

    /// Later requests go to another process. Connections to the one before stay in use for as long as they
    /// are open.
    pub fn turn_to(&self, process: ProcessId, addr: SocketAddr) {
        self.process.set((process, addr));
        self.connects.set(true);
    }

    /// Clients keep the connections that they have and make no new ones, until [`Load::turn_to`].
    pub fn keep_connections(&self) {
        self.connects.set(false);
    }

    /// No more requests; those that are open go on.
    pub fn end(&self) {
        self.ended.set(true);
    }

    /// Resolves once no request is open.
    pub async fn settled(&self) {
        while self.open.get() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    pub fn counts(&self) -> Counts {
        self.counts.get()
    }

    async fn run(self: Rc<Self>, mut random: Pcg64Mcg) {
        let mut at = Instant::now();
        for number in 0u64.. {
            let gap = -random.random_range(f64::MIN_POSITIVE..1.0).ln() / self.plan.rate;
            at += Duration::from_secs_f64(gap);
            sleep_until(at).await;
            if self.ended.get() {
                return;
            }
            let asked = self.draw(&mut random, number);
            tokio::task::spawn_local(Rc::clone(&self).one(asked));
        }
    }

    fn draw(&self, random: &mut Pcg64Mcg, number: u64) -> Asked {
        let mut drawn = random.random_range(0.0..1.0);
        let classes = &self.plan.classes;
        let class = classes.iter().find(|class| {
            drawn -= class.share;
            drawn < 0.0
        });
        let class = class.unwrap_or(&classes[classes.len() - 1]);
        let (volume, shards) = &self.plan.volumes[random.random_range(0..self.plan.volumes.len())];
        let shard = match random.random_bool(class.fresh) {
            true => -1,
            false => i64::from(shards[random.random_range(0..shards.len())]),
        };
        let leaves = random.random_bool(self.plan.patience.leaves);
        let leaves_after = leaves.then(|| class.wait.mul_f64(random.random_range(0.0..1.0)));
        let id = format!("{}-{number}", self.name);
        let text = self.text(&id, class, *volume, shard, random.random());
        Asked { id, effect: class.effect, wait: class.wait, leaves_after, text }
    }

    fn text(&self, id: &str, class: &ClassPlan, volume: u64, shard: i64, piece: u64) -> String {
        let method = if class.write { "PUT" } else { "GET" };
        let key = match class.effect {
            Effect::Keyed { .. } => format!("Idempotency-Key: {piece:016x}\r\n"),
            _ => String::new(),
        };
        let (length, body) = if class.write { ("Content-Length: 4\r\n", "data") } else { ("", "") };
        let (name, wait, plan) = (class.name, class.wait.as_millis(), self.plan.plan);
        let (units, hosts) = (self.plan.units, self.plan.hosts);
        format!(
            "{method} /{name}/{volume:016x}/{piece:016x} HTTP/1.1\r\nHost: api.internal\r\n\
             X-Correlation-Id: {id}\r\nX-Service-Class: {name}\r\nX-Qos-Policy: {plan}\r\n\
             X-Time-Left-Ms: {wait}\r\nX-Placement: units={units},shard={shard},hosts={hosts}\r\n\
             {key}{length}\r\n{body}"
        )
    }

    async fn one(self: Rc<Self>, asked: Asked) {
        self.open.set(self.open.get() + 1);
        let (process, sent, end) = self.ask(&asked).await;
        let sent = self.recorder.at(sent);
        let wait = asked.wait.as_micros() as u64;
        self.recorder.request(Request { id: asked.id, process, effect: asked.effect, sent, wait, end });
        let mut counts = self.counts.get();
        counts.asked += 1;
        match end {
            ClientEnd::Answered { status: 200, .. } => counts.served += 1,
            ClientEnd::Answered { .. } => counts.refused += 1,
            ClientEnd::NotTaken => counts.not_taken += 1,
            _ => counts.unanswered += 1,
        }
        self.counts.set(counts);
        self.open.set(self.open.get() - 1);
    }

    /// The process that was asked, when the last byte was written, and how it ended.
    async fn ask(&self, asked: &Asked) -> (ProcessId, Instant, ClientEnd) {
        // The last used first. One that the initiator closed meanwhile has not read the request, which is
        // sent once more on a new connection.
        loop {
            let Some((process, stream)) = self.idle.borrow_mut().pop() else { break };
            if let Some(end) = self.exchange(process, stream, asked, false).await {
                return end;
            }
        }
        let (process, addr) = self.process.get();
        let not_taken = (process, Instant::now(), ClientEnd::NotTaken);
        if !self.connects.get() {
            return not_taken;
        }
        let Ok(Ok(stream)) = timeout(CONNECT, TcpStream::connect(addr)).await else { return not_taken };
        self.exchange(process, stream, asked, true).await.unwrap_or(not_taken)
    }

    /// One request on a connection. None: it may be sent on another, since this one has not taken it.
    async fn exchange(
        &self,
        process: ProcessId,
        mut stream: TcpStream,
        asked: &Asked,
        fresh: bool,
    ) -> Option<(ProcessId, Instant, ClientEnd)> {
        // Without it the last bytes of a request may wait for an acknowledgement.
        let _ = stream.set_nodelay(true);
        if stream.write_all(asked.text.as_bytes()).await.is_err() {
            return None;
        }
        let sent = Instant::now();
        let until = sent + asked.leaves_after.unwrap_or(asked.wait + AFTER_ITS_TIME);
        let mut answer = Answer::default();
        let read = timeout_at(until, answer.read(&mut stream)).await;
        let at = self.recorder.now();
        let end = match read {
            Err(_) if asked.leaves_after.is_some() => ClientEnd::Left { at },
            Err(_) => ClientEnd::WaitedInVain { at },
            Ok(Ok(status)) => {
                if !answer.closes {
                    self.idle.borrow_mut().push((process, stream));
                }
                ClientEnd::Answered { at, status }
            }
            Ok(Err(_)) if answer.begun => ClientEnd::CutShort { at },
            Ok(Err(_)) if !fresh => return None,
            Ok(Err(_)) => ClientEnd::Closed { at, first: true },
        };
        Some((process, sent, end))
    }
}

/// The status of a path's answer.
pub(crate) async fn status_of(addr: SocketAddr, path: &str) -> io::Result<u16> {
    let asked = async {
        let mut stream = TcpStream::connect(addr).await?;
        let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(text.as_bytes()).await?;
        Answer::default().read(&mut stream).await
    };
    timeout(CONNECT, asked).await?
}

/// A request to be made.
struct Asked {
    id: String,
    effect: Effect,
    wait: Duration,
    leaves_after: Option<Duration>,
    text: String,
}

/// An answer as it comes.
#[derive(Default)]
struct Answer {
    /// A byte of it has come.
    begun: bool,
    /// Its connection ends with it.
    closes: bool,
}

/// Where the body of an answer ends.
enum Framing {
    Length(usize),
    Chunked,
    Close,
}

impl Answer {
    /// Reads an answer whole, and returns its status.
    async fn read(&mut self, stream: &mut TcpStream) -> io::Result<u16> {
        let mut buffer = BytesMut::new();
        let (status, framing) = loop {
            if let Some((length, status, framing)) = self.head(&buffer)? {
                drop(buffer.split_to(length));
                break (status, framing);
            }
            self.more(stream, &mut buffer).await?;
        };
        match framing {
            Framing::Length(length) => {
                while buffer.len() < length {
                    self.more(stream, &mut buffer).await?;
                }
            }
            Framing::Chunked => {
                while !buffer.ends_with(b"0\r\n\r\n") {
                    self.more(stream, &mut buffer).await?;
                }
            }
            Framing::Close => {
                self.closes = true;
                while stream.read_buf(&mut buffer).await? > 0 {
                    buffer.clear();
                }
            }
        }
        Ok(status)
    }

    async fn more(&mut self, stream: &mut TcpStream, buffer: &mut BytesMut) -> io::Result<()> {
        if stream.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.begun = true;
        Ok(())
    }

    /// The length of the head, its status, and where the body ends; none: it is not whole yet.
    fn head(&mut self, buffer: &[u8]) -> io::Result<Option<(usize, u16, Framing)>> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Response::new(&mut headers);
        let bad = |_| io::Error::from(io::ErrorKind::InvalidData);
        let length = match head.parse(buffer).map_err(bad)? {
            httparse::Status::Complete(length) => length,
            httparse::Status::Partial if buffer.len() > LONGEST_HEAD => {
                return Err(io::ErrorKind::InvalidData.into());
            }
            httparse::Status::Partial => return Ok(None),
        };
        let value = |name: &str| {
            let header = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
            header.and_then(|header| std::str::from_utf8(header.value).ok())
        };
        self.closes = value("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let framing = match value("content-length").and_then(|value| value.trim().parse().ok()) {
            Some(length) => Framing::Length(length),
            None if value("transfer-encoding").is_some() => Framing::Chunked,
            None => Framing::Close,
        };
        Ok(Some((length, head.code.unwrap_or(0), framing)))
    }
}
