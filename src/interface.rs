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
    Attempt(u32);
    /// A set of targets that some requests may reach: see [`Event::Reach`].
    ReachId(u32);
}

/// What may happen to a request that may have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may run again anywhere.
    Repeatable,
    /// It carries a key: the targets of the group drop a repeat for `span` after the first send.
    Keyed { group: Group, span: Micros },
    /// It must never run twice.
    Once,
}

/// The targets that know each other's keys.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Shard,
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time of arrival earns the full worth.
    pub aim: Micros,
    /// The longest a client waits, over all its tries.
    pub deadline: Micros,
    pub repeat: Repeat,
    /// Requests with one key run one at a time, in the order taken.
    pub in_order: bool,
    pub write: bool,
    pub worth: f64,
    /// The part of the worth that an answer between aim and deadline earns.
    pub late_worth: f64,
}

/// A plan. Its figures hold for each volume, over all initiators and targets together.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Units a second that a volume is sized for.
    pub nominal: f64,
    /// Units a second that earn their full worth.
    pub reserve: f64,
    /// In proportion to this, what the reserves leave is due to the volumes that ask for more.
    pub weight: f64,
    /// Factor on the worth.
    pub price: f64,
    pub limit: Option<Limit>,
}

/// A store of units that every request's first send draws from.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Units a second that fill it.
    pub rate: f64,
    /// The most it holds.
    pub burst: f64,
    /// How far below zero it may go.
    pub slack: f64,
}

/// How many attempts beyond each request's first are allowed in any window.
#[derive(Clone, Copy, Debug)]
pub struct AttemptBudget {
    pub free: f64,
    pub ratio: f64,
    pub window: Micros,
}

/// The figures of the rules.
#[derive(Clone, Debug, Default)]
pub struct Rules {
    /// After being told that a target drains or is gone, sends must stop within this time.
    pub drain_grace: Micros,
    /// A target starts at this part of its capacity or more ...
    pub cold_from: f64,
    /// ... and is warm after this long at most.
    pub warm_within: Micros,
    /// Units within `fall_window`, from all initiators together, that a cold target always bears.
    pub cold_units: f64,
    pub fall_window: Micros,
    /// More than this multiple of its capacity for `fall_window` pushes a cold target over.
    pub fall_multiple: f64,
    pub attempt_budget: Option<AttemptBudget>,
    /// How long a key rests after an attempt that may still run.
    pub key_rest: Micros,
    /// The most attempts of one request.
    pub attempts: u32,
}

/// All that an initiator is told at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    pub initiators: u32,
    pub classes: Vec<Class>,
    pub plans: Vec<Plan>,
    pub rules: Rules,
    /// The mean units of a request.
    pub usual_units: f64,
    /// Worth of a unit above the reserve, inside the share.
    pub share_worth: f64,
    /// Worth of a unit above reserve and share.
    pub spare_worth: f64,
    /// Over which period [`Event::Outcome`]'s `used` adds up. 0: it is not told.
    pub meter_period: Micros,
    /// Outcomes tell the units served through other initiators.
    pub tells_elsewhere: bool,
    pub may_probe: bool,
    pub may_cancel: bool,
    pub may_copy: bool,
    /// The longest advice to stay away that a client follows. 0: no advice is given.
    pub longest_advice: Micros,
}

impl Settings {
    /// The rule on targets that have just started.
    pub fn cold(&self) -> rowanglade_warmup::Rule {
        let r = &self.rules;
        rowanglade_warmup::Rule {
            from: r.cold_from,
            warm_within: r.warm_within,
            units: r.cold_units,
            window: r.fall_window,
            multiple: r.fall_multiple,
            initiators: self.initiators,
        }
    }

    /// Whether they can be used.
    pub fn check(&self) -> Result<(), SettingsError> {
        let err = |field: String, problem| Err(SettingsError { field, problem });
        if self.classes.is_empty() {
            return err("classes".into(), "are missing");
        }
        if self.rules.attempts == 0 {
            return err("rules.attempts".into(), "is zero");
        }
        let r = &self.rules;
        let mut figures = vec![
            ("usual_units".to_string(), self.usual_units),
            ("share_worth".into(), self.share_worth),
            ("spare_worth".into(), self.spare_worth),
            ("rules.cold_from".into(), r.cold_from),
            ("rules.cold_units".into(), r.cold_units),
            ("rules.fall_multiple".into(), r.fall_multiple),
        ];
        if let Some(b) = r.attempt_budget {
            figures.push(("rules.attempt_budget.free".into(), b.free));
            figures.push(("rules.attempt_budget.ratio".into(), b.ratio));
        }
        for (i, c) in self.classes.iter().enumerate() {
            figures.push((format!("classes[{i}].worth"), c.worth));
            figures.push((format!("classes[{i}].late_worth"), c.late_worth));
        }
        for (i, p) in self.plans.iter().enumerate() {
            let l = p.limit.unwrap_or(Limit { rate: 0.0, burst: 0.0, slack: 0.0 });
            for (name, value) in [
                ("nominal", p.nominal),
                ("reserve", p.reserve),
                ("weight", p.weight),
                ("price", p.price),
                ("limit.rate", l.rate),
                ("limit.burst", l.burst),
                ("limit.slack", l.slack),
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
pub struct Load {
    /// Requests in hand, waiting ones too.
    pub in_hand: Option<f64>,
    /// Requests that wait.
    pub waiting: Option<f64>,
    /// The recent service time, without waiting.
    pub service: Option<Micros>,
    /// The part of its processors that is busy.
    pub busy: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    /// The target answered with an error; it may have run.
    Error,
    /// Turned away unseen: it never ran.
    Full,
    /// Turned away unseen, as over by the target's clock: it never ran, there or elsewhere.
    Over,
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
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::Over | Outcome::Unreachable | Outcome::NotSent)
    }

    /// Whether the request's time is up, by this initiator's clock or the target's.
    pub fn is_late(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::Over)
    }
}

/// What the list says of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum TargetState {
    In,
    /// It finishes its work; nothing new may go to it.
    Draining,
    /// Not in the list any more, or never was.
    #[default]
    Gone,
}

/// A line of the list.
#[derive(Clone, Copy, Debug)]
pub struct Entry {
    pub target: TargetId,
    pub shard: ShardId,
    pub zone: ZoneId,
    pub state: TargetState,
    /// When it last started; absent: long ago.
    pub started: Option<Micros>,
}

/// What news of the list is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only what changed.
    Changes,
    /// All of it: a target that is missing is gone.
    Full,
    /// All of it as this initiator last had it; it may be stale.
    Remembered,
    /// Only what changed, as others than discovery tell it.
    Beside,
}

/// A request as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct Request {
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
    pub reach: Option<ReachId>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    Request(Request),
    Outcome {
        id: RequestId,
        attempt: Attempt,
        target: TargetId,
        outcome: Outcome,
        /// From the send until now.
        took: Micros,
        /// The request is over.
        over: bool,
        /// Units served for the volume everywhere in a finished period, as a part of the plan's rate.
        used: Option<f64>,
        /// Units that this shard served for the volume through other initiators since its last answer here.
        elsewhere: f64,
        load: Load,
    },
    /// An answer has begun, or the rest of a long request is being passed on: the attempt takes up no room at its target
    /// any more. Unless it is still timed, the request's deadline no longer runs either, and the attempt lasts as long
    /// as its client takes.
    Started {
        id: RequestId,
        attempt: Attempt,
        timed: bool,
    },
    /// The client went away: the request is over.
    Withdrawn {
        id: RequestId,
    },
    List {
        kind: ListKind,
        entries: Vec<Entry>,
    },
    /// A set of targets, all of it. Absent: no request has it any more. One that was never told holds nobody.
    Reach {
        reach: ReachId,
        targets: Option<Vec<TargetId>>,
    },
    /// The targets that this initiator's new objects go to where they are early enough, so that the choices of all
    /// initiators add up evenly. None: it has no preference.
    Near(Vec<TargetId>),
    /// Another initiator lacks units of a limited volume: [`Action::Spared`] says what this one can do without.
    Spare {
        volume: VolumeId,
        most: f64,
    },
    /// Another initiator gave up units of a limited volume for this one.
    Units {
        volume: VolumeId,
        units: f64,
    },
    Probed {
        target: TargetId,
        outcome: Outcome,
        took: Micros,
        load: Load,
    },
    /// Another process has what is owned here: units of limits, and the budgets of cold targets. False: it is owned
    /// here again.
    Handed(bool),
    /// A timer of [`Action::Wake`] is due.
    Wake {
        token: u64,
    },
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt. Without a time-out it runs until the client gives up.
    Send {
        id: RequestId,
        target: TargetId,
        timeout: Option<Micros>,
    },
    /// Final answer: no, and a new try does no harm; the client should stay away for `wait`.
    Refuse {
        id: RequestId,
        wait: Micros,
    },
    /// Final answer: failed, nothing is promised.
    Fail {
        id: RequestId,
    },
    Cancel {
        id: RequestId,
        attempt: Attempt,
    },
    Wake {
        token: u64,
        after: Micros,
    },
    Probe {
        target: TargetId,
    },
    /// A request draws on a store of units that runs low here; others may have some to spare.
    Lacks {
        volume: VolumeId,
        units: f64,
        initiators: u32,
    },
    /// Units that are no longer in this initiator's store: the answer to [`Event::Spare`].
    Spared {
        volume: VolumeId,
        units: f64,
    },
}
