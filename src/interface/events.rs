//! What happens to an initiator.

use super::{
    AttemptNumber, ClassId, EndpointEntry, EndpointUpdateKind, KeyId, LoadReport, Micros, Outcome, PlanId,
    RequestId, ShardId, TargetId, TargetSetId, VolumeId,
};

/// A request as it arrives.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    /// Its id, which no earlier request had. A second arrival with the same id is ignored.
    pub id: RequestId,
    /// Its class; absent: one that the settings do not name.
    pub class: Option<ClassId>,
    /// Its volume's plan, if it has one.
    pub plan: Option<PlanId>,
    /// Its volume.
    pub volume: VolumeId,
    /// The piece of data that it is for, by which classes may order it, if it has one.
    pub key: Option<KeyId>,
    /// Its size. What is not a positive finite number counts as the mean size.
    pub units: f64,
    /// The shard that holds its data. Absent: a new object, which any target can take.
    pub shard: Option<ShardId>,
    /// Through how many initiators the volume works. 0: not known.
    pub initiators: u32,
    /// When the client gives the request up.
    pub deadline: Micros,
    /// The targets that it may be sent to. Absent: every target.
    pub target_set: Option<TargetSetId>,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client's request arrived.
    RequestArrived(RequestProfile),
    /// An attempt has ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The attempt of that request.
        attempt: AttemptNumber,
        /// The target that it was sent to.
        target: TargetId,
        /// How it ended.
        outcome: Outcome,
        /// From the send until now, in microseconds.
        elapsed: Micros,
        /// The request has its final response.
        request_over: bool,
        /// Units served for the volume everywhere in a finished period, as a fraction of the plan's nominal
        /// rate. Absent: not reported.
        used_fraction: Option<f64>,
        /// Units that this shard served for the volume through other initiators since its last report here.
        units_elsewhere: f64,
        /// The target's report of its load.
        load: LoadReport,
    },
    /// A response has begun, or the rest of a long request is being passed on: the attempt takes up no
    /// capacity of its target any more.
    TransferStarted {
        /// The request.
        id: RequestId,
        /// The attempt of that request.
        attempt: AttemptNumber,
        /// The request is still failed at its deadline. Otherwise the attempt lasts as long as its client
        /// takes.
        deadline_applies: bool,
    },
    /// The client went away: the request is over.
    ClientGone {
        /// The request.
        id: RequestId,
    },
    /// The endpoint list has changed.
    EndpointsChanged {
        /// What the entries contain.
        kind: EndpointUpdateKind,
        /// The targets that it names.
        entries: Vec<EndpointEntry>,
    },
    /// A target set, all of it. Until the first such event a set has no targets.
    TargetSetChanged {
        /// The set.
        set: TargetSetId,
        /// Its targets. Absent: no request has the set any more.
        targets: Option<Vec<TargetId>>,
    },
    /// The targets that this initiator's new objects go to where they are early enough, so that the choices
    /// of all initiators add up evenly. Empty: it has no preference.
    PreferredTargetsChanged(Vec<TargetId>),
    /// Another initiator needs units of a limited volume:
    /// [`Action::QuotaOffered`](super::Action::QuotaOffered) says what this one can do without.
    QuotaRequested {
        /// The volume.
        volume: VolumeId,
        /// The most units that are asked for.
        max_units: f64,
    },
    /// Another initiator gave up units of a limited volume for this one.
    QuotaReceived {
        /// The volume.
        volume: VolumeId,
        /// The units.
        units: f64,
    },
    /// A probe has ended. The scheduler does not use it.
    ProbeEnded {
        /// The target that was asked.
        target: TargetId,
        /// How it ended.
        outcome: Outcome,
        /// From the send until now, in microseconds.
        elapsed: Micros,
        /// The target's report of its load.
        load: LoadReport,
    },
    /// Who may spend what only one process may, which is units of limits and the budgets of warming targets,
    /// has changed in a handover.
    OwnershipChanged {
        /// This process may. Otherwise another one does, and nothing is sent that would spend it.
        owned_here: bool,
    },
    /// A timer of [`Action::SetTimer`](super::Action::SetTimer) is due.
    TimerFired {
        /// The timer's token. One that was replaced by an earlier timer is ignored.
        token: u64,
    },
}
