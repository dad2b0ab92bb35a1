//! The handover actor: passes events to the handover state machine and executes its actions.

mod actions;

use super::controls::HandoverControls;
use super::links::{LinkInput, Links};
use super::message::{Listeners, Message, Welcome};
use super::paths::{HandoverPaths, OwnershipLock};
use crate::core::{AdminCommand, HandoverRequest, HandoverState, RequestIdHash};
use crate::net::accept::{AcceptFailures, pause};
use rowanglade_handover::{Action, Event, Handover, LinkId, MessageKind};
use rowanglade_object_locations::{ObjectKey, Observation};
use std::collections::VecDeque;
use std::io;
use std::os::fd::OwnedFd;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tokio::time::Instant;

/// How often a retired predecessor reports the descriptors that it still uses.
const SHARE_INTERVAL: Duration = Duration::from_millis(100);

/// The situation in which this process starts.
#[derive(Debug)]
pub enum HandoverStart {
    /// No other process of this initiator serves.
    NoPredecessor,
    /// Another process serves, and hands over once this one is ready.
    FromPredecessor(Box<Welcome>, Listeners),
    /// Another process serves, and uses another version of the handover protocol.
    VersionMismatch {
        /// The other process's protocol version.
        version: u32,
    },
}

/// Updates from the core for the other process.
#[derive(Debug)]
pub struct CoreUpdates {
    /// Admin commands that the core has applied.
    pub admin_commands: mpsc::Receiver<AdminCommand>,
    /// Object locations that the core has observed.
    pub object_observations: mpsc::Receiver<(ObjectKey, Observation)>,
    /// Ids of requests that may run here.
    pub used_ids: mpsc::Receiver<RequestIdHash>,
}

/// The handover actor.
#[derive(Debug)]
pub struct HandoverActor {
    machine: Handover,
    /// Actions to execute before the next event is handled.
    actions: VecDeque<Action>,
    paths: HandoverPaths,
    lock: OwnershipLock,
    /// Accepts connections from successors; absent while this process is not the owner.
    listener: Option<UnixListener>,
    accept_failures: AcceptFailures,
    links: Links,
    /// When to report [`Event::TimerFired`]; absent while no timer is set.
    timer: Option<Instant>,
    /// The welcome message from the predecessor, until it is used.
    welcome: Option<(Box<Welcome>, Listeners)>,
    received_state: Option<Box<HandoverState>>,
    /// The state owned here, kept until it has been sent to the successor.
    frozen_state: Option<Box<HandoverState>>,
    /// The other process's admin commands and observed object locations, to be forwarded to the core.
    core_requests: VecDeque<HandoverRequest>,
    /// The parts of this process that a handover controls; absent until it has everything that it needs to
    /// serve.
    controls: Option<HandoverControls>,
}

impl HandoverActor {
    /// Determines whether another process of this initiator serves, and if so, receives its welcome message.
    ///
    /// # Errors
    /// The lock cannot be opened or tried, or the socket cannot be bound.
    pub async fn start(paths: HandoverPaths) -> io::Result<(HandoverActor, HandoverStart)> {
        let lock = paths.open_lock()?;
        let (machine, actions) = Handover::start();
        let mut actor = HandoverActor {
            machine,
            actions: actions.into(),
            paths,
            lock,
            listener: None,
            accept_failures: AcceptFailures::default(),
            links: Links::new(),
            timer: None,
            welcome: None,
            received_state: None,
            frozen_state: None,
            core_requests: VecDeque::new(),
            controls: None,
        };
        loop {
            while let Some(action) = actor.actions.pop_front() {
                if let Some(start) = actor.execute_startup_action(action).await? {
                    return Ok((actor, start));
                }
            }
            actor.next_event().await;
        }
    }

    /// Executes an action. Returns how the process starts as soon as the action determines it.
    async fn execute_startup_action(&mut self, action: Action) -> io::Result<Option<HandoverStart>> {
        match action {
            Action::Serve { .. } => {
                // It is executed once the process has everything that it needs to serve.
                self.actions.push_front(action);
                Ok(Some(HandoverStart::NoPredecessor))
            }
            Action::Prepare => {
                let welcome = self.welcome.take();
                Ok(welcome.map(|(welcome, listeners)| HandoverStart::FromPredecessor(welcome, listeners)))
            }
            Action::RejectVersion { version } => Ok(Some(HandoverStart::VersionMismatch { version })),
            other => self.execute(other).await.map(|()| None),
        }
    }

    /// Runs the actor; does not return.
    pub async fn run(mut self, controls: HandoverControls, mut updates: CoreUpdates) {
        let mut ready = controls.ready.clone();
        self.controls = Some(controls);
        let mut prepared = false;
        let mut share_timer = tokio::time::interval(SHARE_INTERVAL);
        loop {
            self.execute_all().await;
            tokio::select! {
                Some(observation) = updates.object_observations.recv() => {
                    self.links.broadcast(&Message { object_observation: Some(observation), ..Message::default() });
                }
                Some(id) = updates.used_ids.recv() => {
                    self.links.broadcast(&Message { used_id: Some(id), ..Message::default() });
                }
                Some(command) = updates.admin_commands.recv() => {
                    self.links.broadcast(&Message { admin_command: Some(command), ..Message::default() });
                }
                Ok(_) = ready.wait_for(|ready| *ready), if !prepared => {
                    prepared = true;
                    self.handle(Event::Prepared);
                }
                _ = share_timer.tick(), if self.machine.is_retired() => self.send_share(),
                () = self.next_event() => {}
            }
        }
    }

    /// Executes all pending actions, then forwards to the core what the other process sent.
    async fn execute_all(&mut self) {
        while let Some(action) = self.actions.pop_front() {
            if let Err(error) = self.execute(action).await {
                tracing::warn!(%error, ?action, "handover action failed");
            }
        }
        while let Some(request) = self.core_requests.pop_front() {
            if let Some(controls) = &self.controls {
                controls.notify(request).await;
            }
        }
    }

    /// Passes an event to the state machine and queues the resulting actions.
    fn handle(&mut self, event: Event) {
        self.actions.extend(self.machine.handle(event));
    }

    /// Waits for the next event and handles it. Cancel safe.
    async fn next_event(&mut self) {
        let timer = self.timer;
        let timer_fired = async {
            match timer {
                Some(at) => tokio::time::sleep_until(at).await,
                None => std::future::pending().await,
            }
        };
        let listener = self.listener.as_ref();
        let accepted = async {
            match listener {
                Some(listener) => listener.accept().await,
                None => std::future::pending().await,
            }
        };
        let event = tokio::select! {
            Some(input) = self.links.next_input() => self.handle_input(input),
            accepted = accepted => match accepted {
                Ok((stream, _)) => self.link_to(stream).map(Event::Accepted),
                Err(error) => {
                    self.wait_after_failure(&error).await;
                    None
                }
            },
            () = timer_fired => {
                self.timer = None;
                Some(Event::TimerFired)
            }
        };
        if let Some(event) = event {
            self.handle(event);
        }
    }

    /// Opens a link over a stream. `None`: the peer process is not trusted.
    fn link_to(&mut self, stream: UnixStream) -> Option<LinkId> {
        self.paths.is_trusted_peer(&stream).then(|| self.links.open(stream))
    }

    /// Pauses after a failed accept, so that repeated failures do not occupy the thread.
    async fn wait_after_failure(&mut self, error: &io::Error) {
        pause(self.accept_failures.record_failure(error, "a successor")).await;
    }

    fn handle_input(&mut self, input: LinkInput) -> Option<Event> {
        match input {
            LinkInput::Received(link, message, descriptors) => {
                self.handle_message(link, *message, descriptors)
            }
            LinkInput::Closed(link) => Some(self.link_closed(link)),
        }
    }

    /// Stores the contents of a message. `None`: the message has no protocol step for the state machine.
    fn handle_message(&mut self, link: LinkId, message: Message, descriptors: Vec<OwnedFd>) -> Option<Event> {
        let Message { kind, welcome, state, admin_command, object_observation, share, used_id } = message;
        self.core_requests.extend(admin_command.map(HandoverRequest::AdminCommand));
        self.core_requests.extend(
            object_observation
                .map(|(object, observation)| HandoverRequest::ObjectObserved(object, observation)),
        );
        self.core_requests.extend(used_id.map(HandoverRequest::IdUsed));
        if let (Some(share), Some(controls)) = (share, &self.controls) {
            controls.reserve_for_peer_process(share);
        }
        let kind = kind?;
        // A message that lacks the contents required by its kind is invalid, and the link is closed.
        match kind {
            MessageKind::Welcome => {
                match welcome.filter(|welcome| welcome.listeners.len() == descriptors.len()) {
                    Some(welcome) => {
                        let listeners = welcome.listeners.iter().cloned().zip(descriptors).collect();
                        self.welcome = Some((welcome, Listeners(listeners)));
                    }
                    None => return Some(self.link_closed(link)),
                }
            }
            MessageKind::State => match state {
                Some(state) => self.received_state = Some(state),
                None => return Some(self.link_closed(link)),
            },
            _ => {}
        }
        Some(Event::Received(link, kind))
    }

    fn link_closed(&mut self, link: LinkId) -> Event {
        self.links.close(link);
        if let (true, Some(controls)) = (self.machine.is_owner(), &self.controls) {
            controls.release_reservation();
        }
        Event::LinkClosed(link)
    }
}
