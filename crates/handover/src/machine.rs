//! The handover state machine, for both sides.

use crate::protocol::{LinkId, MessageKind, VERSION};
use crate::timeouts::{CONFIRM_TIMEOUT, READY_TIMEOUT, RETRY_DELAY};
use std::time::Duration;

/// An input of the state machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// This process tried the lock and now holds it.
    LockAcquired,
    /// This process tried the lock, and another process holds it.
    LockUnavailable,
    /// A connection to the serving process was established.
    Connected(LinkId),
    /// A connection to the serving process could not be established.
    ConnectFailed,
    /// Another process connected to this one.
    Accepted(LinkId),
    /// A message arrived.
    Received(LinkId, MessageKind),
    /// A link broke, or data arrived on it that is not a valid message.
    LinkClosed(LinkId),
    /// This process, a successor, has everything that it needs to serve except for the state.
    Prepared,
    /// The timer set by [`Action::SetTimer`] has expired.
    TimerFired,
}

/// An output of the state machine, to be executed by its driver.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Try to acquire the lock, and report [`Event::LockAcquired`] or [`Event::LockUnavailable`].
    TryLock,
    /// Release the lock.
    Unlock,
    /// Connect to the serving process, and report [`Event::Connected`] or [`Event::ConnectFailed`].
    Connect,
    /// Send a message.
    Send(LinkId, MessageKind),
    /// Close a link.
    Close(LinkId),
    /// Report [`Event::TimerFired`] after this time, replacing a timer set before.
    SetTimer(Duration),
    /// Prepare to serve with the contents of the welcome message, and report [`Event::Prepared`].
    Prepare,
    /// Serve as the owner.
    Serve {
        /// Whether with the predecessor's state; otherwise without state, like a process that was just
        /// started.
        with_state: bool,
    },
    /// Stop accepting clients and spending. The owned state is sent with [`MessageKind::State`].
    Freeze,
    /// Accept clients and spend again: the state was not handed over.
    Resume,
    /// Finish the open requests: the successor now owns the state.
    Retire,
    /// Accept clients and spend again, without state: the successor owned it in the meantime, and is dead.
    ServeWithoutState,
    /// Report that the predecessor uses an unsupported protocol version, so this process cannot take over.
    RejectVersion {
        /// The predecessor's protocol version.
        version: u32,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    /// Trying the lock; if it is held, connecting to its holder.
    Seeking,
    /// `Hello` is sent.
    AwaitingWelcome(LinkId),
    /// `Welcome` was received; this process prepares to serve.
    Preparing(LinkId),
    /// `Ready` is sent.
    Ready(LinkId),
    /// The state was received, but this process does not own it yet.
    AwaitingOwnership(LinkId),
    /// `OwnershipGranted` was received; this process acquires the lock.
    AcquiringLock,
    Owner(Option<Successor>),
    /// This process has handed the state over. Holds the link to its successor until that breaks.
    Retired(Option<LinkId>),
    Failed,
}

/// A successor to which this process is handing over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Successor {
    link: LinkId,
    /// Whether the state is frozen and has been sent.
    state_sent: bool,
}

/// One process's side of handovers: at first as a successor, then as an owner that may hand over in turn.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Handover {
    state: State,
    prepared: bool,
    version: u32,
}

impl Handover {
    /// The state machine of a process that has just started, with its first actions.
    pub fn start() -> (Handover, Vec<Action>) {
        Handover::with_version(VERSION)
    }

    /// As [`start`](Self::start), with another protocol version.
    pub fn with_version(version: u32) -> (Handover, Vec<Action>) {
        (Handover { state: State::Seeking, prepared: false, version }, vec![Action::TryLock])
    }

    /// Whether this process may accept clients and spend owned units.
    pub fn is_owner(&self) -> bool {
        matches!(self.state, State::Owner(None | Some(Successor { state_sent: false, .. })))
    }

    /// Whether this process has handed everything over.
    pub fn is_retired(&self) -> bool {
        matches!(self.state, State::Retired(_))
    }

    /// Handles an event, and returns the actions to execute, in order.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        if event == Event::Prepared {
            self.prepared = true;
        }
        let actions = match self.state {
            State::Seeking => self.handle_seeking(event),
            State::AwaitingWelcome(link) => self.handle_awaiting_welcome(link, event),
            State::Preparing(link) => self.handle_preparing(link, event),
            State::Ready(link) => self.handle_ready(link, event),
            State::AwaitingOwnership(link) => self.handle_awaiting_ownership(link, event),
            State::AcquiringLock => self.handle_acquiring_lock(event),
            State::Owner(None) => self.handle_owner(event),
            State::Owner(Some(successor)) => self.handle_handing_over(successor, event),
            State::Retired(link) => self.handle_retired(link, event),
            State::Failed => None,
        };
        actions.unwrap_or_else(|| reject_or_ignore(event))
    }

    // Each of these functions handles the events that are expected in one state, and returns `None` for all
    // other events.

    fn handle_seeking(&mut self, event: Event) -> Option<Vec<Action>> {
        match event {
            Event::LockAcquired => {
                Some(self.transition(State::Owner(None), vec![Action::Serve { with_state: false }]))
            }
            Event::LockUnavailable => Some(vec![Action::Connect]),
            Event::Connected(link) => {
                let hello = MessageKind::Hello { version: self.version };
                Some(self.transition(State::AwaitingWelcome(link), vec![Action::Send(link, hello)]))
            }
            Event::ConnectFailed => Some(vec![Action::SetTimer(RETRY_DELAY)]),
            Event::TimerFired => Some(vec![Action::TryLock]),
            _ => None,
        }
    }

    fn handle_awaiting_welcome(&mut self, link: LinkId, event: Event) -> Option<Vec<Action>> {
        match input_on(link, event)? {
            // This process has already prepared to serve in an earlier attempt and needs only the state.
            LinkInput::Message(MessageKind::Welcome) if self.prepared => Some(self.send_ready(link)),
            LinkInput::Message(MessageKind::Welcome) => {
                Some(self.transition(State::Preparing(link), vec![Action::Prepare]))
            }
            LinkInput::Message(MessageKind::Busy) => {
                let actions = vec![Action::Close(link), Action::SetTimer(RETRY_DELAY)];
                Some(self.transition(State::Seeking, actions))
            }
            LinkInput::Message(MessageKind::VersionMismatch { version }) => {
                let actions = vec![Action::Close(link), Action::RejectVersion { version }];
                Some(self.transition(State::Failed, actions))
            }
            LinkInput::Message(_) => None,
            LinkInput::Closed => Some(self.seek_again()),
        }
    }

    fn handle_preparing(&mut self, link: LinkId, event: Event) -> Option<Vec<Action>> {
        if event == Event::Prepared {
            return Some(self.send_ready(link));
        }
        match input_on(link, event)? {
            LinkInput::Message(_) => None,
            LinkInput::Closed => Some(self.seek_again()),
        }
    }

    fn handle_ready(&mut self, link: LinkId, event: Event) -> Option<Vec<Action>> {
        match input_on(link, event)? {
            LinkInput::Message(MessageKind::State) => {
                let actions = vec![Action::Send(link, MessageKind::StateReceived)];
                Some(self.transition(State::AwaitingOwnership(link), actions))
            }
            LinkInput::Message(_) => None,
            LinkInput::Closed => Some(self.seek_again()),
        }
    }

    fn handle_awaiting_ownership(&mut self, link: LinkId, event: Event) -> Option<Vec<Action>> {
        match input_on(link, event)? {
            LinkInput::Message(MessageKind::OwnershipGranted) => {
                Some(self.transition(State::AcquiringLock, vec![Action::TryLock]))
            }
            LinkInput::Message(_) => None,
            LinkInput::Closed => Some(self.seek_again()),
        }
    }

    fn handle_acquiring_lock(&mut self, event: Event) -> Option<Vec<Action>> {
        match event {
            Event::LockAcquired => {
                Some(self.transition(State::Owner(None), vec![Action::Serve { with_state: true }]))
            }
            // Another process has acquired the lock after ownership was granted to this one, which now has to
            // request a handover from that process.
            Event::LockUnavailable => Some(self.transition(State::Seeking, vec![Action::Connect])),
            _ => None,
        }
    }

    fn handle_owner(&mut self, event: Event) -> Option<Vec<Action>> {
        let Event::Received(link, MessageKind::Hello { version }) = event else { return None };
        if version != self.version {
            let mismatch = MessageKind::VersionMismatch { version: self.version };
            return Some(vec![Action::Send(link, mismatch), Action::Close(link)]);
        }
        let successor = Successor { link, state_sent: false };
        let actions = vec![Action::Send(link, MessageKind::Welcome), Action::SetTimer(READY_TIMEOUT)];
        Some(self.transition(State::Owner(Some(successor)), actions))
    }

    fn handle_handing_over(&mut self, successor: Successor, event: Event) -> Option<Vec<Action>> {
        let Successor { link, state_sent } = successor;
        if event == Event::TimerFired {
            return Some(self.keep_ownership(successor, vec![Action::Close(link)]));
        }
        match input_on(link, event)? {
            LinkInput::Message(MessageKind::Ready) if !state_sent => {
                let successor = Successor { link, state_sent: true };
                let state = Action::Send(link, MessageKind::State);
                let actions = vec![Action::Freeze, state, Action::SetTimer(CONFIRM_TIMEOUT)];
                Some(self.transition(State::Owner(Some(successor)), actions))
            }
            LinkInput::Message(MessageKind::StateReceived) if state_sent => {
                let granted = Action::Send(link, MessageKind::OwnershipGranted);
                let actions = vec![Action::Retire, Action::Unlock, granted];
                Some(self.transition(State::Retired(Some(link)), actions))
            }
            LinkInput::Message(_) => None,
            LinkInput::Closed => Some(self.keep_ownership(successor, Vec::new())),
        }
    }

    fn handle_retired(&mut self, link: Option<LinkId>, event: Event) -> Option<Vec<Action>> {
        match (link, event) {
            (_, Event::LockAcquired) => {
                Some(self.transition(State::Owner(None), vec![Action::ServeWithoutState]))
            }
            (Some(link), Event::LinkClosed(closed)) if closed == link => {
                Some(self.transition(State::Retired(None), vec![Action::TryLock]))
            }
            // The link broke while the successor is alive. Its later death would not be reported on any link,
            // so the lock is tried periodically.
            (None, Event::LockUnavailable) => Some(vec![Action::SetTimer(RETRY_DELAY)]),
            (None, Event::TimerFired) => Some(vec![Action::TryLock]),
            _ => None,
        }
    }

    fn send_ready(&mut self, link: LinkId) -> Vec<Action> {
        self.transition(State::Ready(link), vec![Action::Send(link, MessageKind::Ready)])
    }

    /// Starts over: the predecessor is gone, or does not hand over.
    fn seek_again(&mut self) -> Vec<Action> {
        self.transition(State::Seeking, vec![Action::TryLock])
    }

    /// Stays the owner: the successor is gone, or takes too long.
    fn keep_ownership(&mut self, successor: Successor, mut actions: Vec<Action>) -> Vec<Action> {
        if successor.state_sent {
            actions.push(Action::Resume);
        }
        self.transition(State::Owner(None), actions)
    }

    fn transition(&mut self, state: State, actions: Vec<Action>) -> Vec<Action> {
        self.state = state;
        actions
    }
}

/// An event that concerns one link.
enum LinkInput {
    Message(MessageKind),
    Closed,
}

/// The meaning of an event for a link; `None` if it does not concern the link.
fn input_on(link: LinkId, event: Event) -> Option<LinkInput> {
    match event {
        Event::Received(on, message) if on == link => Some(LinkInput::Message(message)),
        Event::LinkClosed(closed) if closed == link => Some(LinkInput::Closed),
        _ => None,
    }
}

/// Answers a `Hello` with `Busy` in states in which no successor can be accepted: this process does not own
/// the state yet, or another successor is connected. All other unexpected events are ignored.
fn reject_or_ignore(event: Event) -> Vec<Action> {
    match event {
        Event::Received(link, MessageKind::Hello { .. }) => {
            vec![Action::Send(link, MessageKind::Busy), Action::Close(link)]
        }
        _ => Vec::new(),
    }
}
