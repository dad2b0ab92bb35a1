//! Bytes that were read from a client and not passed on to the HTTP service yet.

use super::head_scanner::HeadScanner;
use std::collections::VecDeque;
use tokio::io::ReadBuf;

/// Bytes in the order of their arrival. The memory is that of the bytes, and is released with the last of them.
#[derive(Debug, Default)]
pub(super) struct Surplus(VecDeque<u8>);

impl Surplus {
    pub(super) fn len(&self) -> usize {
        self.0.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Appends bytes.
    pub(super) fn push(&mut self, bytes: &[u8]) {
        self.0.reserve_exact(bytes.len());
        self.0.extend(bytes);
    }

    /// Puts bytes before all others.
    pub(super) fn push_front(&mut self, bytes: &[u8]) {
        self.0.reserve_exact(bytes.len());
        bytes.iter().rev().for_each(|byte| self.0.push_front(*byte));
    }

    /// Moves up to `limit` bytes into the buffer. Returns their number.
    pub(super) fn take(&mut self, buf: &mut ReadBuf<'_>, limit: usize) -> usize {
        let (front, _) = self.0.as_slices();
        let bytes = limit.min(buf.remaining()).min(front.len());
        buf.put_slice(&front[..bytes]);
        self.0.drain(..bytes);
        if self.0.is_empty() {
            self.0 = VecDeque::new();
        }
        bytes
    }

    /// Whether a request's head ends in the bytes, which follow those that the scanner has seen.
    pub(super) fn contains_head_end(&self, mut scanner: HeadScanner) -> bool {
        let (front, back) = self.0.as_slices();
        scanner.find_end(front).is_some() || scanner.find_end(back).is_some()
    }
}
