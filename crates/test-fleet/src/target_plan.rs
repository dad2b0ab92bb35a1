//! The parameters of a stub target, and the faults that can be injected.

use crate::recorder::Recorder;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The parameters of a stub target.
#[derive(Clone, Debug)]
pub struct TargetPlan {
    /// The number of requests executed at the same time.
    pub slots: usize,
    /// The maximum number of requests that wait for a slot; further ones are rejected unprocessed.
    pub queue_capacity: usize,
    /// The service time by request class. Each request varies at random by up to 20 %.
    pub service_times: HashMap<String, Duration>,
    /// The service time of all other request classes.
    pub default_service_time: Duration,
    /// How long a repeat of an idempotency key is suppressed after its execution.
    pub deduplication_window: Duration,
    /// The fraction of its capacity that a target has right after a restart, between 0 and 1.
    pub initial_capacity: f64,
    /// How long a target warms up after a restart until it has its full capacity.
    pub warm_within: Duration,
    /// The size of a read's response body in bytes.
    pub response_bytes: usize,
    /// Whether to store the time and path of every request received.
    pub keeps_requests: bool,
    /// Where attempts are recorded, if anywhere.
    pub recorder: Option<Rc<Recorder>>,
}

impl Default for TargetPlan {
    fn default() -> TargetPlan {
        TargetPlan {
            slots: 2,
            queue_capacity: 64,
            service_times: HashMap::new(),
            default_service_time: Duration::from_millis(4),
            deduplication_window: Duration::from_secs(3),
            initial_capacity: 1.0,
            warm_within: Duration::ZERO,
            response_bytes: 256,
            keeps_requests: false,
            recorder: None,
        }
    }
}

/// An injected fault, in effect until another one is injected.
#[derive(Clone, Debug, Default)]
pub struct TargetFault {
    /// The factor by which service times are multiplied; no effect at 1 or less.
    pub slowdown: f64,
    /// The share of requests that are answered with an error at once, between 0 and 1.
    pub error_share: f64,
    /// The share of requests whose connection is reset after half of the body, or after the head if there is
    /// no body.
    pub reset_share: f64,
    /// Requests are read and never answered.
    pub silent: bool,
    /// Requests are rejected unprocessed.
    pub rejects: bool,
    /// No request is executed before this instant.
    pub stalled_until: Option<Instant>,
}
