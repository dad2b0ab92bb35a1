//! Requests for the list, as the schedule and its driver speak of them.

use crate::Micros;

/// Identifies a request of one schedule; never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request to send to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// Identifies the request in [`crate::Schedule::handle_outcome`].
    pub id: RequestId,
    /// How long discovery may wait for a change before it responds, in microseconds. 0: it responds at once.
    pub max_wait: Micros,
}

/// What the driver has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send this request, and pass its outcome to [`crate::Schedule::handle_outcome`].
    Send(PollRequest),
    /// Drop this request; its outcome is not wanted.
    Cancel(RequestId),
}

/// How a request ended. One that does not end is cancelled by the schedule.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It brought a snapshot or a delta.
    Received,
    /// Discovery responded that it does not serve the request.
    Rejected,
    /// The connection failed or closed, or the response cannot be used.
    Failed,
}

/// A request without an outcome.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    pub id: RequestId,
    pub max_wait: Micros,
    pub sent_at: Micros,
    pub expires_at: Micros,
}

impl InFlight {
    /// Whether discovery may wait for a change before it responds: it keeps a watch open.
    pub fn is_long_poll(&self) -> bool {
        self.max_wait > 0
    }
}
