//! The state of a request and of its attempts.

use crate::interface::{
    AttemptNumber, KeyId, Micros, PlanId, RequestId, ShardId, TargetId, TargetSetId, VolumeId,
};

/// Whether an attempt may have run at its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Execution {
    /// The attempt has no outcome yet.
    InFlight,
    /// The outcome proves that the attempt never ran.
    NotExecuted,
    /// The attempt may have run, or may still run.
    Unknown,
}

/// One send of a request to a target.
pub(super) struct AttemptState {
    pub target: TargetId,
    pub sent_at: Micros,
    pub execution: Execution,
    /// The attempt was cancelled because its response did not arrive.
    pub stalled: bool,
    /// The predicted time from the send to the response, in microseconds, without the class's margin.
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
    /// The index of the class in the settings.
    pub class: usize,
    pub volume: VolumeId,
    pub plan: Option<PlanId>,
    pub key: Option<KeyId>,
    pub units: f64,
    /// Whether the request named the shard, which then holds its data. Otherwise the request is a new object,
    /// and placement chooses the shard.
    pub shard_is_given: bool,
    pub shard: Option<ShardId>,
    /// A response by this time has the full priority weight.
    pub objective_at: Micros,
    /// The request expires at this time if it has had no attempt.
    pub queue_timeout_at: Micros,
    /// Determines the request's position in the queue: its objective, or its deadline if it is a deferred
    /// background request.
    pub virtual_deadline: Micros,
    /// The client stops waiting at this time.
    pub deadline: Micros,
    /// The targets that the request's route allows; absent: all.
    pub target_set: Option<TargetSetId>,
    /// The number of initiators through which the volume's requests arrive. The volume's limit and reserve
    /// are divided by it.
    pub initiators: f64,
    /// How often a request with an earlier virtual deadline was inserted ahead of this one.
    pub overtaken_count: u32,
    /// The request is in its shard's queue.
    pub queued: bool,
    /// The response is being passed to the client, and the deadline no longer applies.
    pub deadline_lifted: bool,
    /// Units of the volume's limit are reserved for the request.
    pub quota_reserved: bool,
    /// The request has its final response, or needs none.
    pub finished: bool,
    /// In the order in which they were sent.
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

/// An attempt that occupies capacity at its target. Sorts by the time of the send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct InFlightKey {
    pub sent_at: Micros,
    pub request: RequestId,
    pub attempt: AttemptNumber,
}
