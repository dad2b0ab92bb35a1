//! The descriptors of the process, and who may have how many.

use crate::config::Limits;
use crate::net::http::{Clients, Links};

/// What this process is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does not serve: what is owned is another's, or on its way.
    Preparing,
    Serving,
    /// It was told to end, and takes clients for as long as they may come.
    Ending,
    /// It takes no new clients, and finishes what it holds.
    Leaving,
}

impl Phase {
    /// Whether clients are accepted.
    pub fn accepts(self) -> bool {
        matches!(self, Phase::Serving | Phase::Ending)
    }
}

/// Parts the descriptors between clients and targets, as others take some of them or give them back.
#[derive(Clone, Debug)]
pub struct Budget {
    pub limits: Limits,
    /// Sessions of the second front.
    pub sessions: usize,
    pub clients: Clients,
    pub links: Links,
}

impl Budget {
    pub fn new(limits: Limits, sessions: usize, clients: Clients, links: Links) -> Budget {
        let budget = Budget { limits, sessions, clients, links };
        budget.share(0);
        budget
    }

    /// All that there are for both processes.
    pub fn all(&self) -> usize {
        self.limits.sockets
    }

    /// Makes do without what another process has.
    pub fn share(&self, others: usize) {
        let limits = self.limits.less(others);
        self.clients
            .resize(limits.client_sockets(self.sessions.min(limits.sessions())), limits.idle_clients());
        self.links.resize(limits.target_sockets());
    }

    /// Goes on with what is in use, and so many more connections to targets.
    pub fn leave(&self, more: usize) {
        self.links.close_idle();
        self.links.resize(self.links.open() + more);
    }

    /// Descriptors that are open.
    pub fn open(&self) -> usize {
        // The listing itself has one. Where the system tells nothing, what is counted here must do.
        let listed = std::fs::read_dir("/proc/self/fd").map(|all| all.count().saturating_sub(1));
        listed.unwrap_or_else(|_| self.clients.open() + self.links.open() + crate::config::OWN_SOCKETS)
    }
}
