//! What operators ask of the core.

use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

/// What operators ask of one target, which they name. A message between two builds: its form stays.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AdminCommand {
    /// It is to be taken out for maintenance.
    Maint(String),
    /// It may serve again.
    Ready(String),
}

impl AdminCommand {
    /// The target's name.
    pub fn target(&self) -> &str {
        match self {
            AdminCommand::Maint(target) | AdminCommand::Ready(target) => target,
        }
    }
}

/// An operator's command, and where its answer goes.
#[derive(Debug)]
pub struct AdminRequest {
    /// What is asked.
    pub command: AdminCommand,
    /// Told once what is asked for holds; false: no target has that name.
    pub reply: oneshot::Sender<bool>,
}
