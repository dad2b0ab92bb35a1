//! What the checker finds.

use crate::{Micros, ProcessId};
use std::fmt;

/// A rule that was broken, by whom, and when.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{at:>10} us: {kind} (request {request}, process {process:?}, target {target})")]
pub struct Breach {
    /// When it was broken.
    pub at: Micros,
    /// Which rule it was.
    pub kind: BreachKind,
    /// The request's id; empty where no single request is meant.
    pub request: String,
    /// The initiator; none where it is all of them together.
    pub process: Option<ProcessId>,
    /// The target's name; empty where no target is meant.
    pub target: String,
}

/// Which rule was broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BreachKind {
    /// No final response in time, though the client waited.
    Unanswered,
    /// The connection was closed without a response to a request that had been read.
    ClosedWithoutResponse,
    /// The response is of a request's target, but no target served it.
    FabricatedResponse,
    /// An attempt began after its client had disconnected, or after the final response.
    AttemptAfterEnd,
    /// An attempt told its target more time than its client had left.
    TimeLeftTooLong,
    /// A request was retried that may have run already, where its class forbids it.
    ForbiddenRetry,
    /// Two attempts of one request were in flight at once, where its class may not run twice.
    ConcurrentAttempts,
    /// New work went to a target after its drain had become known and the grace was over.
    SentToDraining,
    /// A target that has just started was sent more than its slow start allows.
    SlowStartExceeded,
}

impl fmt::Display for BreachKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            BreachKind::Unanswered => "no final answer in time",
            BreachKind::ClosedWithoutResponse => "the connection was closed without an answer",
            BreachKind::FabricatedResponse => "served with an answer that no target made",
            BreachKind::AttemptAfterEnd => "an attempt began after the request had ended",
            BreachKind::TimeLeftTooLong => "an attempt tells more time than is left",
            BreachKind::ForbiddenRetry => "sent again though it may have run",
            BreachKind::ConcurrentAttempts => "two attempts at once",
            BreachKind::SentToDraining => "sent to a target that had been told as leaving",
            BreachKind::SlowStartExceeded => "slow start exceeded",
        })
    }
}
