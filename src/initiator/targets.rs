//! How targets are reached, and those that the operator's file lists.

use super::sockets::Sockets;
use crate::config::{Config, Iscsi, Portal};
use crate::core::{Clock, Connect, CoreHandle, Endpoint, Message, Protocol};
use crate::interface::{EndpointUpdateKind, TargetState};
use crate::net::{DescriptorBudget, OptionalParts, Reservations, http, iscsi};
use crate::settings::Settings;
use std::time::Duration;

/// How long a response that has begun may stand still: half of the tightest latency objective, so that a new
/// attempt can still be in time, within these bounds.
const MIN_STALL: Duration = Duration::from_millis(30);
const MAX_STALL: Duration = Duration::from_millis(400);

/// How long a response that comes in pieces is held back, so that it can be tried for again: an eighth of the
/// tightest latency objective, within these bounds.
const MIN_HOLD: Duration = Duration::from_millis(20);
const MAX_HOLD: Duration = Duration::from_millis(200);

/// How long a connection to a target rests after a response: what a target sends behind one shows by then.
const CONNECTION_REST: Duration = Duration::from_millis(10);

/// The connections to HTTP targets, and the budget that they share with clients.
pub struct TargetConnections {
    /// How targets are connected to.
    pub transport: http::TargetTransport,
    /// Divides the configuration's limits.
    pub budget: DescriptorBudget,
}

impl TargetConnections {
    /// Without any connection. Idle ones are closed from now on.
    pub fn new(config: &Config, sockets: &Sockets) -> TargetConnections {
        let settings = &config.settings;
        let parts = OptionalParts {
            admin: sockets.admin.is_some(),
            fleet: config.quota_peers.is_some(),
            peers: config.gossip_peers.is_some(),
            iscsi: sockets.iscsi.is_some(),
            pushed_list: settings.list_is_pushed(),
        };
        let shares = Reservations::of(config.limits.sockets, parts);
        let idle = settings.connection_idle_timeout() / 2;
        let stall_timeout = (settings.tightest_objective() / 2).clamp(MIN_STALL, MAX_STALL);
        let hold_time = (settings.tightest_objective() / 8).clamp(MIN_HOLD, MAX_HOLD);
        let connections = http::ConnectionPool::new(shares.targets, idle, stall_timeout, CONNECTION_REST);
        actix_rt::spawn(connections.clone().close_expired());
        let clients = http::ConnectionTable::new(shares.clients, shares.idle_clients);
        let budget = DescriptorBudget::new(config.limits, parts, clients, connections.clone());
        let connect_timeout = settings.connect_timeout();
        let transport = http::TargetTransport { connect_timeout, stall_timeout, hold_time, connections };
        TargetConnections { transport, budget }
    }
}

/// Connects each target over its own protocol. Without `figures` all are reached over HTTP.
pub fn connect(
    transport: http::TargetTransport,
    figures: Option<iscsi::SessionSettings>,
    core: CoreHandle,
) -> Connect {
    Box::new(move |endpoint| match (endpoint.protocol, &figures) {
        (Protocol::Iscsi, Some(figures)) => iscsi::connect(endpoint, figures.clone(), core.clone()),
        _ => http::connect(endpoint, transport.clone()),
    })
}

/// The classes with their deadlines.
pub fn classes(settings: &Settings) -> Vec<(String, Duration)> {
    settings.classes().map(|class| (class.name.to_string(), class.deadline)).collect()
}

/// What sessions to targets keep to.
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

/// The targets that the operator's file lists.
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
