//! The public contract: what an initiator tells the module, and what the module answers.
//!
//! Times are whole microseconds of the caller's clock, which only goes forward. Ids are small
//! numbers that the caller hands out; the module compares them and reads nothing into them.

use std::fmt;

/// A time or a span, in microseconds.
pub type Micros = u64;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}
ids! {
    /// A storage target. The same target keeps its id through a restart.
    TargetId(u32);
    /// A volume.
    VolumeId(u32);
    /// A client's request. An id never comes twice.
    RequestId(u64);
    /// A piece of data.
    KeyId(u64);
    /// A class of requests: its place in [`Settings::classes`].
    ClassId(u32);
    /// A plan of volumes: its place in [`Settings::plans`].
    PlanId(u32);
    /// The part of the data that a target holds. A target and its successor hold the same.
    ShardId(u32);
    /// A zone: its place in the caller's list of zones.
    ZoneId(u32);
    /// An attempt of a request: 0, 1, 2 ... in the order of the sends.
    AttemptNumber(u32);
    /// A set of targets that some requests may reach: see [`Event::TargetSetChanged`].
    TargetSetId(u32);
}

/// What may happen to a request that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Idempotency {
    /// It may run again anywhere.
    Idempotent,
    /// It carries a key: the targets of the group drop a repeat for `span` after the first send.
    KeyedWithin { scope: DeduplicationScope, window: Micros },
    /// It must never run twice.
    NonIdempotent,
}

/// The targets that know each other's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    All,
    Zone,
    Shard,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// An answer within this time of arrival earns the full worth.
    pub latency_objective: Micros,
    /// The longest a client waits, over all its tries.
    pub deadline: Micros,
    pub idempotency: Idempotency,
    /// Requests with one key run one at a time, in the order taken.
    pub ordered_by_key: bool,
    pub write: bool,
    pub priority_weight: f64,
    /// The part of the worth that an answer between aim and deadline earns.
    pub late_weight: f64,
}

/// A plan. Its figures hold for each volume, over all initiators and targets together.
#[derive(Clone, Debug)]
pub struct QosPlan {
    /// Units a second that a volume is sized for.
    pub nominal: f64,
    /// Units a second that earn their full worth.
    pub reserve: f64,
    /// In proportion to this, what the reserves leave is due to the volumes that ask for more.
    pub weight: f64,
    /// Factor on the worth.
    pub price: f64,
    pub limit: Option<RateLimit>,
}

/// A store of units that every request's first send draws from.
#[derive(Clone, Copy, Debug)]
pub struct RateLimit {
    /// Units a second that fill it.
    pub rate: f64,
    /// The most it holds.
    pub burst: f64,
    /// How far below zero it may go.
    pub debt_limit: f64,
}

/// How many attempts beyond each request's first are allowed in any window.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    pub minimum: f64,
    pub ratio: f64,
    pub window: Micros,
}

/// The figures of the rules.
#[derive(Clone, Debug, Default)]
pub struct RuleBounds {
    /// After being told that a target drains or is gone, sends must stop within this time.
    pub drain_grace: Micros,
    /// A target starts at this part of its capacity or more ...
    pub slow_start_capacity: f64,
    /// ... and is warm after this long at most.
    pub slow_start_duration: Micros,
    /// Units within `fall_window`, from all initiators together, that a cold target always bears.
    pub slow_start_units: f64,
    pub overload_window: Micros,
    /// More than this multiple of its capacity for `fall_window` pushes a cold target over.
    pub overload_multiple: f64,
    pub retry_budget: Option<RetryBudget>,
    /// How long a key rests after an attempt that may still run.
    pub key_quiet_period: Micros,
    /// The most attempts of one request.
    pub max_attempts: u32,
}

/// All that an initiator is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub initiators: u32,
    pub classes: Vec<RequestClass>,
    pub plans: Vec<QosPlan>,
    pub rules: RuleBounds,
    /// The mean units of a request.
    pub mean_request_units: f64,
    /// Worth of a unit above the reserve, inside the share.
    pub weight_within_share: f64,
    /// Worth of a unit above reserve and share.
    pub weight_beyond_share: f64,
    /// Over which period [`Event::Outcome`]'s `used` adds up. 0: it is not told.
    pub meter_period: Micros,
    /// Outcomes tell the units served through other initiators.
    pub reports_usage_elsewhere: bool,
    pub may_probe: bool,
    pub may_cancel: bool,
    pub may_hedge: bool,
    /// The longest advice to stay away that a client follows. 0: no advice is given.
    pub max_retry_after: Micros,
}

impl Settings {
    /// The rule on targets that have just started.
    pub fn slow_start(&self) -> rowanglade_slow_start::SlowStartRule {
        let r = &self.rules;
        rowanglade_slow_start::SlowStartRule {
            initial_capacity: r.slow_start_capacity,
            duration: r.slow_start_duration,
            units: r.slow_start_units,
            overload_window: r.overload_window,
            overload_multiple: r.overload_multiple,
            initiators: self.initiators,
        }
    }

    /// Whether they can be used.
    pub fn check(&self) -> Result<(), SettingsError> {
        let err = |field: String, problem| Err(SettingsError { field, problem });
        if self.classes.is_empty() {
            return err("classes".into(), "are missing");
        }
        if self.rules.max_attempts == 0 {
            return err("rules.attempts".into(), "is zero");
        }
        let r = &self.rules;
        let mut figures = vec![
            ("usual_units".to_string(), self.mean_request_units),
            ("share_worth".into(), self.weight_within_share),
            ("spare_worth".into(), self.weight_beyond_share),
            ("rules.cold_from".into(), r.slow_start_capacity),
            ("rules.cold_units".into(), r.slow_start_units),
            ("rules.fall_multiple".into(), r.overload_multiple),
        ];
        if let Some(b) = r.retry_budget {
            figures.push(("rules.attempt_budget.free".into(), b.minimum));
            figures.push(("rules.attempt_budget.ratio".into(), b.ratio));
        }
        for (i, c) in self.classes.iter().enumerate() {
            figures.push((format!("classes[{i}].worth"), c.priority_weight));
            figures.push((format!("classes[{i}].late_worth"), c.late_weight));
        }
        for (i, p) in self.plans.iter().enumerate() {
            let l = p.limit.unwrap_or(RateLimit { rate: 0.0, burst: 0.0, debt_limit: 0.0 });
            for (name, value) in [
                ("nominal", p.nominal),
                ("reserve", p.reserve),
                ("weight", p.weight),
                ("price", p.price),
                ("limit.rate", l.rate),
                ("limit.burst", l.burst),
                ("limit.slack", l.debt_limit),
            ] {
                figures.push((format!("plans[{i}].{name}"), value));
            }
        }
        match figures.into_iter().find(|(_, v)| !v.is_finite() || *v < 0.0) {
            Some((field, _)) => err(field, "is negative or not finite"),
            None => Ok(()),
        }
    }
}

/// Settings that cannot be used: the field, and what is wrong with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    pub field: String,
    pub problem: &'static str,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "settings: {} {}", self.field, self.problem)
    }
}

impl std::error::Error for SettingsError {}

/// A target's report of its load. What it does not tell is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests in hand, waiting ones too.
    pub in_flight: Option<f64>,
    /// Requests that wait.
    pub queued: Option<f64>,
    /// The recent service time, without waiting.
    pub service_time: Option<Micros>,
    /// The part of its processors that is busy.
    pub utilization: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    /// The target answered with an error; it may have run.
    Error,
    /// Turned away unseen: it never ran.
    QueueFull,
    /// Turned away unseen, as over by the target's clock: it never ran, there or elsewhere.
    DeadlineExceeded,
    /// No answer in time: it may have run or still run.
    TimedOut,
    /// No connection: it never ran.
    Unreachable,
    /// The connection broke: it may have run.
    Broken,
    /// Called off: it may have run.
    Cancelled,
    /// Not sent at all: it never ran.
    NotSent,
}

impl Outcome {
    /// Whether it is proven that it never ran.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::QueueFull | Outcome::DeadlineExceeded | Outcome::Unreachable | Outcome::NotSent
        )
    }

    /// Whether the request's time is up, by this initiator's clock or the target's.
    pub fn is_late(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::DeadlineExceeded)
    }
}

/// What the list says of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetState {
    Active,
    /// It finishes its work; nothing new may go to it.
    Draining,
    /// Not in the list any more, or never was.
    #[default]
    Removed,
}

/// A line of the list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointEntry {
    pub target: TargetId,
    pub shard: ShardId,
    pub zone: ZoneId,
    pub state: TargetState,
    /// When it last started; absent: long ago.
    pub started: Option<Micros>,
}

/// What news of the list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointUpdateKind {
    /// Only what changed.
    Delta,
    /// All of it: a target that is missing is gone.
    Snapshot,
    /// All of it as this initiator last had it; it may be stale.
    Cached,
    /// Only what changed, as others than discovery tell it.
    Gossip,
}

/// A request as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    pub id: RequestId,
    /// Absent: a class that the settings do not name.
    pub class: Option<ClassId>,
    pub plan: Option<PlanId>,
    pub volume: VolumeId,
    pub key: Option<KeyId>,
    pub units: f64,
    /// The shard that holds the data. Absent: a new object, which any target can take.
    pub shard: Option<ShardId>,
    /// Through how many initiators the volume works. 0: not told.
    pub initiators: u32,
    /// When the client gives this try up.
    pub deadline: Micros,
    /// The targets that it may reach. Absent: every target.
    pub target_set: Option<TargetSetId>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    RequestArrived(RequestProfile),
    AttemptEnded {
        id: RequestId,
        attempt: AttemptNumber,
        target: TargetId,
        outcome: Outcome,
        /// From the send until now.
        elapsed: Micros,
        /// The request is over.
        request_over: bool,
        /// Units served for the volume everywhere in a finished period, as a part of the plan's rate.
        used: Option<f64>,
        /// Units that this shard served for the volume through other initiators since its last answer here.
        elsewhere: f64,
        load: LoadReport,
    },
    /// An answer has begun, or the rest of a long request is being passed on: the attempt takes up no room at
    /// its target any more. Unless it is still timed, the request's deadline no longer runs either, and the
    /// attempt lasts as long as its client takes.
    TransferStarted {
        id: RequestId,
        attempt: AttemptNumber,
        deadline_applies: bool,
    },
    /// The client went away: the request is over.
    ClientGone {
        id: RequestId,
    },
    EndpointsChanged {
        kind: EndpointUpdateKind,
        entries: Vec<EndpointEntry>,
    },
    /// A set of targets, all of it. Absent: no request has it any more. One that was never told holds nobody.
    TargetSetChanged {
        set: TargetSetId,
        targets: Option<Vec<TargetId>>,
    },
    /// The targets that this initiator's new objects go to where they are early enough, so that the choices
    /// of all initiators add up evenly. None: it has no preference.
    PreferredTargets(Vec<TargetId>),
    /// Another initiator lacks units of a limited volume: [`Action::QuotaOffered`] says what this one can do
    /// without.
    OfferQuota {
        volume: VolumeId,
        max_units: f64,
    },
    /// Another initiator gave up units of a limited volume for this one.
    QuotaReceived {
        volume: VolumeId,
        units: f64,
    },
    ProbeEnded {
        target: TargetId,
        outcome: Outcome,
        elapsed: Micros,
        load: LoadReport,
    },
    /// Another process has what is owned here: units of limits, and the budgets of cold targets. False: it is
    /// owned here again.
    OwnershipTransferred(bool),
    /// A timer of [`Action::SetTimer`] is due.
    TimerFired {
        token: u64,
    },
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. Without a time-out it runs until the client gives up.
    StartAttempt {
        id: RequestId,
        target: TargetId,
        timeout: Option<Micros>,
    },
    /// Final answer: no, and a new try does no harm; the client should stay away for `retry_after`.
    Reject {
        id: RequestId,
        retry_after: Micros,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        id: RequestId,
    },
    CancelAttempt {
        id: RequestId,
        attempt: AttemptNumber,
    },
    SetTimer {
        token: u64,
        after: Micros,
    },
    Probe {
        target: TargetId,
    },
    /// A request draws on a store of units that runs low here; others may have some to spare.
    QuotaNeeded {
        volume: VolumeId,
        units: f64,
        initiators: u32,
    },
    /// Units that are no longer in this initiator's store: the answer to [`Event::OfferQuota`].
    QuotaOffered {
        volume: VolumeId,
        units: f64,
    },
}
