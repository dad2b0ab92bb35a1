//! The file descriptors of the process, and how many each of its parts may use.
//!
//! Descriptors that the process cannot work without are reserved first, whether or not they are in use.
//! Clients, who may use up any number, receive a share of the rest.

mod bound;
mod memory;
mod reservations;

pub use bound::{MemoryBound, MemoryUse, ResidentMemory};
pub use memory::{MemoryBudget, MemoryBudgets, MemoryReservation};
pub use reservations::{DISCOVERY_DESCRIPTORS, OptionalParts, PUSHED_DISCOVERY_DESCRIPTORS, Reservations};

use crate::config::Limits;
use crate::net::http::{ConnectionPool, ConnectionTable};
use reservations::PROCESS_DESCRIPTORS;
use std::cell::Cell;
use std::rc::Rc;

/// Directory in which Linux lists the process's open descriptors.
const OPEN_DESCRIPTORS: &str = "/proc/self/fd";

/// Divides the descriptor limit between the parts of the process. During a handover another process uses some
/// of the descriptors.
#[derive(Clone, Debug)]
pub struct DescriptorBudget {
    /// The limits of the configuration.
    pub limits: Limits,
    parts: OptionalParts,
    /// Number of sessions that the iSCSI front may have open.
    pub max_sessions: Rc<Cell<usize>>,
    /// Connections of HTTP clients.
    pub clients: ConnectionTable,
    /// Connections to HTTP targets.
    pub targets: ConnectionPool,
}

impl DescriptorBudget {
    /// Divides all descriptors between the connection table, the connection pool and the iSCSI front's
    /// sessions.
    pub fn new(
        limits: Limits,
        parts: OptionalParts,
        clients: ConnectionTable,
        targets: ConnectionPool,
    ) -> DescriptorBudget {
        let budget = DescriptorBudget { limits, parts, max_sessions: Rc::default(), clients, targets };
        budget.reserve_for_other_process(0);
        budget
    }

    /// Descriptors of all processes of this initiator together.
    pub fn total(&self) -> usize {
        self.limits.sockets
    }

    /// Reserves `descriptors` of the total for another process and divides the rest.
    pub fn reserve_for_other_process(&self, descriptors: usize) {
        let reservations = Reservations::of(self.limits.sockets.saturating_sub(descriptors), self.parts);
        self.max_sessions.set(reservations.sessions);
        self.clients.resize(reservations.clients, reservations.idle_clients);
        self.targets.resize(reservations.targets);
    }

    /// Closes idle connections to targets, and limits the pool to those in use and `more` new ones. All other
    /// descriptors belong to another process.
    pub fn cap_at_open_descriptors(&self, more: usize) {
        self.targets.close_idle();
        self.targets.resize(self.targets.open_connections() + more);
    }

    /// Number of open descriptors of this process.
    pub fn open_descriptors(&self) -> usize {
        // Listing the directory opens one descriptor itself. If the system has no such directory, the number
        // is estimated from the connections in the table and the pool.
        let listed = std::fs::read_dir(OPEN_DESCRIPTORS).map(|all| all.count().saturating_sub(1));
        listed.unwrap_or_else(|_| self.counted_descriptors())
    }

    fn counted_descriptors(&self) -> usize {
        self.clients.open_connections() + self.targets.open_connections() + PROCESS_DESCRIPTORS
    }
}
