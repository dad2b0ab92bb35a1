//! The access log: one line a request, written by a thread of its own. The request path only puts a record
//! into a bounded queue; what finds it full is dropped and counted.

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

/// What the request path and the writer's thread share.
#[derive(Debug, Default)]
struct Shared {
    /// Records put into the queue.
    queued: AtomicU64,
    /// Records taken out of it, written or not.
    done: AtomicU64,
    /// Records that found it full.
    dropped: AtomicU64,
    /// Records that the disk did not take.
    failed: AtomicU64,
    /// The file is to be opened anew.
    reopen: AtomicBool,
}

/// Where requests are logged.
#[derive(Clone, Debug)]
pub struct AccessLog {
    queue: SyncSender<Record>,
    shared: Arc<Shared>,
}

/// An open request, and what its line will say.
#[derive(Debug)]
pub struct LogEntry {
    log: AccessLog,
    started: Instant,
    /// Absent once it is in the queue.
    record: Option<Record>,
}

/// What a line says, before it is text.
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
    /// Opens the file, behind what it holds, and starts the thread, which ends with the last handle.
    ///
    /// # Errors
    /// The file cannot be opened, or the thread not be started.
    pub fn open(path: &Path, queue: usize) -> io::Result<AccessLog> {
        let named = |e: io::Error| io::Error::new(e.kind(), format!("access log {}: {e}", path.display()));
        let file = writer::append(path).map_err(named)?;
        let (sender, records) = sync_channel(queue);
        let shared = Arc::new(Shared::default());
        let writer = Writer::new(path.to_path_buf(), file, Arc::clone(&shared));
        std::thread::Builder::new()
            .name("access-log".into())
            .spawn(move || writer.run(&records))
            .map_err(named)?;
        Ok(AccessLog { queue: sender, shared })
    }

    /// Begins a request's line.
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

    /// Has the file opened anew before the next line is written.
    pub fn reopen(&self) {
        self.shared.reopen.store(true, Ordering::Relaxed);
    }

    /// How many lines were dropped because the queue was full, and how many the disk did not take.
    pub fn lost(&self) -> (u64, u64) {
        (self.shared.dropped.load(Ordering::Relaxed), self.shared.failed.load(Ordering::Relaxed))
    }

    /// Waits until all lines so far are written, at most so long.
    pub async fn settle(&self, most: Duration) {
        let until = Instant::now() + most;
        let queued = self.shared.queued.load(Ordering::Relaxed);
        while self.shared.done.load(Ordering::Acquire) < queued && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    fn put(&self, record: Record) {
        let count = match self.queue.try_send(record) {
            Ok(()) => &self.shared.queued,
            Err(_) => &self.shared.dropped,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

impl LogEntry {
    /// The request has its response.
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

/// Dropped without a response, its client has gone.
impl Drop for LogEntry {
    fn drop(&mut self) {
        if let Some(mut record) = self.record.take() {
            record.took_us = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
            self.log.put(record);
        }
    }
}

#[cfg(test)]
mod tests;
