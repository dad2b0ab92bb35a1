//! What the scheduler keeps of a request and of its attempts.

use crate::interface::{
    AttemptNumber, KeyId, Micros, PlanId, RequestId, ShardId, TargetId, TargetSetId, VolumeId,
};

/// Whether an attempt may have run at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Execution {
    /// It has no outcome yet.
    InFlight,
    /// Its outcome proves that it never ran.
    NotExecuted,
    /// It may have run, or may still run.
    Unknown,
}

/// One send of a request to a target.
pub(super) struct AttemptState {
    pub target: TargetId,
    pub sent_at: Micros,
    pub execution: Execution,
    /// It was cancelled, since its response does not come.
    pub stalled: bool,
    /// The predicted time to its response, in microseconds, without the class's margin.
    pub predicted_micros: f64,
}

impl AttemptState {
    pub fn is_in_flight(&self) -> bool {
        self.execution == Execution::InFlight
    }
}

/// A request that has no final response yet, or has an attempt in flight.
#[derive(Default)]
pub(super) struct RequestState {
    /// Its place in the settings' classes.
    pub class: usize,
    pub volume: VolumeId,
    pub plan: Option<PlanId>,
    pub key: Option<KeyId>,
    pub units: f64,
    /// The shard holds the request's data; otherwise the request is a new object and the shard was chosen.
    pub shard_is_given: bool,
    pub shard: Option<ShardId>,
    /// A response by then earns the full priority weight.
    pub objective_at: Micros,
    /// Without an attempt by then, the request is given up.
    pub queue_timeout_at: Micros,
    /// The request's place in the queue's order: its objective, or what background work was deferred to.
    pub virtual_deadline: Micros,
    /// The client gives the request up then.
    pub deadline: Micros,
    /// The targets that its route reaches; absent: all.
    pub target_set: Option<TargetSetId>,
    /// Through how many initiators the volume works; the shares of what they hold together follow from it.
    pub initiators: f64,
    /// How often a request with an earlier virtual deadline was queued before it.
    pub overtaken_count: u32,
    /// It is in its shard's queue.
    pub queued: bool,
    /// Its response passes to its client, and its deadline does not apply any more.
    pub deadline_lifted: bool,
    /// Units of its volume's limit are reserved for it.
    pub quota_reserved: bool,
    /// It has its final response, or needs none.
    pub finished: bool,
    /// In the order of the sends.
    pub attempts: Vec<AttemptState>,
}

impl RequestState {
    /// The attempt with this number.
    pub fn attempt(&self, number: AttemptNumber) -> Option<&AttemptState> {
        self.attempts.get(number.0 as usize)
    }

    /// Whether an attempt has no outcome yet.
    pub fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(AttemptState::is_in_flight)
    }

    /// Whether an attempt that has ended may have run.
    pub fn may_have_executed(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.execution == Execution::Unknown)
    }

    /// Whether no attempt has run or can still run.
    pub fn is_proven_not_executed(&self) -> bool {
        self.attempts.iter().all(|attempt| attempt.execution == Execution::NotExecuted)
    }
}

/// An attempt that takes up capacity at its target. Sorts by the time of the send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct InFlightKey {
    pub sent_at: Micros,
    pub request: RequestId,
    pub attempt: AttemptNumber,
}
