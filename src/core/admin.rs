//! Operators' commands to the core.

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// An operator's command for one target, given by name. Sent between builds during a handover: its serialized
/// form is stable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdminCommand {
    /// Take the target out of service for maintenance.
    Maint(String),
    /// Return the target to service.
    Ready(String),
}

impl AdminCommand {
    /// The name of the target.
    pub fn target(&self) -> &str {
        match self {
            AdminCommand::Maint(target) | AdminCommand::Ready(target) => target,
        }
    }
}

/// An operator's command, and where its result is sent.
#[derive(Debug)]
pub struct AdminRequest {
    /// The command to apply.
    pub command: AdminCommand,
    /// Receives one result: true once the command is in effect, false if no target of that name is known.
    pub reply: oneshot::Sender<bool>,
}
