//! Events of the simulated network, ordered by time.

use rowanglade_distribution::{Millis, NodeId};
use std::rc::Rc;

/// An event of the simulation.
pub enum Event {
    /// A message arrives on a connection. It is dropped if the receiver has restarted since it was sent.
    Deliver { from: NodeId, to: NodeId, incarnation: u32, bytes: Rc<[u8]> },
    /// A node is polled.
    Poll(NodeId),
}

/// A scheduled event. Events are ordered by time, and at equal times by the order in which they were
/// scheduled.
pub struct Due {
    pub at: Millis,
    pub order: u64,
    pub event: Event,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}
