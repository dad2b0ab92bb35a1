//! Outcomes of attempts and probes, and the load reports of targets.

use super::Micros;

/// A target's report of its load. Figures that the target does not report are absent. The scheduler ignores
/// the report.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The number of requests at the target, including queued ones.
    pub in_flight: Option<f64>,
    /// The number of requests queued at the target.
    pub queued: Option<f64>,
    /// The recent service time without queueing, in microseconds.
    pub service_time: Option<Micros>,
    /// The fraction of the target's processors that is busy.
    pub utilization: Option<f64>,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target responded; the response is the request's final response.
    Served,
    /// The target responded with an error: the request may have run.
    Error,
    /// The target's queue was full: the request never ran.
    QueueFull,
    /// The target rejected the request as past its deadline: the request never ran, at this target or
    /// another.
    DeadlineExceeded,
    /// No response arrived in time: the request may have run, or may still run.
    TimedOut,
    /// No connection was established: the request never ran.
    Unreachable,
    /// The connection broke: the request may have run.
    Broken,
    /// The attempt was cancelled: the request may have run.
    Cancelled,
    /// The attempt was not sent: the request never ran.
    NotSent,
    /// The client broke off the body while it was sent: the request never ran, and the target is not at fault.
    ClientAborted,
}

impl Outcome {
    /// Whether the outcome proves that the request never ran.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::QueueFull
                | Outcome::DeadlineExceeded
                | Outcome::Unreachable
                | Outcome::NotSent
                | Outcome::ClientAborted
        )
    }

    /// Whether the request's deadline has passed, by the clock of this initiator or of the target.
    pub fn is_late(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::DeadlineExceeded)
    }
}
