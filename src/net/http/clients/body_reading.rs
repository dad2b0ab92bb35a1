//! How much of the current request's body has been read from a connection, and how much may be.

use std::cell::Cell;
use std::time::Duration;
use tokio::time::Instant;

/// The reading of one request's body.
#[derive(Debug)]
pub(super) struct BodyReading {
    /// Bytes that may be read until the handler waits for more.
    window: Cell<usize>,
    /// Bytes that may be read ahead while the handler does not wait for them.
    read_ahead: Cell<usize>,
    /// Bytes that were read and passed on to the HTTP service.
    passed_on: Cell<u64>,
    /// When bytes were last passed on, or the body began.
    moved_at: Cell<Instant>,
}

impl Default for BodyReading {
    fn default() -> BodyReading {
        BodyReading {
            window: Cell::default(),
            read_ahead: Cell::default(),
            passed_on: Cell::default(),
            moved_at: Cell::new(Instant::now()),
        }
    }
}

impl BodyReading {
    /// Starts over, for the body of the next request.
    pub(super) fn reset(&self) {
        self.window.set(0);
        self.read_ahead.set(0);
        self.passed_on.set(0);
        self.moved_at.set(Instant::now());
    }

    /// How long the handler has waited for bytes of the body and none have come; `None`: it does not wait.
    pub(super) fn stall(&self, now: Instant) -> Option<Duration> {
        (self.window() > 0).then(|| now.saturating_duration_since(self.moved_at.get()))
    }

    /// Bytes that may be read now.
    pub(super) fn window(&self) -> usize {
        self.window.get()
    }

    /// Sets how many bytes may be read now. Returns how many were before.
    pub(super) fn set_window(&self, bytes: usize) -> usize {
        self.window.replace(bytes)
    }

    /// Bytes that may be read ahead.
    pub(super) fn read_ahead(&self) -> usize {
        self.read_ahead.get()
    }

    /// Sets how many bytes may be read ahead.
    pub(super) fn set_read_ahead(&self, bytes: usize) {
        self.read_ahead.set(bytes);
    }

    /// Records that bytes were passed on.
    pub(super) fn record_passed_on(&self, bytes: usize) {
        self.window.set(self.window.get().saturating_sub(bytes));
        self.passed_on.set(self.passed_on.get() + bytes as u64);
        self.moved_at.set(Instant::now());
    }

    /// Bytes that were passed on.
    pub(super) fn passed_on(&self) -> u64 {
        self.passed_on.get()
    }
}
