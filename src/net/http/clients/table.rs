//! The table of client connections: its capacity, which connection is evicted for a new one, and which are
//! closed after a timeout.

use super::connection::{ClientConnection, Phase};
use super::limits::{
    HEAD_TIMEOUT, IDLE_TIMEOUT, MAX_REJECTING, MAX_UNREGISTERED, REJECT_LINGER, REJECT_RESPONSE,
    SHORT_REQUESTS_DIVISOR, SURPLUS_IDLE_TIMEOUT, UNCROWDED_DIVISOR, UNCROWDED_IDLE_TIMEOUT,
    UPLOAD_CONNECTIONS_DIVISOR, WRITE_TIMEOUT,
};
use super::open_streams::{CountedStream, OpenStreams};
use super::shedding::{
    Connections, Evictable, SharedCounters, ShedCounters, eviction_candidate, stalled_upload, will_make_room,
};
use super::stream::ClientStream;
use crate::net::budget::{MemoryBudgets, MemoryUse};
use crate::net::close::close;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// What the connections of the table are at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ConnectionUsage {
    /// Those with a request that is being handled or answered.
    pub busy: usize,
    /// Those without one.
    pub waiting: usize,
    /// Those that are being closed.
    pub closing: usize,
    /// Bytes that were read and not passed on.
    pub kept_bytes: usize,
}

/// All connections of HTTP clients. Clones share one table.
#[derive(Clone, Debug)]
pub struct ConnectionTable(Rc<State>);

#[derive(Debug)]
struct State {
    capacity: Cell<usize>,
    max_idle: Cell<usize>,
    /// Whether idle connections stay open without a time limit.
    keep_idle: Cell<bool>,
    /// Whether the process is about to exit, so that closing a connection does not wait for its client.
    close_at_once: Cell<bool>,
    /// Whether the process makes its last responses.
    finishing: Cell<bool>,
    /// Connections that found no capacity and are being sent a 503.
    rejecting: Cell<usize>,
    next_id: Cell<u64>,
    open_streams: Rc<OpenStreams>,
    /// The memory for heads, for what clients send ahead of the responses, and for the connections themselves.
    memory: MemoryBudgets,
    /// Connections for which there is memory: all but those that are being closed.
    memory_capacity: usize,
    /// Uploads that have not arrived whole.
    uploads: Rc<Cell<usize>>,
    /// Responses that are streamed.
    responses: Rc<Cell<usize>>,
    shed: SharedCounters,
    connections: RefCell<Connections>,
}

impl ConnectionTable {
    /// Creates a table for `capacity` connections, of which `max_idle` may stay idle for long. Their memory has no limit.
    pub fn new(capacity: usize, max_idle: usize) -> ConnectionTable {
        ConnectionTable::with_memory(capacity, max_idle, MemoryBudgets::unlimited(), usize::MAX)
    }

    /// Like [`ConnectionTable::new`], with memory for `memory_capacity` connections that are not being closed.
    pub fn with_memory(
        capacity: usize,
        max_idle: usize,
        memory: MemoryBudgets,
        memory_capacity: usize,
    ) -> ConnectionTable {
        ConnectionTable(Rc::new(State {
            capacity: Cell::new(capacity),
            max_idle: Cell::new(max_idle),
            keep_idle: Cell::new(false),
            close_at_once: Cell::new(false),
            finishing: Cell::new(false),
            rejecting: Cell::new(0),
            next_id: Cell::new(0),
            open_streams: Rc::default(),
            memory,
            memory_capacity,
            uploads: Rc::default(),
            responses: Rc::default(),
            shed: SharedCounters::default(),
            connections: RefCell::default(),
        }))
    }

    /// The number of connections in the table.
    pub fn open_connections(&self) -> usize {
        self.0.connections.borrow().len()
    }

    /// What the connections are at, and the bytes that they hold.
    pub fn usage(&self) -> ConnectionUsage {
        let mut usage = ConnectionUsage::default();
        for connection in self.0.connections.borrow().values() {
            match connection.phase() {
                Phase::Busy => usage.busy += 1,
                Phase::Closing => usage.closing += 1,
                Phase::Silent | Phase::Head | Phase::Idle => usage.waiting += 1,
            }
            usage.kept_bytes += connection.kept_bytes();
        }
        usage
    }

    /// Whether a new connection may be accepted: not while [`MAX_UNREGISTERED`] that are not in the table are open, and
    /// not while the table is full and others have just been accepted. New ones wait in the system's queue for that time:
    /// it is much shorter than their clients' patience, and a rejection would be final.
    pub fn may_accept(&self) -> bool {
        let unregistered = self.0.open_streams.count().saturating_sub(self.open_connections());
        if unregistered >= MAX_UNREGISTERED {
            return false;
        }
        let Some(evictable) = self.full_of() else { return true };
        let connections = self.0.connections.borrow();
        eviction_candidate(&connections, evictable).is_some() || !will_make_room(&connections)
    }

    /// Which connections have to give way before a new one is accepted; `None`: there is room.
    fn full_of(&self) -> Option<Evictable> {
        if self.open_connections() >= self.0.capacity.get() {
            return Some(Evictable::Any);
        }
        let full = self.open_connections() >= self.0.memory_capacity
            && self.active_connections() >= self.0.memory_capacity;
        full.then_some(Evictable::Open)
    }

    /// Resolves once a connection has been closed, possibly before the call. Cancel safe.
    pub async fn connection_closed(&self) {
        self.0.open_streams.closed().await;
    }

    /// Evicts a connection that has no open request. Returns false if there is none.
    pub fn evict_one(&self) -> bool {
        self.evict(Evictable::Any)
    }

    fn evict(&self, evictable: Evictable) -> bool {
        let mut connections = self.0.connections.borrow_mut();
        let evicted = eviction_candidate(&connections, evictable).and_then(|id| connections.remove(&id));
        evicted.is_some_and(|connection| {
            self.0.shed.record(|counters| counters.evicted += 1);
            connection.evicted.notify_one();
            connection.end();
            true
        })
    }

    /// Makes the upload give way whose client has stopped for longest. Returns false if there is none.
    pub fn shed_stalled_upload(&self) -> bool {
        let connections = self.0.connections.borrow();
        let stalled = stalled_upload(&connections);
        stalled.is_some_and(|connection| {
            self.0.shed.record(|counters| counters.uploads += 1);
            connection.shed();
            true
        })
    }

    /// How many connections and requests gave way, by reason.
    pub fn shed_counters(&self) -> ShedCounters {
        self.0.shed.get()
    }

    /// Counts an upload that has not arrived whole until the slot is dropped. `None`: there are as many as may be; the one
    /// whose client has stopped for longest gives way, for the next.
    pub fn begin_upload(&self) -> Option<ConnectionSlot> {
        let capacity = (self.memory_capacity() / UPLOAD_CONNECTIONS_DIVISOR).max(1);
        if self.0.uploads.get() >= capacity || !self.may_hold_another() {
            self.0.shed.record(|counters| counters.refused_uploads += 1);
            self.shed_stalled_upload();
            return None;
        }
        Some(ConnectionSlot::new(&self.0.uploads))
    }

    /// Counts a response that is streamed until the slot is dropped. `None`: there are as many as may be, or no memory.
    /// One that must not be refused is counted all the same.
    pub fn begin_response(&self, may_be_refused: bool) -> Option<ConnectionSlot> {
        let refused = may_be_refused
            && !(self.may_hold_another() && self.0.memory.bound.admits(MemoryUse::MoreContent));
        if refused {
            self.0.shed.record(|counters| counters.refused_responses += 1);
            self.shed_stalled_upload();
            return None;
        }
        Some(ConnectionSlot::new(&self.0.responses))
    }

    /// Whether another upload or response may hold a connection for long.
    fn may_hold_another(&self) -> bool {
        let capacity = self.memory_capacity();
        let held = self.0.uploads.get() + self.0.responses.get();
        held < (capacity - capacity / SHORT_REQUESTS_DIVISOR).max(1)
    }

    /// Connections that may be open at once, beside those that are being closed.
    fn memory_capacity(&self) -> usize {
        self.0.capacity.get().min(self.0.memory_capacity)
    }

    /// Connections that are not being closed.
    fn active_connections(&self) -> usize {
        let connections = self.0.connections.borrow();
        connections.values().filter(|connection| connection.phase() != Phase::Closing).count()
    }

    /// Changes the limits. Connections beyond the capacity are evicted as new ones arrive.
    pub fn resize(&self, capacity: usize, max_idle: usize) {
        self.0.capacity.set(capacity);
        self.0.max_idle.set(max_idle);
    }

    /// Keeps idle connections open from now on: after a request for shutdown, no new ones replace them.
    pub fn keep_idle(&self) {
        self.0.keep_idle.set(true);
    }

    /// Ends every connection before the process exits, those that are accepted later too: between requests, or with a
    /// whole response to a request that has begun.
    pub fn finish(&self) {
        self.0.finishing.set(true);
        for connection in self.0.connections.borrow().values() {
            connection.finish();
        }
    }

    /// Closes connections from now on without waiting for their clients, because the process is about to
    /// exit.
    pub fn close_at_once(&self) {
        self.0.close_at_once.set(true);
    }

    /// Whether connections are closed without waiting for their clients.
    pub(super) fn closes_at_once(&self) -> bool {
        self.0.close_at_once.get()
    }

    /// Registers a new connection. If the table is full, or there is no memory, one without an open request is evicted
    /// for it, or an upload gives way. Returns `None` if nothing does; the new connection is then rejected and closed.
    pub fn register(&self, stream: TcpStream) -> Option<ClientStream> {
        if !self.make_room() {
            self.reject(stream);
            return None;
        }
        let stream = Rc::new(CountedStream::new(stream, &self.0.open_streams));
        let connection = Rc::new(ClientConnection::new(stream));
        let registration = self.insert(&connection);
        Some(ClientStream::new(connection, registration, &self.0.memory.heads))
    }

    /// Makes room for a new connection. Returns false if there is none.
    fn make_room(&self) -> bool {
        let has_place = self.full_of().is_none_or(|evictable| self.evict(evictable));
        if !has_place {
            // Its place is free once its handler has run; the next connection finds it.
            self.shed_stalled_upload();
            return false;
        }
        if self.0.memory.bound.admits(MemoryUse::Connection) {
            return true;
        }
        self.evict(Evictable::Open);
        self.shed_stalled_upload();
        false
    }

    fn insert(&self, connection: &Rc<ClientConnection>) -> Registration {
        let id = self.0.next_id.get();
        self.0.next_id.set(id + 1);
        if self.0.finishing.get() {
            connection.finish();
        }
        self.0.connections.borrow_mut().insert(id, Rc::clone(connection));
        Registration { table: self.clone(), id }
    }

    /// Sends a 503 to a connection that found no capacity. While [`MAX_REJECTING`] others are being sent one,
    /// it is closed without a response.
    fn reject(&self, stream: TcpStream) {
        self.0.shed.record(|counters| counters.rejected += 1);
        if self.0.rejecting.get() >= MAX_REJECTING {
            return;
        }
        self.0.rejecting.set(self.0.rejecting.get() + 1);
        let table = self.clone();
        let stream = CountedStream::new(stream, &self.0.open_streams);
        actix_rt::spawn(async move {
            // The response fits into the empty send buffer of a new connection.
            let _ = stream.try_write(REJECT_RESPONSE);
            let _ = tokio::time::timeout(REJECT_LINGER, close(&stream)).await;
            table.0.rejecting.set(table.0.rejecting.get() - 1);
        });
    }

    /// Ends connections that have been silent, receiving a head, idle or blocked on writes for too long. Of
    /// the idle connections beyond the permitted number, the oldest are ended first: the number of client
    /// connections is limited, and unused ones must not keep new clients out.
    pub fn end_overdue(&self) {
        let now = Instant::now();
        let connections = self.0.connections.borrow();
        let live = || connections.values().filter(|connection| !connection.is_ended());
        let idle_timeout = self.idle_timeout(connections.len());
        for connection in live() {
            if is_overdue(connection, idle_timeout, now) {
                connection.end();
            }
        }
        let idle = live().filter(|connection| connection.phase_for_eviction() == Phase::Idle);
        self.end_surplus_idle(idle.collect(), now);
    }

    /// How long a connection may stay idle; `None`: without limit.
    fn idle_timeout(&self, open: usize) -> Option<Duration> {
        let crowded = open > self.memory_capacity() / UNCROWDED_DIVISOR;
        match (self.0.keep_idle.get(), crowded) {
            (true, _) => None,
            (false, true) => Some(IDLE_TIMEOUT),
            (false, false) => Some(UNCROWDED_IDLE_TIMEOUT),
        }
    }

    fn end_surplus_idle(&self, mut idle: Vec<&Rc<ClientConnection>>, now: Instant) {
        if self.0.keep_idle.get() {
            return;
        }
        idle.sort_by_key(|connection| connection.phase_since());
        let surplus = idle.len().saturating_sub(self.0.max_idle.get());
        let oldest = idle.into_iter().take(surplus);
        oldest
            .filter(|connection| connection.phase_age(now) >= SURPLUS_IDLE_TIMEOUT)
            .for_each(|connection| connection.end());
    }
}

/// Whether a connection has exceeded the timeout of its phase, or its client that of writes.
fn is_overdue(connection: &ClientConnection, idle_timeout: Option<Duration>, now: Instant) -> bool {
    let phase_timeout = match connection.phase_for_eviction() {
        Phase::Silent | Phase::Head => Some(HEAD_TIMEOUT),
        Phase::Idle => idle_timeout,
        Phase::Busy | Phase::Closing => None,
    };
    let write_timed_out = connection.write_blocked_for(now).is_some_and(|blocked| blocked >= WRITE_TIMEOUT);
    write_timed_out || phase_timeout.is_some_and(|timeout| connection.phase_age(now) >= timeout)
}

/// Keeps a connection in the table until it is dropped.
#[derive(Debug)]
pub(super) struct Registration {
    table: ConnectionTable,
    id: u64,
}

impl Registration {
    /// Whether the connection is still in the table, that is, has not been evicted.
    pub(super) fn is_valid(&self) -> bool {
        self.table.0.connections.borrow().contains_key(&self.id)
    }

    pub(super) fn table(&self) -> &ConnectionTable {
        &self.table
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.table.0.connections.borrow_mut().remove(&self.id);
    }
}

/// Counts an upload or a response that holds a connection for long, until it is dropped.
#[derive(Debug)]
pub struct ConnectionSlot(Rc<Cell<usize>>);

impl ConnectionSlot {
    fn new(held: &Rc<Cell<usize>>) -> ConnectionSlot {
        held.set(held.get() + 1);
        ConnectionSlot(Rc::clone(held))
    }
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
