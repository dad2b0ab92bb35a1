//! The contents of handover messages. They are sent between builds: their serialized form is stable.

use crate::core::{AdminCommand, HandoverState, RequestIdHash};
use crate::interface::Micros;
use crate::net::http::EndpointPage;
use rowanglade_handover::MessageKind;
use rowanglade_object_locations::{ObjectKey, Observation};
use serde::{Deserialize, Serialize};
use std::os::fd::OwnedFd;

/// State that the successor receives before it is ready. Parts of it may be out of date by the time that the
/// owned state arrives.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Welcome {
    /// The predecessor's clock in microseconds, which the successor continues.
    pub now: Micros,
    /// The endpoint list as discovery reported it.
    pub list: EndpointPage,
    /// The descriptors that the predecessor still uses.
    pub share: DescriptorShare,
    /// The names of the sockets whose descriptors are attached, in the same order.
    pub listeners: Vec<String>,
}

/// The part of the limits shared by both processes that the predecessor still uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DescriptorShare {
    /// The number of file descriptors.
    pub descriptors: usize,
}

/// A handover message. Absent contents are `None`; unknown fields from other builds are ignored.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Message {
    /// The protocol step; absent in messages that only carry an update.
    #[serde(rename = "word")]
    pub kind: Option<MessageKind>,
    /// Required with [`MessageKind::Welcome`].
    pub welcome: Option<Box<Welcome>>,
    /// Required with [`MessageKind::State`].
    #[serde(rename = "given")]
    pub state: Option<Box<HandoverState>>,
    /// An admin command that the sender has applied.
    #[serde(rename = "call")]
    pub admin_command: Option<AdminCommand>,
    /// An object location that the sender has observed.
    #[serde(rename = "seen")]
    pub object_observation: Option<(ObjectKey, Observation)>,
    /// The descriptors that a retired predecessor still uses.
    pub share: Option<DescriptorShare>,
    /// The id of a request that may run at the sender.
    #[serde(rename = "used", skip_serializing_if = "Option::is_none")]
    pub used_id: Option<RequestIdHash>,
}

/// The sockets on which clients and peers are served, by name.
#[derive(Debug, Default)]
pub struct Listeners(pub Vec<(String, OwnedFd)>);

impl Listeners {
    /// Removes and returns the socket of this name, if there is one.
    pub fn take(&mut self, name: &str) -> Option<OwnedFd> {
        let at = self.0.iter().position(|(listener, _)| listener == name)?;
        Some(self.0.swap_remove(at).1)
    }

    /// The names, in order.
    pub(super) fn names(&self) -> Vec<String> {
        self.0.iter().map(|(name, _)| name.clone()).collect()
    }

    /// Duplicates of the descriptors, in order.
    pub(super) fn duplicate(&self) -> std::io::Result<Vec<OwnedFd>> {
        self.0.iter().map(|(_, descriptor)| descriptor.try_clone()).collect()
    }
}
