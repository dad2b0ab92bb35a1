//! Timeouts and delays of the handover protocol.

use std::time::Duration;

/// How long a predecessor waits for `Ready`. The successor reads its configuration and connects to its
/// targets, which takes seconds on a busy machine. The predecessor serves meanwhile.
pub(crate) const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a predecessor waits for `StateReceived`. It spends nothing during that time, so requests of
/// limited volumes wait as long.
pub(crate) const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Delay before a process tries again after the other one was busy or could not be reached.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(50);
