//! What the core is given beside its scheduler and its mailbox.

use crate::core::admin::{AdminCommand, AdminRequest};
use crate::core::handover_request::HandoverRequest;
use crate::core::quota::QuotaPeers;
use crate::core::routes::LoadedRoutes;
use crate::core::site_monitor::SiteSettings;
use rowanglade_object_locations::{ObjectKey, Observation};
use rowanglade_subset::Subset;
use std::sync::Arc;
use tokio::sync::{mpsc, watch};

/// What the core needs beside its scheduler and its mailbox.
pub struct CoreDependencies {
    /// The routes to be in force.
    pub routes: watch::Receiver<Arc<LoadedRoutes>>,
    /// Absent where initiators do not exchange quota.
    pub quota: Option<QuotaPeers>,
    /// Operators' commands. They do not wait behind the requests in the core's mailbox.
    pub admin_requests: mpsc::Receiver<AdminRequest>,
    /// What a handover asks.
    pub handover_requests: mpsc::Receiver<HandoverRequest>,
    /// Commands that hold here, for the other process, if there is one.
    pub admin_commands: mpsc::Sender<AdminCommand>,
    /// Where objects were seen, for the other process.
    pub object_observations: mpsc::Sender<(ObjectKey, Observation)>,
    /// Absent where sites are not judged.
    pub sites: Option<SiteSettings>,
    /// Absent where no target is preferred to others.
    pub subset: Option<Subset>,
}
