//! How attempts and probes end, and what targets report of their load.

use super::Micros;

/// A target's report of its load. What it does not report is absent. The scheduler does not use it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests at the target, waiting ones too.
    pub in_flight: Option<f64>,
    /// Requests that wait at the target.
    pub queued: Option<f64>,
    /// The recent service time without waiting, in microseconds.
    pub service_time: Option<Micros>,
    /// The fraction of its processors that is busy.
    pub utilization: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered; the answer is the request's final response.
    Served,
    /// The target answered with an error; the request may have run.
    Error,
    /// The target's queue was full: the request never ran.
    QueueFull,
    /// The target rejected the request as past its deadline: it never ran, there or elsewhere.
    DeadlineExceeded,
    /// No response in time: the request may have run or may still run.
    TimedOut,
    /// No connection: the request never ran.
    Unreachable,
    /// The connection broke: the request may have run.
    Broken,
    /// The attempt was cancelled: the request may have run.
    Cancelled,
    /// The attempt was not sent at all: the request never ran.
    NotSent,
}

impl Outcome {
    /// Whether it is proven that the request never ran.
    pub fn proves_not_executed(self) -> bool {
        matches!(
            self,
            Outcome::QueueFull | Outcome::DeadlineExceeded | Outcome::Unreachable | Outcome::NotSent
        )
    }

    /// Whether the request's time is over, by this initiator's clock or the target's.
    pub fn is_late(self) -> bool {
        matches!(self, Outcome::TimedOut | Outcome::DeadlineExceeded)
    }
}
