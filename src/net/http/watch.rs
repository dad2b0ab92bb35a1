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

/// Where the list is pushed: the part of the grace on drains that passes between two calls at most, within these bounds.
const PUSHED_PART: u32 = 4;
const SHORTEST_PACE: Duration = Duration::from_millis(20);
const LONGEST_PACE: Duration = Duration::from_millis(500);
/// There another call is made beside one that has not been answered for so many times that part, which is the grace: an
/// agent that is back answers the new call, and one that is slow the old one. So many may be out.
const PUSHED_BESIDE: u32 = 4;
const PUSHED_MOST: usize = 8;

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
    /// Each time that this long has passed, another is made beside it, up to so many in all.
    pub beside: Duration,
    pub most: usize,
    /// How long it may take in all.
    pub patience: Duration,
}

impl Call {
    /// One that does not wait.
    pub fn at_once() -> Call {
        Call { hold: AT_ONCE, beside: BESIDE, most: 1, patience: PATIENCE_AT_ONCE }
    }

    /// One that waits for news.
    fn held(hold: Duration) -> Call {
        Call { hold, beside: BESIDE, most: 1, patience: hold + PATIENCE }
    }
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Call(Call),
    /// The same, so much later.
    After(Duration, Call),
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

/// A run of calls, from the core's word on, or where the list is pushed from the start on.
#[derive(Debug)]
pub struct Watch {
    hold: Duration,
    /// Where the list is pushed: how long a call that failed is behind the next.
    pace: Option<Duration>,
    state: State,
}

impl Watch {
    /// One of a list that is asked for: it waits as long as the settings leave between two calls; absent: they do not
    /// say.
    pub fn asked(ask_within: Option<Duration>) -> Watch {
        let hold = ask_within.map_or(HOLD, |within| within.clamp(SHORTEST_HOLD, LONGEST_HOLD));
        Watch { hold, pace: None, state: State::Opening }
    }

    /// One of a list that is pushed, where the old list may be followed for `grace` once the new one is told.
    pub fn pushed(grace: Duration) -> Watch {
        let pace = (grace / PUSHED_PART).clamp(SHORTEST_PACE, LONGEST_PACE);
        Watch { hold: HOLD, pace: Some(pace), state: State::Opening }
    }

    /// Whether it is opened without the core's word.
    pub fn is_pushed(&self) -> bool {
        self.pace.is_some()
    }

    /// A new run.
    pub fn again(&mut self) {
        self.state = State::Opening;
    }

    /// The first call only sets the watch up and brings what was missed; it does not wait, so that the core soon
    /// knows that it is told again.
    pub fn first(&self) -> Call {
        let Some(beside) = self.pace.map(|pace| pace * PUSHED_BESIDE) else { return Call::at_once() };
        let patience = (beside * PUSHED_MOST as u32).min(PATIENCE_AT_ONCE);
        Call { beside, most: PUSHED_MOST, patience, ..Call::at_once() }
    }

    pub fn next(&mut self, end: End) -> Next {
        match (self.state, end) {
            (_, End::Told) => {
                self.state = State::Alive;
                Next::Call(Call::held(self.hold))
            }
            (State::Alive, End::Silent | End::Broken) | (State::Opening, End::Silent)
                if self.pace.is_none() =>
            {
                self.state = State::Anew;
                Next::Call(Call { most: 2, ..Call::at_once() })
            }
            (before, _) => {
                self.state = State::Opening;
                match self.pace {
                    None => Next::Stop,
                    Some(_) if before == State::Alive => Next::Call(self.first()),
                    Some(pace) => Next::After(pace, self.first()),
                }
            }
        }
    }
}
