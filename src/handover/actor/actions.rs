//! Executes the actions of the handover state machine.

use super::HandoverActor;
use crate::core::HandoverRequest;
use crate::handover::message::Message;
use crate::net::Phase;
use rowanglade_handover::{Action, Event, LinkId, MessageKind};
use std::io;
use tokio::time::Instant;

impl HandoverActor {
    pub(super) async fn execute(&mut self, action: Action) -> io::Result<()> {
        match action {
            Action::TryLock => {
                let acquired = self.lock.try_acquire()?;
                self.handle(if acquired { Event::LockAcquired } else { Event::LockUnavailable });
            }
            Action::Unlock => self.lock.release()?,
            Action::Connect => self.connect().await,
            Action::Send(link, kind) => self.send(link, kind).await?,
            Action::Close(link) => self.links.close(link),
            Action::SetTimer(after) => self.timer = Some(Instant::now() + after),
            Action::Prepare => {}
            Action::Serve { with_state } => self.serve(with_state).await?,
            Action::Freeze => self.freeze().await,
            Action::Resume => self.resume().await,
            Action::Retire => self.retire(),
            Action::ServeWithoutState => self.serve_without_state().await?,
            Action::RejectVersion { version } => {
                tracing::error!(version, "handover protocol version not supported")
            }
        }
        Ok(())
    }

    async fn connect(&mut self) {
        let stream = self.paths.connect().await.ok();
        let link = stream.and_then(|stream| self.link_to(stream));
        self.handle(link.map_or(Event::ConnectFailed, Event::Connected));
    }

    async fn serve(&mut self, with_state: bool) -> io::Result<()> {
        let state = self.received_state.take().filter(|_| with_state);
        if let (Some(controls), Some(state)) = (&self.controls, state) {
            controls.request(|done| HandoverRequest::TakeOver(state, done)).await;
        }
        self.accept_successors()
    }

    async fn freeze(&mut self) {
        if let Some(controls) = &self.controls {
            controls.set_phase(Phase::Preparing);
            self.frozen_state = controls.request(HandoverRequest::Freeze).await;
        }
    }

    async fn resume(&mut self) {
        if let Some(controls) = &self.controls {
            controls.request(HandoverRequest::Resume).await;
            controls.set_phase(Phase::Serving);
            controls.release_reservation();
        }
    }

    fn retire(&mut self) {
        (self.listener, self.frozen_state) = (None, None);
        if let Some(controls) = &self.controls {
            controls.retire();
        }
        self.send_share();
        tracing::info!("handover completed, finishing open requests");
    }

    async fn serve_without_state(&mut self) -> io::Result<()> {
        tracing::warn!("successor lost, serving again");
        if let Some(controls) = &self.controls {
            controls.request(HandoverRequest::ServeWithoutState).await;
        }
        self.accept_successors()?;
        if let Some(controls) = &self.controls {
            controls.release_reservation();
        }
        Ok(())
    }

    /// Starts serving, and accepts connections from the next successor.
    fn accept_successors(&mut self) -> io::Result<()> {
        if let Some(controls) = &self.controls {
            controls.set_phase(Phase::Serving);
        }
        self.listener = Some(self.paths.bind()?);
        Ok(())
    }

    /// Sends a protocol message with the contents required by its kind.
    async fn send(&mut self, link: LinkId, kind: MessageKind) -> io::Result<()> {
        let mut message = Message { kind: Some(kind), ..Message::default() };
        let mut descriptors = Vec::new();
        match kind {
            MessageKind::Welcome => {
                let Some(controls) = &self.controls else { return Ok(()) };
                let Some(welcome) = controls.welcome().await else { return Ok(()) };
                descriptors = controls.listeners.duplicate()?;
                message.welcome = Some(Box::new(welcome));
            }
            MessageKind::State => message.state = self.frozen_state.clone(),
            _ => {}
        }
        self.links.send(link, message, descriptors).await;
        Ok(())
    }

    /// Reports to the successor how many descriptors this process still uses.
    pub(super) fn send_share(&self) {
        let Some(controls) = &self.controls else { return };
        let share = Some(controls.retired_share());
        self.links.broadcast(&Message { share, ..Message::default() });
    }
}
