//! How targets are reached, and those that the operator's file lists.

use crate::config::{Iscsi, Portal};
use crate::core::{Clock, Connect, CoreHandle, Endpoint, Message, Protocol};
use crate::interface::{EndpointUpdateKind, TargetState};
use crate::net::{http, iscsi};
use crate::settings::Settings;
use std::time::Duration;

/// Connects each target over its own protocol. Without `figures` all are reached over HTTP.
pub fn connect(
    transport: http::TargetTransport,
    figures: Option<iscsi::Figures>,
    core: CoreHandle,
) -> Connect {
    Box::new(move |line| match (line.protocol, &figures) {
        (Protocol::Iscsi, Some(figures)) => iscsi::connect(line, figures.clone(), core.clone()),
        _ => http::connect(line, transport.clone()),
    })
}

/// The classes with their deadlines.
pub fn classes(settings: &Settings) -> Vec<(String, Duration)> {
    settings.classes().map(|(name, deadline)| (name.to_string(), deadline)).collect()
}

/// What sessions to targets keep to.
pub fn figures(iscsi: &Iscsi, settings: &Settings, clock: Clock) -> iscsi::Figures {
    iscsi::Figures {
        initiator: iscsi.name.clone(),
        classes: classes(settings).into_iter().map(|(name, _)| name).collect(),
        connect_timeout: settings.connect_timeout(),
        login_timeout: iscsi.login_timeout,
        silence: iscsi.silence,
        blocks_per_unit: iscsi.blocks_per_unit,
        clock,
    }
}

/// The targets that the operator's file lists.
pub fn portals(iscsi: &Iscsi) -> Message {
    let line = |portal: &Portal| Endpoint {
        name: portal.name.clone(),
        protocol: Protocol::Iscsi,
        addr: portal.addr,
        zone: portal.zone.clone(),
        kind: String::new(),
        shard: portal.shard,
        state: TargetState::Active,
        started: None,
    };
    let entries = iscsi.targets.iter().map(line).collect();
    Message::endpoints(Protocol::Iscsi, EndpointUpdateKind::Snapshot, entries)
}
