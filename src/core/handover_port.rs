//! The core's channels to and from the handover actor.

use crate::core::admin::AdminCommand;
use crate::core::handover_request::HandoverRequest;
use crate::core::request_ids::RequestIdHash;
use rowanglade_object_locations::{ObjectKey, Observation};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// For how long after a handover both processes may serve clients: the platform ends the predecessor within 10 s.
const SHARED_SERVICE_TIME: Duration = Duration::from_secs(15);

/// The core's end of its channels to the handover actor.
#[derive(Debug)]
pub(super) struct HandoverPort {
    /// Requests of the handover actor.
    pub(super) requests: mpsc::Receiver<HandoverRequest>,
    admin_commands: mpsc::Sender<AdminCommand>,
    observations: mpsc::Sender<(ObjectKey, Observation)>,
    used_ids: mpsc::Sender<RequestIdHash>,
    /// Whether another process owns the state that was owned here.
    handed_over: bool,
    /// Until when the other process of a handover may get requests whose ids were used here.
    shares_ids_until: Option<Instant>,
}

impl HandoverPort {
    /// The port of a process that owns its state.
    pub(super) fn new(
        requests: mpsc::Receiver<HandoverRequest>,
        admin_commands: mpsc::Sender<AdminCommand>,
        observations: mpsc::Sender<(ObjectKey, Observation)>,
        used_ids: mpsc::Sender<RequestIdHash>,
    ) -> HandoverPort {
        HandoverPort {
            requests,
            admin_commands,
            observations,
            used_ids,
            handed_over: false,
            shares_ids_until: None,
        }
    }

    /// From now on, for as long as both processes of a handover may serve, [`send_used_id`](Self::send_used_id) has an
    /// effect.
    pub(super) fn start_sharing_ids(&mut self) {
        self.shares_ids_until = Some(Instant::now() + SHARED_SERVICE_TIME);
    }

    /// Forwards the id of a request that may run now to the other process of a handover, which must not run it again.
    pub(super) fn send_used_id(&self, id: &str) {
        if self.shares_ids_until.is_some_and(|until| Instant::now() < until)
            && self.used_ids.try_send(RequestIdHash::of(id)).is_err()
        {
            tracing::warn!(id, "request id not forwarded to the other process of the handover");
        }
    }

    /// Whether another process owns the state that was owned here.
    pub(super) fn is_handed_over(&self) -> bool {
        self.handed_over
    }

    pub(super) fn set_handed_over(&mut self, handed_over: bool) {
        self.handed_over = handed_over;
    }

    /// Forwards an applied admin command to the other process of a handover. Without another process it is
    /// dropped.
    pub(super) fn send_admin_command(&self, command: AdminCommand) {
        let _ = self.admin_commands.try_send(command);
    }

    /// Forwards an observed object location to the other process of a handover. Without another process, or
    /// while the channel is full, it is dropped: the other process then learns the location from a target's
    /// response.
    pub(super) fn send_observation(&self, observation: (ObjectKey, Observation)) {
        let _ = self.observations.try_send(observation);
    }
}
