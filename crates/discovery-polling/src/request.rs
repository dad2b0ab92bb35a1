//! Requests for the list, commands to the driver, and the outcomes that the driver reports.

use crate::Micros;

/// Identifies a request of one schedule; never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// A request to send to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PollRequest {
    /// Identifies the request in [`crate::Schedule::handle_outcome`].
    pub id: RequestId,
    /// How long discovery may wait for a change before it responds, in microseconds. 0 requests an immediate
    /// response.
    pub max_wait: Micros,
}

/// An action that the driver has to carry out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send this request, and pass its outcome to [`crate::Schedule::handle_outcome`].
    Send(PollRequest),
    /// Cancel this request; its outcome is ignored.
    Cancel(RequestId),
}

/// Outcome of a request. The schedule cancels a request that has no outcome within its timeout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The response contained a snapshot or a delta.
    Received,
    /// Discovery responded with a rejection.
    Rejected,
    /// The connection failed or closed, or the response is invalid.
    Failed,
}

/// A request that has no outcome yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct InFlight {
    pub id: RequestId,
    pub max_wait: Micros,
    pub sent_at: Micros,
    pub expires_at: Micros,
}

impl InFlight {
    /// Whether discovery may wait for a change before it responds, which keeps a watch open.
    pub fn is_long_poll(&self) -> bool {
        self.max_wait > 0
    }
}
