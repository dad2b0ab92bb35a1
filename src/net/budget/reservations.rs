//! How the descriptors of a process are divided.

use crate::net::admin;
use crate::net::http::clients::MAX_UNREGISTERED;

/// The process's own: the standard streams, the runtime, signals, the log, the listener and its copy for
/// another process, a file that is read.
pub(super) const PROCESS_DESCRIPTORS: usize = 12;
/// What a handover takes: a folder, a lock, a listener and connections between processes.
const HANDOVER_DESCRIPTORS: usize = 6;
/// Connections to discovery: requests beside each other and one that is being closed.
pub const DISCOVERY_DESCRIPTORS: usize = 4;
/// Connections to discovery where the list is pushed: there are more requests at a time.
pub const PUSHED_DISCOVERY_DESCRIPTORS: usize = 9;
/// The fleet's socket and its copy for another process.
const FLEET_DESCRIPTORS: usize = 2;
/// The socket on which peers' reports of draining targets arrive.
const PEER_DESCRIPTORS: usize = 1;
/// The iSCSI front's listener and its copy for another process.
const ISCSI_LISTENER_DESCRIPTORS: usize = 2;
/// Connections of clients that are not in the table: evicted, being rejected, or just accepted.
const UNREGISTERED_DESCRIPTORS: usize = MAX_UNREGISTERED + 1;
/// However few descriptors there are, so many are left for targets, sessions and clients.
const MIN_SHARED_DESCRIPTORS: usize = 15;
/// Clients and sessions get five eighths of what this many, and the admin listener's, leave. The rest of the
/// reservations comes out of targets' part, whose idle connections make room for others, and which is a fifth
/// at least.
const DESCRIPTORS_BEFORE_FRONTS: usize = 24;
/// The platform's clients hold a third of the descriptors at most, and need the rest of that third for those
/// that come new: one in so many may stay idle.
const IDLE_CLIENTS_DIVISOR: usize = 12;

/// The parts of the program that an operator may leave out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OptionalParts {
    /// The admin listener, and with it handover.
    pub admin: bool,
    /// Quota is exchanged with other initiators.
    pub fleet: bool,
    /// Draining targets are reported to peers.
    pub peers: bool,
    /// The iSCSI-style front.
    pub iscsi: bool,
    /// The endpoint list is pushed, not polled for.
    pub pushed_list: bool,
}

/// Numbers of descriptors by what they are reserved for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservations {
    /// The process's own.
    pub process: usize,
    /// Connections to discovery. The whole daemon waits for the list, and idle clients may hold all that is
    /// theirs when discovery returns.
    pub discovery: usize,
    /// The admin listener and its connections.
    pub admin: usize,
    /// The fleet's socket.
    pub fleet: usize,
    /// The peers' socket.
    pub peers: usize,
    /// Clients' connections that are not in the table, on their way out.
    pub unregistered: usize,
    /// Sessions of the iSCSI front.
    pub sessions: usize,
    /// Connections to targets. Busy ones are few: concurrency limits bound the units in flight at each.
    pub targets: usize,
    /// Connections of HTTP clients.
    pub clients: usize,
    /// How many of these may stay idle for long.
    pub idle_clients: usize,
}

impl Reservations {
    /// Divides so many descriptors.
    pub fn of(descriptors: usize, parts: OptionalParts) -> Reservations {
        let when = |enabled: bool, count: usize| if enabled { count } else { 0 };
        let handover = when(parts.admin, HANDOVER_DESCRIPTORS);
        let process = PROCESS_DESCRIPTORS + handover + when(parts.iscsi, ISCSI_LISTENER_DESCRIPTORS);
        let discovery = if parts.pushed_list { PUSHED_DISCOVERY_DESCRIPTORS } else { DISCOVERY_DESCRIPTORS };
        let admin = when(parts.admin, admin::OWN_DESCRIPTORS);
        let fleet = when(parts.fleet, FLEET_DESCRIPTORS);
        let peers = when(parts.peers, PEER_DESCRIPTORS);
        let reserved = process + discovery + UNREGISTERED_DESCRIPTORS + admin + fleet + peers;
        let shared = descriptors.saturating_sub(reserved).max(MIN_SHARED_DESCRIPTORS);
        let before_fronts = descriptors.saturating_sub(DESCRIPTORS_BEFORE_FRONTS + admin);
        let fronts = (before_fronts * 5).div_ceil(8).min(shared * 4 / 5).max(shared / 2);
        let sessions = when(parts.iscsi, fronts / 5);
        Reservations {
            process,
            discovery,
            admin,
            fleet,
            peers,
            unregistered: UNREGISTERED_DESCRIPTORS,
            sessions,
            targets: shared - fronts,
            clients: fronts - sessions,
            idle_clients: descriptors / IDLE_CLIENTS_DIVISOR,
        }
    }

    /// All of them together; idle clients are among the clients.
    pub fn total(&self) -> usize {
        let reserved =
            self.process + self.discovery + self.admin + self.fleet + self.peers + self.unregistered;
        reserved + self.sessions + self.targets + self.clients
    }
}
