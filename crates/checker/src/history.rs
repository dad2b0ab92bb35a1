//! What a test recorded.

/// Microseconds of the rig's monotonic clock.
pub type Micros = u64;

/// One life of an initiator: a process that starts again has another number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId(pub u32);

/// How often the effect of a request may happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It may run again at any time.
    Repeatable,
    /// Targets of one group drop a repeat for this long after the first attempt was sent.
    Keyed { span: Micros },
    /// It may not run twice.
    Once,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientEnd {
    /// The last byte of an answer came.
    Answered { at: Micros, status: u16 },
    /// The client closed its connection before it had an answer.
    Left { at: Micros },
    /// The client waited for as long as it said and half a second more.
    WaitedInVain { at: Micros },
    /// The initiator closed the connection, on which the whole request had been written. `first`: nothing had
    /// been asked on it before.
    Closed { at: Micros, first: bool },
    /// The request never was an initiator's: no connection came up, or it was not written whole.
    NotTaken,
    /// An answer began and its connection was reset, so its client can tell that it is not whole.
    CutShort { at: Micros },
}

/// A request as its client saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    pub id: String,
    pub process: ProcessId,
    pub effect: Effect,
    /// When its last byte was written.
    pub sent: Micros,
    /// How long the client said that it waits, from then.
    pub wait: Micros,
    pub end: ClientEnd,
}

impl Request {
    /// When no attempt of it may begin any more; none: it has not ended for its client.
    pub fn ended_at(&self) -> Option<Micros> {
        match self.end {
            ClientEnd::Answered { at, .. }
            | ClientEnd::Left { at }
            | ClientEnd::WaitedInVain { at }
            | ClientEnd::Closed { at, .. }
            | ClientEnd::CutShort { at } => Some(at),
            ClientEnd::NotTaken => None,
        }
    }
}

/// What became of an attempt at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is being worked on, or was never answered.
    Open,
    Served,
    /// It failed, and may have run.
    Failed,
    /// It was turned away unseen.
    TurnedAway,
    /// Its connection broke before its last byte had come.
    NeverWhole,
}

/// An attempt as its target saw it.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    pub request: String,
    pub target: String,
    /// The targets among which a repeat is known.
    pub group: String,
    pub begun: Micros,
    pub units: f64,
    /// The time that the initiator says it will wait.
    pub time_left: Option<Micros>,
    pub fate: Fate,
    /// When its answer was written, or its connection ended.
    pub ended: Option<Micros>,
}

/// What the list says of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// In use; `started`: when it started, unless that was long ago.
    InUse {
        started: Option<Micros>,
    },
    Leaving,
    Left,
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    pub version: u64,
    pub at: Micros,
    pub target: String,
    pub state: TargetState,
}

/// Discovery wrote the list as of a version, or all changes up to it, to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery {
    pub process: ProcessId,
    pub version: u64,
    pub at: Micros,
}

/// A time in which discovery could not be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outage {
    pub from: Micros,
    pub to: Micros,
}

/// How the test ended a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessEnd {
    pub process: ProcessId,
    /// When it was told to end (SIGTERM); none: it never was.
    pub told: Option<Micros>,
    /// When it was killed (SIGKILL); none: it ended by itself.
    pub killed: Option<Micros>,
}

impl History {
    /// How much of a span the rig stood still.
    pub fn stalled(&self, from: Micros, to: Micros) -> Micros {
        let overlap = |stall: &Outage| stall.to.min(to).saturating_sub(stall.from.max(from));
        self.stalls.iter().map(overlap).sum()
    }
}

/// All that a test recorded.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct History {
    pub requests: Vec<Request>,
    pub attempts: Vec<Attempt>,
    pub changes: Vec<Change>,
    pub deliveries: Vec<Delivery>,
    pub outages: Vec<Outage>,
    /// When each process started; one that is not here was there from the beginning.
    pub starts: Vec<(ProcessId, Micros)>,
    pub ends: Vec<ProcessEnd>,
    /// Times in which the rig itself stood still, so that what it recorded then is late by as much.
    pub stalls: Vec<Outage>,
    /// Processes whose descriptors idle clients fill, and since when: new connections may be shut unread
    /// then.
    pub crowds: Vec<(ProcessId, Micros)>,
}
