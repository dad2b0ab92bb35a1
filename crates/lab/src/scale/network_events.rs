//! The events of the simulated network, in the order of their times.

use rowanglade_distribution::{Millis, NodeId};
use std::rc::Rc;

/// What happens at a time.
pub enum Event {
    /// A message comes on a connection, which ends with the incarnation of its receiver.
    Deliver { from: NodeId, to: NodeId, incarnation: u32, bytes: Rc<[u8]> },
    /// A node is polled.
    Poll(NodeId),
}

/// An event that is due; the queue orders by time, and then by the order of scheduling.
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
