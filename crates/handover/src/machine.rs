//! The state machine of either side of a handover.

use crate::protocol::{LinkId, MessageKind, VERSION};
use crate::timeouts::{CONFIRM_TIMEOUT, READY_TIMEOUT, RETRY_DELAY};
use std::time::Duration;

/// What has happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The lock was tried, and is now held.
    LockAcquired,
    /// The lock was tried, and another process holds it.
    LockUnavailable,
    /// A connection to the process that serves came up.
    Connected(LinkId),
    /// A connection to the process that serves did not come up.
    ConnectFailed,
    /// Another process connected to this one.
    Accepted(LinkId),
    /// A message came.
    Received(LinkId, MessageKind),
    /// A link broke, or what came on it was no message.
    LinkClosed(LinkId),
    /// All that a successor needs to serve is there, but for the state.
    Prepared,
    /// The timer that [`Action::SetTimer`] set has fired.
    TimerFired,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Try the lock.
    TryLock,
    /// Release the lock.
    Unlock,
    /// Connect to the process that serves.
    Connect,
    /// Send a message.
    Send(LinkId, MessageKind),
    /// Close a link.
    Close(LinkId),
    /// Report [`Event::TimerFired`] after this time, in place of any timer set before.
    SetTimer(Duration),
    /// Get ready with what came with the welcome.
    Prepare,
    /// Serve as the owner.
    Serve {
        /// Whether with the predecessor's state; else with none, as a process that was just started.
        with_state: bool,
    },
    /// Accept and spend nothing more. What is owned goes with [`MessageKind::State`].
    Freeze,
    /// Accept and spend again, as if nothing had been.
    Resume,
    /// The successor owns the state for good: finish what is held.
    Retire,
    /// Accept and spend again, without state: the successor had it meanwhile, and is dead.
    ServeWithoutState,
    /// This process cannot take over from one that speaks this version.
    RejectVersion {
        /// The other's version.
        version: u32,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    /// Tries the lock, and else connects.
    Seeking,
    /// Said hello.
    AwaitingWelcome(LinkId),
    /// Was welcomed, and gets ready.
    Preparing(LinkId),
    /// Said that it is ready.
    Ready(LinkId),
    /// Holds the state, not yet as its owner.
    AwaitingOwnership(LinkId),
    /// Was granted ownership, and acquires the lock.
    AcquiringLock,
    Owner(Option<Successor>),
    /// Has handed the state over; the link to its successor, while that holds.
    Retired(Option<LinkId>),
    Failed,
}

/// A successor that is being served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Successor {
    link: LinkId,
    /// The state is frozen and sent.
    state_sent: bool,
}

/// One process's side of handovers: first as a successor, then as an owner, which may hand over in turn.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Handover {
    state: State,
    prepared: bool,
    version: u32,
}

impl Handover {
    /// A process that has just started, with its first actions.
    pub fn start() -> (Handover, Vec<Action>) {
        Handover::with_version(VERSION)
    }

    /// The same for a process that speaks another version.
    pub fn with_version(version: u32) -> (Handover, Vec<Action>) {
        (Handover { state: State::Seeking, prepared: false, version }, vec![Action::TryLock])
    }

    /// Whether this process may accept clients and spend what is owned.
    pub fn is_owner(&self) -> bool {
        matches!(self.state, State::Owner(None | Some(Successor { state_sent: false, .. })))
    }

    /// Whether it has handed all over.
    pub fn is_retired(&self) -> bool {
        matches!(self.state, State::Retired(_))
    }

    /// Takes an event and returns what to do, in this order.
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

    // Each of the functions for a state handles the events that it expects; `None`: it does not expect this
    // one.

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
            // One that had got ready before needs only the state.
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
            // Whoever holds the lock acquired it after this one was granted ownership; all is to be had from
            // it.
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
            // The link broke and the successor lives: should it die later, no link would show that.
            (None, Event::LockUnavailable) => Some(vec![Action::SetTimer(RETRY_DELAY)]),
            (None, Event::TimerFired) => Some(vec![Action::TryLock]),
            _ => None,
        }
    }

    fn send_ready(&mut self, link: LinkId) -> Vec<Action> {
        self.transition(State::Ready(link), vec![Action::Send(link, MessageKind::Ready)])
    }

    /// The predecessor is gone, or does not hand over.
    fn seek_again(&mut self) -> Vec<Action> {
        self.transition(State::Seeking, vec![Action::TryLock])
    }

    /// The successor is gone, or takes too long: the owner goes on by itself.
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

/// What has happened to one link.
enum LinkInput {
    Message(MessageKind),
    Closed,
}

/// What an event means for the link; `None`: nothing.
fn input_on(link: LinkId, event: Event) -> Option<LinkInput> {
    match event {
        Event::Received(on, message) if on == link => Some(LinkInput::Message(message)),
        Event::LinkClosed(closed) if closed == link => Some(LinkInput::Closed),
        _ => None,
    }
}

/// No successor is served before there is something to hand over, nor two at once. All else that a state does
/// not expect is passed over.
fn reject_or_ignore(event: Event) -> Vec<Action> {
    match event {
        Event::Received(link, MessageKind::Hello { .. }) => {
            vec![Action::Send(link, MessageKind::Busy), Action::Close(link)]
        }
        _ => Vec::new(),
    }
}
