//! The start of an initiator as the successor of another process, or without one.

use super::Error;
use crate::config::Config;
use crate::handover::{
    CoreUpdates, HandoverActor, HandoverControls, HandoverPaths, HandoverStart, Listeners, Welcome,
};

/// The result of contacting the predecessor.
pub struct HandoverSetup {
    /// Executes handovers, also to a later successor; absent where handover is disabled.
    pub actor: Option<HandoverActor>,
    /// The predecessor's sockets; empty if there is no predecessor.
    pub listeners: Listeners,
    /// State that the predecessor sends in advance; absent if there is no predecessor.
    pub welcome: Option<Box<Welcome>>,
}

impl HandoverSetup {
    /// Contacts the process of this initiator that serves, if there is one, and requests a handover.
    ///
    /// # Errors
    /// The predecessor uses another version of the handover protocol.
    pub async fn contact_predecessor(config: &Config) -> Result<HandoverSetup, Error> {
        let (actor, listeners, welcome) = match contact(config).await {
            None => (None, Listeners::default(), None),
            Some((_, HandoverStart::VersionMismatch { version })) => return Err(Error::Version(version)),
            Some((actor, HandoverStart::NoPredecessor)) => (Some(actor), Listeners::default(), None),
            Some((actor, HandoverStart::FromPredecessor(welcome, listeners))) => {
                (Some(actor), listeners, Some(welcome))
            }
        };
        Ok(HandoverSetup { actor, listeners, welcome })
    }
}

/// The handover actor together with what it needs to run.
pub struct HandoverTask {
    /// The actor, which is not running yet.
    pub actor: HandoverActor,
    /// The parts of this process that the actor controls.
    pub controls: HandoverControls,
    /// The core's updates for the other process.
    pub updates: CoreUpdates,
}

impl HandoverTask {
    /// Runs the actor until the process exits. The actor changes the phase to serving once this process owns
    /// the state.
    pub fn spawn(self) {
        actix_rt::spawn(self.actor.run(self.controls, self.updates));
    }
}

/// Contacts the process of this initiator that serves. `None`: handover is disabled, so this process can
/// neither replace another process nor be replaced.
async fn contact(config: &Config) -> Option<(HandoverActor, HandoverStart)> {
    // Handover needs the admin listener: only its health check shows operators when the successor serves.
    let folder = config.handover_dir.as_ref().filter(|_| config.admin.is_some())?;
    let started = match HandoverPaths::within(folder, &config.name) {
        Ok(paths) => HandoverActor::start(paths).await,
        Err(error) => Err(error),
    };
    started
        .inspect_err(|error| {
            tracing::warn!(folder = %folder.display(), %error, "handover disabled");
        })
        .ok()
}
