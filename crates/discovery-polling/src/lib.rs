//! Decides when an initiator asks discovery for the list of targets: the discovery client's schedule, with
//! its retries, their pace, jitter, hedging and deadlines. It has no sockets, runtime or clock: a driver
//! tells it the time and how calls ended, and carries out the commands it returns.
//!
//! # What it promises
//!
//! With 5 to 1,024 instances, after an outage of up to 11 s, the list is heard within [`HEARD_WITHIN`] of
//! discovery's return, as long as discovery serves all instances once in 5 s; with 1 to 4, as long as it does
//! in 3 s. It is not promised after longer outages, in which instances call less often: see
//! docs/design/discovery.md.
//!
//! # Why calls are paced and not retried at once
//!
//! Discovery is one service for all instances. It serves calls one after another, and fails those that would
//! wait too long; a call that it fails still costs it work. So retries that come faster than it can serve
//! them keep it failing all of them, for ever. Each instance therefore makes one call in a *cycle*, at a
//! phase drawn at random: the sum over all instances is a steady stream of calls, whatever made them ask at
//! the same moment (a restart, an outage, a reset of all watches). Where calls have failed for long, even
//! this stream may be too much; only then does the cycle grow, up to the time that the settings give for
//! asking, which discovery has to bear.
//!
//! docs/design/discovery.md has the measurements and the options that were weighed.

#![forbid(unsafe_code)]

mod call;
mod pace;

pub use call::{Call, CallId, Command, End};
pub use pace::{HEARD_WITHIN, LONGEST_CYCLE};

use call::InFlight;
use pace::Pace;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;

/// A point in time or a span, in microseconds of the driver's monotonic clock.
pub type Micros = u64;

const MILLISECOND: Micros = 1_000;
const SECOND: Micros = 1_000_000;

/// How discovery brings the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// One service for all instances answers when asked. `ask_within` is how long an instance may go without
    /// asking; 0 if the settings do not tell.
    OnRequest { ask_within: Micros },
    /// An agent of this instance's own is up to date without being asked, and what it has counts as known
    /// here. Sends by an older list are allowed for `grace`.
    Pushed { grace: Micros },
}

/// How a watch is kept open.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Watch {
    /// By calls that wait for news for a bounded time, one after another.
    LongPoll,
    /// By one call; news comes without further calls until the subscription breaks.
    Subscription,
}

/// What the schedule is made from.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    pub delivery: Delivery,
    pub watch: Watch,
    /// How many instances ask the same discovery, this one included.
    pub instances: u32,
    /// The number of this one, from 0; none: not known.
    pub number: Option<u32>,
}

/// Up to so many calls of one instance are in flight.
const MOST_CALLS: usize = 2;
/// The same for an agent of the instance's own, which a call burdens little.
const MOST_CALLS_TO_AGENT: usize = 8;
/// The longest wait of a call for news. News missed by a silent watch counts as known 6 s after it fell
/// silent, or 2 s after the wait, whichever is later: so a short wait leaves the most time to notice and to
/// ask again.
const LONGEST_HOLD: Micros = 2 * SECOND;
const SHORTEST_HOLD: Micros = 500 * MILLISECOND;
/// An answer this much later than the end of its wait does not come any more.
const HOLD_SLACK: Micros = 700 * MILLISECOND;
/// A call that does not wait, and has no answer after this long, may be lost: another is made beside it.
/// Discovery fails a call that waits too long in its queue before that.
const HEDGE_AFTER: Micros = 3 * SECOND;
/// A call that does not wait is given up after this long.
const CALL_TIMEOUT: Micros = 5 * SECOND;

/// What the schedule is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The list is not known to be up to date; a call that does not wait brings what was missed.
    CatchingUp,
    /// A watch is open.
    Watching,
}

/// The schedule of one instance.
#[derive(Debug)]
pub struct Schedule {
    settings: Settings,
    random: Pcg64Mcg,
    phase: Phase,
    pace: Pace,
    calls: Vec<InFlight>,
    next_id: u64,
    /// When the next call is due that brings what was missed.
    call_at: Option<Micros>,
    /// When another call is due beside one without an answer, and how long after each the next.
    hedge_at: Option<Micros>,
    hedge_after: Micros,
    commands: VecDeque<Command>,
}

impl Schedule {
    /// A schedule whose first call comes within a cycle from `now`, at a phase drawn from `seed`.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Schedule {
        let mut schedule = Schedule {
            settings,
            random: Pcg64Mcg::seed_from_u64(seed),
            phase: Phase::CatchingUp,
            pace: Pace::new(settings.delivery, settings.instances),
            calls: Vec::new(),
            next_id: 0,
            call_at: None,
            hedge_at: None,
            hedge_after: HEDGE_AFTER,
            commands: VecDeque::new(),
        };
        schedule.catch_up(now, schedule.pace.spread(), HEDGE_AFTER);
        schedule
    }

    /// What to do now; none: nothing until [`Schedule::next_poll`]. To be called until it returns none, after
    /// every event and whenever the time of [`Schedule::next_poll`] has come.
    pub fn poll(&mut self, now: Micros) -> Option<Command> {
        if self.commands.is_empty() {
            self.expire(now);
            self.start_due(now);
        }
        self.commands.pop_front()
    }

    /// When [`Schedule::poll`] has something to do next; none: only after an event.
    pub fn next_poll(&self) -> Option<Micros> {
        let expiries = self.calls.iter().map(|call| call.expires);
        expiries.chain(self.call_at).chain(self.hedge_at).min()
    }

    /// A call has ended. Calls that are not in flight any more are ignored.
    pub fn ended(&mut self, now: Micros, id: CallId, end: End) {
        let Some(place) = self.calls.iter().position(|call| call.id == id) else { return };
        let call = self.calls.remove(place);
        match end {
            End::Answered => {
                if call.hold == 0 {
                    self.pace.answered_in(now.saturating_sub(call.started));
                }
                self.answered(now);
            }
            End::Refused => self.failed(now, call, true),
            End::Broken => self.failed(now, call, false),
        }
    }

    /// The subscription of [`Watch::Subscription`] has broken.
    pub fn subscription_broke(&mut self, now: Micros) {
        if self.phase == Phase::Watching {
            self.catch_up(now, self.pace.spread(), HEDGE_AFTER);
        }
    }

    /// Discovery is at another address. The driver drops all calls that are in flight.
    pub fn moved(&mut self, now: Micros) {
        self.calls.clear();
        self.commands.clear();
        self.pace.succeeded();
        self.catch_up(now, self.pace.spread_after_move(), HEDGE_AFTER);
    }

    /// Whether a watch is open.
    pub fn is_watching(&self) -> bool {
        self.phase == Phase::Watching
    }

    /// A random time within `spread`, in this instance's own part of it: all instances together cover it
    /// evenly.
    fn offset(&mut self, spread: Micros) -> Micros {
        let instances = u128::from(self.settings.instances.max(1));
        let (part, parts) = match self.settings.number.map(u128::from).filter(|number| *number < instances) {
            Some(number) => (number, instances),
            None => (0, 1),
        };
        let within = u128::from(self.random.random_range(0..=spread));
        ((u128::from(spread) * part + within) / parts) as Micros
    }

    /// Plans a call that brings what was missed, at a time of this instance's within `spread`.
    fn catch_up(&mut self, now: Micros, spread: Micros, hedge_after: Micros) {
        self.phase = Phase::CatchingUp;
        self.call_at = Some(now + self.offset(spread));
        self.hedge_at = None;
        self.hedge_after = self.pace.hedge_after().unwrap_or(hedge_after);
    }

    fn answered(&mut self, now: Micros) {
        for other in self.calls.drain(..) {
            self.commands.push_back(Command::Abandon(other.id));
        }
        self.phase = Phase::Watching;
        self.pace.succeeded();
        (self.call_at, self.hedge_at) = (None, None);
        if self.settings.watch == Watch::LongPoll {
            let hold = self.hold();
            self.start(now, hold, hold + HOLD_SLACK);
        }
    }

    fn failed(&mut self, now: Micros, call: InFlight, refused: bool) {
        if call.hold > 0 {
            // The watch broke: all instances may have lost theirs in the same moment.
            self.catch_up(now, self.pace.spread(), HEDGE_AFTER);
        } else if self.calls.is_empty() {
            self.retry(now, call.started, refused);
        }
    }

    /// Plans the next call after one that was made for nothing.
    fn retry(&mut self, now: Micros, last: Micros, refused: bool) {
        self.pace.failed(now);
        self.hedge_at = None;
        self.call_at = Some(self.pace.next_call(now, last, refused));
    }

    /// Gives up calls that have no answer in time.
    fn expire(&mut self, now: Micros) {
        while let Some(place) = self.calls.iter().position(|call| call.expires <= now) {
            let call = self.calls.remove(place);
            self.commands.push_back(Command::Abandon(call.id));
            if call.hold > 0 {
                let hedge_after = self.pace.hedge_after_silence();
                self.catch_up(now, self.pace.spread_after_silence(), hedge_after);
            } else if self.calls.is_empty() {
                self.retry(now, call.started, false);
            }
        }
    }

    fn start_due(&mut self, now: Micros) {
        if self.call_at.is_some_and(|at| at <= now) {
            self.call_at = None;
            self.start(now, 0, self.pace.call_timeout().unwrap_or(CALL_TIMEOUT));
            self.hedge_at = Some(now + self.hedge_after);
        }
        if self.hedge_at.is_some_and(|at| at <= now) {
            self.hedge(now);
        }
    }

    /// Makes another call beside those without an answer.
    fn hedge(&mut self, now: Micros) {
        let most = if self.pace.is_own_agent() { MOST_CALLS_TO_AGENT } else { MOST_CALLS };
        self.start(now, 0, self.pace.call_timeout().unwrap_or(CALL_TIMEOUT));
        self.hedge_at = (self.calls.len() < most).then_some(now + self.hedge_after);
    }

    fn start(&mut self, now: Micros, hold: Micros, timeout: Micros) {
        let id = CallId(self.next_id);
        self.next_id += 1;
        self.calls.push(InFlight { id, hold, started: now, expires: now + timeout });
        self.commands.push_back(Command::Start(Call { id, hold }));
    }

    /// How long the next call waits for news: shorter by chance, so that the watches of all instances, which
    /// the same news has renewed, do not end together.
    fn hold(&mut self) -> Micros {
        let longest = match self.settings.delivery {
            Delivery::OnRequest { ask_within } if ask_within > 0 => ask_within.min(LONGEST_HOLD),
            _ => LONGEST_HOLD,
        };
        let longest = longest.max(SHORTEST_HOLD);
        self.random.random_range(longest / 2..=longest)
    }
}
