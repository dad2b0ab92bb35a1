//! The events that the scheduler handles.

use super::{
    AttemptNumber, ClassId, EndpointEntry, EndpointUpdateKind, KeyId, LoadReport, Micros, Outcome, PlanId,
    RequestId, ShardId, TargetId, TargetSetId, VolumeId,
};

/// An arriving request.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    /// The id of the request, which no earlier request has had. A second arrival with the same id is ignored.
    pub id: RequestId,
    /// The class of the request. Absent: the settings do not define it, and the request fails.
    pub class: Option<ClassId>,
    /// The QoS plan of the request's volume. Absent: the volume has none.
    pub plan: Option<PlanId>,
    /// The volume of the request.
    pub volume: VolumeId,
    /// The object that the request is for. Requests with the same key run in order if their class is ordered
    /// by key. Absent: the request has no key.
    pub key: Option<KeyId>,
    /// The size of the request in units. A value that is not a positive finite number is replaced by the mean
    /// size.
    pub units: f64,
    /// The shard that holds the request's data. Absent: the request is for a new object, which any target can
    /// store.
    pub shard: Option<ShardId>,
    /// The number of initiators through which the volume's requests arrive. 0: unknown, counted as all
    /// initiators.
    pub initiators: u32,
    /// When the client stops waiting for the request.
    pub deadline: Micros,
    /// The targets that the request may be sent to. Absent: all targets.
    pub target_set: Option<TargetSetId>,
}

/// An event of an initiator.
#[derive(Clone, Debug)]
pub enum Event {
    /// A client's request arrived.
    RequestArrived(RequestProfile),
    /// An attempt has ended.
    AttemptEnded {
        /// The request of the attempt.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// The target that the attempt was sent to.
        target: TargetId,
        /// How the attempt ended.
        outcome: Outcome,
        /// The time from the send to the end, in microseconds.
        elapsed: Micros,
        /// Whether the request has its final response.
        request_over: bool,
        /// Units served for the volume through all initiators in a finished metering period, as a fraction of
        /// the plan's nominal rate. Absent: not reported.
        used_fraction: Option<f64>,
        /// Units that this shard served for the volume through other initiators since its last report to this
        /// one.
        units_elsewhere: f64,
        /// The load that the target reported.
        load: LoadReport,
    },
    /// A response has begun, or the rest of a long request is being passed on: the attempt no longer occupies
    /// capacity of its target.
    TransferStarted {
        /// The request of the attempt.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// Whether the request still fails at its deadline. If not, the attempt lasts as long as its client
        /// takes.
        deadline_applies: bool,
    },
    /// The client has gone: it reads no response to the request.
    ClientGone {
        /// The request that needs no response any more.
        id: RequestId,
    },
    /// The endpoint list has changed.
    EndpointsChanged {
        /// Which targets the entries name.
        kind: EndpointUpdateKind,
        /// The entries of the update.
        entries: Vec<EndpointEntry>,
    },
    /// The targets of a target set have changed. Until its first such event a set has no targets.
    TargetSetChanged {
        /// The changed set.
        set: TargetSetId,
        /// All targets of the set. Absent: no request has the set any more.
        targets: Option<Vec<TargetId>>,
    },
    /// The targets that this initiator prefers for new objects if they are early enough. They are selected
    /// such that the choices of all initiators add up evenly. Empty: this initiator has no preference.
    PreferredTargetsChanged(Vec<TargetId>),
    /// Another initiator requests units of a limited volume.
    /// [`Action::QuotaOffered`](super::Action::QuotaOffered) returns those that this initiator's requests do
    /// not need soon.
    QuotaRequested {
        /// The limited volume.
        volume: VolumeId,
        /// The most units that the other initiator requests.
        max_units: f64,
    },
    /// Another initiator gave this one units of a limited volume.
    QuotaReceived {
        /// The limited volume.
        volume: VolumeId,
        /// The number of units.
        units: f64,
    },
    /// A probe has ended. The scheduler ignores the event.
    ProbeEnded {
        /// The probed target.
        target: TargetId,
        /// How the probe ended.
        outcome: Outcome,
        /// The time from the send to the end, in microseconds.
        elapsed: Micros,
        /// The load that the target reported.
        load: LoadReport,
    },
    /// A handover has changed the ownership of what only one process of an initiator may spend: the units of
    /// volume limits, and the budgets of warming targets.
    OwnershipChanged {
        /// Whether this process is the owner. If not, it sends nothing that would spend them.
        owned_here: bool,
    },
    /// This process ends at a known time.
    ShutdownStarted {
        /// When the response to each request is due at the latest, whatever its deadline.
        responses_due: Micros,
    },
    /// A timer set by [`Action::SetTimer`](super::Action::SetTimer) is due.
    TimerFired {
        /// The token of the timer. The token of a timer that an earlier one has replaced is ignored.
        token: u64,
    },
}
