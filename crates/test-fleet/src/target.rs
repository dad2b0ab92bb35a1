//! A stub target: executes requests in a number of slots with a first-in, first-out queue, deduplicates keyed
//! writes, and injects faults on command.

use crate::deduplication::{DeduplicationScope, KeyedWrite};
use crate::http::{Connection, Request, Response};
use crate::ports::reserve_port;
use crate::recorder::AttemptRecord;
use crate::target_counters::TargetCounters;
use crate::target_plan::{TargetFault, TargetPlan};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// How often a restarted target tries to bind its address again before it fails.
const MAX_BIND_ATTEMPTS: usize = 200;
/// The pause after a failed bind or accept.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// A target that listens on a loopback address.
pub struct StubTarget {
    name: String,
    shard: u32,
    plan: TargetPlan,
    deduplication_scope: DeduplicationScope,
    addr: SocketAddr,
    #[expect(dead_code, reason = "reserves the port while no process listens on it")]
    port: socket2::Socket,
    slots: Semaphore,
    in_flight: Cell<u64>,
    fault: RefCell<TargetFault>,
    draining: Cell<bool>,
    started_at: Cell<Instant>,
    started_unix_ms: Cell<u64>,
    counters: RefCell<TargetCounters>,
    received: RefCell<Vec<(Instant, String)>>,
    random: RefCell<Pcg64Mcg>,
    /// The number of the current process; a change ends the previous process.
    incarnation: watch::Sender<u64>,
}

impl StubTarget {
    /// Starts a target that counts as fully warmed up.
    ///
    /// # Errors
    /// The socket cannot be bound.
    pub async fn start(
        name: String,
        shard: u32,
        plan: TargetPlan,
        deduplication_scope: DeduplicationScope,
        seed: u64,
    ) -> io::Result<Rc<StubTarget>> {
        let port = reserve_port()?;
        let addr = port.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let listener = TcpListener::bind(addr).await?;
        let warm_since = Instant::now().checked_sub(plan.warm_within).unwrap_or_else(Instant::now);
        let target = Rc::new(StubTarget {
            name,
            shard,
            deduplication_scope,
            addr,
            port,
            slots: Semaphore::new(plan.slots),
            plan,
            in_flight: Cell::new(0),
            fault: RefCell::default(),
            draining: Cell::new(false),
            started_at: Cell::new(warm_since),
            started_unix_ms: Cell::new(0),
            counters: RefCell::default(),
            received: RefCell::default(),
            random: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            incarnation: watch::Sender::new(1),
        });
        tokio::task::spawn_local(Rc::clone(&target).accept(listener));
        Ok(target)
    }

    /// The target's name in the endpoint list.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The address that the target listens on, the same for all incarnations.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The shard that the target stores.
    pub fn shard(&self) -> u32 {
        self.shard
    }

    /// The Unix time of the last restart, in milliseconds. 0 if the target was never restarted.
    pub fn started_ms(&self) -> u64 {
        self.started_unix_ms.get()
    }

    /// The counts over all incarnations so far.
    pub fn counters(&self) -> TargetCounters {
        self.counters.borrow().clone()
    }

    /// When each request was received, and its path. Empty unless [`TargetPlan::keeps_requests`] is set.
    pub fn received(&self) -> Vec<(Instant, String)> {
        self.received.borrow().clone()
    }

    /// The target's deduplication scope.
    pub fn deduplication_scope(&self) -> &DeduplicationScope {
        &self.deduplication_scope
    }

    /// Injects a fault, which replaces the previous one.
    pub fn inject(&self, fault: TargetFault) {
        *self.fault.borrow_mut() = fault;
    }

    /// Starts or stops rejecting new requests.
    pub fn set_draining(&self, draining: bool) {
        self.draining.set(draining);
    }

    /// Whether the target rejects new requests.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Ends the target's process: connections are reset, and new ones refused.
    pub fn kill(&self) {
        self.incarnation.send_modify(|number| *number += 1);
    }

    /// Restarts the target cold at the same address. Its deduplication scope keeps the executions before the
    /// restart.
    ///
    /// # Errors
    /// The address cannot be bound again.
    pub async fn restart(self: &Rc<Self>) -> io::Result<()> {
        self.kill();
        let listener = self.bind_again().await?;
        self.started_at.set(Instant::now());
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.started_unix_ms.set(unix.as_millis() as u64);
        self.draining.set(false);
        tokio::task::spawn_local(Rc::clone(self).accept(listener));
        Ok(())
    }

    /// Retries, since the listener of the previous incarnation is closed only when its task ends.
    async fn bind_again(&self) -> io::Result<TcpListener> {
        let mut attempts = 0;
        loop {
            tokio::task::yield_now().await;
            match TcpListener::bind(self.addr).await {
                Ok(listener) => return Ok(listener),
                Err(error) if attempts >= MAX_BIND_ATTEMPTS => return Err(error),
                Err(_) => attempts += 1,
            }
            sleep(RETRY_PAUSE).await;
        }
    }

    /// The fraction of its capacity that the target has reached while warming up, between 0 and 1.
    pub fn capacity(&self) -> f64 {
        let warm = self.plan.warm_within.as_secs_f64();
        let part = if warm > 0.0 { self.started_at.get().elapsed().as_secs_f64() / warm } else { 1.0 };
        self.plan.initial_capacity + (1.0 - self.plan.initial_capacity) * part.min(1.0)
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut incarnation = self.incarnation.subscribe();
        loop {
            tokio::select! {
                _ = incarnation.changed() => return,
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else {
                        sleep(RETRY_PAUSE).await;
                        continue;
                    };
                    self.counters.borrow_mut().connections += 1;
                    tokio::task::spawn_local(Rc::clone(&self).serve_until_killed(stream));
                }
            }
        }
    }

    async fn serve_until_killed(self: Rc<Self>, stream: TcpStream) {
        // Disables Nagle's algorithm: otherwise the last bytes of a response may wait for an acknowledgement.
        let _ = stream.set_nodelay(true);
        let mut incarnation = self.incarnation.subscribe();
        let mut connection = Connection::new(stream);
        tokio::select! {
            _ = incarnation.changed() => connection.reset(),
            ended = self.serve(&mut connection) => if matches!(ended, Ok(ConnectionEnd::Reset)) {
                connection.reset();
            },
        }
    }

    fn draw(&self, share: f64) -> bool {
        share > 0.0 && self.random.borrow_mut().random_bool(share.min(1.0))
    }

    async fn serve(&self, connection: &mut Connection) -> io::Result<ConnectionEnd> {
        while let Some(request) = connection.read_head().await? {
            let fault = self.fault.borrow().clone();
            let record = self.record_attempt(&request);
            if self.draw(fault.reset_share) {
                connection.skip_body(request.body_bytes / 2).await?;
                self.counters.borrow_mut().resets += 1;
                return Ok(ConnectionEnd::Reset);
            }
            connection.skip_body(request.body_bytes).await?;
            record.iter().for_each(AttemptRecord::record_received);
            match self.handle(&request, &fault).await {
                Some(response) => {
                    record.iter().for_each(|record| record.record_response(&response));
                    connection.respond(response).await?;
                }
                None => {
                    // Sends nothing until the client closes the connection or sends another request.
                    let _ = connection.read_head().await;
                    return Ok(ConnectionEnd::Closed);
                }
            }
        }
        Ok(ConnectionEnd::Closed)
    }

    /// Records the start of an attempt. `None` if nothing is recorded, or if the request is a probe.
    fn record_attempt(&self, request: &Request) -> Option<AttemptRecord> {
        let recorder = self.plan.recorder.as_ref()?;
        recorder.record_attempt(request, &self.name, self.shard)
    }

    /// The response to a request. `None` if it is never answered.
    async fn handle(&self, request: &Request, fault: &TargetFault) -> Option<Response> {
        if request.target == "/alive" {
            return Some(Response::new(if self.draining.get() { 503 } else { 200 }));
        }
        let class = request.target.split('/').nth(1).unwrap_or_default();
        self.count_received(request, class);
        if fault.silent {
            self.counters.borrow_mut().silent += 1;
            return None;
        }
        if self.draining.get() || fault.rejects || self.waiting() >= self.plan.queue_capacity as u64 {
            self.counters.borrow_mut().rejected += 1;
            let mut response = Response::new(503);
            response.headers.push(("X-Unprocessed", "1".into()));
            return Some(self.with_load_report(response));
        }
        if self.draw(fault.error_share) {
            self.counters.borrow_mut().errors += 1;
            return Some(self.with_load_report(Response::new(500)));
        }
        self.execute(request, class, fault).await
    }

    fn count_received(&self, request: &Request, class: &str) {
        if self.plan.keeps_requests {
            self.received.borrow_mut().push((Instant::now(), request.target.clone()));
        }
        let mut counters = self.counters.borrow_mut();
        counters.received += 1;
        *counters.per_class.entry(class.to_string()).or_default() += 1;
        if self.draining.get() {
            counters.received_draining += 1;
        }
    }

    async fn execute(&self, request: &Request, class: &str, fault: &TargetFault) -> Option<Response> {
        let in_flight = InFlight::begin(&self.in_flight);
        {
            let mut counters = self.counters.borrow_mut();
            counters.max_in_flight = counters.max_in_flight.max(self.in_flight.get());
        }
        let _slot = self.slots.acquire().await.ok()?;
        let stalled = fault.stalled_until.or(self.fault.borrow().stalled_until);
        if let Some(until) = stalled {
            sleep_until(until).await;
        }
        let key = request.header("idempotency-key");
        let write = key.map(|key| self.deduplication_scope.execute(key, Instant::now()));
        let service_time = self.service_time(class, fault);
        if write != Some(KeyedWrite::Suppressed) && !service_time.is_zero() {
            sleep(service_time).await;
        }
        drop(in_flight);
        {
            let mut counters = self.counters.borrow_mut();
            counters.served += 1;
            counters.writes_executed += u64::from(write == Some(KeyedWrite::Executed));
            counters.writes_suppressed += u64::from(write == Some(KeyedWrite::Suppressed));
        }
        let mut response = Response::new(200);
        response.body =
            if request.method == "GET" { vec![b'.'; self.plan.response_bytes] } else { b"kept".to_vec() };
        Some(self.with_load_report(response))
    }

    /// The service time of a request of this class: with a random variation of up to 20 %, the fault's
    /// slowdown and the current capacity.
    fn service_time(&self, class: &str, fault: &TargetFault) -> Duration {
        let usual = self.plan.service_times.get(class).copied().unwrap_or(self.plan.default_service_time);
        let spread = self.random.borrow_mut().random_range(0.8..1.2);
        let slowdown = if fault.slowdown > 1.0 { fault.slowdown } else { 1.0 };
        usual.mul_f64(spread * slowdown / self.capacity().max(0.01))
    }

    /// The number of requests waiting for a slot.
    fn waiting(&self) -> u64 {
        self.in_flight.get().saturating_sub(self.plan.slots as u64)
    }

    fn with_load_report(&self, mut response: Response) -> Response {
        response.headers.push(("X-Backend-Load", format!("TEXT depth={}", self.waiting())));
        response
    }
}

/// How to end a connection.
enum ConnectionEnd {
    Closed,
    Reset,
}

/// Counts a request that waits or is executed, until it is dropped, at the latest with its connection.
struct InFlight<'a>(&'a Cell<u64>);

impl InFlight<'_> {
    fn begin(count: &Cell<u64>) -> InFlight<'_> {
        count.set(count.get() + 1);
        InFlight(count)
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
