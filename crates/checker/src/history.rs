//! The record of a test: requests, attempts, endpoint list changes and disturbances.

/// A time or duration in microseconds, times being on the rig's monotonic clock.
pub type Micros = u64;

/// One incarnation of an initiator: a restarted process has a new number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId(pub u32);

/// Under which conditions a request may be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// The request may be executed again at any time.
    Idempotent,
    /// Targets of one deduplication scope drop a repeat of the request within a window.
    KeyedWithin {
        /// Length of the window, measured from the start of the first attempt.
        window: Micros,
    },
    /// The request may be executed only once.
    NonIdempotent,
}

/// The result of a request as observed by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// The client received a complete response.
    Answered {
        /// When the last byte arrived.
        at: Micros,
        /// The HTTP status code.
        status: u16,
    },
    /// The client closed its connection before it received a response.
    Disconnected {
        /// When the client closed the connection.
        at: Micros,
    },
    /// No response arrived by the client's deadline, nor in the half second after it.
    TimedOut {
        /// When the client stopped waiting.
        at: Micros,
    },
    /// The initiator closed the connection without a response, after the client had written the whole
    /// request.
    Closed {
        /// When the initiator closed the connection.
        at: Micros,
        /// Whether this was the first request on the connection.
        first: bool,
    },
    /// The request did not reach an initiator: the connection failed, or the request was not completely
    /// written.
    NotAccepted,
    /// The connection was reset after a response had begun; the reset shows the client that the response is
    /// incomplete.
    Truncated {
        /// When the connection was reset.
        at: Micros,
    },
}

/// A request as observed by its client.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// Identifies the request; each of its attempts carries the same id.
    pub id: String,
    /// The initiator process that the request was sent to.
    pub process: ProcessId,
    /// Under which conditions the request may be executed more than once.
    pub idempotency: Idempotency,
    /// When the client had written the last byte.
    pub sent_at: Micros,
    /// The request's time limit as stated by the client, counted from `sent_at`.
    pub wait: Micros,
    /// The result observed by the client.
    pub outcome: ClientOutcome,
}

impl Request {
    /// When the request ended for its client; no attempt may start after this. `None` if the request was not
    /// accepted.
    pub fn ended_at(&self) -> Option<Micros> {
        match self.outcome {
            ClientOutcome::Answered { at, .. }
            | ClientOutcome::Disconnected { at }
            | ClientOutcome::TimedOut { at }
            | ClientOutcome::Closed { at, .. }
            | ClientOutcome::Truncated { at } => Some(at),
            ClientOutcome::NotAccepted => None,
        }
    }
}

/// The state or result of an attempt as observed by its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The target is processing the attempt, or its connection ended before the response.
    InFlight,
    /// The target executed the request and returned a success.
    Served,
    /// The target returned an error; the request may have been executed.
    Failed,
    /// The target rejected the attempt and stated that it was not executed.
    Rejected,
    /// The last byte of the attempt has not arrived; final if the connection ended before it.
    Incomplete,
}

/// An attempt as observed by its target.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Id of the request that the attempt belongs to.
    pub request: String,
    /// Name of the target.
    pub target: String,
    /// Name of the group of targets that recognise repeats of each other's keyed requests.
    pub deduplication_scope: String,
    /// When the target had received the attempt's headers.
    pub started_at: Micros,
    /// Size of the attempt relative to a request of usual size.
    pub units: f64,
    /// Time left as stated by the initiator; `None` if the attempt states none.
    pub time_left: Option<Micros>,
    /// The state or result at the target.
    pub outcome: AttemptOutcome,
    /// When the target had written the response, or when the connection ended before that; `None` while
    /// neither has happened.
    pub ended_at: Option<Micros>,
}

/// The state of a target in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// The target accepts new work.
    Active {
        /// When the target started; `None` if it started too long ago for slow start to apply.
        started: Option<Micros>,
    },
    /// The target accepts no new work.
    Draining,
    /// The target is no longer listed.
    Removed,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    /// Version of the endpoint list that contains the change.
    pub version: u64,
    /// When the change was recorded at discovery.
    pub at: Micros,
    /// Name of the target.
    pub target: String,
    /// State of the target from this change on.
    pub state: TargetState,
}

/// Discovery delivered the endpoint list at a version, or all changes up to that version, to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// The process that received the list.
    pub process: ProcessId,
    /// Version of the list.
    pub version: u64,
    /// When discovery wrote the response.
    pub at: Micros,
}

/// A span of time, for example an outage of discovery. `to` is exclusive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    /// Start of the span.
    pub from: Micros,
    /// End of the span, exclusive.
    pub to: Micros,
}

impl Interval {
    /// Returns the length of the overlap with the span from `from` to `to`.
    fn overlap(&self, from: Micros, to: Micros) -> Micros {
        self.to.min(to).saturating_sub(self.from.max(from))
    }
}

/// How the test ended a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessEnd {
    /// The process that ended.
    pub process: ProcessId,
    /// When the process was sent SIGTERM; `None` if it was not.
    pub terminated_at: Option<Micros>,
    /// When the process was sent SIGKILL; `None` if it exited without.
    pub killed_at: Option<Micros>,
}

/// Everything that a test recorded, the input of [`check`](crate::check).
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// Every request, as observed by its client.
    pub requests: Vec<Request>,
    /// Every attempt, as observed by its target.
    pub attempts: Vec<Attempt>,
    /// Every change of the endpoint list.
    pub changes: Vec<EndpointChange>,
    /// Every response of discovery that a process received completely.
    pub deliveries: Vec<Delivery>,
    /// Spans in which discovery was unreachable.
    pub outages: Vec<Interval>,
    /// When each process started. A process without an entry ran from the start of the test.
    pub process_starts: Vec<(ProcessId, Micros)>,
    /// How and when the test ended processes.
    pub process_ends: Vec<ProcessEnd>,
    /// Spans in which the rig itself was stalled. What it recorded then may be late by up to the length of
    /// the stall.
    pub stalls: Vec<Interval>,
    /// Processes whose file descriptors idle clients exhaust, and since when. From then on, the process may
    /// close a new connection before it reads a request.
    pub descriptor_exhaustions: Vec<(ProcessId, Micros)>,
}

impl History {
    /// Returns how long the rig was stalled in the span from `from` to `to`.
    pub fn stall_time(&self, from: Micros, to: Micros) -> Micros {
        self.stalls.iter().map(|stall| stall.overlap(from, to)).sum()
    }
}
