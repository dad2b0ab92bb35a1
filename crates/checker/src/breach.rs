//! Breaches of the protocol's rules.

use crate::{Micros, ProcessId};
use std::fmt;

/// One breach of a rule, with the request, process and target that it concerns.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{at:>10} us: {kind} (request {request}, process {process:?}, target {target})")]
pub struct Breach {
    /// When the rule was broken.
    pub at: Micros,
    /// The rule that was broken.
    pub kind: BreachKind,
    /// Id of the request; empty if the breach does not concern a single request.
    pub request: String,
    /// The initiator process; `None` if all processes together broke the rule.
    pub process: Option<ProcessId>,
    /// Name of the target; empty if the breach does not concern a target.
    pub target: String,
}

/// A rule of the protocol that can be broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BreachKind {
    /// The client did not receive a final response in time, although it waited for one.
    Unanswered,
    /// The initiator closed the connection without responding to a request that it had received.
    ClosedWithoutResponse,
    /// The client received a success status, but no target served the request.
    FabricatedResponse,
    /// An attempt started after its client had disconnected or had received the final response.
    AttemptAfterEnd,
    /// An attempt stated more time left to its target than its client had.
    TimeLeftTooLong,
    /// A request that may have run was retried although its idempotency forbids it.
    ForbiddenRetry,
    /// Two attempts of a non-idempotent request that may both run were in flight at once.
    ConcurrentAttempts,
    /// A target was sent new work after the process had received its drain and the drain grace had elapsed.
    SentToDraining,
    /// A newly started target was sent more work than slow start allows.
    SlowStartExceeded,
}

impl fmt::Display for BreachKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BreachKind::Unanswered => "no final response in time",
            BreachKind::ClosedWithoutResponse => "connection closed without a response",
            BreachKind::FabricatedResponse => "client received a success that no target served",
            BreachKind::AttemptAfterEnd => "attempt started after the request had ended",
            BreachKind::TimeLeftTooLong => "attempt stated more time left than its client had",
            BreachKind::ForbiddenRetry => "request retried although it may have run",
            BreachKind::ConcurrentAttempts => "two attempts of a non-idempotent request in flight at once",
            BreachKind::SentToDraining => "new work sent to a draining or removed target",
            BreachKind::SlowStartExceeded => "target sent more than slow start allows",
        })
    }
}
