//! The replies to the simulator, and the translation of the scheduler's actions to it.

use rowanglade::interface::{Action, Micros};
use rowanglade::names::Names;
use serde::Serialize;

/// The reply to a batch of events.
#[derive(Serialize)]
pub struct Reply {
    /// The actions, in the order in which they are carried out.
    #[serde(rename = "do")]
    pub actions: Vec<InitiatorAction>,
}

/// An action of one initiator.
#[derive(Serialize)]
pub struct InitiatorAction {
    #[serde(rename = "gateway-id")]
    initiator: u64,
    #[serde(flatten)]
    command: Command,
}

/// An action in the simulator's format.
#[derive(Serialize)]
#[serde(tag = "verb")]
enum Command {
    #[serde(rename = "Issue")]
    StartAttempt {
        #[serde(rename = "xid")]
        request: String,
        #[serde(rename = "try-for", skip_serializing_if = "Option::is_none")]
        timeout: Option<Micros>,
        #[serde(rename = "store")]
        target: String,
    },
    #[serde(rename = "Deny")]
    Reject {
        #[serde(rename = "xid")]
        request: String,
        #[serde(rename = "wait")]
        retry_after: Micros,
    },
    #[serde(rename = "RespondError")]
    Fail {
        #[serde(rename = "xid")]
        request: String,
    },
    #[serde(rename = "DropAttempt")]
    CancelAttempt {
        #[serde(rename = "xid")]
        request: String,
        #[serde(rename = "go")]
        attempt: u32,
    },
    #[serde(rename = "WakeAt")]
    SetTimer {
        token: u64,
        #[serde(rename = "offset")]
        after: Micros,
    },
    Subscribe {
        active: bool,
    },
    #[serde(rename = "Check")]
    Probe {
        #[serde(rename = "store")]
        target: String,
    },
    Panic {
        line: String,
    },
}

impl InitiatorAction {
    /// Reports that an initiator cannot start; `line` says why.
    pub fn start_failed(initiator: u64, line: String) -> InitiatorAction {
        InitiatorAction { initiator, command: Command::Panic { line } }
    }

    /// Subscribes to the changes of the endpoint list.
    pub fn subscribe(initiator: u64) -> InitiatorAction {
        InitiatorAction { initiator, command: Command::Subscribe { active: true } }
    }

    /// Requests a timer that is due `after` microseconds from now.
    pub fn set_timer(initiator: u64, token: u64, after: Micros) -> InitiatorAction {
        InitiatorAction { initiator, command: Command::SetTimer { token, after } }
    }

    /// Translates an action of the scheduler. `None`: the action has no counterpart on the wire, or names a
    /// request or target without a name.
    pub fn translate(initiator: u64, action: &Action, names: &mut Names) -> Option<InitiatorAction> {
        let command = match *action {
            Action::StartAttempt { id, target, timeout } => {
                names.attempt_sent(id);
                Command::StartAttempt {
                    request: names.request_name(id)?.to_string(),
                    timeout,
                    target: names.target_name(target)?.to_string(),
                }
            }
            Action::Reject { id, retry_after } => {
                let request = names.request_name(id)?.to_string();
                names.request_finished(id);
                Command::Reject { request, retry_after }
            }
            Action::Fail { id } => {
                let request = names.request_name(id)?.to_string();
                names.request_finished(id);
                Command::Fail { request }
            }
            Action::CancelAttempt { id, attempt } => {
                Command::CancelAttempt { request: names.request_name(id)?.to_string(), attempt: attempt.0 }
            }
            Action::SetTimer { token, after } => Command::SetTimer { token, after },
            // Initiators exchange no quota in the simulator.
            Action::QuotaNeeded { .. } | Action::QuotaOffered { .. } => return None,
            Action::Probe { target } => Command::Probe { target: names.target_name(target)?.to_string() },
        };
        Some(InitiatorAction { initiator, command })
    }
}
