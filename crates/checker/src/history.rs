//! What a test recorded.

/// Microseconds of the rig's monotonic clock.
pub type Micros = u64;

/// One life of an initiator: a process that starts again has another number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId(pub u32);

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run again at any time.
    Idempotent,
    /// Targets of one deduplication scope drop a repeat within a window.
    KeyedWithin {
        /// How long after the first attempt was sent.
        window: Micros,
    },
    /// It may not run twice.
    NonIdempotent,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// The last byte of a response came.
    Answered {
        /// When it came.
        at: Micros,
        /// The status code of HTTP.
        status: u16,
    },
    /// The client closed its connection before it had a response.
    Disconnected {
        /// When it closed.
        at: Micros,
    },
    /// The client waited for as long as it said and half a second more.
    TimedOut {
        /// When it gave up.
        at: Micros,
    },
    /// The initiator closed the connection, on which the whole request had been written.
    Closed {
        /// When it closed.
        at: Micros,
        /// No other request had been sent on the connection before.
        first: bool,
    },
    /// The request never was an initiator's: no connection came up, or it was not written whole.
    NotAccepted,
    /// A response began and its connection was reset, so its client can tell that it is not whole.
    Truncated {
        /// When the connection was reset.
        at: Micros,
    },
}

/// A request as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The same at the client and in all attempts.
    pub id: String,
    /// The initiator that it was sent to.
    pub process: ProcessId,
    /// How often it may run.
    pub idempotency: Idempotency,
    /// When its last byte was written.
    pub sent_at: Micros,
    /// How long the client said that it waits, from then.
    pub wait: Micros,
    /// How it ended.
    pub outcome: ClientOutcome,
}

impl Request {
    /// When no attempt of it may begin any more; none: it has not ended for its client.
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

/// What became of an attempt at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It is being worked on, or was never answered.
    InFlight,
    /// It ran.
    Served,
    /// It failed, and may have run.
    Failed,
    /// It was rejected with the promise that it did not run.
    Rejected,
    /// Its connection broke before its last byte had come.
    Incomplete,
}

/// An attempt as its target saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// The id of its request.
    pub request: String,
    /// The target's name.
    pub target: String,
    /// The targets among which a repeat is known.
    pub deduplication_scope: String,
    /// When its head had come.
    pub started_at: Micros,
    /// Its size, in requests of usual work.
    pub units: f64,
    /// The time that the initiator says it will wait.
    pub time_left: Option<Micros>,
    /// What became of it.
    pub outcome: AttemptOutcome,
    /// When its response was written, or its connection ended.
    pub ended_at: Option<Micros>,
}

/// What the endpoint list says of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It takes new work.
    Active {
        /// When it started, unless that was long ago.
        started: Option<Micros>,
    },
    /// It takes no new work.
    Draining,
    /// It is no longer listed.
    Removed,
}

/// A change of the endpoint list.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointChange {
    /// The version of the list that has it.
    pub version: u64,
    /// When discovery had it.
    pub at: Micros,
    /// The target's name.
    pub target: String,
    /// The target's state from then on.
    pub state: TargetState,
}

/// Discovery wrote the list as of a version, or all changes up to it, to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// Who read it.
    pub process: ProcessId,
    /// The version of the list.
    pub version: u64,
    /// When it was written.
    pub at: Micros,
}

/// A span of time, such as one in which discovery could not be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Interval {
    /// Its first instant.
    pub from: Micros,
    /// The first instant behind it.
    pub to: Micros,
}

impl Interval {
    /// How much of the span from `from` to `to` lies in this one.
    fn overlap(&self, from: Micros, to: Micros) -> Micros {
        self.to.min(to).saturating_sub(self.from.max(from))
    }
}

/// How the test ended a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessEnd {
    /// The process.
    pub process: ProcessId,
    /// When it got SIGTERM; none: it never did.
    pub terminated_at: Option<Micros>,
    /// When it got SIGKILL; none: it ended by itself.
    pub killed_at: Option<Micros>,
}

/// All that a test recorded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    /// Every request, as its client saw it.
    pub requests: Vec<Request>,
    /// Every attempt, as its target saw it.
    pub attempts: Vec<Attempt>,
    /// Every change of the endpoint list.
    pub changes: Vec<EndpointChange>,
    /// Every answer of discovery that was read whole.
    pub deliveries: Vec<Delivery>,
    /// When discovery could not be reached.
    pub outages: Vec<Interval>,
    /// When each process started; one that is not here was there from the beginning.
    pub process_starts: Vec<(ProcessId, Micros)>,
    /// The processes that the test ended.
    pub process_ends: Vec<ProcessEnd>,
    /// Times in which the rig itself stood still, so that what it recorded then is late by as much.
    pub stalls: Vec<Interval>,
    /// Processes whose descriptors idle clients fill, and since when: new connections may be closed unread
    /// then.
    pub descriptor_exhaustions: Vec<(ProcessId, Micros)>,
}

impl History {
    /// How much of a span the rig stood still.
    pub fn stalled(&self, from: Micros, to: Micros) -> Micros {
        self.stalls.iter().map(|stall| stall.overlap(from, to)).sum()
    }
}
