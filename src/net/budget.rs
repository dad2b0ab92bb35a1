//! The descriptors of the process, and who may have how many.
//!
//! What the program cannot do without is reserved first, whether or not it is used: clients, who may fill all
//! that they are given, get a part of what is left.

use crate::config::Limits;
use crate::net::admin;
use crate::net::http::clients::MAX_UNREGISTERED;
use crate::net::http::{ConnectionTable, Links};
use std::cell::Cell;
use std::rc::Rc;

/// The process's own: the standard streams, the runtime, signals, the log, the listener and its copy for
/// another process, a file that is read.
const PROCESS: usize = 12;
/// What processes meet by: a folder, a lock, a listener and links.
const MEETING: usize = 6;
/// Connections to discovery: calls beside each other and one that is being closed. Where the list is pushed
/// there are more of them.
pub const DISCOVERY: usize = 4;
pub const DISCOVERY_PUSHED: usize = 9;
/// The fleet's socket, and the second front's listener, each with its copy.
const FLEET: usize = 2;
/// Where other instances' reports of departures come.
const PEERS: usize = 1;
const SECOND_LISTENER: usize = 2;
/// Connections of clients that have no place: evicted, being turned away, or just accepted.
const PASSING: usize = MAX_UNREGISTERED + 1;
/// However few descriptors there are, so many are left for targets, sessions and clients.
const LEAST_SHARED: usize = 15;
/// Clients and sessions get five eighths of what so many, and the operators', leave. The rest of the
/// reservations comes out of targets' part, whose idle connections make room for others, and which is a fifth
/// at least.
const BARE: usize = 24;

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

/// The parts of the program that an operator may leave out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Parts {
    pub operators: bool,
    pub fleet: bool,
    /// Other instances are told of departures.
    pub peers: bool,
    /// The iSCSI-style front.
    pub sessions: bool,
    /// The list is pushed, not asked for.
    pub pushed: bool,
}

/// Descriptors by what they are kept for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservations {
    pub process: usize,
    /// The whole daemon waits for the list, and idle clients may hold all that is theirs when discovery
    /// returns.
    pub discovery: usize,
    pub operators: usize,
    pub fleet: usize,
    pub peers: usize,
    /// Clients' connections beyond their places, on their way out.
    pub passing: usize,
    /// The second front's.
    pub sessions: usize,
    /// Connections to targets. Busy ones are few: the module bounds the units out at each.
    pub targets: usize,
    /// Connections of the platform's clients.
    pub clients: usize,
    /// How many of these may stand idle for long. The platform's clients hold a third of the descriptors at
    /// most, and need the rest of that third for those that come new.
    pub idle_clients: usize,
}

impl Reservations {
    /// Parts so many descriptors.
    pub fn of(sockets: usize, parts: Parts) -> Reservations {
        let when = |on: bool, count: usize| if on { count } else { 0 };
        let process = PROCESS + when(parts.operators, MEETING) + when(parts.sessions, SECOND_LISTENER);
        let discovery = if parts.pushed { DISCOVERY_PUSHED } else { DISCOVERY };
        let (operators, fleet) = (when(parts.operators, admin::OWN_SOCKETS), when(parts.fleet, FLEET));
        let peers = when(parts.peers, PEERS);
        let ahead = process + discovery + PASSING + operators + fleet + peers;
        let shared = sockets.saturating_sub(ahead).max(LEAST_SHARED);
        let bare = sockets.saturating_sub(BARE + operators);
        let fronts = (bare * 5).div_ceil(8).min(shared * 4 / 5).max(shared / 2);
        let sessions = when(parts.sessions, fronts / 5);
        Reservations {
            process,
            discovery,
            operators,
            fleet,
            peers,
            passing: PASSING,
            sessions,
            targets: shared - fronts,
            clients: fronts - sessions,
            idle_clients: sockets / 12,
        }
    }

    /// All of them together.
    pub fn total(&self) -> usize {
        let ahead = self.process + self.discovery + self.operators + self.fleet + self.peers + self.passing;
        ahead + self.sessions + self.targets + self.clients
    }
}

/// Parts the descriptors, as another process takes some of them or gives them back.
#[derive(Clone, Debug)]
pub struct Budget {
    pub limits: Limits,
    parts: Parts,
    /// Sessions of the second front that may be open.
    pub sessions: Rc<Cell<usize>>,
    pub clients: ConnectionTable,
    pub links: Links,
}

impl Budget {
    pub fn new(limits: Limits, parts: Parts, clients: ConnectionTable, links: Links) -> Budget {
        let budget = Budget { limits, parts, sessions: Rc::default(), clients, links };
        budget.share(0);
        budget
    }

    /// All that there are for both processes.
    pub fn all(&self) -> usize {
        self.limits.sockets
    }

    /// Makes do without what another process has.
    pub fn share(&self, others: usize) {
        let shares = Reservations::of(self.limits.sockets.saturating_sub(others), self.parts);
        self.sessions.set(shares.sessions);
        self.clients.resize(shares.clients, shares.idle_clients);
        self.links.resize(shares.targets);
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
        listed.unwrap_or_else(|_| self.clients.open_connections() + self.links.open() + PROCESS)
    }
}
