//! The body of a long request: its chunks are forwarded to one attempt with back-pressure from the target, and its
//! arrival on this machine is followed whether or not the target takes it.

use crate::core::body::IncompleteBody;
use crate::core::upload_clock::UploadClock;
use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Interval between checks of what has arrived while nobody reads the body. A final response is late by at most as
/// much, which is well within the slack that the platform's rules allow on sockets.
const ARRIVAL_CHECK_INTERVAL: Duration = Duration::from_millis(25);

type Chunks = LocalBoxStream<'static, Result<Bytes, IncompleteBody>>;

/// Where the streamed part of a body comes from.
pub struct UploadSource {
    /// Bytes of the entire body; absent if its head does not declare a length.
    pub length: Option<u64>,
    /// Bytes at its beginning that are buffered, and not among `chunks`.
    pub buffered_bytes: u64,
    /// The bytes that follow the buffered ones.
    pub chunks: Chunks,
    /// Returns how many bytes of the body have arrived on this machine, read or not, as encoded on the connection.
    pub arrived_bytes: Box<dyn Fn() -> u64>,
}

/// The part of a long request body that follows the buffered bytes, streamed from the client. Only one
/// attempt can send it: chunks that have been read are not available to another.
pub struct Upload {
    length: Option<u64>,
    /// Bytes that are still to be read; absent if the head does not declare a length.
    unread_bytes: Cell<Option<u64>>,
    /// Absent while a reader has them, and once any of them was read.
    chunks: RefCell<Option<Chunks>>,
    arrived_bytes: Box<dyn Fn() -> u64>,
    consumed: Cell<bool>,
    completed_at: Cell<Option<Instant>>,
    clock: RefCell<UploadClock>,
    /// Notified when the clock's expiry changes.
    clock_changed: Notify,
}

impl Upload {
    /// A body whose streamed part is still to arrive or to be read.
    pub fn new(source: UploadSource) -> Upload {
        let UploadSource { length, buffered_bytes, chunks, arrived_bytes } = source;
        let upload = Upload {
            length,
            unread_bytes: Cell::new(length.map(|length| length.saturating_sub(buffered_bytes))),
            chunks: RefCell::new(Some(chunks)),
            arrived_bytes,
            consumed: Cell::new(false),
            completed_at: Cell::new(None),
            clock: RefCell::new(UploadClock::new(length, Instant::now())),
            clock_changed: Notify::new(),
        };
        upload.check_arrival();
        upload
    }

    /// Bytes of the entire body; `None` if its head does not declare a length.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether any chunk has been read, so that the body cannot be sent again.
    pub fn is_consumed(&self) -> bool {
        self.consumed.get()
    }

    /// Commits the body to the attempt that reads it, before any chunk was read: it cannot be sent by another.
    pub fn commit_to_attempt(&self) {
        self.consumed.set(true);
    }

    /// When the last byte was read; `None` before that. Until then the target cannot have received all of the body.
    pub fn completed_at(&self) -> Option<Instant> {
        self.completed_at.get()
    }

    /// Bytes that are known to have arrived on this machine, for the log.
    pub fn arrived_bytes(&self) -> u64 {
        self.clock.borrow().arrived_bytes()
    }

    /// A reader for an attempt. `None` if another attempt has a reader or has read some of the body.
    pub fn reader(&self) -> Option<UploadReader<'_>> {
        let chunks = self.chunks.borrow_mut().take()?;
        Some(UploadReader { upload: self, chunks: Some(chunks) })
    }

    /// Follows the arrival of the body until its last byte has arrived. Its front calls this from the submission of
    /// the request on, because an attempt may begin much later.
    pub async fn follow_arrival(&self) {
        while !self.clock.borrow().is_complete() {
            tokio::time::sleep(ARRIVAL_CHECK_INTERVAL).await;
            self.check_arrival();
        }
    }

    /// Resolves once the attempt that transfers the body has failed: the client's time since the last byte has passed,
    /// or the target takes nothing. `time_left`: how long the client waits for the response. Cancel safe.
    pub async fn expired(&self, time_left: Duration) {
        loop {
            let changed = self.clock_changed.notified();
            let expires_at = self.clock.borrow().expires_at(time_left);
            if expires_at.is_some_and(|at| at <= Instant::now()) {
                return;
            }
            let expiry = async {
                match expires_at {
                    Some(at) => tokio::time::sleep_until(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = changed => {}
                () = expiry => self.check_arrival(),
            }
        }
    }

    fn check_arrival(&self) {
        let arrived_bytes = (self.arrived_bytes)();
        self.update_clock(|clock| clock.record_arrival(Instant::now(), arrived_bytes));
    }

    /// Changes the clock, and wakes the attempt if that changes when it expires: while the transfer waits for the
    /// client, most changes do not.
    fn update_clock(&self, update: impl FnOnce(&mut UploadClock)) {
        let mut clock = self.clock.borrow_mut();
        let expired_at = clock.expires_at(Duration::ZERO);
        update(&mut clock);
        if clock.expires_at(Duration::ZERO) != expired_at {
            self.clock_changed.notify_waiters();
        }
    }

    /// Records that a chunk was read, which the target has to take next.
    fn record_chunk(&self, chunk: &Bytes) {
        let unread_bytes = self.unread_bytes.get();
        self.unread_bytes.set(unread_bytes.map(|bytes| bytes.saturating_sub(chunk.len() as u64)));
        self.update_clock(|clock| clock.await_target(Instant::now()));
    }

    /// Records that all of the body was read, and that the target has taken it.
    fn record_end(&self) {
        self.completed_at.set(Some(Instant::now()));
        self.update_clock(UploadClock::record_end);
    }
}

impl fmt::Debug for Upload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Upload").field("length", &self.length).field("consumed", &self.consumed).finish()
    }
}

/// Reads the rest of a body for an attempt. If dropped before anything was read, another attempt may read it.
pub struct UploadReader<'a> {
    upload: &'a Upload,
    chunks: Option<Chunks>,
}

impl UploadReader<'_> {
    /// The next chunk; `None` at the end of the body. Called once the target has taken the chunk before. Cancel safe:
    /// if dropped before it resolves, no chunk is lost.
    ///
    /// # Errors
    /// The client will not send the rest.
    pub async fn next(&mut self) -> Result<Option<Bytes>, IncompleteBody> {
        let Some(chunks) = &mut self.chunks else { return Ok(None) };
        let chunk = match self.upload.unread_bytes.get() {
            Some(0) => None,
            _ => {
                self.upload.update_clock(UploadClock::await_client);
                chunks.next().await
            }
        };
        self.upload.consumed.set(true);
        self.upload.check_arrival();
        match chunk {
            Some(chunk) => {
                let chunk = chunk?;
                self.upload.record_chunk(&chunk);
                Ok(Some(chunk))
            }
            None => {
                self.chunks = None;
                self.upload.record_end();
                Ok(None)
            }
        }
    }
}

impl Drop for UploadReader<'_> {
    fn drop(&mut self) {
        if !self.upload.is_consumed() {
            *self.upload.chunks.borrow_mut() = self.chunks.take();
        }
    }
}
