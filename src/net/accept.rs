//! What follows when a connection cannot be accepted.
//!
//! Linux reports three kinds of failure by `accept`: the connection itself is broken or the network is in
//! trouble (the next one may be well), the process or the system has no descriptor or memory left, or the
//! listener is unusable. Whatever it is, a listener neither spins nor stops for good.

use rustix::io::Errno;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// Pause where descriptors or memory are short, or the listener fails again and again: long enough not to spin,
/// and short, since clients that wait to be accepted lose that time.
const PAUSE: Duration = Duration::from_millis(20);
/// Consecutive failures without a pause: each has taken a broken connection out of the queue, as far as is
/// known.
const MAX_FAILURES_WITHOUT_PAUSE: u32 = 64;
/// How often failures are logged.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What to do before the next accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    /// Nothing: that connection was broken.
    Continue,
    /// Descriptors or memory are short: something should be closed, and the next accept is to wait this long.
    FreeDescriptors(Duration),
    /// The listener fails again and again: the next accept is to wait this long.
    Pause(Duration),
}

/// Waits for as long as the next accept is to wait. Cancel safe.
pub async fn pause(next: AfterFailure) {
    match next {
        AfterFailure::Continue => {}
        AfterFailure::FreeDescriptors(pause) | AfterFailure::Pause(pause) => tokio::time::sleep(pause).await,
    }
}

/// The failures of one listener.
#[derive(Debug, Default)]
pub struct AcceptFailures {
    consecutive: u32,
    logged_at: Option<Instant>,
    suppressed: u64,
}

impl AcceptFailures {
    /// Records that a connection was accepted.
    pub fn record_success(&mut self) {
        self.consecutive = 0;
    }

    /// Records that an accept failed, and says what to do next. Failures are logged once a second; `listener`
    /// names the listener there.
    pub fn record_failure(&mut self, error: &io::Error, listener: &'static str) -> AfterFailure {
        self.consecutive = self.consecutive.saturating_add(1);
        let next = self.after(error);
        self.log(error, listener, next);
        next
    }

    fn after(&self, error: &io::Error) -> AfterFailure {
        let errno = error.raw_os_error().map(Errno::from_raw_os_error);
        let short = matches!(errno, Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM));
        match short {
            // A shortage may be over in a moment: only one that shows again is waited for.
            true if self.consecutive == 1 => AfterFailure::FreeDescriptors(Duration::ZERO),
            true => AfterFailure::FreeDescriptors(PAUSE),
            false if self.consecutive < MAX_FAILURES_WITHOUT_PAUSE => AfterFailure::Continue,
            false => AfterFailure::Pause(PAUSE),
        }
    }

    fn log(&mut self, error: &io::Error, listener: &'static str, next: AfterFailure) {
        let now = Instant::now();
        if self.logged_at.is_some_and(|at| now.saturating_duration_since(at) < LOG_INTERVAL) {
            self.suppressed += 1;
            return;
        }
        let suppressed = std::mem::take(&mut self.suppressed);
        self.logged_at = Some(now);
        tracing::warn!(listener, %error, ?next, suppressed, "accept failed");
    }
}
