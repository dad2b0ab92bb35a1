//! Requests of a handover to the core, and the state that one process hands over to the next.

use crate::core::admin::AdminCommand;
use crate::core::endpoint::Endpoint;
use crate::core::request_ids::RequestIdHash;
use crate::interface::Micros;
use crate::scheduler::snapshot::SchedulerSnapshot;
use rowanglade_maintenance::Maintenance;
use rowanglade_object_locations::{ObjectKey, Observation};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// The state that a process owns and hands over. Sent between builds: its serialized form is stable.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct HandoverState {
    /// The maintenance that admin commands have put in effect.
    pub maintenance: Maintenance,
    /// The scheduler's owned state and its estimates.
    #[serde(rename = "module")]
    pub scheduler: SchedulerSnapshot<String, String>,
    /// Observed object locations, oldest object first. A build that does not support the field ignores it and
    /// observes the locations again.
    #[serde(default, rename = "places")]
    pub object_locations: Vec<(ObjectKey, Observation)>,
    /// The ids of requests that are open or may have run. A build that does not support the field ignores it.
    #[serde(default, rename = "used", skip_serializing_if = "Vec::is_empty")]
    pub used_ids: Vec<RequestIdHash>,
}

/// A request of the handover actor to the core.
#[derive(Debug)]
pub enum HandoverRequest {
    /// Return the current time, and the endpoint list as discovery reported it.
    Describe(oneshot::Sender<(Micros, Vec<Endpoint>)>),
    /// Stop spending owned state, and return all of it.
    Freeze(oneshot::Sender<Box<HandoverState>>),
    /// Spend owned state again, after [`Freeze`](Self::Freeze).
    Resume(oneshot::Sender<()>),
    /// Continue with reset owned state, because another process owned it in the meantime.
    ServeWithoutState(oneshot::Sender<()>),
    /// Continue with the state that another process owned.
    TakeOver(Box<HandoverState>, oneshot::Sender<()>),
    /// Apply an admin command that the other process received.
    AdminCommand(AdminCommand),
    /// Record an object location that the other process observed.
    ObjectObserved(ObjectKey, Observation),
    /// Do not run a request of this id, which may run at the other process.
    IdUsed(RequestIdHash),
}
