//! The parameters of client traffic, and the outcomes of its requests.

use rowanglade_checker::Idempotency;
use std::time::Duration;

/// The parameters of a request class.
#[derive(Clone, Debug)]
pub struct ClassPlan {
    /// The name of the class on the wire.
    pub name: &'static str,
    /// The share of all requests that are of this class, between 0 and 1.
    pub share: f64,
    /// Whether its requests are writes.
    pub write: bool,
    /// Whether a request of this class may be executed more than once.
    pub idempotency: Idempotency,
    /// How long its clients wait for a response.
    pub wait: Duration,
    /// The share of its requests that are for new objects, between 0 and 1.
    pub new_object_share: f64,
}

/// The standard request classes of the project, with half of the deposits for new objects.
pub fn standard_classes() -> Vec<ClassPlan> {
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

/// The parameters of the traffic of one initiator's clients.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    /// Requests per second on average; they are sent at random times.
    pub rate: f64,
    /// The request classes. Their shares must add up to 1.
    pub classes: Vec<ClassPlan>,
    /// The name of the QoS plan of all requests.
    pub plan: &'static str,
    /// Each volume's id, and the shards that store its data.
    pub volumes: Vec<(u64, Vec<u32>)>,
    /// The size of each request in units.
    pub units: f64,
    /// The number of initiators that serve the volume, as stated by the client.
    pub hosts: u32,
    /// The share of requests whose client disconnects before the response, between 0 and 1.
    pub disconnect_share: f64,
}

/// The outcomes of the requests of a load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// All requests that have ended.
    pub sent: u64,
    /// Requests answered with status 200.
    pub served: u64,
    /// Requests answered with another status.
    pub rejected: u64,
    /// Requests for which no connection could be opened.
    pub not_accepted: u64,
    /// Requests without a response: the client disconnected or timed out, or the connection was closed.
    pub unanswered: u64,
}

impl RequestCounts {
    /// The sum of the counts of two loads.
    pub fn merge(self, other: RequestCounts) -> RequestCounts {
        RequestCounts {
            sent: self.sent + other.sent,
            served: self.served + other.served,
            rejected: self.rejected + other.rejected,
            not_accepted: self.not_accepted + other.not_accepted,
            unanswered: self.unanswered + other.unanswered,
        }
    }

    /// The share of requests that were served, between 0 and 1.
    pub fn share_served(&self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}
