//! A follower's part: which relay it watches, and what of the answers it takes.

use crate::message::{Answer, Body, Held, Malformed, Snapshot, Watch};
use crate::state::{Delta, Inapplicable, State, Version};
use crate::{Millis, NodeId};
use std::fmt;
use xxhash_rust::xxh3::xxh3_64;

/// An answer later than this past its hold does not come any more.
const PATIENCE: Millis = 1_500;
/// The same for a whole state, which a relay may put off while many are asked for.
const PATIENCE_FOR_ALL: Millis = 5_000;
/// An answer whose source was heard longer ago than this comes from a relay that is cut off: relays hold
/// their own watches for a second.
const MOST_AGE: Millis = 4_000;
/// The wait before the next relay is asked once all have failed: doubled up to the longest, and half to one
/// and a half of it, by chance.
const SHORTEST_WAIT: Millis = 250;
const LONGEST_WAIT: Millis = 2_000;
/// A follower that has left its first relay tries it again after this long.
const RETURN: Millis = 30_000;
/// More relays between the source and a follower than these are a loop, or as good as one.
const MOST_HOPS: usize = 4;

/// Whether an instance could run with a state; the error is for its operators.
pub type Check = Box<dyn Fn(&State) -> Result<(), String>>;

/// What an answer has brought.
#[derive(Clone, Debug, PartialEq)]
pub enum News {
    /// It is in force from now on.
    InForce(State),
    /// It is not: the last good one stays.
    Refused { version: Version, reason: String },
}

/// Counts that tell whether it works.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub deltas: u64,
    pub snapshots: u64,
    /// States that the instance's own check refused.
    pub refused: u64,
    /// Older than what is held; dropped.
    pub stale: u64,
    /// Deltas on another version than the one held, and those whose result had another digest; dropped.
    pub baseless: u64,
    pub mismatched: u64,
    /// Whole states that could not be unpacked; dropped.
    pub torn: u64,
    /// Answers that nobody waited for; dropped.
    pub unasked: u64,
    /// Why relays were left.
    pub silent: u64,
    pub broken: u64,
    pub busy: u64,
    pub loops: u64,
    pub cut: u64,
}

/// What was last heard of the source.
#[derive(Clone, Copy, Debug)]
struct Heard {
    at: Millis,
    age: Millis,
}

/// One follower. Its driver sends what [`Follower::poll`] says, and tells what comes back.
pub struct Follower {
    me: NodeId,
    /// From the most preferred one on.
    upstreams: Vec<NodeId>,
    at: usize,
    /// How long its watches wait for news.
    hold: Millis,
    check: Check,
    /// Until when an answer is waited for.
    waiting: Option<Millis>,
    /// Not before this time the next is asked.
    not_before: Millis,
    /// Relays left one after another.
    failures: u32,
    /// The present relay has answered.
    settled: bool,
    /// When the first relay is tried again.
    return_at: Option<Millis>,
    /// The whole state is to be asked for.
    whole: bool,
    held: Option<State>,
    in_force: Option<State>,
    heard: Option<Heard>,
    path: Vec<NodeId>,
    last_deltas: Vec<Delta>,
    counters: Counters,
}

impl fmt::Debug for Follower {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let held = self.held.as_ref().map(State::version);
        f.debug_struct("Follower").field("me", &self.me).field("held", &held).finish_non_exhaustive()
    }
}

impl Follower {
    /// `known` is what was held before a restart, if anything: it is in force until something newer is heard.
    pub fn new(
        me: NodeId,
        upstreams: Vec<NodeId>,
        hold: Millis,
        check: Check,
        known: Option<State>,
    ) -> Follower {
        Follower {
            me,
            upstreams,
            at: 0,
            hold,
            check,
            waiting: None,
            not_before: 0,
            failures: 0,
            settled: false,
            return_at: None,
            whole: false,
            held: known.clone(),
            in_force: known,
            heard: None,
            path: Vec::new(),
            last_deltas: Vec::new(),
            counters: Counters::default(),
        }
    }

    pub fn id(&self) -> NodeId {
        self.me
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The newest state, in force or not.
    pub fn held(&self) -> Option<&State> {
        self.held.as_ref()
    }

    /// The state that the instance runs with.
    pub fn in_force(&self) -> Option<&State> {
        self.in_force.as_ref()
    }

    /// Whom the last answer came through.
    pub fn path(&self) -> &[NodeId] {
        &self.path
    }

    /// How long ago the source was heard, through whomever. None: never.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        self.heard.map(|heard| heard.age + now.saturating_sub(heard.at))
    }

    /// The deltas that led to the state held, from the one before; none where a whole state did.
    pub(crate) fn last_deltas(&self) -> &[Delta] {
        &self.last_deltas
    }

    /// Whether it refuses the newest state that it has.
    pub fn is_refusing(&self) -> bool {
        self.held.as_ref().map(State::version) != self.in_force.as_ref().map(State::version)
    }

    /// When to call [`Follower::poll`] again, unless something is heard before. None: there is nobody to ask.
    pub fn wake(&self) -> Option<Millis> {
        (!self.upstreams.is_empty()).then(|| self.waiting.unwrap_or(self.not_before))
    }

    /// The watch to be sent now, if one is due, and to whom. `refusing` counts those behind a relay.
    pub fn poll(&mut self, now: Millis, refusing: u32) -> Option<(NodeId, Watch)> {
        if self.upstreams.is_empty() {
            return None;
        }
        match self.waiting {
            Some(until) if now < until => return None,
            Some(_) => {
                self.counters.silent += 1;
                self.leave(now);
            }
            None => {}
        }
        if now < self.not_before {
            return None;
        }
        if self.return_at.is_some_and(|at| now >= at) {
            (self.at, self.settled, self.return_at) = (0, false, None);
        }
        // The first answer of a relay only shows that it is there.
        let hold = if self.settled && !self.whole { self.hold } else { 0 };
        let held = self.held.as_ref().filter(|_| !self.whole);
        let patience = if held.is_some() { PATIENCE } else { PATIENCE_FOR_ALL };
        self.waiting = Some(now + hold + patience);
        let held = held.map(|state| Held { version: state.version(), digest: state.digest() });
        let refusing = refusing + u32::from(self.is_refusing());
        Some((self.upstreams[self.at], Watch { held, hold, refusing }))
    }

    /// The present relay cannot be reached, or its connection has ended.
    pub fn lost(&mut self, now: Millis, from: NodeId) {
        if self.waiting.is_some() && self.upstreams.get(self.at) == Some(&from) {
            self.counters.broken += 1;
            self.leave(now);
        }
    }

    /// Turns to the next relay: at once, unless all have failed.
    fn leave(&mut self, now: Millis) {
        (self.waiting, self.settled) = (None, false);
        self.failures = self.failures.saturating_add(1);
        self.at = (self.at + 1) % self.upstreams.len();
        let rounds = self.failures as usize / self.upstreams.len();
        self.not_before = now + if rounds == 0 { 0 } else { self.shaded(now, rounds) };
        if self.at != 0 && self.return_at.is_none() {
            self.return_at = Some(now + self.shaded_span(now, RETURN));
        }
    }

    fn shaded(&self, now: Millis, rounds: usize) -> Millis {
        let wait = SHORTEST_WAIT.saturating_mul(1 << (rounds - 1).min(8)).min(LONGEST_WAIT);
        self.shaded_span(now, wait)
    }

    /// From half to one and a half of a span: unlike for any two followers and times, the same for the same.
    fn shaded_span(&self, now: Millis, span: Millis) -> Millis {
        let mut seed = [0; 12];
        seed[..4].copy_from_slice(&self.me.0.to_le_bytes());
        seed[4..].copy_from_slice(&now.to_le_bytes());
        span / 2 + xxh3_64(&seed) % span.max(1)
    }

    /// An answer came.
    pub fn heard(&mut self, now: Millis, from: NodeId, answer: Answer) -> Option<News> {
        if self.waiting.is_none() || self.upstreams.get(self.at) != Some(&from) {
            self.counters.unasked += 1;
            return None;
        }
        self.waiting = None;
        if answer.path.contains(&self.me) || answer.path.len() > MOST_HOPS {
            self.counters.loops += 1;
            self.leave(now);
            return None;
        }
        let Answer { path, age, body } = answer;
        let news = match self.take(body) {
            Ok(news) => news,
            Err(Left) => {
                self.leave(now);
                return None;
            }
        };
        (self.path, self.heard) = (path, Some(Heard { at: now, age }));
        if age > MOST_AGE {
            // What it has may be the newest there is, but it would not learn of newer.
            self.counters.cut += 1;
            self.leave(now);
        } else {
            (self.settled, self.failures, self.not_before) = (true, 0, now);
        }
        news
    }

    fn take(&mut self, body: Body) -> Result<Option<News>, Left> {
        match body {
            Body::Same => Ok(None),
            Body::Differs => {
                self.counters.mismatched += 1;
                self.whole = true;
                Ok(None)
            }
            Body::Deltas(deltas) => self.take_deltas(deltas),
            Body::Snapshot(snapshot) => self.take_snapshot(&snapshot),
            Body::Older => {
                self.counters.stale += 1;
                Err(Left)
            }
            Body::Empty => Err(Left),
            Body::Busy => {
                self.counters.busy += 1;
                Err(Left)
            }
        }
    }

    /// All of them or none: what lies between is not checked, since nobody is to run with it any more.
    fn take_deltas(&mut self, deltas: Vec<Delta>) -> Result<Option<News>, Left> {
        let Some(held) = &self.held else {
            self.counters.baseless += 1;
            self.whole = true;
            return Ok(None);
        };
        let last = deltas.last().map(|delta| delta.to);
        if last.is_none_or(|last| last <= held.version()) {
            self.counters.stale += 1;
            return Err(Left);
        }
        match deltas.iter().try_fold(held.clone(), |state, delta| state.after(delta)) {
            Ok(state) => {
                self.counters.deltas += deltas.len() as u64;
                self.last_deltas = deltas;
                Ok(Some(self.hold(state)))
            }
            Err(wrong) => {
                let counter = match wrong {
                    Inapplicable::Base => &mut self.counters.baseless,
                    _ => &mut self.counters.mismatched,
                };
                *counter += 1;
                self.whole = true;
                Ok(None)
            }
        }
    }

    fn take_snapshot(&mut self, snapshot: &Snapshot) -> Result<Option<News>, Left> {
        let held = self.held.as_ref().map(State::version);
        // One of the same version repairs what is held, if it was asked for.
        let newer =
            held.is_none_or(|held| snapshot.version > held || (self.whole && snapshot.version == held));
        if !newer {
            self.counters.stale += 1;
            return Err(Left);
        }
        let unpacked: Result<State, Malformed> = snapshot.unpack();
        let Ok(state) = unpacked else {
            self.counters.torn += 1;
            return Err(Left);
        };
        self.counters.snapshots += 1;
        self.last_deltas.clear();
        Ok(Some(self.hold(state)))
    }

    fn hold(&mut self, state: State) -> News {
        self.whole = false;
        self.held = Some(state.clone());
        match (self.check)(&state) {
            Ok(()) => {
                self.in_force = Some(state.clone());
                News::InForce(state)
            }
            Err(reason) => {
                self.counters.refused += 1;
                News::Refused { version: state.version(), reason }
            }
        }
    }
}

/// The relay is of no use now.
struct Left;
