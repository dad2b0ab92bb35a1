//! The pool of idle connections to all servers, and the limit of open ones.

use crate::connection::Connection;
use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// How often idle connections are checked: about how long a connection that its server has closed may hold a
/// descriptor.
const EXPIRY_CHECK_INTERVAL: Duration = Duration::from_secs(1);

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
    /// When its last response ended.
    since: Instant,
    connection: Connection,
}

impl Idle {
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }

    /// Whether it may carry a request: neither idle for too long, nor closed or written to by its server.
    fn is_fit(&self, now: Instant, idle_timeout: Duration) -> bool {
        self.age(now) < idle_timeout && self.connection.is_quiet()
    }
}

/// The pool of idle connections to all servers, and the count of open ones. Clones share one pool.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    max_open: Rc<Cell<usize>>,
    /// A connection idle this long is not used again; the server would close it soon.
    idle_timeout: Duration,
    /// A response that has begun goes on within this time, or it will not be complete.
    stall_timeout: Duration,
    /// How long a connection stays unused after a response: what a server sends behind one shows by then.
    settle_time: Duration,
    open: Rc<Cell<usize>>,
    /// The oldest first.
    idle: Rc<RefCell<VecDeque<Idle>>>,
    /// Servers whose connections are closed once they carry nothing.
    suspended: Rc<RefCell<HashSet<SocketAddr>>>,
}

impl ConnectionPool {
    /// A pool of at most `max_open` connections. One is used again `settle_time` after its last response at the
    /// earliest and `idle_timeout` after it at the latest; a response that has begun goes on within
    /// `stall_timeout`.
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
            suspended: Rc::default(),
        }
    }

    /// Closes connections that have been idle for too long or were closed by their server, until the pool is
    /// dropped.
    pub async fn close_expired(self) {
        let idle = Rc::downgrade(&self.idle);
        let idle_timeout = self.idle_timeout;
        drop(self);
        while let Some(idle) = idle.upgrade() {
            let now = Instant::now();
            idle.borrow_mut().retain(|idle| idle.is_fit(now, idle_timeout));
            drop(idle);
            tokio::time::sleep(EXPIRY_CHECK_INTERVAL).await;
        }
    }

    /// An idle connection to the server that is fit for a request, the last used first, else a new one within
    /// `connect_timeout`. Cancel safe.
    ///
    /// # Errors
    /// The server cannot be connected to in time, or all connections that may be open are in use.
    pub async fn check_out(&self, addr: SocketAddr, connect_timeout: Duration) -> io::Result<Connection> {
        if let Some(connection) = self.take_idle(addr) {
            return Ok(connection);
        }
        let slot = self.open_slot()?;
        let stream = tokio::time::timeout(connect_timeout, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        Ok(Connection::new(stream, addr, self.stall_timeout, slot))
    }

    /// Takes the connection to the server that was used last and has settled; those that are not fit are
    /// closed on the way.
    fn take_idle(&self, addr: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let mut idle = self.idle.borrow_mut();
        loop {
            let found = idle
                .iter()
                .rposition(|idle| idle.connection.addr() == addr && idle.age(now) >= self.settle_time)?;
            let candidate = idle.remove(found)?;
            if candidate.is_fit(now, self.idle_timeout) {
                return Some(candidate.connection);
            }
        }
    }

    /// Counts a new connection. Where no more may be open, the one idle for longest, whatever its server, is
    /// closed for it.
    fn open_slot(&self) -> io::Result<OpenSlot> {
        if self.open.get() >= self.max_open.get() {
            let evicted = self.idle.borrow_mut().pop_front();
            evicted.ok_or_else(|| io::Error::other("every connection that there may be is in use"))?;
        }
        Ok(OpenSlot::new(&self.open))
    }

    /// Keeps a connection whose last response ended where it should, or on which nothing was sent; any other
    /// is closed.
    pub fn check_in(&self, connection: Connection) {
        if connection.is_reusable() && !self.suspended.borrow().contains(&connection.addr()) {
            self.idle.borrow_mut().push_back(Idle { since: Instant::now(), connection });
        }
    }

    /// Closes the idle connections to a server: it has gone or fallen silent, and they with it.
    pub fn close_idle_to(&self, addr: SocketAddr) {
        self.idle.borrow_mut().retain(|idle| idle.connection.addr() != addr);
    }

    /// The number of open connections.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Changes how many connections may be open. Idle ones beyond that close at once, the oldest first.
    pub fn resize(&self, max_open: usize) {
        self.max_open.set(max_open);
        while self.open.get() > max_open && self.idle.borrow_mut().pop_front().is_some() {}
    }

    /// Closes all idle connections.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// From now on no connection to the server is kept, and idle ones close at once.
    pub fn suspend(&self, addr: SocketAddr) {
        self.suspended.borrow_mut().insert(addr);
        self.close_idle_to(addr);
    }

    /// Connections to the server are kept again.
    pub fn resume(&self, addr: SocketAddr) {
        self.suspended.borrow_mut().remove(&addr);
    }
}
