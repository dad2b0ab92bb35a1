//! The access log: one line a request, written by a thread of its own. The request path only puts a line into
//! a bounded queue; what finds it full is dropped and counted.

use crate::core::endpoint::Protocol;
use crate::core::request::{Request, Response};
use rowanglade_capture::own_log::{AccessLine, End, VERSION};
use std::borrow::Cow;
use std::fs::{File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// How often lines that were dropped, or not written, are told of.
const TELL_EVERY: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct Counts {
    /// Lines put into the queue.
    queued: AtomicU64,
    /// Lines taken out of it, written or not.
    done: AtomicU64,
    /// Lines that found it full.
    dropped: AtomicU64,
    /// Lines that the disk did not take.
    failed: AtomicU64,
    reopen: AtomicBool,
}

/// Where fronts leave their lines.
#[derive(Clone, Debug)]
pub struct AccessLog {
    queue: SyncSender<Line>,
    counts: Arc<Counts>,
}

/// A request that is open, and what its line will say.
#[derive(Debug)]
pub struct LogEntry {
    log: AccessLog,
    begun: Instant,
    line: Option<Line>,
}

/// A line, before it is text.
#[derive(Debug)]
struct Line {
    at_us: i64,
    front: Protocol,
    client: Option<IpAddr>,
    id: String,
    class: String,
    plan: Option<String>,
    write: bool,
    volume: u64,
    piece: u64,
    units: f64,
    shard: Option<u32>,
    hosts: u32,
    key: Option<String>,
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
        let file = append(path).map_err(named)?;
        let (tx, rx) = sync_channel(queue);
        let counts = Arc::new(Counts::default());
        let writer = Writer {
            path: path.to_path_buf(),
            out: BufWriter::new(file),
            counts: Arc::clone(&counts),
            told: (0, 0, std::time::Instant::now()),
        };
        std::thread::Builder::new()
            .name("access-log".into())
            .spawn(move || writer.run(&rx))
            .map_err(named)?;
        Ok(AccessLog { queue: tx, counts })
    }

    /// Begins a request's line.
    pub(super) fn begin(&self, request: &Request) -> LogEntry {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let line = Line {
            at_us: i64::try_from(unix.as_micros()).unwrap_or(i64::MAX),
            front: request.origin.front,
            client: request.origin.client,
            id: request.id.clone(),
            class: request.class.clone(),
            plan: request.plan.clone(),
            write: request.write,
            volume: request.volume,
            piece: request.object,
            units: request.units,
            shard: request.shard,
            hosts: request.initiators,
            key: request.idempotency_key.clone(),
            left_ms: u64::try_from(request.time_left.as_millis()).unwrap_or(u64::MAX),
            sent: request.body_rest.as_ref().and_then(|m| m.length()).unwrap_or(request.body.len() as u64),
            end: End::Gone,
            received: 0,
            took_us: 0,
            wait_ms: 0,
        };
        LogEntry { log: self.clone(), begun: Instant::now(), line: Some(line) }
    }

    /// Has the file opened anew before the next line is written.
    pub fn reopen(&self) {
        self.counts.reopen.store(true, Ordering::Relaxed);
    }

    /// Lines dropped because the queue was full, and lines that the disk did not take.
    pub fn lost(&self) -> (u64, u64) {
        (self.counts.dropped.load(Ordering::Relaxed), self.counts.failed.load(Ordering::Relaxed))
    }

    /// Waits until all lines so far are written, at most so long.
    pub async fn settle(&self, most: Duration) {
        let until = Instant::now() + most;
        let queued = self.counts.queued.load(Ordering::Relaxed);
        while self.counts.done.load(Ordering::Acquire) < queued && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    fn put(&self, line: Line) {
        let count = match self.queue.try_send(line) {
            Ok(()) => &self.counts.queued,
            Err(_) => &self.counts.dropped,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }
}

impl LogEntry {
    /// The request has its response.
    pub(super) fn finish(mut self, response: &Response) {
        if let Some(line) = &mut self.line {
            (line.end, line.received, line.wait_ms) = match response {
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
        if let Some(mut line) = self.line.take() {
            line.took_us = u64::try_from(self.begun.elapsed().as_micros()).unwrap_or(u64::MAX);
            self.log.put(line);
        }
    }
}

fn append(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}

struct Writer {
    path: PathBuf,
    out: BufWriter<File>,
    counts: Arc<Counts>,
    /// Lines dropped and failed, as last told, and when.
    told: (u64, u64, std::time::Instant),
}

impl Writer {
    fn run(mut self, queue: &Receiver<Line>) {
        while let Ok(first) = queue.recv() {
            if self.counts.reopen.swap(false, Ordering::Relaxed) {
                match append(&self.path) {
                    Ok(file) => self.out = BufWriter::new(file),
                    // The file at hand goes on: its lines are not lost.
                    Err(error) => tracing::error!(%error, "the access log was not opened anew"),
                }
            }
            let mut taken = 0;
            let mut failed = 0;
            let mut next = Some(first);
            while let Some(line) = next {
                taken += 1;
                failed += u64::from(self.write(&line).is_err());
                // A flush for each line only where lines are rare.
                next = queue.try_recv().ok().filter(|_| taken < 1_024);
            }
            if self.out.flush().is_err() {
                failed = taken;
                // What a full disk did not take must not stand in the way of what comes.
                if let Ok(file) = append(&self.path) {
                    let (_, _) = std::mem::replace(&mut self.out, BufWriter::new(file)).into_parts();
                }
            }
            self.counts.failed.fetch_add(failed, Ordering::Relaxed);
            self.counts.done.fetch_add(taken, Ordering::Release);
            self.tell();
        }
        let _ = self.out.flush();
    }

    fn tell(&mut self) {
        let dropped = self.counts.dropped.load(Ordering::Relaxed);
        let failed = self.counts.failed.load(Ordering::Relaxed);
        if (dropped, failed) != (self.told.0, self.told.1) && self.told.2.elapsed() >= TELL_EVERY {
            self.told = (dropped, failed, std::time::Instant::now());
            tracing::warn!(dropped, failed, "lines of the access log are missing");
        }
    }

    fn write(&mut self, line: &Line) -> io::Result<()> {
        let line = AccessLine {
            rowanglade: VERSION,
            at_us: line.at_us,
            front: Cow::Borrowed(match line.front {
                Protocol::Http => "http",
                Protocol::Iscsi => "iscsi",
            }),
            client: line.client,
            id: Cow::Borrowed(&line.id),
            class: Cow::Borrowed(&line.class),
            plan: line.plan.as_deref().map(Cow::Borrowed),
            write: line.write,
            volume: Cow::Owned(format!("{:016x}", line.volume)),
            piece: Cow::Owned(format!("{:016x}", line.piece)),
            units: line.units,
            shard: line.shard,
            hosts: line.hosts,
            key: line.key.as_deref().map(Cow::Borrowed),
            left_ms: line.left_ms,
            sent: line.sent,
            end: line.end,
            received: line.received,
            took_us: line.took_us,
            wait_ms: line.wait_ms,
        };
        serde_json::to_writer(&mut self.out, &line)?;
        self.out.write_all(b"\n")
    }
}

#[cfg(test)]
mod tests;
