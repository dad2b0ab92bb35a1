//! The actor of an iSCSI-style target. It keeps a session to the target, in which this process is the
//! initiator.

mod commands;
mod replies;
mod session;
mod waiting;

use crate::core::{Clock, CoreHandle, Endpoint, Message, Protocol, TargetMessage};
use crate::interface::{EndpointUpdateKind, Outcome, TargetState};
use session::{Session, SessionEnd};
use std::io;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;
use waiting::WaitingMessages;

/// Messages that may wait for the actor. The scheduler's concurrency limit keeps the number far below this.
const MAILBOX_CAPACITY: usize = 256;
/// How long after a reported drain the actor connects to the target again, in case it is back.
const RECONNECT_DELAY: Duration = Duration::from_millis(1_000);

/// What all sessions to targets share.
#[derive(Clone, Debug)]
pub struct SessionSettings {
    /// The iSCSI name of this initiator.
    pub initiator: String,
    /// Names of the request classes, indexed by group number.
    pub classes: Vec<String>,
    /// How long opening a connection may take.
    pub connect_timeout: Duration,
    /// How long a login may take.
    pub login_timeout: Duration,
    /// A session with open commands that receives nothing for this long is pinged with a NOP-Out, and
    /// abandoned after as long again.
    pub silence_timeout: Duration,
    /// Number of logical blocks in one unit.
    pub blocks_per_unit: u32,
    /// The core's clock.
    pub clock: Clock,
}

/// Starts the actor of a target, which runs until its mailbox is dropped.
pub fn connect(
    endpoint: &Endpoint,
    settings: SessionSettings,
    core: CoreHandle,
) -> mpsc::Sender<TargetMessage> {
    let (mailbox, messages) = mpsc::channel(MAILBOX_CAPACITY);
    actix_rt::spawn(Target { endpoint: endpoint.clone(), settings, core, messages }.run());
    mailbox
}

/// The actor of a target.
struct Target {
    endpoint: Endpoint,
    settings: SessionSettings,
    core: CoreHandle,
    messages: mpsc::Receiver<TargetMessage>,
}

/// The core has dropped the target's mailbox.
struct MailboxClosed;

impl Target {
    async fn run(mut self) {
        while let Ok(waiting) = self.wait_for_work().await {
            if let Err(MailboxClosed) = self.run_session(waiting).await {
                return;
            }
        }
    }

    /// Whether the target was reported as draining. It then receives no new commands.
    fn is_draining(&self) -> bool {
        self.endpoint.state != TargetState::Active
    }

    /// Waits for the first message that needs a session. For a draining target it also returns after
    /// [`RECONNECT_DELAY`].
    async fn wait_for_work(&mut self) -> Result<WaitingMessages, MailboxClosed> {
        let draining = self.is_draining();
        let reconnect_at = Instant::now() + RECONNECT_DELAY;
        let mut waiting = WaitingMessages::default();
        while waiting.is_empty() {
            tokio::select! {
                message = self.messages.recv() => match message {
                    // There is no session that a suspension could end.
                    Some(TargetMessage::SetSuspended(_)) => {}
                    // The message was sent just before the drain was reported; a draining target receives no
                    // new commands.
                    Some(message) if draining => waiting::report_unsent(message, Outcome::Unreachable),
                    Some(message) => waiting.push(message),
                    None => return Err(MailboxClosed),
                },
                () = tokio::time::sleep_until(reconnect_at), if draining => break,
            }
        }
        Ok(waiting)
    }

    /// Opens a session and runs it until it ends.
    async fn run_session(&mut self, mut waiting: WaitingMessages) -> Result<(), MailboxClosed> {
        let draining = self.is_draining();
        let session = match self.open_session(&mut waiting).await {
            Ok(session) => session,
            Err(error) => {
                tracing::debug!(target = self.endpoint.name, %error, "session not opened");
                self.report_all_unreachable(waiting);
                return Ok(());
            }
        };
        if draining {
            self.report_state(TargetState::Active).await;
        }
        match session.run(self, waiting).await {
            SessionEnd::MailboxClosed => return Err(MailboxClosed),
            SessionEnd::LoggedOut => {}
            SessionEnd::Broken(error) => {
                tracing::info!(target = self.endpoint.name, %error, "session broken");
            }
        }
        Ok(())
    }

    /// Opens a session. Messages that are cancelled or time out while they wait for it are reported at once.
    async fn open_session(&mut self, waiting: &mut WaitingMessages) -> io::Result<Session> {
        let Target { endpoint, settings, messages, .. } = self;
        let open = Session::open(endpoint, settings);
        tokio::pin!(open);
        loop {
            tokio::select! {
                biased;
                index = waiting.expired() => waiting.report_expired(index),
                message = messages.recv(), if waiting.len() < MAILBOX_CAPACITY => match message {
                    Some(TargetMessage::SetSuspended(_)) => {}
                    Some(message) => waiting.push(message),
                    None => return Err(io::Error::other("the core dropped the target's mailbox")),
                },
                session = &mut open => return session,
            }
        }
    }

    /// Reports all messages that waited for a session as unreachable; none of them was sent.
    fn report_all_unreachable(&mut self, mut waiting: WaitingMessages) {
        while let Ok(message) = self.messages.try_recv() {
            waiting.push(message);
        }
        for message in waiting.into_messages() {
            waiting::report_unsent(message, Outcome::Unreachable);
        }
    }

    /// Reports a state of the target that its session revealed to the core's endpoint list. A target that is
    /// back counts as just started.
    async fn report_state(&mut self, state: TargetState) {
        self.endpoint.state = state;
        if state == TargetState::Active {
            // The core's own clock: a step of the wall clock must not shift the start far into the past or
            // future.
            self.endpoint.started = Some(self.settings.clock.now());
        }
        let entries = vec![self.endpoint.clone()];
        self.core.send(Message::endpoints(Protocol::Iscsi, EndpointUpdateKind::Delta, entries)).await;
    }
}
