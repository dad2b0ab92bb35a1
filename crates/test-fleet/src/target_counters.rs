//! What a stub target counts.

use std::collections::BTreeMap;

/// What a stub target has seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetCounters {
    /// Connections that were accepted.
    pub connections: u64,
    /// Requests whose last byte came.
    pub received: u64,
    /// Requests answered with success.
    pub served: u64,
    /// Requests answered with an injected error.
    pub errors: u64,
    /// Rejected unprocessed: the queue was full, or the target was draining.
    pub rejected: u64,
    /// Connections that were reset by an injected fault.
    pub resets: u64,
    /// Requests that were never answered.
    pub silent: u64,
    /// Keyed writes that ran.
    pub writes_executed: u64,
    /// Keyed writes suppressed as repeats.
    pub writes_suppressed: u64,
    /// Requests received while the target was draining or stopped.
    pub received_draining: u64,
    /// The most requests in flight at once.
    pub max_in_flight: u64,
    /// Requests received of each class.
    pub per_class: BTreeMap<String, u64>,
}

impl TargetCounters {
    /// The counts of two targets together.
    pub fn merge(mut self, other: TargetCounters) -> TargetCounters {
        self.connections += other.connections;
        self.received += other.received;
        self.served += other.served;
        self.errors += other.errors;
        self.rejected += other.rejected;
        self.resets += other.resets;
        self.silent += other.silent;
        self.writes_executed += other.writes_executed;
        self.writes_suppressed += other.writes_suppressed;
        self.received_draining += other.received_draining;
        self.max_in_flight = self.max_in_flight.max(other.max_in_flight);
        for (class, count) in other.per_class {
            *self.per_class.entry(class).or_default() += count;
        }
        self
    }
}
