//! What an initiator has from the process that it replaces.

use super::Error;
use crate::config::Config;
use crate::handover::{
    CoreUpdates, HandoverActor, HandoverControls, HandoverPaths, HandoverStart, Listeners, Welcome,
};

/// What this process has from its predecessor.
pub struct Received {
    /// Carries out handovers, also to a successor; none where no process can replace this one.
    pub actor: Option<HandoverActor>,
    /// The predecessor's sockets.
    pub listeners: Listeners,
    /// What may be known early of the predecessor's state; none where there is no predecessor.
    pub welcome: Option<Box<Welcome>>,
}

impl Received {
    /// Looks for a process of this initiator that serves, and asks it to hand over.
    ///
    /// # Errors
    /// There is one, and it hands over by another version of the protocol.
    pub async fn from_predecessor(config: &Config) -> Result<Received, Error> {
        let (actor, listeners, welcome) = match contact(config).await {
            None => (None, Listeners::default(), None),
            Some((_, HandoverStart::VersionMismatch { version })) => return Err(Error::Version(version)),
            Some((actor, HandoverStart::Alone)) => (Some(actor), Listeners::default(), None),
            Some((actor, HandoverStart::Welcomed(welcome, listeners))) => {
                (Some(actor), listeners, Some(welcome))
            }
        };
        Ok(Received { actor, listeners, welcome })
    }
}

/// The handover's actor with all that it runs with.
pub struct HandoverTask {
    /// The actor, which has not begun to run.
    pub actor: HandoverActor,
    /// What it turns.
    pub controls: HandoverControls,
    /// What it passes on to the other process.
    pub updates: CoreUpdates,
}

impl HandoverTask {
    /// Runs the actor for as long as the process does. It changes the phase once this process owns what its
    /// predecessor had.
    pub fn spawn(self) {
        actix_rt::spawn(self.actor.run(self.controls, self.updates));
    }
}

/// Contacts the process of this initiator that serves. `None`: this process can neither replace nor be
/// replaced.
async fn contact(config: &Config) -> Option<(HandoverActor, HandoverStart)> {
    // Without an admin listener nobody would learn when the successor serves.
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
