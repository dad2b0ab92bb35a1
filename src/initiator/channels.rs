//! The channels between the core, the admin listener and the handover's actor.

use crate::core::{AdminCommand, AdminRequest, HandoverRequest};
use crate::net::admin;
use rowanglade_object_locations::{ObjectKey, Observation};
use tokio::sync::mpsc;

/// Operators' commands that may wait for the core, and as many requests of a handover.
const REQUESTS: usize = admin::MAX_CALLS;

/// Object locations that may wait for the other process: more than a handover's second brings.
const OBJECT_SIGHTINGS: usize = 1_024;

/// Both ends of a channel.
pub struct Channel<T> {
    /// Where messages are sent.
    pub sender: mpsc::Sender<T>,
    /// Where they arrive.
    pub receiver: mpsc::Receiver<T>,
}

impl<T> Channel<T> {
    fn with_capacity(messages: usize) -> Channel<T> {
        let (sender, receiver) = mpsc::channel(messages);
        Channel { sender, receiver }
    }
}

/// The channels, by what they carry.
pub struct CoreChannels {
    /// From the admin listener to the core.
    pub admin_requests: Channel<AdminRequest>,
    /// From the handover's actor to the core.
    pub handover_requests: Channel<HandoverRequest>,
    /// From the core to the other process.
    pub admin_commands: Channel<AdminCommand>,
    /// From the core to the other process.
    pub object_observations: Channel<(ObjectKey, Observation)>,
}

impl CoreChannels {
    /// Channels that carry nothing yet.
    pub fn new() -> CoreChannels {
        CoreChannels {
            admin_requests: Channel::with_capacity(REQUESTS),
            handover_requests: Channel::with_capacity(REQUESTS),
            admin_commands: Channel::with_capacity(REQUESTS),
            object_observations: Channel::with_capacity(OBJECT_SIGHTINGS),
        }
    }
}
