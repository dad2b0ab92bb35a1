//! How targets are connected, and the targets that the operator's file lists.

use super::sockets::Sockets;
use crate::config::{Config, Iscsi, Portal};
use crate::core::{Clock, Connect, CoreHandle, Endpoint, Message, Protocol};
use crate::interface::{EndpointUpdateKind, TargetState};
use crate::net::{DescriptorBudget, MemoryBound, MemoryBudgets, OptionalParts, Reservations, http, iscsi};
use crate::settings::Settings;
use std::time::Duration;

/// Bounds on how long a response that has begun may make no progress. Within them it is half of the tightest
/// latency objective, so that another attempt can still meet the objective.
const MIN_STALL: Duration = Duration::from_millis(30);
const MAX_STALL: Duration = Duration::from_millis(400);

/// Bounds on how long a response that arrives in pieces is held back, during which a failed response can be
/// retried. Within them it is an eighth of the tightest latency objective.
const MIN_HOLD: Duration = Duration::from_millis(20);
const MAX_HOLD: Duration = Duration::from_millis(200);

/// How long a connection to a target is not reused after a response. Surplus bytes that a target sends after
/// the response arrive within this time and are noticed: the pages speak of some milliseconds.
const CONNECTION_REST: Duration = Duration::from_millis(25);

/// The connections to HTTP targets, and the descriptor budget that they share with clients.
pub struct TargetConnections {
    /// Creates connections to targets.
    pub transport: http::TargetTransport,
    /// Divides the configured limits.
    pub budget: DescriptorBudget,
    /// Divides the memory.
    pub memory: MemoryBudgets,
}

impl TargetConnections {
    /// Creates an empty connection pool, and starts the task that closes its idle connections.
    pub fn new(config: &Config, sockets: &Sockets, bound: MemoryBound) -> TargetConnections {
        let settings = &config.settings;
        let parts = OptionalParts {
            admin: sockets.admin.is_some(),
            fleet: config.quota_peers.is_some(),
            peers: config.gossip_peers.is_some(),
            iscsi: sockets.iscsi.is_some(),
            pushed_list: settings.list_is_pushed(),
        };
        let reservations = Reservations::of(config.limits.sockets, parts);
        let idle_timeout = settings.connection_idle_timeout() / 2;
        let stall_timeout = (settings.tightest_objective() / 2).clamp(MIN_STALL, MAX_STALL);
        let hold_time = (settings.tightest_objective() / 8).clamp(MIN_HOLD, MAX_HOLD);
        let connections =
            http::ConnectionPool::new(reservations.targets, idle_timeout, stall_timeout, CONNECTION_REST);
        actix_rt::spawn(connections.clone().close_expired());
        let memory = MemoryBudgets::of(&config.limits, bound);
        let clients = http::ConnectionTable::with_memory(
            reservations.clients,
            reservations.idle_clients,
            memory.clone(),
            config.limits.client_connections(),
        );
        let budget = DescriptorBudget::new(config.limits, parts, clients, connections.clone());
        let connect_timeout = settings.connect_timeout();
        let transport = http::TargetTransport {
            connect_timeout,
            stall_timeout,
            hold_time,
            connections,
            memory: memory.responses.clone(),
        };
        TargetConnections { transport, budget, memory }
    }
}

/// Connects each target over its own protocol; without `iscsi_sessions`, over HTTP.
pub fn connect(
    transport: http::TargetTransport,
    iscsi_sessions: Option<iscsi::SessionSettings>,
    core: CoreHandle,
) -> Connect {
    Box::new(move |endpoint| match (endpoint.protocol, &iscsi_sessions) {
        (Protocol::Iscsi, Some(iscsi_sessions)) => {
            iscsi::connect(endpoint, iscsi_sessions.clone(), core.clone())
        }
        _ => http::connect(endpoint, transport.clone()),
    })
}

/// The names of the classes, with their deadlines.
pub fn classes(settings: &Settings) -> Vec<(String, Duration)> {
    settings.classes().map(|class| (class.name.to_string(), class.deadline)).collect()
}

/// The parameters of iSCSI sessions to targets.
pub fn session_settings(iscsi: &Iscsi, settings: &Settings, clock: Clock) -> iscsi::SessionSettings {
    iscsi::SessionSettings {
        initiator: iscsi.name.clone(),
        classes: classes(settings).into_iter().map(|(name, _)| name).collect(),
        connect_timeout: settings.connect_timeout(),
        login_timeout: iscsi.login_timeout,
        silence_timeout: iscsi.silence_timeout,
        blocks_per_unit: iscsi.blocks_per_unit,
        clock,
    }
}

/// The endpoint update with the targets that the operator's file lists.
pub fn configured_targets_message(iscsi: &Iscsi) -> Message {
    let endpoint = |portal: &Portal| Endpoint {
        name: portal.name.clone(),
        protocol: Protocol::Iscsi,
        addr: portal.addr,
        zone: portal.zone.clone(),
        kind: String::new(),
        shard: portal.shard,
        state: TargetState::Active,
        started: None,
    };
    let entries = iscsi.targets.iter().map(endpoint).collect();
    Message::endpoints(Protocol::Iscsi, EndpointUpdateKind::Snapshot, entries)
}
