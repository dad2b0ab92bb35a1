//! The state of one client's connection, which its stream, its handler and the table share.

use super::body_reading::BodyReading;
use super::guards::{ActiveRequest, AwaitingResponse};
use super::open_streams::CountedStream;
use crate::net::close::{read_closed, unread_bytes};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The phase of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Accepted; the client has sent nothing yet.
    Silent,
    /// A request's head is arriving.
    Head,
    /// A handler is processing a request.
    Busy,
    /// Between requests.
    Idle,
    /// Writing is shut down, and what still arrives is discarded.
    Closing,
}

/// The state of a client's connection.
#[derive(Debug)]
pub struct ClientConnection {
    pub(super) stream: Rc<CountedStream>,
    phase: Cell<Phase>,
    phase_since: Cell<Instant>,
    /// Whether the request that the handler is processing has been read completely.
    request_complete: Cell<bool>,
    /// Whether a response has announced that it is the connection's last.
    close_after_response: Cell<bool>,
    /// Whether the rest of the current request's body is not read any more.
    body_abandoned: Cell<bool>,
    /// Whether the last response, whose body ends with the connection, is incomplete.
    truncated: Cell<bool>,
    /// Whether the core has a request of this client without a response.
    awaiting_response: Cell<bool>,
    /// Whether the end of the client's stream has been read.
    pub(super) read_closed: Cell<bool>,
    /// Since when the client has read nothing of what is written to it; `None`: writes make progress.
    write_blocked_since: Cell<Option<Instant>>,
    ended: Cell<bool>,
    /// Whether the process makes its last responses; see [`ClientConnection::finish`].
    finishing: Cell<bool>,
    /// Whether the connection is closed between requests, so that nothing more is read.
    closes_between_requests: Cell<bool>,
    /// Notified when the connection is evicted while it is closing.
    pub(super) evicted: Notify,
    /// Whether the request that is being handled gives way to others, and its notification.
    is_shed: Cell<bool>,
    shed: Notify,
    /// Whether a complete head was read that the HTTP service does not have yet.
    unserved_requests: Cell<bool>,
    /// Bytes that were read and that the HTTP service does not have yet.
    kept_bytes: Cell<usize>,
    /// The reading of the current request's body.
    pub(super) body_reading: BodyReading,
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
            body_abandoned: Cell::new(false),
            truncated: Cell::new(false),
            awaiting_response: Cell::new(false),
            read_closed: Cell::new(false),
            write_blocked_since: Cell::new(None),
            ended: Cell::new(false),
            finishing: Cell::new(false),
            closes_between_requests: Cell::new(false),
            evicted: Notify::new(),
            is_shed: Cell::new(false),
            shed: Notify::new(),
            unserved_requests: Cell::new(false),
            kept_bytes: Cell::new(0),
            body_reading: BodyReading::default(),
            read_waker: RefCell::default(),
        }
    }

    /// Whether the connection has been ended.
    pub fn is_ended(&self) -> bool {
        self.ended.get()
    }

    /// Ends the connection: from now on its stream reads as closed.
    pub fn end(&self) {
        self.ended.set(true);
        self.wake_reader();
    }

    /// Ends the connection before the process exits: between requests, or with a whole response to a request that has
    /// begun. An upload whose last byte has not arrived gives way; a request that is being handled has its response by
    /// then, and its connection ends after it.
    pub(super) fn finish(&self) {
        self.finishing.set(true);
        self.shed.notify_one();
        self.wake_reader();
    }

    /// Whether the process makes its last responses.
    pub(super) fn is_finishing(&self) -> bool {
        self.finishing.get()
    }

    /// Records that the connection is closed between requests.
    pub(super) fn close_between_requests(&self) {
        self.closes_between_requests.set(true);
    }

    /// Whether the connection is closed between requests.
    pub(super) fn closes_between_requests(&self) -> bool {
        self.closes_between_requests.get()
    }

    fn wake_reader(&self) {
        if let Some(waker) = self.read_waker.take() {
            waker.wake();
        }
    }

    /// Lets this many bytes more of the current request's body be read, because its handler waits for them.
    pub fn request_body_bytes(&self, bytes: usize) {
        if self.body_reading.set_window(bytes) == 0 {
            self.wake_reader();
        }
    }

    /// Lets this many bytes of the body be read while its handler does not wait for them, so that a client's close in
    /// the middle of its body is detected.
    pub fn allow_body_read_ahead(&self, bytes: usize) {
        self.body_reading.set_read_ahead(bytes);
        self.wake_reader();
    }

    /// Bytes of the current request's body that have arrived on this machine: those that were passed on to the HTTP
    /// service, those that are kept, and those that wait in the system's buffer. Requests that are pipelined after the
    /// body count too.
    pub fn arrived_body_bytes(&self) -> u64 {
        self.body_reading.passed_on() + self.kept_bytes() as u64 + self.unread_bytes()
    }

    /// The number of bytes that the system has received and that have not been read.
    pub(super) fn unread_bytes(&self) -> u64 {
        unread_bytes(&self.stream)
    }

    /// Sets the number of bytes that were read and that the HTTP service does not have yet.
    pub(super) fn set_kept_bytes(&self, bytes: usize) {
        self.kept_bytes.set(bytes);
    }

    /// The number of bytes that were read and that the HTTP service does not have yet.
    pub(super) fn kept_bytes(&self) -> usize {
        self.kept_bytes.get()
    }

    /// Whether requests that were read wait until the HTTP service takes them. They are answered before the connection
    /// closes.
    pub fn has_unserved_requests(&self) -> bool {
        self.unserved_requests.get()
    }

    /// Sets whether requests that were read wait until the HTTP service takes them.
    pub(super) fn set_unserved_requests(&self, unserved: bool) {
        self.unserved_requests.set(unserved);
    }

    /// Reverts the end of the connection, for a request that was received just before it.
    pub(super) fn resume(&self) {
        self.ended.set(false);
    }

    /// Records that the current request has been read completely: what arrives now is pipelined after it.
    pub fn complete_request(&self) {
        self.request_complete.set(true);
        self.wake_reader();
    }

    /// Whether the request that the handler is processing has been read completely.
    pub fn is_request_complete(&self) -> bool {
        self.request_complete.get()
    }

    /// Makes the current response the connection's last: requests pipelined after it are not served.
    pub fn close_after_response(&self) {
        self.close_after_response.set(true);
    }

    /// Whether the connection's last response has been made.
    pub fn closes_after_response(&self) -> bool {
        self.close_after_response.get()
    }

    /// Closes the connection after the current response without the HTTP service reading the rest of the request. What
    /// still arrives is read and discarded while the connection is closed, which takes no buffers.
    pub fn abandon_body(&self) {
        self.body_abandoned.set(true);
        self.close_after_response.set(true);
    }

    /// Whether the rest of the last request's body is not read any more, and its response has been passed on.
    pub(super) fn has_abandoned_body(&self) -> bool {
        self.body_abandoned.get() && self.phase.get() == Phase::Idle
    }

    /// Records that a response whose body ends with the connection is incomplete. Only a reset shows that to
    /// the client.
    pub fn mark_truncated(&self) {
        self.truncated.set(true);
    }

    /// Whether the last response is incomplete.
    pub(super) fn is_truncated(&self) -> bool {
        self.truncated.get()
    }

    /// Resolves once the client has closed its side or reset the connection, whether or not bytes that it
    /// sent before are unread. Cancel safe.
    pub async fn client_closed(&self) {
        read_closed(&self.stream).await;
    }

    /// Makes the upload that is being handled give way to others.
    pub(super) fn shed(&self) {
        self.is_shed.set(true);
        self.shed.notify_one();
    }

    /// Resolves once the upload that is being handled has to give way to others. Cancel safe.
    pub async fn upload_shed(&self) {
        while !self.gives_way() {
            self.shed.notified().await;
        }
    }

    fn gives_way(&self) -> bool {
        self.is_shed.get() || (self.finishing.get() && !self.request_complete.get())
    }

    /// How long the client of the upload that is being handled has sent nothing that was waited for; `None`: there is no
    /// such upload, or it gives way already.
    pub(super) fn upload_stall(&self, now: Instant) -> Option<Duration> {
        let uploading =
            self.phase.get() == Phase::Busy && !self.request_complete.get() && !self.is_shed.get();
        if uploading { self.body_reading.stall(now) } else { None }
    }

    /// Marks a request of this client as submitted to the core for as long as the guard is held.
    pub fn await_response(self: &Rc<Self>) -> AwaitingResponse {
        AwaitingResponse::new(self)
    }

    /// Whether the client has closed its side while one of its requests waits for a response.
    pub(super) fn is_abandoned(&self) -> bool {
        self.read_closed.get() && self.awaiting_response.get()
    }

    /// Marks the connection as busy with a request for as long as the guard is held.
    pub fn begin_request(self: &Rc<Self>) -> ActiveRequest {
        self.request_complete.set(false);
        self.is_shed.set(false);
        self.body_reading.reset();
        self.set_phase(Phase::Busy);
        ActiveRequest::new(self)
    }

    /// Ends the handling of a request: what arrives now belongs to the next.
    pub(super) fn end_request(&self) {
        self.set_phase(Phase::Idle);
        self.wake_reader();
    }

    /// Records whether the core has a request of this client without a response.
    pub(super) fn set_awaiting_response(&self, awaiting: bool) {
        self.awaiting_response.set(awaiting);
    }

    pub(super) fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
        self.phase_since.set(Instant::now());
    }

    /// The current phase; [`ClientConnection::phase_for_eviction`] also considers unread responses.
    pub(super) fn phase(&self) -> Phase {
        self.phase.get()
    }

    /// The phase that eviction and timeouts consider: after a response, the connection stays busy until its
    /// client has read what is written to it.
    pub(super) fn phase_for_eviction(&self) -> Phase {
        match self.phase.get() {
            Phase::Idle if self.write_blocked_since.get().is_some() => Phase::Busy,
            phase => phase,
        }
    }

    /// When the current phase began.
    pub(super) fn phase_since(&self) -> Instant {
        self.phase_since.get()
    }

    /// How long the current phase has lasted.
    pub(super) fn phase_age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.phase_since.get())
    }

    /// How long the client has read nothing of what is written to it; `None`: writes make progress.
    pub(super) fn write_blocked_for(&self, now: Instant) -> Option<Duration> {
        self.write_blocked_since.get().map(|since| now.saturating_duration_since(since))
    }

    /// Records that a write is pending because the client does not read.
    pub(super) fn record_blocked_write(&self) {
        let since = self.write_blocked_since.get().unwrap_or_else(Instant::now);
        self.write_blocked_since.set(Some(since));
    }

    /// Records that a write was accepted.
    pub(super) fn record_write_progress(&self) {
        self.write_blocked_since.set(None);
        // The client may read the last bytes of a response long after it is made: the connection is idle from
        // then on.
        if self.phase.get() == Phase::Idle {
            self.phase_since.set(Instant::now());
        }
    }

    /// Registers the waker to wake when the connection is ended, or may be read again.
    pub(super) fn wake_on_change(&self, waker: &Waker) {
        *self.read_waker.borrow_mut() = Some(waker.clone());
    }
}
