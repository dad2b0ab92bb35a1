//! The channels between the core, the admin listener and the handover actor.

use crate::core::{AdminCommand, AdminRequest, HandoverRequest, RequestIdHash};
use crate::net::admin;
use rowanglade_object_locations::{ObjectKey, Observation};
use tokio::sync::mpsc;

/// Operators' commands that may wait for the core, and equally many handover requests.
const REQUEST_CAPACITY: usize = admin::MAX_CALLS;

/// Object locations that may wait for the other process: more than are observed in one second of a handover.
const OBJECT_OBSERVATION_CAPACITY: usize = 1_024;

/// Ids of requests that may wait for the other process: more than start in one second of a handover.
const USED_ID_CAPACITY: usize = 8_192;

/// The sender and the receiver of a channel.
pub struct Channel<T> {
    /// The end that sends messages.
    pub sender: mpsc::Sender<T>,
    /// The end that receives messages.
    pub receiver: mpsc::Receiver<T>,
}

impl<T> Channel<T> {
    fn with_capacity(capacity: usize) -> Channel<T> {
        let (sender, receiver) = mpsc::channel(capacity);
        Channel { sender, receiver }
    }
}

/// The channels, named after their messages.
pub struct CoreChannels {
    /// From the admin listener to the core.
    pub admin_requests: Channel<AdminRequest>,
    /// From the handover actor to the core.
    pub handover_requests: Channel<HandoverRequest>,
    /// From the core to the handover actor, which forwards them to the other process.
    pub admin_commands: Channel<AdminCommand>,
    /// From the core to the handover actor, which forwards them to the other process.
    pub object_observations: Channel<(ObjectKey, Observation)>,
    /// From the core to the handover actor, which forwards them to the other process.
    pub used_ids: Channel<RequestIdHash>,
}

impl CoreChannels {
    /// Creates the channels, all empty.
    pub fn new() -> CoreChannels {
        CoreChannels {
            admin_requests: Channel::with_capacity(REQUEST_CAPACITY),
            handover_requests: Channel::with_capacity(REQUEST_CAPACITY),
            admin_commands: Channel::with_capacity(REQUEST_CAPACITY),
            object_observations: Channel::with_capacity(OBJECT_OBSERVATION_CAPACITY),
            used_ids: Channel::with_capacity(USED_ID_CAPACITY),
        }
    }
}
