//! What the messages between two processes carry. They are messages between two builds: their form stays.

use crate::core::{AdminCommand, HandoverState};
use crate::interface::Micros;
use crate::net::http::EndpointPage;
use rowanglade_handover::MessageKind;
use rowanglade_object_locations::{ObjectKey, Observation};
use serde::{Deserialize, Serialize};
use std::os::fd::OwnedFd;

/// What may be known early. It is out of date by the time that the state comes, but for what does not change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Welcome {
    /// The predecessor's time in microseconds, on whose clock the successor goes on.
    pub now: Micros,
    /// The endpoint list, as discovery reported it.
    pub list: EndpointPage,
    /// What the predecessor still uses.
    pub share: DescriptorShare,
    /// What the descriptors that come along are, in their order.
    pub listeners: Vec<String>,
}

/// Of what both processes count together, the part that the predecessor still uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DescriptorShare {
    /// File descriptors.
    pub descriptors: usize,
}

/// A message. What it does not carry is absent; fields that another build adds are passed over.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Message {
    /// A step of the protocol.
    #[serde(rename = "word")]
    pub kind: Option<MessageKind>,
    /// Goes with [`MessageKind::Welcome`].
    pub welcome: Option<Box<Welcome>>,
    /// Goes with [`MessageKind::State`].
    #[serde(rename = "given")]
    pub state: Option<Box<HandoverState>>,
    /// An admin command that came to the other process.
    #[serde(rename = "call")]
    pub admin_command: Option<AdminCommand>,
    /// Where an object was seen by the other process.
    #[serde(rename = "seen")]
    pub object_observation: Option<(ObjectKey, Observation)>,
    /// The predecessor uses less than before.
    pub share: Option<DescriptorShare>,
}

/// The sockets that clients and peers are served on, by name.
#[derive(Debug, Default)]
pub struct Listeners(pub Vec<(String, OwnedFd)>);

impl Listeners {
    /// Takes the socket of this name, if there is one.
    pub fn take(&mut self, name: &str) -> Option<OwnedFd> {
        let at = self.0.iter().position(|(listener, _)| listener == name)?;
        Some(self.0.swap_remove(at).1)
    }

    /// Their names, in order.
    pub(super) fn names(&self) -> Vec<String> {
        self.0.iter().map(|(name, _)| name.clone()).collect()
    }

    /// Copies of the descriptors, in order.
    pub(super) fn duplicate(&self) -> std::io::Result<Vec<OwnedFd>> {
        self.0.iter().map(|(_, descriptor)| descriptor.try_clone()).collect()
    }
}
