//! The core's measurements of itself, and what it logs of them: steps that take long, messages that wait
//! long, and how long an endpoint list takes from its arrival until it is in force.
//!
//! One thread produces every response. A long step delays the last responses of all open requests and the
//! state changes of draining targets, so the log names the kind of step. [`Counters`] are logged on
//! SIGUSR1.

use std::time::Duration;
use tokio::time::Instant;

/// Steps that take at least this long are logged. Final responses are sent 4 ms before the client's deadline,
/// so a longer step can make them late.
pub const LONG_STEP: Duration = Duration::from_millis(5);
/// Requests that waited at least this long for the core are counted.
const LONG_WAIT: Duration = Duration::from_millis(20);
/// At most one log line of each frequent kind is written per interval.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The kind of a core step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Step {
    /// Timers, the deadline watchdog and other timed work.
    #[default]
    Timers,
    /// A request was submitted.
    Submit,
    /// A client disconnected.
    ClientGone,
    /// An attempt, its body or its response started.
    AttemptStarts,
    /// An attempt ended.
    AttemptEnds,
    /// An endpoint list, or a part of one, was received.
    Endpoints,
    /// Peers reported targets as draining.
    DrainGossip,
    /// A peer's datagram of the quota exchange was received.
    Peer,
    /// A probe ended.
    Probe,
    /// An operator's command was received.
    Admin,
    /// A handover request was received.
    Handover,
    /// Routes were loaded.
    Routes,
    /// A status summary or the list of targets was requested.
    Status,
    /// The process is shutting down.
    Shutdown,
}

/// Counts and maxima since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Steps of the core.
    pub steps: u64,
    /// Steps that took [`LONG_STEP`] or more.
    pub long_steps: u64,
    /// The longest step.
    pub longest_step: Duration,
    /// The kind of the longest step.
    pub longest_step_kind: Step,
    /// The longest time that a request waited between its front and the core.
    pub longest_wait: Duration,
    /// Requests that waited at least 20 ms for the core.
    pub long_waits: u64,
    /// Requests submitted.
    pub requests: u64,
    /// Responses sent after the request's deadline.
    pub late_responses: u64,
    /// Requests failed by the deadline watchdog.
    pub watchdog_failures: u64,
    /// Requests whose client disconnected before the response.
    pub clients_gone: u64,
    /// Endpoint list updates applied.
    pub lists: u64,
    /// The longest time between the last byte of a list and its taking effect.
    pub longest_list: Duration,
    /// Targets set to draining because of drain gossip.
    pub drain_gossip_applied: u64,
}

/// The core's counters, and the state of its log rate limit.
#[derive(Debug, Default)]
pub(super) struct Diagnostics {
    pub(super) counters: Counters,
    long_step_logged_at: Option<Instant>,
    /// Long steps that were not logged because of the rate limit, since the last one that was.
    long_steps_suppressed: u64,
}

impl Diagnostics {
    /// Records a step that ends now.
    pub(super) fn record_step(&mut self, step: Step, started_at: Instant, targets: usize, open: usize) {
        let now = Instant::now();
        let elapsed = now.saturating_duration_since(started_at);
        self.counters.steps += 1;
        if elapsed > self.counters.longest_step {
            (self.counters.longest_step, self.counters.longest_step_kind) = (elapsed, step);
        }
        if elapsed < LONG_STEP {
            return;
        }
        self.counters.long_steps += 1;
        if self
            .long_step_logged_at
            .is_some_and(|logged_at| now.saturating_duration_since(logged_at) < LOG_INTERVAL)
        {
            self.long_steps_suppressed += 1;
            return;
        }
        let suppressed = std::mem::take(&mut self.long_steps_suppressed);
        self.long_step_logged_at = Some(now);
        let took_us = elapsed.as_micros();
        tracing::warn!(?step, took_us, targets, open, suppressed, "core step took long");
    }

    /// Records a request that the core now handles, which its front had received entirely at `arrived`.
    pub(super) fn record_submission(&mut self, arrived: Instant) {
        let waited = Instant::now().saturating_duration_since(arrived);
        self.counters.requests += 1;
        self.counters.longest_wait = self.counters.longest_wait.max(waited);
        self.counters.long_waits += u64::from(waited >= LONG_WAIT);
    }

    /// Records that an endpoint list took effect whose last byte arrived at `received`.
    pub(super) fn record_endpoint_update(&mut self, received: Instant, lines: usize) {
        let elapsed = Instant::now().saturating_duration_since(received);
        self.counters.lists += 1;
        self.counters.longest_list = self.counters.longest_list.max(elapsed);
        tracing::debug!(lines, took_us = elapsed.as_micros(), "endpoint list in force");
    }
}

impl Counters {
    /// Writes all counters to the log.
    pub fn log(&self) {
        tracing::info!(
            steps = self.steps,
            long_steps = self.long_steps,
            longest_step_us = self.longest_step.as_micros(),
            longest_step = ?self.longest_step_kind,
            longest_wait_us = self.longest_wait.as_micros(),
            long_waits = self.long_waits,
            requests = self.requests,
            late_responses = self.late_responses,
            watchdog_failures = self.watchdog_failures,
            clients_gone = self.clients_gone,
            lists = self.lists,
            longest_list_us = self.longest_list.as_micros(),
            drain_gossip_applied = self.drain_gossip_applied,
            "counters"
        );
    }
}
