//! The actions that the scheduler returns.

use super::{AttemptNumber, Micros, RequestId, TargetId, VolumeId};

/// An action for the initiator to carry out. Actions are carried out in the order in which they are returned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a target. The attempts of a request are numbered in the order of these actions.
    StartAttempt {
        /// The request to send.
        id: RequestId,
        /// The target to send it to.
        target: TargetId,
        /// How long the attempt may take, in microseconds. Absent: until the client stops waiting.
        timeout: Option<Micros>,
    },
    /// Give a request its final response: it is rejected, and the client's retry does no harm.
    Reject {
        /// The rejected request.
        id: RequestId,
        /// The Retry-After time, in microseconds. 0: the response has none.
        retry_after: Micros,
    },
    /// Give a request its final response: it failed, and nothing is promised about the client's retry.
    Fail {
        /// The failed request.
        id: RequestId,
    },
    /// Cancel an attempt that is in flight. The scheduler still expects its
    /// [`Event::AttemptEnded`](super::Event::AttemptEnded).
    CancelAttempt {
        /// The request of the attempt.
        id: RequestId,
        /// The number of the attempt.
        attempt: AttemptNumber,
    },
    /// Set a timer that ends with [`Event::TimerFired`](super::Event::TimerFired). It replaces a timer that
    /// was set before and is due later.
    SetTimer {
        /// The token of the event.
        token: u64,
        /// The time until the timer is due, in microseconds.
        after: Micros,
    },
    /// Probe a target. The scheduler does not return this action.
    Probe {
        /// The target to probe.
        target: TargetId,
    },
    /// A request draws on a volume's limit of which few units are left at this initiator: units should be
    /// requested from other initiators.
    QuotaNeeded {
        /// The limited volume.
        volume: VolumeId,
        /// The units of the request.
        units: f64,
        /// The number of initiators through which the volume's requests arrive.
        initiators: u32,
    },
    /// Send units to another initiator: the answer to
    /// [`Event::QuotaRequested`](super::Event::QuotaRequested). They have been taken out of this initiator's
    /// token bucket.
    QuotaOffered {
        /// The limited volume.
        volume: VolumeId,
        /// The number of units, which may be 0.
        units: f64,
    },
}
