//! What the core measures of itself and tells the log: steps that take long, messages that wait long,
//! requests that end late or without an answer, and how long a list takes from its arrival until it is in
//! force.
//!
//! One thread owes every answer. A step that takes long holds up the last answers of all open requests and
//! the news of targets that leave, so the log says what the step did. [`Counters`] go to the log with
//! SIGUSR1, and at the end.

use crate::core::requests::Open;
use crate::interface::{Micros, Outcome, TargetId};
use crate::names::Names;
use std::fmt::Write;
use std::time::Duration;
use tokio::time::Instant;

/// A step that takes longer is told: the last answers of requests leave 4 ms before their clients' time is
/// up.
pub const LONG_STEP: Duration = Duration::from_millis(5);
/// A message that waited longer for its turn is counted.
const LONG_WAIT: Duration = Duration::from_millis(20);
/// Of each kind of line that can come often, one is written in this time.
const TELL_EVERY: Duration = Duration::from_secs(1);

/// What a step of the core was for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Step {
    /// Timers, backstops and what else was due.
    #[default]
    Timers,
    Submit,
    ClientGone,
    AttemptStarts,
    AttemptEnds,
    List,
    Departures,
    Peer,
    Probe,
    Operation,
    Upgrade,
    Routes,
    Status,
    End,
}

/// What has been counted since the start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub steps: u64,
    pub long_steps: u64,
    pub longest_step: Duration,
    pub longest_step_was: Step,
    /// The longest that a request waited between its front and the core.
    pub longest_wait: Duration,
    pub long_waits: u64,
    pub requests: u64,
    /// Answers that were given later than the request's deadline.
    pub late_answers: u64,
    /// Requests that the core's backstop failed.
    pub backstops: u64,
    /// Requests whose client left before the answer.
    pub clients_gone: u64,
    /// Lists taken, those without a line left out.
    pub lists: u64,
    /// The longest time from a list's last byte until it was in force.
    pub longest_list: Duration,
    /// Targets that peers told as leaving.
    pub departures_taken: u64,
}

/// The core's measurements, and when lines of the log were written last.
#[derive(Debug, Default)]
pub(super) struct Diagnostics {
    pub counters: Counters,
    long_step_told: Option<Instant>,
    long_steps_untold: u64,
}

/// How an attempt went so far.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptTrace {
    pub node: TargetId,
    pub sent: Micros,
    pub started: Option<Micros>,
    pub heard: Option<Micros>,
    pub ended: Option<(Micros, Outcome)>,
}

impl Diagnostics {
    /// A step has ended that began at `begun`.
    pub fn step(&mut self, step: Step, begun: Instant, targets: usize, open: usize) {
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
        if self.long_step_told.is_some_and(|told| now.saturating_duration_since(told) < TELL_EVERY) {
            self.long_steps_untold += 1;
            return;
        }
        let untold = std::mem::take(&mut self.long_steps_untold);
        self.long_step_told = Some(now);
        let took_us = took.as_micros();
        tracing::warn!(?step, took_us, targets, open, untold, "a step of the core took long");
    }

    /// A request has come to the core, which its front had whole at `arrived`.
    pub fn submitted(&mut self, arrived: Instant) {
        let waited = Instant::now().saturating_duration_since(arrived);
        self.counters.requests += 1;
        self.counters.longest_wait = self.counters.longest_wait.max(waited);
        self.counters.long_waits += u64::from(waited >= LONG_WAIT);
    }

    /// A list is in force whose last byte came at `received`.
    pub fn list_in_force(&mut self, received: Instant, lines: usize) {
        let took = Instant::now().saturating_duration_since(received);
        self.counters.lists += 1;
        self.counters.longest_list = self.counters.longest_list.max(took);
        tracing::debug!(lines, took_us = took.as_micros(), "a list is in force");
    }
}

/// One line on a request that ended late, or without an answer: when it came, and what became of each
/// attempt. Times are in microseconds from its arrival.
pub(super) fn tell_late(open: &Open, end: &str, now: Micros, names: &Names) {
    let since = |at: Micros| at.saturating_sub(open.arrived);
    let mut attempts = String::new();
    for trace in &open.traces {
        let target = names.target_name(trace.node).unwrap_or("?");
        // Writing to a string does not fail.
        let _ = write!(attempts, "[{target} sent {}", since(trace.sent));
        for (word, at) in [("started", trace.started), ("heard", trace.heard)] {
            let _ = at.map_or(Ok(()), |at| write!(attempts, " {word} {}", since(at)));
        }
        let _ = match trace.ended {
            Some((at, outcome)) => write!(attempts, " {outcome:?} {}]", since(at)),
            None => write!(attempts, " open]"),
        };
    }
    tracing::warn!(
        id = open.request.id,
        connection = open.request.origin.connection,
        class = open.request.class,
        end,
        taken_us = since(open.taken),
        wait_us = open.deadline.saturating_sub(open.arrived),
        ended_us = since(now),
        attempts,
        "a request ended late"
    );
}

impl Counters {
    /// Writes all counters to the log.
    pub fn tell(&self) {
        tracing::info!(
            steps = self.steps,
            long_steps = self.long_steps,
            longest_step_us = self.longest_step.as_micros(),
            longest_step = ?self.longest_step_was,
            longest_wait_us = self.longest_wait.as_micros(),
            long_waits = self.long_waits,
            requests = self.requests,
            late_answers = self.late_answers,
            backstops = self.backstops,
            clients_gone = self.clients_gone,
            lists = self.lists,
            longest_list_us = self.longest_list.as_micros(),
            departures_taken = self.departures_taken,
            "counters"
        );
    }
}
