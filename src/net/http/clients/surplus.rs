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

    /// Moves up to `limit` bytes into the buffer. Returns their number.
    pub(super) fn take(&mut self, buf: &mut ReadBuf<'_>, limit: usize) -> usize {
        let (front, _) = self.0.as_slices();
        let bytes = limit.min(buf.remaining()).min(front.len());
        buf.put_slice(&front[..bytes]);
        self.remove(bytes);
        bytes
    }

    /// Moves up to `limit` bytes into the buffer, and no byte beyond the end of a request's head. Returns whether a head
    /// ends with them.
    pub(super) fn take_head(
        &mut self,
        buf: &mut ReadBuf<'_>,
        limit: usize,
        scanner: &mut HeadScanner,
    ) -> bool {
        let (front, _) = self.0.as_slices();
        let available = &front[..limit.min(buf.remaining()).min(front.len())];
        let end = scanner.find_end(available);
        let bytes = end.unwrap_or(available.len());
        buf.put_slice(&available[..bytes]);
        self.remove(bytes);
        end.is_some()
    }

    fn remove(&mut self, bytes: usize) {
        self.0.drain(..bytes);
        if self.0.is_empty() {
            self.0 = VecDeque::new();
        }
    }

    /// Whether a request's head ends in the bytes, which follow those that the scanner has seen.
    pub(super) fn contains_head_end(&self, mut scanner: HeadScanner) -> bool {
        let (front, back) = self.0.as_slices();
        scanner.find_end(front).is_some() || scanner.find_end(back).is_some()
    }
}
