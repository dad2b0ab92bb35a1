//! Counters of a stub target.

use std::collections::BTreeMap;

/// A stub target's counts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TargetCounters {
    /// Connections accepted.
    pub connections: u64,
    /// Requests received completely.
    pub received: u64,
    /// Requests answered with status 200.
    pub served: u64,
    /// Requests answered with an injected error.
    pub errors: u64,
    /// Requests rejected unprocessed: the queue was full, the target was draining, or a fault rejected them.
    pub rejected: u64,
    /// Connections reset by an injected fault.
    pub resets: u64,
    /// Requests never answered because of an injected fault.
    pub silent: u64,
    /// Keyed writes that were executed.
    pub writes_executed: u64,
    /// Keyed writes suppressed as repeats.
    pub writes_suppressed: u64,
    /// Requests received while the target was draining.
    pub received_draining: u64,
    /// The maximum number of requests in flight at the same time.
    pub max_in_flight: u64,
    /// Requests received, by request class.
    pub per_class: BTreeMap<String, u64>,
}

impl TargetCounters {
    /// Adds the counts of another target; `max_in_flight` becomes the greater of both.
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
