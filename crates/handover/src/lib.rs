//! How a process that serves hands all that it owns over to another that was started beside it.
//!
//! Whoever serves owns things of which there must be one owner: the place from which clients are accepted,
//! units of limited volumes, budgets of cold targets, the word on maintenance. Ownership goes with a lock
//! that the system frees when its holder dies, so at no moment do two processes hold it, and it never stays
//! with a dead one. A link between two processes carries the rest:
//!
//! ```text
//! successor                      predecessor
//!   finds the lock taken           owns, serves
//!   Hello ----------------------->
//!         <----------------------- Welcome, with the listeners and all that may be known early
//!   gets ready to serve            goes on serving, with all that it owns
//!   Ready ----------------------->
//!                                  accepts nothing new, spends nothing more
//!         <----------------------- Given, with what it owns
//!   holds it, and waits
//!   Taken ----------------------->
//!                                  lets go of the lock
//!         <----------------------- Yours
//!   takes the lock, serves         finishes what it holds
//! ```
//!
//! Until `Taken` has come, the predecessor owns all, and goes on with it when the link breaks. From then on
//! the successor owns it. When a link breaks, either side tries the lock: who gets it is alone, and starts
//! from nothing that the other may have spent meanwhile. So whichever dies, at whichever moment, the other
//! serves on, and nothing is spent twice.
//!
//! [`Machine`] is that conversation, for either side. It is told what happened and says what to do.

#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The version of what is said on a link. One that differs in what a word means has another number; fields
/// that are added and may be left out do not.
pub const VERSION: u32 = 1;

/// How long a predecessor waits for a successor to get ready, and for its `Taken`. It is frozen for the
/// latter.
const READY_WITHIN: Duration = Duration::from_secs(30);
const TAKEN_WITHIN: Duration = Duration::from_millis(1_000);
/// How long a successor that was put off, or finds nobody yet, waits before it looks again.
const AGAIN: Duration = Duration::from_millis(50);

/// A connection between two processes. Numbers are a process's own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Link(pub u64);

/// The words on a link. What goes with them is the driver's.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Word {
    Hello {
        version: u32,
    },
    Welcome,
    /// Another successor is being served, or what there is to hand over is not owned yet.
    Busy,
    /// These two do not understand each other.
    Refuse {
        version: u32,
    },
    Ready,
    Given,
    Taken,
    Yours,
}

/// What happened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The lock was tried, and is now held.
    Locked,
    /// The lock was tried, and is another's.
    Taken,
    /// A connection to the process that serves came up, or did not.
    Linked(Option<Link>),
    /// Another process came to this one.
    Met(Link),
    Heard(Link, Word),
    /// A link broke, or what came on it was no word.
    Lost(Link),
    /// All that a successor needs to serve is there, but for what will be given.
    Prepared,
    /// The wait that [`Action::Wait`] asked for is over.
    Waited,
}

/// What to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Try the lock.
    Lock,
    /// Let go of the lock.
    Unlock,
    /// Connect to the process that serves.
    Connect,
    Say(Link, Word),
    Close(Link),
    /// Ask for [`Event::Waited`] then, in place of any wait asked for before.
    Wait(Duration),
    /// Get ready with what came with the welcome.
    Prepare,
    /// Serve, as the owner of what was owned before: nothing, in a process that was just started.
    Serve {
        given: bool,
    },
    /// Accept and spend nothing more. What is owned goes with `Given`.
    Freeze,
    /// Accept and spend again, as if nothing had been.
    Resume,
    /// What was given is another's for good: finish what is held.
    Pass,
    /// Accept and spend again, from nothing: another had it meanwhile, and is dead.
    Restart,
    /// This process cannot take over from one that speaks this version.
    Fail {
        version: u32,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum State {
    /// Tries the lock, and else connects.
    Seeking,
    /// Said hello.
    Asking(Link),
    /// Was welcomed, and gets ready.
    Preparing(Link),
    /// Said that it is ready.
    Ready(Link),
    /// Holds what was given, not yet as its owner.
    Holding(Link),
    /// Was told that it is the owner, and takes the lock.
    Taking,
    Owner(Option<Serving>),
    /// Has handed everything over, and was let go by that link or not.
    Passed(Option<Link>),
    Failed,
}

/// A successor that is being served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Serving {
    link: Link,
    /// Everything is frozen and given.
    given: bool,
}

/// One process's side.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Machine {
    state: State,
    prepared: bool,
    version: u32,
}

impl Machine {
    /// A process that has just started. The first actions come with it.
    pub fn start() -> (Machine, Vec<Action>) {
        Machine::of_version(VERSION)
    }

    /// One that speaks another version.
    pub fn of_version(version: u32) -> (Machine, Vec<Action>) {
        (Machine { state: State::Seeking, prepared: false, version }, vec![Action::Lock])
    }

    /// Whether this process may accept clients and spend what is owned.
    pub fn owns(&self) -> bool {
        matches!(self.state, State::Owner(None | Some(Serving { given: false, .. })))
    }

    /// Whether it has handed all over.
    pub fn passed(&self) -> bool {
        matches!(self.state, State::Passed(_))
    }

    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        use Action::*;
        match (self.state, event) {
            (State::Seeking, Event::Locked) => self.turn(State::Owner(None), vec![Serve { given: false }]),
            (State::Taking, Event::Locked) => self.turn(State::Owner(None), vec![Serve { given: true }]),
            (State::Passed(_), Event::Locked) => self.turn(State::Owner(None), vec![Restart]),
            (State::Seeking, Event::Taken) => vec![Connect],
            // Whoever has the lock began after this one was told; from it all is to be had.
            (State::Taking, Event::Taken) => self.turn(State::Seeking, vec![Connect]),
            (State::Seeking, Event::Linked(None)) => vec![Wait(AGAIN)],
            (State::Seeking, Event::Linked(Some(link))) => {
                let hello = Word::Hello { version: self.version };
                self.turn(State::Asking(link), vec![Say(link, hello)])
            }
            (State::Seeking, Event::Waited) => vec![Lock],

            (State::Asking(of), Event::Heard(link, Word::Welcome)) if link == of => {
                // One that had got ready before needs only what it will be given.
                if self.prepared {
                    return self.turn(State::Ready(of), vec![Say(of, Word::Ready)]);
                }
                self.turn(State::Preparing(of), vec![Prepare])
            }
            (State::Asking(of), Event::Heard(link, Word::Busy)) if link == of => {
                self.turn(State::Seeking, vec![Close(of), Wait(AGAIN)])
            }
            (State::Asking(of), Event::Heard(link, Word::Refuse { version })) if link == of => {
                self.turn(State::Failed, vec![Close(of), Fail { version }])
            }
            (State::Preparing(of), Event::Prepared) => {
                self.prepared = true;
                self.turn(State::Ready(of), vec![Say(of, Word::Ready)])
            }
            (_, Event::Prepared) => {
                self.prepared = true;
                Vec::new()
            }
            (State::Ready(of), Event::Heard(link, Word::Given)) if link == of => {
                self.turn(State::Holding(of), vec![Say(of, Word::Taken)])
            }
            (State::Holding(of), Event::Heard(link, Word::Yours)) if link == of => {
                self.turn(State::Taking, vec![Lock])
            }
            (
                State::Asking(of) | State::Preparing(of) | State::Ready(of) | State::Holding(of),
                Event::Lost(link),
            ) if link == of => self.turn(State::Seeking, vec![Lock]),

            (State::Owner(None), Event::Heard(link, Word::Hello { version })) => {
                if version != self.version {
                    return vec![Say(link, Word::Refuse { version: self.version }), Close(link)];
                }
                let serving = Serving { link, given: false };
                self.turn(State::Owner(Some(serving)), vec![Say(link, Word::Welcome), Wait(READY_WITHIN)])
            }
            (State::Owner(Some(s)), Event::Heard(link, Word::Ready)) if link == s.link && !s.given => {
                let serving = Serving { given: true, ..s };
                let given = vec![Freeze, Say(link, Word::Given), Wait(TAKEN_WITHIN)];
                self.turn(State::Owner(Some(serving)), given)
            }
            (State::Owner(Some(s)), Event::Heard(link, Word::Taken)) if link == s.link && s.given => {
                self.turn(State::Passed(Some(link)), vec![Pass, Unlock, Say(link, Word::Yours)])
            }
            (State::Owner(Some(s)), Event::Lost(link)) if link == s.link => self.go_on(s, Vec::new()),
            (State::Owner(Some(s)), Event::Waited) => self.go_on(s, vec![Close(s.link)]),
            (State::Passed(Some(to)), Event::Lost(link)) if link == to => {
                self.turn(State::Passed(None), vec![Lock])
            }
            // The link broke and the other lives: should it die later, nobody would tell.
            (State::Passed(None), Event::Taken) => vec![Wait(AGAIN)],
            (State::Passed(None), Event::Waited) => vec![Lock],
            // Nobody is served before there is something to hand over, nor two at once.
            (_, Event::Heard(link, Word::Hello { .. })) => vec![Say(link, Word::Busy), Close(link)],
            _ => Vec::new(),
        }
    }

    fn turn(&mut self, state: State, actions: Vec<Action>) -> Vec<Action> {
        self.state = state;
        actions
    }

    /// The owner goes on by itself.
    fn go_on(&mut self, serving: Serving, mut actions: Vec<Action>) -> Vec<Action> {
        if serving.given {
            actions.push(Action::Resume);
        }
        self.turn(State::Owner(None), actions)
    }
}
