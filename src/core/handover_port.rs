//! The core's channels to and from the handover's actor.

use crate::core::admin::AdminCommand;
use crate::core::handover_request::HandoverRequest;
use rowanglade_object_locations::{ObjectKey, Observation};
use tokio::sync::mpsc;

/// The core's end of its channels to the handover's actor.
#[derive(Debug)]
pub(super) struct HandoverPort {
    /// What a handover asks of the core.
    pub(super) requests: mpsc::Receiver<HandoverRequest>,
    admin_commands: mpsc::Sender<AdminCommand>,
    sightings: mpsc::Sender<(ObjectKey, Observation)>,
    /// Another process owns what was owned here.
    handed_over: bool,
}

impl HandoverPort {
    /// Of a process that owns what it has.
    pub(super) fn new(
        requests: mpsc::Receiver<HandoverRequest>,
        admin_commands: mpsc::Sender<AdminCommand>,
        sightings: mpsc::Sender<(ObjectKey, Observation)>,
    ) -> HandoverPort {
        HandoverPort { requests, admin_commands, sightings, handed_over: false }
    }

    /// Whether another process owns what was owned here.
    pub(super) fn is_handed_over(&self) -> bool {
        self.handed_over
    }

    pub(super) fn set_handed_over(&mut self, handed_over: bool) {
        self.handed_over = handed_over;
    }

    /// Sends the other process an admin command that holds here. Without another process nobody takes it.
    pub(super) fn send_admin_command(&self, command: AdminCommand) {
        let _ = self.admin_commands.try_send(command);
    }

    /// Sends the other process the location at which an object was seen. Without another process nobody takes
    /// it; what finds no room is learned there by asking.
    pub(super) fn send_sighting(&self, sighting: (ObjectKey, Observation)) {
        let _ = self.sightings.try_send(sighting);
    }
}
