//! The endpoint list in the format of discovery, the platform's file and a handover.
//!
//! Only this module maps the platform's field names to those of [`Endpoint`].

use crate::core::{Endpoint, MAX_ENTRIES_PER_STEP, Protocol};
use crate::interface::{EndpointUpdateKind, TargetState};
use rowanglade_routing::TargetInfo;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::HashSet;
use std::net::SocketAddr;

/// A snapshot of the endpoint list, or a delta to it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EndpointPage {
    version: u64,
    #[serde(rename = "full")]
    is_snapshot: bool,
    #[serde(rename = "servers")]
    entries: Vec<EndpointEntry>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct EndpointEntry {
    #[serde(rename = "id")]
    name: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(rename = "cell")]
    shard: u32,
    state: EntryState,
    #[serde(default)]
    started_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
enum EntryState {
    #[serde(rename = "active")]
    Active,
    #[serde(rename = "leaving")]
    Draining,
    #[serde(rename = "left")]
    Removed,
}

impl From<EntryState> for TargetState {
    fn from(state: EntryState) -> TargetState {
        match state {
            EntryState::Active => TargetState::Active,
            EntryState::Draining => TargetState::Draining,
            EntryState::Removed => TargetState::Removed,
        }
    }
}

impl From<TargetState> for EntryState {
    fn from(state: TargetState) -> EntryState {
        match state {
            TargetState::Active => EntryState::Active,
            TargetState::Draining => EntryState::Draining,
            TargetState::Removed => EntryState::Removed,
        }
    }
}

impl From<EndpointEntry> for Endpoint {
    fn from(entry: EndpointEntry) -> Endpoint {
        Endpoint {
            name: entry.name,
            protocol: Protocol::Http,
            addr: entry.addr,
            zone: entry.zone,
            kind: entry.kind,
            shard: entry.shard,
            state: entry.state.into(),
            started: (entry.started_ms > 0).then(|| entry.started_ms.saturating_mul(1_000)),
        }
    }
}

impl From<Endpoint> for EndpointEntry {
    fn from(endpoint: Endpoint) -> EndpointEntry {
        EndpointEntry {
            name: endpoint.name,
            addr: endpoint.addr,
            zone: endpoint.zone,
            kind: endpoint.kind,
            shard: endpoint.shard,
            state: endpoint.state.into(),
            started_ms: endpoint.started.unwrap_or(0) / 1_000,
        }
    }
}

/// Why a decoded page cannot be used.
#[derive(Debug, thiserror::Error)]
pub(super) enum UnusablePage {
    #[error("endpoint list names target {0} more than once")]
    RepeatedTarget(String),
    #[error("endpoint list has version {received}, older than the current version {current}")]
    OlderVersion { current: u64, received: u64 },
}

/// A page whose entries are not decoded yet.
#[derive(Deserialize)]
struct UndecodedPage<'a> {
    version: u64,
    #[serde(rename = "full")]
    is_snapshot: bool,
    #[serde(borrow, rename = "servers")]
    entries: Vec<&'a RawValue>,
}

impl EndpointPage {
    /// A snapshot of `endpoints` as another process of this initiator has them. Its version is unknown and
    /// set to 0.
    pub fn snapshot(endpoints: Vec<Endpoint>) -> EndpointPage {
        let entries = endpoints.into_iter().map(EndpointEntry::from).collect();
        EndpointPage { version: 0, is_snapshot: true, entries }
    }

    /// Decodes a page in steps, and lets other tasks run between them, so that a long list does not delay
    /// requests. Cancellation safe.
    ///
    /// # Errors
    /// The text is not a valid page; the error names the line and column.
    pub(super) async fn decode(text: &[u8]) -> Result<EndpointPage, serde_json::Error> {
        let undecoded: UndecodedPage<'_> = serde_json::from_slice(text)?;
        let mut entries = Vec::with_capacity(undecoded.entries.len());
        for step in undecoded.entries.chunks(MAX_ENTRIES_PER_STEP) {
            for entry in step {
                match serde_json::from_str(entry.get()) {
                    Ok(entry) => entries.push(entry),
                    // Decoding the whole text again gives an error with its position in the page.
                    Err(_) => return serde_json::from_slice(text),
                }
            }
            tokio::task::yield_now().await;
        }
        Ok(EndpointPage { version: undecoded.version, is_snapshot: undecoded.is_snapshot, entries })
    }

    /// The version of the list after the page is applied; 0: unknown.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether targets that the page does not name have left the list.
    pub(super) fn is_snapshot(&self) -> bool {
        self.is_snapshot
    }

    /// The kind of endpoint update that the page is to the core.
    pub(super) fn kind(&self) -> EndpointUpdateKind {
        match self.is_snapshot {
            true => EndpointUpdateKind::Snapshot,
            false => EndpointUpdateKind::Delta,
        }
    }

    /// The number of entries.
    pub(super) fn len(&self) -> usize {
        self.entries.len()
    }

    /// The targets that have not been removed, in the form that routing uses.
    pub fn routable_targets(&self) -> Vec<TargetInfo> {
        let present = self.entries.iter().filter(|entry| entry.state != EntryState::Removed);
        present
            .map(|entry| TargetInfo {
                name: entry.name.clone(),
                zone: entry.zone.clone(),
                kind: entry.kind.clone(),
                shard: entry.shard,
                addr: entry.addr.ip(),
            })
            .collect()
    }

    /// The names of the page's targets, and whether each is active.
    pub(super) fn target_activity(&self) -> impl Iterator<Item = (&str, bool)> + Clone {
        self.entries.iter().map(|entry| (entry.name.as_str(), entry.state == EntryState::Active))
    }

    /// Converts the entries to the core's endpoints.
    pub(super) fn into_endpoints(self) -> Vec<Endpoint> {
        self.entries.into_iter().map(Endpoint::from).collect()
    }

    /// Checks that an initiator whose list has version `current` can apply the page; `None`: it has no list.
    ///
    /// # Errors
    /// The page is older than `current`, or names a target twice.
    pub(super) fn check(&self, current: Option<u64>) -> Result<(), UnusablePage> {
        if let Some(current) = current.filter(|current| self.version < *current) {
            return Err(UnusablePage::OlderVersion { current, received: self.version });
        }
        let mut names = HashSet::with_capacity(self.entries.len());
        match self.entries.iter().find(|entry| !names.insert(entry.name.as_str())) {
            Some(entry) => Err(UnusablePage::RepeatedTarget(entry.name.clone())),
            None => Ok(()),
        }
    }
}
