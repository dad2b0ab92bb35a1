//! Every decision of rowanglade. Its types, events and actions stand in `src/interface.rs`.
//!
//! Per target: held requests in earliest-deadline order with capped push-backs, refusal on arrival by
//! predicted completion, background work always accepted, a bound on units out that follows the speed.
use crate::interface::*;
use rowanglade_slow_start::{Pace, Rule};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

mod admission;
mod decaying_sum;
mod dispatch;
mod endpoint_updates;
mod estimates;
mod outcomes;
mod placement;
mod queues;
mod slow_start;
pub mod snapshot;
mod targets;
mod timers;
mod token_bucket;

use self::{
    decaying_sum::{LongRate, Rate},
    outcomes::AttemptEnd,
    queues::Queues,
    targets::{Target, Targets},
    token_bucket::Store,
};

/// What was learned this long ago counts e times less.
const KNOWN_FOR: f64 = 1.2e6;
/// How often a held request may be overtaken.
const PUSH_BACKS: u32 = 12;
/// Part of the tightest aim that the units out at a target may take to serve.
const AIM_PART: f64 = 0.5;
/// Usual requests that may be out at a target at least, and at most.
const FEWEST_OUT: f64 = 2.0;
const MOST_OUT: f64 = 16.0;
/// A class that does not write and whose aim is this many times the tightest aim is background work.
const BACKGROUND_AIM: f64 = 2.5;
/// Final answers leave this long before the client's time is up.
const ANSWER_EARLY: Micros = 4_000;
/// Units beyond a volume's due enter only while they are predicted within this part of their aim.
const BEYOND_PART: f64 = 0.5;
/// Background work is sent while less than this part of the bound is out.
const BACKGROUND_PART: f64 = 0.2;
/// It waits while it is predicted to take more than this part of the tightest aim.
const BACKGROUND_AIM_PART: f64 = 0.5;
/// Unsent for this part of its client's time it is given up: it holds a connection that others lack.
const BACKGROUND_WAIT: f64 = 0.08;
/// The level of dues rises so a second, falls by so much of the part refused, and keeps so much of the top.
const LEVEL_RISE: f64 = 0.5;
const LEVEL_FALL: f64 = 10.0;
const LEVEL_FLOOR: f64 = 0.1;
/// Clients are told to stay away for this long at least.
const SHORTEST_ADVICE: Micros = 20_000;
/// Below this part of its store an initiator asks others for units, and gives none.
const LOW_PART: f64 = 0.25;
/// An initiator keeps what its own requests ask in so many seconds.
const KEPT_SECONDS: f64 = 0.5;
/// How often held requests are looked at again.
const TICK: Micros = 10_000;
/// Idle volumes and keys are forgotten after this long.
const FORGET: Micros = 30_000_000;
const NEVER: Micros = 1_000_000_000_000_000; // later than any time that counts

#[derive(Clone, Copy, PartialEq)]
enum Ran {
    Out,
    Never,
    Maybe,
}

struct AttemptState {
    target: TargetId,
    sent: Micros,
    ran: Ran,
    lost: bool,     // called off, since its answer does not come
    predicted: f64, // by the closed form, without the margin
}

/// A request that is not over, or has an attempt without an outcome.
#[derive(Default)]
struct RequestState {
    class: usize,
    volume: VolumeId,
    plan: Option<PlanId>,
    key: Option<KeyId>,
    units: f64,
    placed: bool, // the shard was given, not chosen here
    shard: Option<ShardId>,
    aim: Micros,      // an answer by then earns the full worth
    patience: Micros, // unsent by then, it is given up
    due: Micros,      // the place in the order: the aim, or for background work what it was moved to
    deadline: Micros,
    reach: Option<TargetSetId>,
    initiators: f64,
    pushed: u32,
    waiting: bool, // in its shard's queue
    started: bool,
    limit_owed: bool, // units of its limit are taken and not drawn yet
    over: bool,
    tries: Vec<AttemptState>,
}

/// A volume at one shard, as this initiator sees it.
#[derive(Default)]
struct Part {
    asked: Rate,
    elsewhere: Rate,
    lately: LongRate,
    pace: Option<Pace>, // of the reserve, while its target is cold
    credit: f64,
    filled: Micros,
}

#[derive(Default)]
struct Volume {
    asked: Rate,
    served: Rate,
    meter: Option<(Micros, f64)>, // units a second served everywhere, and when that was told
    seen: Micros,
    lately: LongRate, // asked, at all shards
    parts: BTreeMap<ShardId, Part>,
}

/// Requests of one key, which run one at a time.
#[derive(Default)]
struct KeyQueue {
    /// In the order in which they were taken.
    requests: VecDeque<RequestId>,
    /// No first attempt is sent before then: an earlier one may still run.
    rests_until: Micros,
}

/// The decisions of one initiator: what happens is told to [`Scheduler::handle`], which says what to do.
#[derive(Default)]
pub struct Scheduler {
    settings: Settings,
    cold: Rule,
    random: u64,
    /// When the first event came: what was sent before is not known here.
    born: Option<Micros>,
    /// Another process has the units and the cold budgets.
    handed: bool,
    /// For each class, whether it is background work.
    background: Vec<bool>,
    tightest: Micros,
    /// What the answers of all targets tell.
    overall: Target,
    /// For each class, what the closed form is multiplied by.
    margins: Vec<f64>,
    requests: BTreeMap<RequestId, RequestState>,
    deadlines: BTreeSet<(Micros, RequestId)>,
    queues: Queues,
    /// New objects that no target takes yet.
    unplaced: Vec<RequestId>,
    targets: Targets,
    /// Preferred for new objects; empty: none is.
    near: BTreeSet<TargetId>,
    /// What requests with a route may reach, in the order of numbers.
    reaches: BTreeMap<TargetSetId, Vec<TargetId>>,
    key_queues: BTreeMap<KeyId, KeyQueue>,
    limits: BTreeMap<VolumeId, Store>,
    volumes: BTreeMap<VolumeId, Volume>,
    taken: VecDeque<Micros>,
    extra: VecDeque<Micros>,
    wake_at: Option<Micros>,
    swept: Micros,
}

impl Scheduler {
    pub fn new(settings: Settings, seed: u64) -> Result<Scheduler, SettingsError> {
        settings.check()?;
        let tightest = settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(0);
        let patient = |c: &RequestClass| {
            c.latency_objective as f64 >= BACKGROUND_AIM * tightest as f64 && c.latency_objective > tightest
        };
        let background = settings.classes.iter().map(|c| !c.write && patient(c)).collect();
        let margins = vec![1.0; settings.classes.len()];
        let cold = settings.slow_start();
        Ok(Scheduler { settings, cold, random: seed, background, tightest, margins, ..Scheduler::default() })
    }

    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.born.get_or_insert(now);
        match event {
            Event::RequestArrived(r) => self.request(now, r, actions),
            Event::AttemptEnded {
                id,
                attempt,
                outcome,
                elapsed: took,
                request_over: over,
                used,
                elsewhere,
                ..
            } => {
                self.use_told(now, id, outcome, used, elsewhere);
                self.outcome(now, AttemptEnd { id, attempt, outcome, took, over }, actions);
            }
            Event::TransferStarted { id, attempt, deadline_applies } => {
                if let Some(h) = self.requests.get_mut(&id) {
                    if !deadline_applies {
                        self.deadlines.remove(&(h.deadline, id));
                    }
                    h.started |= !deadline_applies;
                    let sent = h.tries.get(attempt.0 as usize);
                    sent.into_iter().for_each(|t| {
                        self.targets.free_room(t.target, (t.sent, id, attempt.0), h.units);
                    });
                }
            }
            Event::ClientGone { id } => {
                // Nobody waits for it: where the target can drop waiting work, it should.
                let held = self.requests.get(&id).filter(|_| self.settings.may_cancel);
                let tries = held.iter().flat_map(|h| h.tries.iter().enumerate());
                for (i, _) in tries.filter(|(_, t)| t.ran == Ran::Out) {
                    actions.push(Action::CancelAttempt { id, attempt: AttemptNumber(i as u32) });
                }
                self.end(now, id);
            }
            Event::EndpointsChanged { kind, entries } => self.list(now, kind, &entries, actions),
            Event::PreferredTargets(targets) => self.near = targets.into_iter().collect(),
            Event::TargetSetChanged { set: target_set, targets: Some(mut targets) } => {
                targets.sort_unstable();
                targets.dedup();
                self.reaches.insert(target_set, targets);
            }
            Event::TargetSetChanged { set: target_set, targets: None } => {
                drop(self.reaches.remove(&target_set))
            }
            Event::OfferQuota { volume, max_units } => {
                let units = self.spare(now, volume, max_units);
                actions.push(Action::QuotaOffered { volume, units });
            }
            Event::QuotaReceived { volume, units } => {
                self.limits.entry(volume).and_modify(|s| s.add(now, units.max(0.0))); // read up to the cap
            }
            Event::ProbeEnded { .. } => {}
            Event::OwnershipTransferred(handed) => self.handed = handed,
            Event::TimerFired { token } => {
                if self.wake_at == Some(token) {
                    self.wake_at = None;
                    self.tick(now, actions);
                }
            }
        }
        self.next_wake(now, actions);
    }

    fn rand(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut z = self.random;
        z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((z ^ (z >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// The one way to a final answer of this initiator's: a refusal where the class allows it, else a
    /// failure.
    fn answer(&mut self, now: Micros, id: RequestId, actions: &mut Vec<Action>) {
        let Some(h) = self.requests.get(&id).filter(|h| !h.over) else { return };
        let harmless = h.tries.iter().all(|t| t.ran == Ran::Never)
            || match self.settings.classes[h.class].idempotency {
                Idempotency::Idempotent => true,
                Idempotency::KeyedWithin { scope: group, .. } => group == DeduplicationScope::All,
                Idempotency::NonIdempotent => false,
            };
        actions.push(if harmless {
            Action::Reject { id, retry_after: self.advice(now, h) }
        } else {
            Action::Fail { id }
        });
        self.end(now, id);
    }

    fn end(&mut self, now: Micros, id: RequestId) {
        let Some(h) = self.requests.get_mut(&id) else { return };
        h.over = true;
        self.deadlines.remove(&(h.deadline, id));
        if h.waiting {
            h.waiting = false;
            if let Some(shard) = h.shard {
                self.queues.remove(shard, id);
            }
        }
        self.unplaced.retain(|q| *q != id);
        self.drop_if_done(now, id);
    }

    fn drop_if_done(&mut self, now: Micros, id: RequestId) {
        let Some(h) = self.requests.get(&id) else { return };
        if !h.over || h.tries.iter().any(|t| t.ran == Ran::Out) {
            return;
        }
        if let Some(queue) = h.key.and_then(|k| self.key_queues.get_mut(&k)) {
            queue.requests.retain(|q| *q != id);
        }
        self.settle(now, id, h.tries.iter().any(|t| t.ran == Ran::Maybe));
        self.requests.remove(&id);
    }
}
