//! A disk box: slots that work, a waiting room in turn of arrival, a key memory, and faults on command.

use crate::http::{Answer, Connection, Request};
use crate::keys::{Effect, Rack};
use crate::recorder::{AttemptSlot, Recorder};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::time::{Instant, sleep, sleep_until};

/// What a box is.
#[derive(Clone, Debug)]
pub struct BoxPlan {
    /// Requests worked on at once.
    pub slots: usize,
    /// Requests that wait at most; more are turned away unseen.
    pub room: usize,
    /// The work of a request of each class; `other` for the rest. A fifth up or down is left to chance.
    pub work: HashMap<String, Duration>,
    pub other: Duration,
    /// How long a key is remembered.
    pub key_span: Duration,
    /// The part of its power that a box has just after its start, and how long until it has all of it.
    pub cold_from: f64,
    pub warm_within: Duration,
    /// Bytes of a read's answer.
    pub answer_bytes: usize,
    /// It keeps the time and the target of every request it takes.
    pub remember: bool,
    /// Where every attempt is recorded.
    pub recorder: Option<Rc<Recorder>>,
}

impl Default for BoxPlan {
    fn default() -> BoxPlan {
        BoxPlan {
            slots: 2,
            room: 64,
            work: HashMap::new(),
            other: Duration::from_millis(4),
            key_span: Duration::from_secs(3),
            cold_from: 1.0,
            warm_within: Duration::ZERO,
            answer_bytes: 256,
            remember: false,
            recorder: None,
        }
    }
}

/// How a box misbehaves, until told otherwise.
#[derive(Clone, Debug, Default)]
pub struct Fault {
    /// Times slower; 0 and 1 are none.
    pub slow: f64,
    /// The part of requests that get an error at once.
    pub errors: f64,
    /// The part of requests whose connection is reset when half of their body has come, or all of their head.
    pub resets: f64,
    /// Requests are read and never answered.
    pub silent: bool,
    /// Requests are turned away unseen.
    pub full: bool,
    /// Nothing is worked on before this instant.
    pub stalled_until: Option<Instant>,
}

/// What a box has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Connections that were accepted.
    pub connections: u64,
    /// Requests whose last byte came.
    pub taken: u64,
    pub served: u64,
    pub errors: u64,
    /// Turned away unseen: no room, draining, another shard.
    pub full: u64,
    pub resets: u64,
    pub silent: u64,
    /// Keyed writes that ran.
    pub writes: u64,
    /// Keyed writes dropped as repeats.
    pub repeats: u64,
    /// Requests taken while the box was draining or stopped.
    pub after_drain: u64,
    /// The most requests in hand at once.
    pub most_in_hand: u64,
    pub per_class: BTreeMap<String, u64>,
}

impl Counters {
    pub fn and(mut self, other: Counters) -> Counters {
        self.connections += other.connections;
        self.taken += other.taken;
        self.served += other.served;
        self.errors += other.errors;
        self.full += other.full;
        self.resets += other.resets;
        self.silent += other.silent;
        self.writes += other.writes;
        self.repeats += other.repeats;
        self.after_drain += other.after_drain;
        self.most_in_hand = self.most_in_hand.max(other.most_in_hand);
        for (class, count) in other.per_class {
            *self.per_class.entry(class).or_default() += count;
        }
        self
    }
}

/// A box that listens.
pub struct DiskBox {
    name: String,
    shard: u32,
    plan: BoxPlan,
    rack: Rack,
    addr: SocketAddr,
    #[expect(dead_code, reason = "its port is nobody else's while its process is away")]
    port: socket2::Socket,
    slots: Semaphore,
    in_hand: Cell<u64>,
    fault: RefCell<Fault>,
    draining: Cell<bool>,
    begun: Cell<Instant>,
    started_ms: Cell<u64>,
    counters: RefCell<Counters>,
    seen: RefCell<Vec<(Instant, String)>>,
    chance: RefCell<Pcg64Mcg>,
    /// The number of its process; a change ends the one before.
    life: watch::Sender<u64>,
}

impl DiskBox {
    /// Starts a box that has been up for long.
    ///
    /// # Errors
    /// No socket can be bound.
    pub async fn start(
        name: String,
        shard: u32,
        plan: BoxPlan,
        rack: Rack,
        seed: u64,
    ) -> io::Result<Rc<DiskBox>> {
        let port = reserve_port()?;
        let addr = port.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        let listener = TcpListener::bind(addr).await?;
        let warm = Instant::now().checked_sub(plan.warm_within).unwrap_or_else(Instant::now);
        let made = Rc::new(DiskBox {
            name,
            shard,
            rack,
            addr,
            port,
            slots: Semaphore::new(plan.slots),
            plan,
            in_hand: Cell::new(0),
            fault: RefCell::default(),
            draining: Cell::new(false),
            begun: Cell::new(warm),
            started_ms: Cell::new(0),
            counters: RefCell::default(),
            seen: RefCell::default(),
            chance: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            life: watch::Sender::new(1),
        });
        tokio::task::spawn_local(Rc::clone(&made).accept(listener));
        Ok(made)
    }

    pub fn name(&self) -> &str {
        &self.name
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub fn shard(&self) -> u32 {
        self.shard
    }

    /// Unix time of the last start, in milliseconds; 0: long ago.
    pub fn started_ms(&self) -> u64 {
        self.started_ms.get()
    }

    pub fn counters(&self) -> Counters {
        self.counters.borrow().clone()
    }

    /// When each request was taken, and its target; empty unless the plan asks for it.
    pub fn seen(&self) -> Vec<(Instant, String)> {
        self.seen.borrow().clone()
    }

    pub fn rack(&self) -> &Rack {
        &self.rack
    }

    /// Has it misbehave from now on.
    pub fn misbehave(&self, fault: Fault) {
        *self.fault.borrow_mut() = fault;
    }

    /// Has it turn new requests away, or no longer.
    pub fn drain(&self, draining: bool) {
        self.draining.set(draining);
    }

    /// Whether new requests are turned away.
    pub fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Ends its process: connections are reset, new ones refused.
    pub fn kill(&self) {
        self.life.send_modify(|life| *life += 1);
    }

    /// Starts it again, cold, at its address. What its rack remembers, others of the rack remembered.
    ///
    /// # Errors
    /// Its address cannot be bound again.
    pub async fn restart(self: &Rc<Self>) -> io::Result<()> {
        self.kill();
        // The listener of the life before ends with its task.
        let mut tries = 0;
        let listener = loop {
            tokio::task::yield_now().await;
            match TcpListener::bind(self.addr).await {
                Ok(listener) => break listener,
                Err(error) if tries >= 200 => return Err(error),
                Err(_) => tries += 1,
            }
            sleep(Duration::from_millis(5)).await;
        };
        self.begun.set(Instant::now());
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.started_ms.set(unix.as_millis() as u64);
        self.draining.set(false);
        tokio::task::spawn_local(Rc::clone(self).accept(listener));
        Ok(())
    }

    /// The part of its power that it has by now.
    pub fn power(&self) -> f64 {
        let warm = self.plan.warm_within.as_secs_f64();
        let part = if warm > 0.0 { self.begun.get().elapsed().as_secs_f64() / warm } else { 1.0 };
        self.plan.cold_from + (1.0 - self.plan.cold_from) * part.min(1.0)
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut life = self.life.subscribe();
        loop {
            tokio::select! {
                _ = life.changed() => return,
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else {
                        sleep(Duration::from_millis(5)).await;
                        continue;
                    };
                    let _ = stream.set_nodelay(true);
                    self.counters.borrow_mut().connections += 1;
                    let (this, mut life) = (Rc::clone(&self), self.life.subscribe());
                    tokio::task::spawn_local(async move {
                        let mut connection = Connection::new(stream);
                        tokio::select! {
                            _ = life.changed() => connection.reset(),
                            goes = this.serve(&mut connection) => if matches!(goes, Ok(End::Reset)) {
                                connection.reset();
                            },
                        }
                    });
                }
            }
        }
    }

    fn chance(&self, part: f64) -> bool {
        part > 0.0 && self.chance.borrow_mut().random_bool(part.min(1.0))
    }

    async fn serve(&self, connection: &mut Connection) -> io::Result<End> {
        while let Some((mut request, body)) = connection.head().await? {
            let fault = self.fault.borrow().clone();
            let recorded = self.record(&request);
            if self.chance(fault.resets) {
                connection.skip(body / 2).await?;
                self.counters.borrow_mut().resets += 1;
                return Ok(End::Reset);
            }
            connection.skip(body).await?;
            request.body = body;
            recorded.iter().for_each(AttemptSlot::whole);
            match self.handle(&request, &fault).await {
                Some(answer) => {
                    recorded.iter().for_each(|slot| slot.answered(&answer));
                    connection.answer(answer).await?;
                }
                None => {
                    // Silent until the other side has had enough.
                    let _ = connection.head().await;
                    return Ok(End::Closed);
                }
            }
        }
        Ok(End::Closed)
    }

    /// Records an attempt that begins; probes are none.
    fn record(&self, request: &Request) -> Option<AttemptSlot> {
        let recorder = self.plan.recorder.as_ref()?;
        recorder.attempt(request, &self.name, self.shard)
    }

    /// None: never.
    async fn handle(&self, request: &Request, fault: &Fault) -> Option<Answer> {
        if request.target == "/alive" {
            return Some(Answer::new(if self.draining.get() { 503 } else { 200 }));
        }
        let class = request.target.split('/').nth(1).unwrap_or_default().to_string();
        if self.plan.remember {
            self.seen.borrow_mut().push((Instant::now(), request.target.clone()));
        }
        {
            let mut seen = self.counters.borrow_mut();
            seen.taken += 1;
            *seen.per_class.entry(class.clone()).or_default() += 1;
            if self.draining.get() {
                seen.after_drain += 1;
            }
            if fault.silent {
                seen.silent += 1;
                return None;
            }
        }
        let waiting = self.in_hand.get().saturating_sub(self.plan.slots as u64);
        if self.draining.get() || fault.full || waiting >= self.plan.room as u64 {
            self.counters.borrow_mut().full += 1;
            let mut answer = Answer::new(503);
            answer.headers.push(("X-Unprocessed", "1".into()));
            return Some(self.report(answer));
        }
        if self.chance(fault.errors) {
            self.counters.borrow_mut().errors += 1;
            return Some(self.report(Answer::new(500)));
        }
        self.in_hand.set(self.in_hand.get() + 1);
        let held = InHand(&self.in_hand);
        {
            let mut seen = self.counters.borrow_mut();
            seen.most_in_hand = seen.most_in_hand.max(self.in_hand.get());
        }
        let _slot = self.slots.acquire().await.ok()?;
        let stalled = fault.stalled_until.or(self.fault.borrow().stalled_until);
        if let Some(until) = stalled {
            sleep_until(until).await;
        }
        let work = self.plan.work.get(&class).copied().unwrap_or(self.plan.other);
        let spread = self.chance.borrow_mut().random_range(0.8..1.2);
        let factor = if fault.slow > 1.0 { fault.slow } else { 1.0 };
        let key = request.header("idempotency-key");
        let effect = key.map(|key| self.rack.take(key, Instant::now()));
        if effect != Some(Effect::Dropped) && !work.is_zero() {
            sleep(work.mul_f64(spread * factor / self.power().max(0.01))).await;
        }
        drop(held);
        let mut seen = self.counters.borrow_mut();
        seen.served += 1;
        seen.writes += u64::from(effect == Some(Effect::Ran));
        seen.repeats += u64::from(effect == Some(Effect::Dropped));
        drop(seen);
        let mut answer = Answer::new(200);
        answer.body =
            if request.method == "GET" { vec![b'.'; self.plan.answer_bytes] } else { b"kept".to_vec() };
        Some(self.report(answer))
    }

    fn report(&self, mut answer: Answer) -> Answer {
        let waiting = self.in_hand.get().saturating_sub(self.plan.slots as u64);
        answer.headers.push(("X-Backend-Load", format!("TEXT depth={waiting}")));
        answer
    }
}

/// A socket that is bound to a free port of the loopback address and never listens. Others may listen there
/// as long as it is held; while nobody does, connections are refused, and no other socket is given the port.
fn reserve_port() -> io::Result<socket2::Socket> {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
    Ok(socket)
}

enum End {
    Closed,
    Reset,
}

/// A request in hand; also one whose connection ends takes its place with it.
struct InHand<'a>(&'a Cell<u64>);

impl Drop for InHand<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
