//! How the descriptors of a process are divided.

use crate::net::admin;
use crate::net::http::clients::MAX_UNREGISTERED;

/// Descriptors of the process itself: the standard streams, the runtime, signals, the log, the listener and
/// its copy for another process, and a file that is being read.
pub(super) const PROCESS_DESCRIPTORS: usize = 12;
/// Descriptors that a handover uses: a directory, a lock, a listener and the connections between the
/// processes.
const HANDOVER_DESCRIPTORS: usize = 6;
/// Connections to discovery when it is polled: concurrent requests, and one connection that is being closed.
pub const DISCOVERY_DESCRIPTORS: usize = 4;
/// Connections to discovery when it pushes the endpoint list, which takes more concurrent requests.
pub const PUSHED_DISCOVERY_DESCRIPTORS: usize = 9;
/// The quota exchange's socket and its copy for another process.
const FLEET_DESCRIPTORS: usize = 2;
/// The drain gossip's socket.
const PEER_DESCRIPTORS: usize = 1;
/// The iSCSI front's listener and its copy for another process.
const ISCSI_LISTENER_DESCRIPTORS: usize = 2;
/// Connections of clients that are not in the connection table: evicted, being rejected, or just accepted.
const UNREGISTERED_DESCRIPTORS: usize = MAX_UNREGISTERED + 1;
/// Least number of descriptors for targets, sessions and clients together, however low the limit is.
const MIN_SHARED_DESCRIPTORS: usize = 15;
/// Clients and sessions receive five eighths of the descriptors that remain after this many and the admin
/// listener's. The other reservations come out of the targets' part, since idle connections to targets can be
/// closed for new ones. That part keeps at least a fifth of the descriptors that targets, sessions and
/// clients share.
const DESCRIPTORS_BEFORE_FRONTS: usize = 24;
/// The platform's clients use a third of the descriptors at most. One descriptor in this many, a quarter of
/// that third, may hold an idle client connection; the rest of the third is needed for new connections.
const IDLE_CLIENTS_DIVISOR: usize = 12;

/// The optional features of the program. Each reserves descriptors when an operator enables it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OptionalParts {
    /// The admin listener, which handover depends on.
    pub admin: bool,
    /// Quota exchange with other initiators.
    pub fleet: bool,
    /// Drain gossip with peers.
    pub peers: bool,
    /// The iSCSI-style front.
    pub iscsi: bool,
    /// Discovery pushes the endpoint list instead of being polled for it.
    pub pushed_list: bool,
}

/// Numbers of descriptors by purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reservations {
    /// The process's own, such as the standard streams and the log.
    pub process: usize,
    /// Connections to discovery. They are reserved ahead of clients because the whole daemon depends on the
    /// endpoint list, and idle clients may occupy their full share when discovery returns.
    pub discovery: usize,
    /// The admin listener and its connections.
    pub admin: usize,
    /// The quota exchange's socket.
    pub fleet: usize,
    /// The drain gossip's socket.
    pub peers: usize,
    /// Connections of clients that are not in the table and will be closed soon.
    pub unregistered: usize,
    /// Sessions of the iSCSI front.
    pub sessions: usize,
    /// Connections to targets. Few are busy at a time, because concurrency limits bound the units in flight
    /// at each target.
    pub targets: usize,
    /// Connections of HTTP clients.
    pub clients: usize,
    /// How many of the client connections may stay idle for long.
    pub idle_clients: usize,
}

impl Reservations {
    /// Divides `descriptors` between the process and the features that `parts` enables.
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

    /// The sum of all reservations; idle clients are part of `clients`.
    pub fn total(&self) -> usize {
        let reserved =
            self.process + self.discovery + self.admin + self.fleet + self.peers + self.unregistered;
        reserved + self.sessions + self.targets + self.clients
    }
}
