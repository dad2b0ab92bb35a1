//! The pool of idle connections to all servers, and the limit of open connections.

use crate::connection::{Connection, IdleState};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Interval between checks of idle connections: about how long a connection that its server has closed may
/// keep a descriptor.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// How long a connection to a server that sends surplus bytes is not reused after a response. They may come later than
/// those that were noticed.
const DISTRUSTED_SETTLE_TIME: Duration = Duration::from_secs(1);
/// How long a server is distrusted after surplus bytes.
const DISTRUST_TIME: Duration = Duration::from_secs(60);

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub(crate) struct OpenSlot(Rc<Cell<usize>>);

impl OpenSlot {
    fn new(open: &Rc<Cell<usize>>) -> OpenSlot {
        open.set(open.get() + 1);
        OpenSlot(Rc::clone(open))
    }
}

impl Drop for OpenSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// An idle connection.
#[derive(Debug)]
struct Idle {
    /// When the connection was returned to the pool.
    since: Instant,
    connection: Connection,
}

impl Idle {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }
}

/// Servers that have sent bytes that no request asked for, and until when each is distrusted.
#[derive(Debug, Default)]
struct DistrustedServers(HashMap<SocketAddr, Instant>);

impl DistrustedServers {
    fn record_surplus(&mut self, addr: SocketAddr, now: Instant) {
        self.0.retain(|_, until| *until > now);
        self.0.insert(addr, now + DISTRUST_TIME);
    }

    fn contains(&self, addr: SocketAddr, now: Instant) -> bool {
        self.0.get(&addr).is_some_and(|until| *until > now)
    }
}

/// Whether a connection can carry a request: not idle for too long, not closed by its server, and without unread bytes.
/// A server that has sent bytes that no request asked for is distrusted.
fn is_usable(idle: &Idle, now: Instant, idle_timeout: Duration, distrusted: &mut DistrustedServers) -> bool {
    let state = idle.connection.idle_state();
    if state == IdleState::Surplus {
        distrusted.record_surplus(idle.connection.addr(), now);
    }
    state == IdleState::Clean && idle.age(now) < idle_timeout
}

/// Closes the idle connections that cannot carry a request.
fn close_unusable(idle: &mut VecDeque<Idle>, distrusted: &mut DistrustedServers, idle_timeout: Duration) {
    let now = Instant::now();
    idle.retain(|idle| is_usable(idle, now, idle_timeout, distrusted));
}

/// The pool of idle connections to all servers, and the count of open ones. Clones share one pool.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    max_open: Rc<Cell<usize>>,
    /// A connection that was idle for this long is not reused; the server would close it soon.
    idle_timeout: Duration,
    /// Longest wait for the next bytes of a response, after which it counts as incomplete.
    stall_timeout: Duration,
    /// How long a connection is not reused after a response, so that bytes that the server sends after the
    /// response are detected.
    settle_time: Duration,
    open: Rc<Cell<usize>>,
    /// Idle connections, the oldest first.
    idle: Rc<RefCell<VecDeque<Idle>>>,
    /// Servers whose connections rest for longer after a response.
    distrusted: Rc<RefCell<DistrustedServers>>,
    /// Servers whose connections are closed as soon as they carry no request.
    suspended: Rc<RefCell<HashSet<SocketAddr>>>,
}

impl ConnectionPool {
    /// Creates a pool of at most `max_open` connections. A connection is reused `settle_time` after its last
    /// response at the earliest, and `idle_timeout` after it at the latest. Once a response has begun, its
    /// next bytes must arrive within `stall_timeout`.
    pub fn new(
        max_open: usize,
        idle_timeout: Duration,
        stall_timeout: Duration,
        settle_time: Duration,
    ) -> ConnectionPool {
        ConnectionPool {
            max_open: Rc::new(Cell::new(max_open)),
            idle_timeout,
            stall_timeout,
            settle_time,
            open: Rc::default(),
            idle: Rc::default(),
            distrusted: Rc::default(),
            suspended: Rc::default(),
        }
    }

    /// Closes connections that have been idle for too long or were closed by their server, until the pool is
    /// dropped.
    pub async fn close_expired(self) {
        let (idle, distrusted) = (Rc::downgrade(&self.idle), Rc::downgrade(&self.distrusted));
        let idle_timeout = self.idle_timeout;
        drop(self);
        while let (Some(idle), Some(distrusted)) = (idle.upgrade(), distrusted.upgrade()) {
            close_unusable(&mut idle.borrow_mut(), &mut distrusted.borrow_mut(), idle_timeout);
            drop((idle, distrusted));
            tokio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
        }
    }

    /// Returns the idle connection to the server that was used last and can carry a request, or opens a new
    /// one within `connect_timeout`. Cancel safe.
    ///
    /// # Errors
    /// The server cannot be connected to in time, or all connections that may be open are in use.
    pub async fn check_out(&self, addr: SocketAddr, connect_timeout: Duration) -> io::Result<Connection> {
        if let Some(mut connection) = self.take_idle(addr) {
            connection.set_stall_timeout(Some(self.stall_timeout));
            return Ok(connection);
        }
        let slot = self.open_slot()?;
        let stream = tokio::time::timeout(connect_timeout, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        Ok(Connection::new(stream, addr, self.stall_timeout, slot))
    }

    /// Takes the connection to the server that was used last and has settled. Connections that cannot be
    /// reused are closed on the way.
    fn take_idle(&self, addr: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let mut distrusted = self.distrusted.borrow_mut();
        loop {
            let rest = if distrusted.contains(addr, now) { DISTRUSTED_SETTLE_TIME } else { self.settle_time };
            let has_settled = |idle: &Idle| idle.connection.addr() == addr && idle.age(now) >= rest;
            let found = idle.iter().rposition(has_settled)?;
            let candidate = idle.remove(found)?;
            if is_usable(&candidate, now, self.idle_timeout, &mut distrusted) {
                return Some(candidate.connection);
            }
        }
    }

    /// Reserves a place for a new connection. If no more may be open, the connection that has been idle for
    /// longest is closed for it, whatever its server.
    fn open_slot(&self) -> io::Result<OpenSlot> {
        if self.open.get() >= self.max_open.get() {
            let evicted = self.idle.borrow_mut().pop_front();
            evicted.ok_or_else(|| {
                io::Error::other("connection limit reached: all open connections are in use")
            })?;
        }
        Ok(OpenSlot::new(&self.open))
    }

    /// Returns a connection to the pool. It is kept if its last response ended as declared or nothing was
    /// sent on it, and its server is not suspended; otherwise it is closed.
    pub fn check_in(&self, mut connection: Connection) {
        connection.release_buffer();
        if connection.is_reusable() && !self.suspended.borrow().contains(&connection.addr()) {
            self.idle.borrow_mut().push_back(Idle { since: Instant::now(), connection });
        }
    }

    /// Closes the idle connections to a server that has left or no longer responds.
    pub fn close_idle_to(&self, addr: SocketAddr) {
        self.idle.borrow_mut().retain(|idle| idle.connection.addr() != addr);
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Changes how many connections may be open. Idle connections beyond that are closed at once, the oldest
    /// first.
    pub fn resize(&self, max_open: usize) {
        self.max_open.set(max_open);
        while self.open.get() > max_open && self.idle.borrow_mut().pop_front().is_some() {}
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Suspends a server: its idle connections are closed now, and others when they are returned.
    pub fn suspend(&self, addr: SocketAddr) {
        self.suspended.borrow_mut().insert(addr);
        self.close_idle_to(addr);
    }

    /// Ends the suspension of a server: connections to it are kept again.
    pub fn resume(&self, addr: SocketAddr) {
        self.suspended.borrow_mut().remove(&addr);
    }
}
