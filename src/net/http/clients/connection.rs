//! One client's connection, as its stream, its handler and the table share it.

use super::open_streams::CountedStream;
use crate::net::close::read_closed;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Its client has sent nothing yet.
    Silent,
    /// A request's head is arriving.
    Head,
    /// A request is with its handler.
    Busy,
    /// Between requests.
    Idle,
    /// Writing is shut down, and what still arrives is dropped.
    Closing,
}

/// The state of a client's connection.
#[derive(Debug)]
pub struct ClientConnection {
    pub(super) stream: Rc<CountedStream>,
    phase: Cell<Phase>,
    phase_since: Cell<Instant>,
    /// All of the request that is with its handler has been read.
    request_complete: Cell<bool>,
    /// A response has announced that it is the connection's last.
    close_after_response: Cell<bool>,
    /// The response written last ends with the connection and is not complete.
    truncated: Cell<bool>,
    /// A request is with the core, without a response.
    awaiting_response: Cell<bool>,
    /// The end of what the client sends has been read.
    pub(super) read_closed: Cell<bool>,
    /// Since when the client takes nothing of what is written to it.
    write_blocked_since: Cell<Option<Instant>>,
    ended: Cell<bool>,
    /// Notified when a connection that is closing has lost its entry in the table to another.
    pub(super) evicted: Notify,
    /// Wakes the task that waits to read from the stream.
    read_waker: RefCell<Option<Waker>>,
}

impl ClientConnection {
    pub(super) fn new(stream: Rc<CountedStream>) -> ClientConnection {
        ClientConnection {
            stream,
            phase: Cell::new(Phase::Silent),
            phase_since: Cell::new(Instant::now()),
            request_complete: Cell::new(false),
            close_after_response: Cell::new(false),
            truncated: Cell::new(false),
            awaiting_response: Cell::new(false),
            read_closed: Cell::new(false),
            write_blocked_since: Cell::new(None),
            ended: Cell::new(false),
            evicted: Notify::new(),
            read_waker: RefCell::default(),
        }
    }

    /// Whether the connection has to end.
    pub fn is_ended(&self) -> bool {
        self.ended.get()
    }

    /// Ends the connection: its stream reads as closed from now on.
    pub fn end(&self) {
        self.ended.set(true);
        if let Some(waker) = self.read_waker.take() {
            waker.wake();
        }
    }

    /// Takes the end back, for a request that was received just before it.
    pub(super) fn resume(&self) {
        self.ended.set(false);
    }

    /// Records that all of the present request has been read: what arrives now is behind it.
    pub fn complete(&self) {
        self.request_complete.set(true);
    }

    /// Whether all of the request that is with its handler has been read.
    pub(super) fn is_complete(&self) -> bool {
        self.request_complete.get()
    }

    /// Makes the present response the last: nothing that arrives behind its request is served.
    pub fn close_after_response(&self) {
        self.close_after_response.set(true);
    }

    /// Whether the last response has been made.
    pub fn closes_after_response(&self) -> bool {
        self.close_after_response.get()
    }

    /// Records that the response whose end is the connection's broke off: only a reset shows the client that
    /// it is not complete.
    pub fn truncate(&self) {
        self.truncated.set(true);
    }

    /// Whether the response written last broke off.
    pub(super) fn is_truncated(&self) -> bool {
        self.truncated.get()
    }

    /// Resolves once the client has closed its side or reset the connection, also where bytes that it sent
    /// before are still unread. Cancel safe.
    pub async fn client_closed(&self) {
        read_closed(&self.stream).await;
    }

    /// Marks a request of this client as being with the core for as long as the guard is held.
    pub fn await_response(self: &Rc<Self>) -> AwaitingResponse {
        self.awaiting_response.set(true);
        AwaitingResponse(Rc::clone(self))
    }

    /// Whether the client has closed its side while a request of it waits for a response.
    pub(super) fn is_abandoned(&self) -> bool {
        self.read_closed.get() && self.awaiting_response.get()
    }

    /// Marks a request as being with its handler for as long as the guard is held.
    pub fn begin_request(self: &Rc<Self>) -> ActiveRequest {
        self.request_complete.set(false);
        self.set_phase(Phase::Busy);
        ActiveRequest(Rc::clone(self))
    }

    pub(super) fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.phase_since.set(Instant::now());
    }

    /// The phase as the stream sees it.
    pub(super) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// The phase as the table sees it: a connection whose response is made stays busy until its client has
    /// taken what is written to it.
    pub(super) fn phase_for_eviction(&self) -> Phase {
        match self.phase.get() {
            Phase::Idle if self.write_blocked_since.get().is_some() => Phase::Busy,
            phase => phase,
        }
    }

    /// When the present phase began.
    pub(super) fn phase_since(&self) -> Instant {
        self.phase_since.get()
    }

    /// How long the present phase has lasted.
    pub(super) fn phase_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.phase_since.get())
    }

    /// How long the client has taken nothing of what is written to it.
    pub(super) fn write_blocked_for(&self, now: Instant) -> Option<Duration> {
        self.write_blocked_since.get().map(|since| now.saturating_duration_since(since))
    }

    /// Records that the client takes nothing at present.
    pub(super) fn write_blocked(&self) {
        let since = self.write_blocked_since.get().unwrap_or_else(Instant::now);
        self.write_blocked_since.set(Some(since));
    }

    /// Records that a write went through.
    pub(super) fn write_progressed(&self) {
        self.write_blocked_since.set(None);
        // The last bytes of a response may be taken long after it is made: the connection is idle from then on.
        if self.phase.get() == Phase::Idle {
            self.phase_since.set(Instant::now());
        }
    }

    /// Has the waker woken when the connection is ended.
    pub(super) fn wake_on_end(&self, waker: &Waker) {
        *self.read_waker.borrow_mut() = Some(waker.clone());
    }
}

/// Keeps a connection busy until it is dropped; see [`ClientConnection::begin_request`].
#[derive(Debug)]
pub struct ActiveRequest(Rc<ClientConnection>);

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        self.0.set_phase(Phase::Idle);
    }
}

/// Marks a request as being with the core until it is dropped; see [`ClientConnection::await_response`].
#[derive(Debug)]
pub struct AwaitingResponse(Rc<ClientConnection>);

impl Drop for AwaitingResponse {
    fn drop(&mut self) {
        self.0.awaiting_response.set(false);
    }
}
