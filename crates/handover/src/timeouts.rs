//! How long either side waits.

use std::time::Duration;

/// How long a predecessor waits for its successor to get ready: that reads its configuration and connects to
/// its targets, which takes seconds on a busy machine. The predecessor serves on meanwhile.
pub(crate) const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// How long a predecessor waits for its successor to confirm the state. It spends nothing during that time,
/// so a request of a limited volume waits as long.
pub(crate) const CONFIRM_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a process waits before it tries again where the other was busy, or could not be reached yet.
pub(crate) const RETRY_DELAY: Duration = Duration::from_millis(50);
