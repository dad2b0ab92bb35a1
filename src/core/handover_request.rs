//! What a handover asks of the core, and the state that goes from one process to the next.

use crate::core::admin::AdminCommand;
use crate::core::endpoint::Endpoint;
use crate::interface::Micros;
use crate::scheduler::snapshot::SchedulerSnapshot;
use rowanglade_maintenance::Maintenance;
use rowanglade_object_locations::{ObjectKey, Observation};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// All that one process owns and hands over. A message between two builds: its form stays.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// The admin commands that hold.
    pub maintenance: Maintenance,
    /// What the scheduler owns and has learned.
    #[serde(rename = "module")]
    pub scheduler: SchedulerSnapshot<String, String>,
    /// Where objects were seen, the oldest first. A build that does not know of it learns that again.
    #[serde(default, rename = "places")]
    pub object_locations: Vec<(ObjectKey, Observation)>,
}

/// What a handover asks of the core.
#[derive(Debug)]
pub enum HandoverRequest {
    /// The time, and the endpoint list as discovery reported it.
    Describe(oneshot::Sender<(Micros, Vec<Endpoint>)>),
    /// To spend nothing that is owned from now on, and to report all of it.
    Freeze(oneshot::Sender<Box<HandoverState>>),
    /// To spend it again.
    Resume(oneshot::Sender<()>),
    /// To go on from nothing: another process had what is owned.
    ServeWithoutState(oneshot::Sender<()>),
    /// To go on with what another process owned.
    TakeOver(Box<HandoverState>, oneshot::Sender<()>),
    /// An admin command came to the other process.
    AdminCommand(AdminCommand),
    /// The other process saw where an object is, or is not.
    ObjectObserved(ObjectKey, Observation),
}
