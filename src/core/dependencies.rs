//! What the core is constructed with beside its scheduler and its mailbox.

use crate::core::admin::{AdminCommand, AdminRequest};
use crate::core::handover_request::HandoverRequest;
use crate::core::quota::QuotaPeers;
use crate::core::request_ids::RequestIdHash;
use crate::core::routes::LoadedRoutes;
use crate::core::site_monitor::SiteSettings;
use rowanglade_object_locations::{ObjectKey, Observation};
use rowanglade_subset::Subset;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// What the core needs beside its scheduler and its mailbox.
pub struct CoreDependencies {
    /// The routes in force; a new value replaces them.
    pub routes: watch::Receiver<Arc<LoadedRoutes>>,
    /// Absent where initiators do not exchange quota.
    pub quota: Option<QuotaPeers>,
    /// Operators' commands. They have a channel of their own so that they do not queue behind requests.
    pub admin_requests: mpsc::Receiver<AdminRequest>,
    /// Requests of the handover actor.
    pub handover_requests: mpsc::Receiver<HandoverRequest>,
    /// Admin commands applied here, to be forwarded to the other process of a handover, if there is one.
    pub admin_commands: mpsc::Sender<AdminCommand>,
    /// Observed object locations, to be forwarded to the other process of a handover, if there is one.
    pub object_observations: mpsc::Sender<(ObjectKey, Observation)>,
    /// Ids of requests that may run, to be forwarded to the other process of a handover, if there is one.
    pub used_ids: mpsc::Sender<RequestIdHash>,
    /// Absent where site failover is disabled.
    pub sites: Option<SiteSettings>,
    /// Absent where no targets are preferred.
    pub subset: Option<Subset>,
}
