//! How much of the current request's body has been read from a connection, and how much may be.

use std::cell::Cell;

/// The reading of one request's body.
#[derive(Debug, Default)]
pub(super) struct BodyReading {
    /// Bytes that may be read until the handler waits for more.
    window: Cell<usize>,
    /// Bytes that may be read ahead while the handler does not wait for them.
    read_ahead: Cell<usize>,
    /// Bytes that were read and passed on to the HTTP service.
    passed_on: Cell<u64>,
}

impl BodyReading {
    /// Starts over, for the body of the next request.
    pub(super) fn reset(&self) {
        self.window.set(0);
        self.read_ahead.set(0);
        self.passed_on.set(0);
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
    }

    /// Bytes that were passed on.
    pub(super) fn passed_on(&self) -> u64 {
        self.passed_on.get()
    }
}
