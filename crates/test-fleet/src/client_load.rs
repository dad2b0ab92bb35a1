//! Simulated clients that send requests at random times, whether or not earlier ones have ended (an open
//! loop), and record the outcome of each request.

use crate::load_plan::{ClassPlan, LoadPlan, RequestCounts};
use crate::recorder::Recorder;
use crate::response_reader::ResponseReader;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade_checker::{ClientOutcome, Idempotency, Micros, ProcessId, Request};
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

/// How long after its deadline a client waits for a response before it times out.
const TIMEOUT_MARGIN: Duration = Duration::from_millis(505);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The clients of one initiator. The process that serves as this initiator may be replaced.
pub struct ClientLoad {
    plan: LoadPlan,
    recorder: Rc<Recorder>,
    name: String,
    process: Cell<(ProcessId, SocketAddr)>,
    idle: RefCell<Vec<(ProcessId, TcpStream)>>,
    counts: Cell<RequestCounts>,
    in_flight: Cell<u64>,
    stopped: Cell<bool>,
    /// Whether clients may open new connections.
    connecting: Cell<bool>,
}

impl ClientLoad {
    /// Starts to send requests, until [`ClientLoad::stop`] is called. The ids of the requests begin with
    /// `name`.
    pub fn start(
        plan: LoadPlan,
        name: &str,
        process: ProcessId,
        addr: SocketAddr,
        recorder: Rc<Recorder>,
        seed: u64,
    ) -> Rc<ClientLoad> {
        let load = Rc::new(ClientLoad {
            plan,
            recorder,
            name: name.to_string(),
            process: Cell::new((process, addr)),
            idle: RefCell::default(),
            counts: Cell::default(),
            in_flight: Cell::new(0),
            stopped: Cell::new(false),
            connecting: Cell::new(true),
        });
        tokio::task::spawn_local(Rc::clone(&load).run(Pcg64Mcg::seed_from_u64(seed)));
        load
    }

    /// Sends later requests to another process. Open connections to the previous process stay in use until
    /// they are closed.
    pub fn switch_to(&self, process: ProcessId, addr: SocketAddr) {
        self.process.set((process, addr));
        self.connecting.set(true);
    }

    /// Clients keep their open connections and open no new ones, until [`ClientLoad::switch_to`] is called.
    pub fn stop_connecting(&self) {
        self.connecting.set(false);
    }

    /// Stops sending requests; requests in flight continue.
    pub fn stop(&self) {
        self.stopped.set(true);
    }

    /// Resolves when no request is in flight.
    pub async fn wait_until_idle(&self) {
        while self.in_flight.get() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }

    /// The outcomes of the requests that have ended so far.
    pub fn counts(&self) -> RequestCounts {
        self.counts.get()
    }

    async fn run(self: Rc<Self>, mut random: Pcg64Mcg) {
        let mut at = Instant::now();
        for number in 0u64.. {
            let gap = -random.random_range(f64::MIN_POSITIVE..1.0).ln() / self.plan.rate;
            at += Duration::from_secs_f64(gap);
            sleep_until(at).await;
            if self.stopped.get() {
                return;
            }
            let request = self.draw(&mut random, number);
            tokio::task::spawn_local(Rc::clone(&self).run_request(request));
        }
    }

    fn draw(&self, random: &mut Pcg64Mcg, number: u64) -> PlannedRequest {
        let mut drawn = random.random_range(0.0..1.0);
        let classes = &self.plan.classes;
        let class = classes.iter().find(|class| {
            drawn -= class.share;
            drawn < 0.0
        });
        let class = class.unwrap_or(&classes[classes.len() - 1]);
        let (volume, shards) = &self.plan.volumes[random.random_range(0..self.plan.volumes.len())];
        let shard = match random.random_bool(class.new_object_share) {
            true => -1,
            false => i64::from(shards[random.random_range(0..shards.len())]),
        };
        let disconnects = random.random_bool(self.plan.disconnect_share);
        let disconnects_after = disconnects.then(|| class.wait.mul_f64(random.random_range(0.0..1.0)));
        let id = format!("{}-{number}", self.name);
        let text = self.format_request(&id, class, *volume, shard, random.random());
        PlannedRequest { id, idempotency: class.idempotency, wait: class.wait, disconnects_after, text }
    }

    fn format_request(&self, id: &str, class: &ClassPlan, volume: u64, shard: i64, object: u64) -> String {
        let method = if class.write { "PUT" } else { "GET" };
        let key = match class.idempotency {
            Idempotency::KeyedWithin { .. } => format!("Idempotency-Key: {object:016x}\r\n"),
            _ => String::new(),
        };
        let (length, body) = if class.write { ("Content-Length: 4\r\n", "data") } else { ("", "") };
        let (name, wait, plan) = (class.name, class.wait.as_millis(), self.plan.plan);
        let (units, hosts) = (self.plan.units, self.plan.hosts);
        format!(
            "{method} /{name}/{volume:016x}/{object:016x} HTTP/1.1\r\nHost: api.internal\r\n\
             X-Correlation-Id: {id}\r\nX-Service-Class: {name}\r\nX-Qos-Policy: {plan}\r\n\
             X-Time-Left-Ms: {wait}\r\nX-Placement: units={units},shard={shard},hosts={hosts}\r\n\
             {key}{length}\r\n{body}"
        )
    }

    async fn run_request(self: Rc<Self>, request: PlannedRequest) {
        self.in_flight.set(self.in_flight.get() + 1);
        let Exchange { process, sent_at, outcome } = self.send(&request).await;
        self.recorder.record_request(Request {
            id: request.id,
            process,
            idempotency: request.idempotency,
            sent_at: self.recorder.micros_at(sent_at),
            wait: request.wait.as_micros() as Micros,
            outcome,
        });
        self.count(outcome);
        self.in_flight.set(self.in_flight.get() - 1);
    }

    fn count(&self, outcome: ClientOutcome) {
        let mut counts = self.counts.get();
        counts.sent += 1;
        match outcome {
            ClientOutcome::Answered { status: 200, .. } => counts.served += 1,
            ClientOutcome::Answered { .. } => counts.rejected += 1,
            ClientOutcome::NotAccepted => counts.not_accepted += 1,
            _ => counts.unanswered += 1,
        }
        self.counts.set(counts);
    }

    /// Sends a request on an idle connection or a new one.
    async fn send(&self, request: &PlannedRequest) -> Exchange {
        // Uses the most recently used idle connection first. If the initiator closed it before reading the
        // request, the request is sent again on another connection.
        loop {
            let Some((process, stream)) = self.idle.borrow_mut().pop() else { break };
            if let Some(exchange) = self.exchange(process, stream, request, false).await {
                return exchange;
            }
        }
        let (process, addr) = self.process.get();
        let not_accepted = Exchange { process, sent_at: Instant::now(), outcome: ClientOutcome::NotAccepted };
        if !self.connecting.get() {
            return not_accepted;
        }
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await;
        let Ok(Ok(stream)) = connected else { return not_accepted };
        self.exchange(process, stream, request, true).await.unwrap_or(not_accepted)
    }

    /// Sends one request on a connection; `first` if it is the first on that connection. Returns `None` if
    /// the request may be sent on another connection, since it was not read on this one.
    async fn exchange(
        &self,
        process: ProcessId,
        mut stream: TcpStream,
        request: &PlannedRequest,
        first: bool,
    ) -> Option<Exchange> {
        // Disables Nagle's algorithm: otherwise the last bytes of a request may wait for an acknowledgement.
        let _ = stream.set_nodelay(true);
        if stream.write_all(request.text.as_bytes()).await.is_err() {
            return None;
        }
        let sent_at = Instant::now();
        let until = sent_at + request.disconnects_after.unwrap_or(request.wait + TIMEOUT_MARGIN);
        let mut response = ResponseReader::default();
        let read = timeout_at(until, response.read(&mut stream)).await;
        let at = self.recorder.now();
        let outcome = match read {
            Err(_) if request.disconnects_after.is_some() => ClientOutcome::Disconnected { at },
            Err(_) => ClientOutcome::TimedOut { at },
            Ok(Ok(status)) => {
                if !response.closes {
                    self.idle.borrow_mut().push((process, stream));
                }
                ClientOutcome::Answered { at, status }
            }
            Ok(Err(_)) if response.started => ClientOutcome::Truncated { at },
            Ok(Err(_)) if !first => return None,
            Ok(Err(_)) => ClientOutcome::Closed { at, first },
        };
        Some(Exchange { process, sent_at, outcome })
    }
}

/// Sends a GET for a path and returns the response's status.
pub(crate) async fn get_status(addr: SocketAddr, path: &str) -> io::Result<u16> {
    let response = async {
        let mut stream = TcpStream::connect(addr).await?;
        let text = format!("GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(text.as_bytes()).await?;
        ResponseReader::default().read(&mut stream).await
    };
    timeout(CONNECT_TIMEOUT, response).await?
}

/// A request to send.
struct PlannedRequest {
    id: String,
    idempotency: Idempotency,
    wait: Duration,
    /// How long after sending the request the client disconnects. `None` if it waits for the response.
    disconnects_after: Option<Duration>,
    /// The encoded request: head and body.
    text: String,
}

/// The result of sending one request.
struct Exchange {
    process: ProcessId,
    /// When the last byte of the request was written.
    sent_at: Instant,
    outcome: ClientOutcome,
}
