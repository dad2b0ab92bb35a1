//! The access log: one line per request, written by a dedicated thread. The request path only enqueues a
//! record into a bounded queue; records that do not fit are dropped and counted.

mod writer;

use crate::core::endpoint::Protocol;
use crate::core::request::{Request, Response};
use rowanglade_capture::own_log::End;
use std::io;
use std::net::IpAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{SyncSender, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;
use writer::Writer;

/// State shared between the request path and the writer thread.
#[derive(Debug, Default)]
struct Shared {
    /// Records enqueued.
    queued: AtomicU64,
    /// Records removed from the queue, whether written or not.
    processed: AtomicU64,
    /// Records dropped because the queue was full.
    dropped: AtomicU64,
    /// Records that could not be written to the file.
    failed: AtomicU64,
    /// Set if the file is to be reopened before the next record.
    reopen: AtomicBool,
}

/// A handle by which requests are logged. The writer thread ends when the last handle is dropped.
#[derive(Clone, Debug)]
pub struct AccessLog {
    queue: SyncSender<Record>,
    shared: Arc<Shared>,
}

/// The log line of an open request; it is enqueued when this is dropped.
#[derive(Debug)]
pub struct LogEntry {
    log: AccessLog,
    started: Instant,
    /// Absent once the record is enqueued.
    record: Option<Record>,
}

/// The values of one line, before formatting.
#[derive(Debug)]
struct Record {
    at_us: i64,
    front: Protocol,
    client: Option<IpAddr>,
    id: String,
    class: String,
    plan: Option<String>,
    write: bool,
    volume: u64,
    object: u64,
    units: f64,
    shard: Option<u32>,
    initiators: u32,
    idempotency_key: Option<String>,
    left_ms: u64,
    sent: u64,
    end: End,
    received: u64,
    took_us: u64,
    wait_ms: u64,
}

impl AccessLog {
    /// Opens the file for appending and starts the writer thread. At most `queue` records wait for the
    /// thread.
    ///
    /// # Errors
    /// The file cannot be opened, or the thread cannot be started.
    pub fn open(path: &Path, queue: usize) -> io::Result<AccessLog> {
        let with_path =
            |e: io::Error| io::Error::new(e.kind(), format!("access log {}: {e}", path.display()));
        let file = writer::open_for_append(path).map_err(with_path)?;
        let (sender, records) = sync_channel(queue);
        let shared = Arc::new(Shared::default());
        let writer = Writer::new(path.to_path_buf(), file, Arc::clone(&shared));
        std::thread::Builder::new()
            .name("access-log".into())
            .spawn(move || writer.run(&records))
            .map_err(with_path)?;
        Ok(AccessLog { queue: sender, shared })
    }

    /// Begins the line of a request.
    pub(super) fn begin(&self, request: &Request) -> LogEntry {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let record = Record {
            at_us: i64::try_from(unix.as_micros()).unwrap_or(i64::MAX),
            front: request.origin.front,
            client: request.origin.client,
            id: request.id.clone(),
            class: request.class.clone(),
            plan: request.plan.clone(),
            write: request.write,
            volume: request.volume,
            object: request.object,
            units: request.units,
            shard: request.shard,
            initiators: request.initiators,
            idempotency_key: request.idempotency_key.clone(),
            left_ms: u64::try_from(request.time_left.as_millis()).unwrap_or(u64::MAX),
            sent: request.body_rest.as_ref().and_then(|m| m.length()).unwrap_or(request.body.len() as u64),
            end: End::Gone,
            received: 0,
            took_us: 0,
            wait_ms: 0,
        };
        LogEntry { log: self.clone(), started: Instant::now(), record: Some(record) }
    }

    /// Makes the writer reopen the file before it writes the next line, for log rotation.
    pub fn reopen(&self) {
        self.shared.reopen.store(true, Ordering::Relaxed);
    }

    /// The number of lines dropped because the queue was full, and of those that could not be written.
    pub fn lost_lines(&self) -> (u64, u64) {
        (self.shared.dropped.load(Ordering::Relaxed), self.shared.failed.load(Ordering::Relaxed))
    }

    /// Waits until all records enqueued so far are written, for at most `timeout`.
    pub async fn wait_until_written(&self, timeout: Duration) {
        let deadline = Instant::now() + timeout;
        let queued = self.shared.queued.load(Ordering::Relaxed);
        while self.shared.processed.load(Ordering::Acquire) < queued && Instant::now() < deadline {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    fn enqueue(&self, record: Record) {
        let count = match self.queue.try_send(record) {
            Ok(()) => &self.shared.queued,
            Err(_) => &self.shared.dropped,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

impl LogEntry {
    /// Completes the line with the request's response.
    pub(super) fn finish(mut self, response: &Response) {
        if let Some(record) = &mut self.record {
            (record.end, record.received, record.wait_ms) = match response {
                Response::Served(body) => (End::Served, body.length(), 0),
                Response::Rejected { retry_after } | Response::SiteUnavailable { retry_after, .. } => {
                    (End::Refused, 0, retry_after.as_millis() as u64)
                }
                Response::Failed => (End::Failed, 0, 0),
            };
        }
    }
}

/// An entry dropped without a response is logged as a client that disconnected.
impl Drop for LogEntry {
    fn drop(&mut self) {
        if let Some(mut record) = self.record.take() {
            record.took_us = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
            self.log.enqueue(record);
        }
    }
}

#[cfg(test)]
mod tests;
