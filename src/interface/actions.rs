//! What an initiator is to do.

use super::{AttemptNumber, Micros, RequestId, TargetId, VolumeId};

/// What to do. Actions are carried out in the order in which they are returned.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Send a request to a target. Its attempts are numbered in the order of these actions.
    StartAttempt {
        /// The request.
        id: RequestId,
        /// The target.
        target: TargetId,
        /// How long it may take, in microseconds. Absent: until the client gives up.
        timeout: Option<Micros>,
    },
    /// Final response: rejected, and a retry does no harm.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the client should stay away, in microseconds. 0: it is given no time.
        retry_after: Micros,
    },
    /// Final response: failed, and nothing is promised.
    Fail {
        /// The request.
        id: RequestId,
    },
    /// Cancel an attempt that is in flight. Its end is still expected as an event.
    CancelAttempt {
        /// The request.
        id: RequestId,
        /// The attempt of that request.
        attempt: AttemptNumber,
    },
    /// Call back with [`Event::TimerFired`](super::Event::TimerFired). It replaces a timer that was set
    /// before and comes later.
    SetTimer {
        /// What the event is to carry.
        token: u64,
        /// In how long, in microseconds.
        after: Micros,
    },
    /// Ask a target whether it answers. The scheduler does not return it now.
    Probe {
        /// The target.
        target: TargetId,
    },
    /// A request draws on a volume's limit of which few units are left here; other initiators may have some
    /// to give.
    QuotaNeeded {
        /// The volume.
        volume: VolumeId,
        /// The request's units.
        units: f64,
        /// Through how many initiators the volume works.
        initiators: u32,
    },
    /// Units that are no longer in this initiator's token bucket: the answer to
    /// [`Event::QuotaRequested`](super::Event::QuotaRequested).
    QuotaOffered {
        /// The volume.
        volume: VolumeId,
        /// The units, which may be 0.
        units: f64,
    },
}
