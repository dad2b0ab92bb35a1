//! A relay's part: a bounded number of followers, told of news as fast as its own budget of bytes lets it.
//! The source is a relay that follows nobody.

use crate::follower::{Follower, News};
use crate::message::{Answer, Body, Snapshot, Watch};
use crate::state::{Change, Delta, State, Version};
use crate::{Millis, NodeId};
use std::collections::{BTreeMap, VecDeque};

/// How long a relay's own watches wait for news: ages are told no later than that.
pub const RELAY_HOLD: Millis = 1_000;
/// Deltas that are kept for followers who are behind: over an hour of changes, one every 20 s.
const KEPT: usize = 256;
/// How long answers that find no room in the budget wait.
const PACE: Millis = 20;
/// Bytes of an answer beside its content, and of a change beside its text.
const HEAD: usize = 96;
const CHANGE: usize = 8;
/// What a follower refuses is forgotten once it has not watched for so long: it may have gone to another
/// relay.
const FORGET: Millis = 15_000;
/// A watch is held for this long at most.
const LONGEST_HOLD: Millis = 10_000;

/// An answer to be sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Outgoing {
    pub to: NodeId,
    pub answer: Answer,
}

/// What a relay may spend on its followers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Followers at once.
    pub followers: usize,
    /// Bytes a second, and at once.
    pub rate: u64,
    pub burst: u64,
}

/// Counts that tell whether it works.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    pub deltas: u64,
    pub snapshots: u64,
    pub same: u64,
    /// Followers turned away.
    pub busy: u64,
    /// Answers put off, since the budget was spent.
    pub delayed: u64,
}

/// A watch that waits for its answer.
#[derive(Debug)]
struct Waiting {
    watch: Watch,
    until: Millis,
}

/// One relay, or the source.
#[derive(Debug)]
pub struct Relay {
    me: NodeId,
    limits: Limits,
    role: Role,
    /// From older to newer, each the base of the next.
    history: VecDeque<Delta>,
    /// Of the present state, made when first asked for.
    packed: Option<Snapshot>,
    waiting: BTreeMap<NodeId, Waiting>,
    /// Followers that refuse their newest state, and those behind them; until when that counts.
    refusing: BTreeMap<NodeId, (u32, Millis)>,
    /// Bytes that may be sent at once, and when that was.
    tokens: u64,
    counted: Millis,
    counters: Counters,
}

#[derive(Debug)]
enum Role {
    Source(State),
    Relay(Box<Follower>),
}

impl Relay {
    /// The source, from a state that it kept, or an empty one of a new epoch.
    pub fn source(me: NodeId, limits: Limits, state: State) -> Relay {
        Relay::of(me, limits, Role::Source(state))
    }

    /// A relay behind these, from the most preferred one on. `known` is what it kept of its last life, if
    /// anything.
    pub fn new(me: NodeId, limits: Limits, upstreams: Vec<NodeId>, known: Option<State>) -> Relay {
        // A relay passes on what it is told: whether it can be run with is for each instance to say.
        let follower = Follower::new(me, upstreams, RELAY_HOLD, Box::new(|_| Ok(())), known);
        Relay::of(me, limits, Role::Relay(Box::new(follower)))
    }

    fn of(me: NodeId, limits: Limits, role: Role) -> Relay {
        Relay {
            me,
            limits,
            role,
            history: VecDeque::new(),
            packed: None,
            waiting: BTreeMap::new(),
            refusing: BTreeMap::new(),
            tokens: limits.burst,
            counted: 0,
            counters: Counters::default(),
        }
    }

    pub fn state(&self) -> Option<&State> {
        match &self.role {
            Role::Source(state) => Some(state),
            Role::Relay(follower) => follower.held(),
        }
    }

    /// Its part as a follower; none at the source.
    pub fn follower(&self) -> Option<&Follower> {
        match &self.role {
            Role::Source(_) => None,
            Role::Relay(follower) => Some(follower),
        }
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Instances at or behind its followers that refuse the newest state that they have.
    pub fn refusing(&self, now: Millis) -> u32 {
        self.refusing.values().filter(|(_, until)| *until > now).map(|(count, _)| count).sum()
    }

    /// The source's next version. Relays have none to make, and ignore it.
    pub fn publish(&mut self, changes: Vec<Change>) -> Option<Version> {
        let Role::Source(state) = &mut self.role else { return None };
        let version = Version { number: state.version().number + 1, ..state.version() };
        let delta = state.delta(version, changes);
        *state = state.after(&delta).ok()?;
        self.keep(vec![delta]);
        Some(version)
    }

    /// Keeps what led to the present state; none where that is not known.
    fn keep(&mut self, deltas: Vec<Delta>) {
        self.packed = None;
        if deltas.is_empty() {
            self.history.clear();
        }
        self.history.extend(deltas);
        let most = self.history.len().min(KEPT);
        self.history.drain(..self.history.len() - most);
    }

    /// A relay's own watch to be sent now, if one is due.
    pub fn poll_upstream(&mut self, now: Millis) -> Option<(NodeId, Watch)> {
        self.refusing.retain(|_, (_, until)| *until > now);
        let refusing = self.refusing(now);
        match &mut self.role {
            Role::Source(_) => None,
            Role::Relay(follower) => follower.poll(now, refusing),
        }
    }

    /// The answer to a relay's own watch came.
    pub fn heard(&mut self, now: Millis, from: NodeId, answer: Answer) {
        let Role::Relay(follower) = &mut self.role else { return };
        if let Some(News::InForce(_)) = follower.heard(now, from, answer) {
            let deltas = follower.last_deltas().to_vec();
            self.keep(deltas);
        }
    }

    /// Whom it watches cannot be reached, or a follower has gone.
    pub fn lost(&mut self, now: Millis, peer: NodeId) {
        self.waiting.remove(&peer);
        self.refusing.remove(&peer);
        if let Role::Relay(follower) = &mut self.role {
            follower.lost(now, peer);
        }
    }

    /// A follower's watch came. [`Relay::poll`] says when it is answered, unless it is turned away at once.
    pub fn watched(&mut self, now: Millis, from: NodeId, watch: Watch) -> Option<Outgoing> {
        if self.waiting.len() >= self.limits.followers && !self.waiting.contains_key(&from) {
            self.counters.busy += 1;
            return Some(self.outgoing(now, from, Body::Busy));
        }
        match watch.refusing {
            0 => self.refusing.remove(&from),
            refusing => self.refusing.insert(from, (refusing, now + FORGET)),
        };
        let until = now + watch.hold.min(LONGEST_HOLD);
        self.waiting.insert(from, Waiting { watch, until });
        None
    }

    /// When to call [`Relay::poll`] and [`Relay::poll_upstream`] again, unless something is heard before.
    pub fn wake(&self, now: Millis) -> Option<Millis> {
        let due = |waiting: &Waiting| match self.body(&waiting.watch) {
            Answered::Same => waiting.until,
            _ => now + PACE,
        };
        let answer = self.waiting.values().map(due).min();
        let upstream = self.follower().and_then(Follower::wake);
        [answer, upstream].into_iter().flatten().min()
    }

    /// Answers to be sent now: news first, whole states as the budget lets them.
    pub fn poll(&mut self, now: Millis) -> Vec<Outgoing> {
        let earned = now.saturating_sub(self.counted) * self.limits.rate / 1_000;
        self.tokens = (self.tokens + earned).min(self.limits.burst);
        self.counted = now;
        let mut due: Vec<(usize, NodeId, Answered)> = Vec::new();
        for (from, waiting) in &self.waiting {
            let answered = self.body(&waiting.watch);
            if answered != Answered::Same || waiting.until <= now {
                due.push((self.size(&answered), *from, answered));
            }
        }
        due.sort_by_key(|(size, from, _)| (*size, *from));
        let mut out = Vec::new();
        for (size, from, answered) in due {
            // One that is larger than the budget goes once that is full.
            if (size as u64).min(self.limits.burst) > self.tokens {
                self.counters.delayed += 1;
                break;
            }
            let Some(body) = self.made(answered) else { continue };
            self.tokens = self.tokens.saturating_sub(size as u64);
            self.waiting.remove(&from);
            out.push(self.outgoing(now, from, body));
        }
        out
    }

    fn outgoing(&self, now: Millis, to: NodeId, body: Body) -> Outgoing {
        let (mut path, age) = match &self.role {
            Role::Source(_) => (Vec::new(), 0),
            Role::Relay(follower) => (follower.path().to_vec(), follower.age(now).unwrap_or(Millis::MAX / 2)),
        };
        path.push(self.me);
        Outgoing { to, answer: Answer { path, age, body } }
    }

    /// What a watch would be answered now.
    fn body(&self, watch: &Watch) -> Answered {
        let Some(state) = self.state() else { return Answered::Empty };
        let Some(held) = watch.held else { return Answered::Snapshot };
        match held.version.cmp(&state.version()) {
            std::cmp::Ordering::Greater => Answered::Older,
            std::cmp::Ordering::Equal if held.digest == state.digest() => Answered::Same,
            std::cmp::Ordering::Equal => Answered::Differs,
            std::cmp::Ordering::Less => match self.history.iter().position(|d| d.base == held.version) {
                Some(first) => Answered::Since(first),
                None => Answered::Snapshot,
            },
        }
    }

    /// Its bytes, nearly.
    fn size(&self, answered: &Answered) -> usize {
        match answered {
            Answered::Since(first) => {
                let changes = self.history.iter().skip(*first).flat_map(|d| &d.changes);
                let text =
                    |(name, value): &Change| name.len() + value.as_ref().map_or(0, |v| v.len()) + CHANGE;
                HEAD + changes.map(text).sum::<usize>()
            }
            // Before the state is packed: a third of its text, which is more than it will be.
            Answered::Snapshot => HEAD + self.packed.as_ref().map_or_else(|| self.text() / 3, Snapshot::size),
            _ => HEAD,
        }
    }

    fn text(&self) -> usize {
        self.state().map_or(0, |state| state.entries().map(|(name, value)| name.len() + value.len()).sum())
    }

    fn made(&mut self, answered: Answered) -> Option<Body> {
        Some(match answered {
            Answered::Same => {
                self.counters.same += 1;
                Body::Same
            }
            Answered::Older => Body::Older,
            Answered::Empty => Body::Empty,
            Answered::Differs => Body::Differs,
            Answered::Since(first) => {
                self.counters.deltas += 1;
                Body::Deltas(self.history.iter().skip(first).cloned().collect())
            }
            Answered::Snapshot => {
                self.counters.snapshots += 1;
                if self.packed.is_none() {
                    self.packed = self.state().and_then(|state| Snapshot::pack(state).ok());
                }
                Body::Snapshot(self.packed.clone()?)
            }
        })
    }
}

/// How a watch is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answered {
    Same,
    Older,
    Empty,
    Differs,
    /// All deltas from a place of the history on.
    Since(usize),
    Snapshot,
}
