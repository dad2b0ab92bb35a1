//! What a stub target is, and how it misbehaves.

use crate::recorder::Recorder;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// What a stub target is.
#[derive(Clone, Debug)]
pub struct TargetPlan {
    /// Requests worked on at once.
    pub slots: usize,
    /// Requests that wait for a slot at most; more are rejected unprocessed.
    pub queue_capacity: usize,
    /// The service time of a request of each class. A fifth up or down is left to chance.
    pub service_times: HashMap<String, Duration>,
    /// The service time of all other classes.
    pub default_service_time: Duration,
    /// How long an idempotency key is remembered.
    pub deduplication_window: Duration,
    /// The part of its capacity that a target has just after its start, between 0 and 1.
    pub initial_capacity: f64,
    /// How long after its start a target has all of its capacity.
    pub warm_within: Duration,
    /// Bytes of a read's response.
    pub response_bytes: usize,
    /// It keeps the time and the path of every request that it receives.
    pub keeps_requests: bool,
    /// Where every attempt is recorded.
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

/// How a stub target misbehaves, until another fault is injected.
#[derive(Clone, Debug, Default)]
pub struct TargetFault {
    /// Times slower; 0 and 1 are none.
    pub slowdown: f64,
    /// The part of requests that get an error at once.
    pub error_share: f64,
    /// The part of requests whose connection is reset when half of their body has come, or all of their head.
    pub reset_share: f64,
    /// Requests are read and never answered.
    pub silent: bool,
    /// Requests are rejected unprocessed.
    pub rejects: bool,
    /// Nothing is worked on before this instant.
    pub stalled_until: Option<Instant>,
}
