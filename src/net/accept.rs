//! What follows when a connection cannot be accepted.
//!
//! Linux reports three kinds of failure by `accept`: the connection itself is broken or the network is in
//! trouble (the next one may be well), the process or the system has no descriptor or memory left, or the
//! listener is unusable. Whatever it is, a listener neither spins nor stops for good.

use rustix::io::Errno;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// Wait where descriptors or memory are short.
const SHORT_WAIT: Duration = Duration::from_millis(20);
/// Failures in a row that are not waited for: each has taken a broken connection out of the queue, as far as
/// is known.
const MOST_AT_ONCE: u32 = 64;
/// How often failures are told of.
const TELL_EVERY: Duration = Duration::from_secs(1);

/// What to do before the next accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    /// Nothing: that connection was broken.
    GoOn,
    /// Descriptors or memory are short: something should be closed, and the next accept is to wait this long.
    MakeRoom(Duration),
    /// The listener fails again and again: the next accept is to wait.
    Wait(Duration),
}

/// The failures of one listener.
#[derive(Debug, Default)]
pub struct AcceptFailures {
    in_a_row: u32,
    told_at: Option<Instant>,
    untold: u64,
}

impl AcceptFailures {
    /// A connection was accepted.
    pub fn succeeded(&mut self) {
        self.in_a_row = 0;
    }

    /// An accept failed. It is told once a second.
    pub fn failed(&mut self, error: &io::Error, what: &'static str) -> AfterFailure {
        let errno = error.raw_os_error().map(Errno::from_raw_os_error);
        let short = matches!(errno, Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM));
        self.in_a_row = self.in_a_row.saturating_add(1);
        let next = match short {
            // A lack may be over in a moment: only one that shows again is waited for.
            true if self.in_a_row == 1 => AfterFailure::MakeRoom(Duration::ZERO),
            true => AfterFailure::MakeRoom(SHORT_WAIT),
            false if self.in_a_row < MOST_AT_ONCE => AfterFailure::GoOn,
            false => AfterFailure::Wait(SHORT_WAIT),
        };
        let now = Instant::now();
        if self.told_at.is_none_or(|at| now.saturating_duration_since(at) >= TELL_EVERY) {
            let untold = std::mem::take(&mut self.untold);
            self.told_at = Some(now);
            tracing::warn!(%error, ?next, untold, "{what}: accept failed");
        } else {
            self.untold += 1;
        }
        next
    }
}
