//! What a watch on the list is at, and when the list is asked for again: without sockets or clock, so that every order of
//! ends can be tried.
//!
//! A watch is alive, silent or broken. One that has fallen silent, or was reset, is opened anew at once: what it misses
//! counts as told soon after its wait is over, and a wait in turn, as after a failure, would take longer than the rule on
//! drains leaves. It is opened anew once: where discovery is down or overbooked, calls end with a refusal or a reset, and
//! asking again at once would only add to its queue. What must not wait for the end of such a call is a second one beside
//! it, since the first may have fallen silent as the watch did.

use std::time::Duration;

/// How long a watch waits for news where the settings say nothing of how often the list has to be asked for.
const HOLD: Duration = Duration::from_secs(10);
const SHORTEST_HOLD: Duration = Duration::from_secs(1);
const LONGEST_HOLD: Duration = Duration::from_secs(60);
/// A watch that does not wait: it brings what was missed.
pub const AT_ONCE: Duration = Duration::from_millis(1);
/// An answer later than this past its wait does not come any more: its news counts as told 2 s past the wait, and
/// nothing may be sent by the old list soon after. The rest is left for the next call, and one beside it.
const PATIENCE: Duration = Duration::from_millis(1_000);
/// The same for a call that does not wait. Calls are served one after another, and giving up early on a busy
/// discovery would only add to its queue. What a silent one misses counts as told after 6 s.
const PATIENCE_AT_ONCE: Duration = Duration::from_millis(5_000);
/// A call that opens a watch anew gets another beside it after this long.
const BESIDE: Duration = Duration::from_millis(500);

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Told,
    /// No answer within its patience.
    Silent,
    /// The connection ended, or what came cannot be read.
    Broken,
    /// Discovery answered that it does not serve the call.
    Refused,
}

/// A call for the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// How long it may wait for news.
    pub hold: Duration,
    /// After this long, another is made beside it.
    pub beside: Option<Duration>,
}

impl Call {
    /// One that does not wait.
    pub fn at_once() -> Call {
        Call { hold: AT_ONCE, beside: None }
    }

    /// How long it may take in all.
    pub fn patience(&self) -> Duration {
        if self.hold > AT_ONCE { self.hold + PATIENCE } else { PATIENCE_AT_ONCE }
    }
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Call(Call),
    /// Nothing: the core says when.
    Stop,
}

/// What a watch is at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// The first call: nothing was told yet.
    #[default]
    Opening,
    /// The last call was answered, and the next waits for news.
    Alive,
    /// It fell silent or broke, and is being opened anew.
    Anew,
}

/// A run of calls, from the core's word on.
#[derive(Debug)]
pub struct Watch {
    hold: Duration,
    state: State,
}

impl Watch {
    /// One that waits as long as the settings leave between two calls for the list; absent: they do not say.
    pub fn new(ask_within: Option<Duration>) -> Watch {
        let hold = ask_within.map_or(HOLD, |within| within.clamp(SHORTEST_HOLD, LONGEST_HOLD));
        Watch { hold, state: State::Opening }
    }

    /// A new run.
    pub fn again(&mut self) {
        self.state = State::Opening;
    }

    /// The first call only sets the watch up and brings what was missed; it does not wait, so that the core soon
    /// knows that it is told again.
    pub fn first(&self) -> Call {
        Call::at_once()
    }

    pub fn next(&mut self, end: End) -> Next {
        match (self.state, end) {
            (_, End::Told) => {
                self.state = State::Alive;
                Next::Call(Call { hold: self.hold, beside: None })
            }
            (State::Opening | State::Alive, End::Silent) | (State::Alive, End::Broken) => {
                self.state = State::Anew;
                Next::Call(Call { hold: AT_ONCE, beside: Some(BESIDE) })
            }
            _ => {
                self.state = State::Opening;
                Next::Stop
            }
        }
    }
}
