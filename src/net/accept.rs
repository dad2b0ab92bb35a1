//! Recovery from a failed `accept`.
//!
//! Linux reports three kinds of failure through `accept`: a broken connection or a network fault (the next
//! connection may be fine), a lack of descriptors or memory in the process or the system, or an unusable
//! listener. In none of these cases does the listener spin or stop accepting permanently.

use rustix::io::Errno;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// Pause before the next `accept` when descriptors or memory are short or the listener fails repeatedly: long
/// enough to avoid a busy loop, and short because clients in the accept queue wait for as long.
const PAUSE: Duration = Duration::from_millis(20);
/// Consecutive failures before the listener pauses. Each is assumed to have removed a broken connection from
/// the accept queue.
const MAX_FAILURES_WITHOUT_PAUSE: u32 = 64;
/// Minimum interval between log lines about failures of one listener.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What the listener does before its next `accept`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptRecovery {
    /// Accept again at once: only that connection was broken.
    Continue,
    /// Descriptors or memory are short: close a connection if possible, then wait this long.
    FreeDescriptors(Duration),
    /// The listener fails repeatedly: wait this long.
    Pause(Duration),
}

/// Waits for the pause that `next` prescribes, if any. Cancel safe.
pub async fn pause(next: AcceptRecovery) {
    match next {
        AcceptRecovery::Continue => {}
        AcceptRecovery::FreeDescriptors(pause) | AcceptRecovery::Pause(pause) => {
            tokio::time::sleep(pause).await
        }
    }
}

/// Failures of one listener: counts consecutive ones and limits the rate of their log lines.
#[derive(Debug, Default)]
pub struct AcceptFailures {
    consecutive: u32,
    logged_at: Option<Instant>,
    suppressed: u64,
}

impl AcceptFailures {
    /// Records that a connection was accepted, which ends a run of failures.
    pub fn record_success(&mut self) {
        self.consecutive = 0;
    }

    /// Records a failed `accept` and returns what the listener does next. Failures are logged at most once a
    /// second, under the name `listener`.
    pub fn record_failure(&mut self, error: &io::Error, listener: &'static str) -> AcceptRecovery {
        self.consecutive = self.consecutive.saturating_add(1);
        let next = self.next_step(error);
        self.log(error, listener, next);
        next
    }

    fn next_step(&self, error: &io::Error) -> AcceptRecovery {
        let errno = error.raw_os_error().map(Errno::from_raw_os_error);
        let out_of_resources =
            matches!(errno, Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM));
        match out_of_resources {
            // A shortage may be over by the next `accept`, so the listener pauses only when it repeats.
            true if self.consecutive == 1 => AcceptRecovery::FreeDescriptors(Duration::ZERO),
            true => AcceptRecovery::FreeDescriptors(PAUSE),
            false if self.consecutive < MAX_FAILURES_WITHOUT_PAUSE => AcceptRecovery::Continue,
            false => AcceptRecovery::Pause(PAUSE),
        }
    }

    fn log(&mut self, error: &io::Error, listener: &'static str, next: AcceptRecovery) {
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
