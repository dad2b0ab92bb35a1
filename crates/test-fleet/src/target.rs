//! A stub target: slots that work, a queue in order of arrival, deduplication of keyed writes, and faults on
//! command.

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

/// A restarted target binds its address again at most so often, with a pause between.
const MAX_BIND_ATTEMPTS: usize = 200;
/// The pause after a failed bind or accept.
const RETRY_PAUSE: Duration = Duration::from_millis(5);

/// A target that listens on the loopback address.
pub struct StubTarget {
    name: String,
    shard: u32,
    plan: TargetPlan,
    deduplication_scope: DeduplicationScope,
    addr: SocketAddr,
    #[expect(dead_code, reason = "its port is nobody else's while its process is away")]
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
    /// The number of its process; a change ends the one before.
    incarnation: watch::Sender<u64>,
}

impl StubTarget {
    /// Starts a target that has been up for long.
    ///
    /// # Errors
    /// No socket can be bound.
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

    /// Its name in the endpoint list.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Where it listens, for all of its incarnations.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// The shard that it holds.
    pub fn shard(&self) -> u32 {
        self.shard
    }

    /// Unix time of the last start, in milliseconds; 0: long ago.
    pub fn started_ms(&self) -> u64 {
        self.started_unix_ms.get()
    }

    /// What it has seen so far, in all of its incarnations.
    pub fn counters(&self) -> TargetCounters {
        self.counters.borrow().clone()
    }

    /// When each request was received, and its path; empty unless the plan asks for it.
    pub fn received(&self) -> Vec<(Instant, String)> {
        self.received.borrow().clone()
    }

    /// Its memory of keyed writes.
    pub fn deduplication_scope(&self) -> &DeduplicationScope {
        &self.deduplication_scope
    }

    /// Has it misbehave from now on.
    pub fn inject(&self, fault: TargetFault) {
        *self.fault.borrow_mut() = fault;
    }

    /// Has it reject new requests, or no longer.
    pub fn set_draining(&self, draining: bool) {
        self.draining.set(draining);
    }

    /// Whether new requests are rejected.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Ends its process: connections are reset, new ones refused.
    pub fn kill(&self) {
        self.incarnation.send_modify(|number| *number += 1);
    }

    /// Starts it again, cold, at its address. Its deduplication scope remembers what it did before.
    ///
    /// # Errors
    /// Its address cannot be bound again.
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

    /// The listener of the incarnation before ends with its task.
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

    /// The part of its capacity that it has by now, between 0 and 1.
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
        // Without it the last bytes of a response may wait for an acknowledgement.
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
            let record = self.record(&request);
            if self.draw(fault.reset_share) {
                connection.skip_body(request.body_bytes / 2).await?;
                self.counters.borrow_mut().resets += 1;
                return Ok(ConnectionEnd::Reset);
            }
            connection.skip_body(request.body_bytes).await?;
            record.iter().for_each(AttemptRecord::received);
            match self.handle(&request, &fault).await {
                Some(response) => {
                    record.iter().for_each(|record| record.answered(&response));
                    connection.respond(response).await?;
                }
                None => {
                    // Silent until the other side has had enough.
                    let _ = connection.read_head().await;
                    return Ok(ConnectionEnd::Closed);
                }
            }
        }
        Ok(ConnectionEnd::Closed)
    }

    /// Records an attempt that begins; probes are none.
    fn record(&self, request: &Request) -> Option<AttemptRecord> {
        let recorder = self.plan.recorder.as_ref()?;
        recorder.attempt(request, &self.name, self.shard)
    }

    /// The response to a request; none: there is never one.
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

    /// The service time of a request of this class with the fault and the capacity of now, and chance.
    fn service_time(&self, class: &str, fault: &TargetFault) -> Duration {
        let usual = self.plan.service_times.get(class).copied().unwrap_or(self.plan.default_service_time);
        let spread = self.random.borrow_mut().random_range(0.8..1.2);
        let slowdown = if fault.slowdown > 1.0 { fault.slowdown } else { 1.0 };
        usual.mul_f64(spread * slowdown / self.capacity().max(0.01))
    }

    /// Requests that wait for a slot.
    fn waiting(&self) -> u64 {
        self.in_flight.get().saturating_sub(self.plan.slots as u64)
    }

    fn with_load_report(&self, mut response: Response) -> Response {
        response.headers.push(("X-Backend-Load", format!("TEXT depth={}", self.waiting())));
        response
    }
}

/// How a connection is to be ended.
enum ConnectionEnd {
    Closed,
    Reset,
}

/// A request that waits or is worked on; one whose connection ends is dropped with it.
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
