//! What the core measures of itself and writes to the log: steps that take long, messages that wait long, and
//! how long an endpoint list takes from its arrival until it is in force.
//!
//! One thread gives every response. A step that takes long holds up the last responses of all open requests
//! and the changes of targets that drain, so the log says what the step was for. [`Counters`] go to the log
//! with SIGUSR1, and at the end.

use std::time::Duration;
use tokio::time::Instant;

/// A step that takes longer is logged: the last responses of requests leave 4 ms before their clients' time
/// is up.
pub const LONG_STEP: Duration = Duration::from_millis(5);
/// A message that waited longer for its turn is counted.
const LONG_WAIT: Duration = Duration::from_millis(20);
/// Of each kind of log line that can come often, one is written in this time.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// What a step of the core was for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Step {
    /// Timers, the deadline watchdog and what else was due.
    #[default]
    Timers,
    /// A request was submitted.
    Submit,
    /// A client has gone.
    ClientGone,
    /// An attempt, its body or its response has started.
    AttemptStarts,
    /// An attempt has ended.
    AttemptEnds,
    /// An endpoint list, or a part of one.
    Endpoints,
    /// Targets that peers report as draining.
    DrainGossip,
    /// A peer's datagram of the quota exchange.
    Peer,
    /// A probe has ended.
    Probe,
    /// An operator's command.
    Admin,
    /// A step of a handover.
    Handover,
    /// Routes were loaded.
    Routes,
    /// The core's state was asked for.
    Status,
    /// The program is about to end.
    Shutdown,
}

/// What has been counted since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Steps of the core.
    pub steps: u64,
    /// Steps that took [`LONG_STEP`] or more.
    pub long_steps: u64,
    /// The longest step.
    pub longest_step: Duration,
    /// What the longest step was for.
    pub longest_step_was: Step,
    /// The longest that a request waited between its front and the core.
    pub longest_wait: Duration,
    /// Requests that waited 20 ms or more.
    pub long_waits: u64,
    /// Requests submitted.
    pub requests: u64,
    /// Responses that were given later than the request's deadline.
    pub late_responses: u64,
    /// Requests that the deadline watchdog failed.
    pub watchdog_failures: u64,
    /// Requests whose client left before the response.
    pub clients_gone: u64,
    /// Endpoint lists taken, those without an entry left out.
    pub lists: u64,
    /// The longest time from a list's last byte until it was in force.
    pub longest_list: Duration,
    /// Targets that were set to draining because peers reported that.
    pub drain_gossip_applied: u64,
}

/// The core's measurements, and when lines of the log were written last.
#[derive(Debug, Default)]
pub(super) struct Diagnostics {
    pub(super) counters: Counters,
    long_step_logged: Option<Instant>,
    /// Long steps since then.
    long_steps_suppressed: u64,
}

impl Diagnostics {
    /// A step has ended that began at `begun`.
    pub(super) fn step_ended(&mut self, step: Step, begun: Instant, targets: usize, open: usize) {
        let now = Instant::now();
        let took = now.saturating_duration_since(begun);
        self.counters.steps += 1;
        if took > self.counters.longest_step {
            (self.counters.longest_step, self.counters.longest_step_was) = (took, step);
        }
        if took < LONG_STEP {
            return;
        }
        self.counters.long_steps += 1;
        if self.long_step_logged.is_some_and(|logged| now.saturating_duration_since(logged) < LOG_INTERVAL) {
            self.long_steps_suppressed += 1;
            return;
        }
        let suppressed = std::mem::take(&mut self.long_steps_suppressed);
        self.long_step_logged = Some(now);
        let took_us = took.as_micros();
        tracing::warn!(?step, took_us, targets, open, suppressed, "core step took long");
    }

    /// A request has come to the core, which its front had whole at `arrived`.
    pub(super) fn request_submitted(&mut self, arrived: Instant) {
        let waited = Instant::now().saturating_duration_since(arrived);
        self.counters.requests += 1;
        self.counters.longest_wait = self.counters.longest_wait.max(waited);
        self.counters.long_waits += u64::from(waited >= LONG_WAIT);
    }

    /// An endpoint list is in force whose last byte came at `received`.
    pub(super) fn endpoints_in_force(&mut self, received: Instant, lines: usize) {
        let took = Instant::now().saturating_duration_since(received);
        self.counters.lists += 1;
        self.counters.longest_list = self.counters.longest_list.max(took);
        tracing::debug!(lines, took_us = took.as_micros(), "endpoint list in force");
    }
}

impl Counters {
    /// Writes all counters to the log.
    pub fn log(&self) {
        tracing::info!(
            steps = self.steps,
            long_steps = self.long_steps,
            longest_step_us = self.longest_step.as_micros(),
            longest_step = ?self.longest_step_was,
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
