//! The descriptors of the process, and who may have how many.
//!
//! What the program cannot do without is reserved first, whether or not it is used: clients, who may fill all
//! that they are given, get a part of what is left.

mod reservations;

pub use reservations::{DISCOVERY_DESCRIPTORS, OptionalParts, PUSHED_DISCOVERY_DESCRIPTORS, Reservations};

use crate::config::Limits;
use crate::net::http::{ConnectionPool, ConnectionTable};
use reservations::PROCESS_DESCRIPTORS;
use std::cell::Cell;
use std::rc::Rc;

/// Where Linux lists the process's open descriptors.
const OPEN_DESCRIPTORS: &str = "/proc/self/fd";

/// Divides the descriptors, while another process takes some of them or gives them back.
#[derive(Clone, Debug)]
pub struct DescriptorBudget {
    /// The limits of the configuration.
    pub limits: Limits,
    parts: OptionalParts,
    /// Sessions of the iSCSI front that may be open.
    pub max_sessions: Rc<Cell<usize>>,
    /// Connections of HTTP clients.
    pub clients: ConnectionTable,
    /// Connections to HTTP targets.
    pub targets: ConnectionPool,
}

impl DescriptorBudget {
    /// A budget of all descriptors, divided between the table, the pool and sessions.
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

    /// The descriptors of all processes of this initiator together.
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

    /// Keeps what is in use, and `more` connections to targets; all else is another process's.
    pub fn cap_at_open_descriptors(&self, more: usize) {
        self.targets.close_idle();
        self.targets.resize(self.targets.open_connections() + more);
    }

    /// The number of open descriptors.
    pub fn open_descriptors(&self) -> usize {
        // The listing itself has one. Where the system lists none, what is counted here must do.
        let listed = std::fs::read_dir(OPEN_DESCRIPTORS).map(|all| all.count().saturating_sub(1));
        listed.unwrap_or_else(|_| self.counted_descriptors())
    }

    fn counted_descriptors(&self) -> usize {
        self.clients.open_connections() + self.targets.open_connections() + PROCESS_DESCRIPTORS
    }
}
