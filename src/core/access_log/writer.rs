//! The access log's writer thread.

use super::{Record, Shared};
use crate::core::endpoint::Protocol;
use rowanglade_capture::own_log::{AccessLine, VERSION};
use std::borrow::Cow;
use std::fs::{File, OpenOptions};
use std::io::{self, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::sync::mpsc::Receiver;
use std::time::{Duration, Instant};

/// Minimum interval between log messages about lost lines.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// Lines written before the file is flushed.
const MAX_BATCH: u64 = 1_024;

/// Opens the file for appending, creating it if needed.
pub(super) fn open_for_append(path: &Path) -> io::Result<File> {
    OpenOptions::new().create(true).append(true).open(path)
}

/// The writer thread's state.
pub(super) struct Writer {
    path: PathBuf,
    output: BufWriter<File>,
    shared: Arc<Shared>,
    logged: LoggedLosses,
}

/// The losses already reported in the program's log.
struct LoggedLosses {
    dropped: u64,
    failed: u64,
    at: Instant,
}

impl Writer {
    pub(super) fn new(path: PathBuf, file: File, shared: Arc<Shared>) -> Writer {
        let logged = LoggedLosses { dropped: 0, failed: 0, at: Instant::now() };
        Writer { path, output: BufWriter::new(file), shared, logged }
    }

    /// Writes records until the last [`AccessLog`](super::AccessLog) is dropped.
    pub(super) fn run(mut self, records: &Receiver<Record>) {
        while let Ok(first) = records.recv() {
            if self.shared.reopen.swap(false, Ordering::Relaxed) {
                self.reopen();
            }
            self.write_batch(first, records);
            self.log_losses();
        }
        let _ = self.output.flush();
    }

    fn reopen(&mut self) {
        match open_for_append(&self.path) {
            Ok(file) => self.output = BufWriter::new(file),
            // Lines continue to go to the file that is still open, so none are lost.
            Err(error) => {
                tracing::error!(%error, "access log could not be reopened, still writing to the previous file")
            }
        }
    }

    /// Writes the queued records, up to one batch, and flushes once. Only where requests are rare is there
    /// one flush per line.
    fn write_batch(&mut self, first: Record, records: &Receiver<Record>) {
        let mut count = 0;
        let mut failed = 0;
        let mut next = Some(first);
        while let Some(record) = next {
            count += 1;
            failed += u64::from(self.write_record(&record).is_err());
            next = records.try_recv().ok().filter(|_| count < MAX_BATCH);
        }
        if self.output.flush().is_err() {
            failed = count;
            self.discard_buffer();
        }
        self.shared.failed.fetch_add(failed, Ordering::Relaxed);
        self.shared.processed.fetch_add(count, Ordering::Release);
    }

    /// Reopens the file without the buffered lines that the disk rejected, so that they do not block later
    /// lines.
    fn discard_buffer(&mut self) {
        if let Ok(file) = open_for_append(&self.path) {
            let (_, _) = std::mem::replace(&mut self.output, BufWriter::new(file)).into_parts();
        }
    }

    fn log_losses(&mut self) {
        let dropped = self.shared.dropped.load(Ordering::Relaxed);
        let failed = self.shared.failed.load(Ordering::Relaxed);
        let changed = (dropped, failed) != (self.logged.dropped, self.logged.failed);
        if changed && self.logged.at.elapsed() >= LOG_INTERVAL {
            self.logged = LoggedLosses { dropped, failed, at: Instant::now() };
            tracing::warn!(dropped, failed, "access log lines lost");
        }
    }

    fn write_record(&mut self, record: &Record) -> io::Result<()> {
        let line = AccessLine {
            rowanglade: VERSION,
            at_us: record.at_us,
            front: Cow::Borrowed(match record.front {
                Protocol::Http => "http",
                Protocol::Iscsi => "iscsi",
            }),
            client: record.client,
            id: Cow::Borrowed(&record.id),
            class: Cow::Borrowed(&record.class),
            plan: record.plan.as_deref().map(Cow::Borrowed),
            write: record.write,
            volume: Cow::Owned(format!("{:016x}", record.volume)),
            piece: Cow::Owned(format!("{:016x}", record.object)),
            units: record.units,
            shard: record.shard,
            hosts: record.initiators,
            key: record.idempotency_key.as_deref().map(Cow::Borrowed),
            left_ms: record.left_ms,
            sent: record.sent,
            end: record.end,
            received: record.received,
            took_us: record.took_us,
            wait_ms: record.wait_ms,
        };
        serde_json::to_writer(&mut self.output, &line)?;
        self.output.write_all(b"\n")
    }
}
