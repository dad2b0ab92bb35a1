//! The traffic of clients, and what became of it.

use rowanglade_checker::Idempotency;
use std::time::Duration;

/// A request class.
#[derive(Clone, Debug)]
pub struct ClassPlan {
    /// Its name on the wire.
    pub name: &'static str,
    /// Its part of all requests, between 0 and 1.
    pub share: f64,
    /// Its requests are writes.
    pub write: bool,
    /// How often a request of it may run.
    pub idempotency: Idempotency,
    /// How long its clients wait.
    pub wait: Duration,
    /// The part of its requests that are for new objects.
    pub new_object_share: f64,
}

/// The request classes that the project ships, with half of the deposits for new objects.
pub fn usual_classes() -> Vec<ClassPlan> {
    let class = |name, share, write, idempotency, wait, new_object_share| {
        let wait = Duration::from_millis(wait);
        ClassPlan { name, share, write, idempotency, wait, new_object_share }
    };
    vec![
        class("view", 0.55, false, Idempotency::Idempotent, 1_500, 0.0),
        class("deposit", 0.30, true, Idempotency::KeyedWithin { window: 3_000_000 }, 3_000, 0.5),
        class("export", 0.15, false, Idempotency::Idempotent, 5_000, 0.0),
    ]
}

/// The traffic of one initiator's clients.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Requests a second, at random times.
    pub rate: f64,
    /// The request classes; their shares add up to 1.
    pub classes: Vec<ClassPlan>,
    /// The name of the QoS plan.
    pub plan: &'static str,
    /// Each volume with the shards that hold its data.
    pub volumes: Vec<(u64, Vec<u32>)>,
    /// The size of each request.
    pub units: f64,
    /// How many initiators a client says that its volume comes through.
    pub hosts: u32,
    /// The part of requests whose client disconnects before its time is up.
    pub disconnect_share: f64,
}

/// What became of the requests of a load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// All of them.
    pub sent: u64,
    /// Answered with success.
    pub served: u64,
    /// Rejected or failed.
    pub rejected: u64,
    /// No connection could be made.
    pub not_accepted: u64,
    /// The client disconnected or timed out, or its connection was closed.
    pub unanswered: u64,
}

impl RequestCounts {
    /// The counts of two loads together.
    pub fn merge(self, other: RequestCounts) -> RequestCounts {
        RequestCounts {
            sent: self.sent + other.sent,
            served: self.served + other.served,
            rejected: self.rejected + other.rejected,
            not_accepted: self.not_accepted + other.not_accepted,
            unanswered: self.unanswered + other.unanswered,
        }
    }

    /// The part that was served, between 0 and 1.
    pub fn share_served(&self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}
