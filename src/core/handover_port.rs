//! The core's channels to and from the handover actor.

use crate::core::admin::AdminCommand;
use crate::core::handover_request::HandoverRequest;
use rowanglade_object_locations::{ObjectKey, Observation};
use tokio::sync::mpsc;

/// The core's end of its channels to the handover actor.
#[derive(Debug)]
pub(super) struct HandoverPort {
    /// Requests of the handover actor.
    pub(super) requests: mpsc::Receiver<HandoverRequest>,
    admin_commands: mpsc::Sender<AdminCommand>,
    observations: mpsc::Sender<(ObjectKey, Observation)>,
    /// Whether another process owns the state that was owned here.
    handed_over: bool,
}

impl HandoverPort {
    /// The port of a process that owns its state.
    pub(super) fn new(
        requests: mpsc::Receiver<HandoverRequest>,
        admin_commands: mpsc::Sender<AdminCommand>,
        observations: mpsc::Sender<(ObjectKey, Observation)>,
    ) -> HandoverPort {
        HandoverPort { requests, admin_commands, observations, handed_over: false }
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
