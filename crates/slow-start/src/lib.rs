//! What each of many initiators may send to a target that has just started, so that all of them together
//! never push it over, though none hears what the others send.
//!
//! A target falls over when, for a window, it is sent more than a multiple of what it can do at the time. Its
//! capacity is told to nobody. Two budgets stand side by side, and a request that either has room for may go:
//!
//! - **The even part.** A number of units that a target always bears in its first window is told. It grows as
//!   the target warms at its slowest, and each initiator has its even part ([`Target`]). Over a hundred
//!   initiators that part is less than one request, so it alone leaves a target that has just started almost
//!   without work for as long as it is cold, and most of the initiators that hold a part never ask the target
//!   for anything.
//! - **The reserves.** What is reserved for the volumes whose data a target holds is at most what the target
//!   can do when warm, or the reserves could not be kept at all. So if every volume's reserve is let through
//!   at `part` of its rate, the target gets at most `part` of its full capacity; and it bears `multiple`
//!   times the share of its capacity that it has reached. With `part` below that by [`KEPT_BACK`], the rule
//!   holds whoever else sends, for every initiator paces its own share of the reserve ([`Pace`]): no
//!   initiator needs to hear of another. A volume's reserve is for all its targets together: each cold one
//!   has a pace of its own, at that target's part of it.
//!
//! Targets fall by what reaches them, and a request reaches its target when its connection is up, which may
//! be long after the decision. What was taken from a budget and has not reached its target yet counts as
//! reaching it now, at every look; it counts from its arrival once that is told, and comes back where it
//! never left ([`Taken`]). So nothing that waits for connections adds up beside what was granted since.
//!
//! Many paces that begin at once must not send their first requests at once: a request larger than what has
//! been made up yet waits for a phase of its own, drawn evenly, so that in the sum they begin at their rate.
//! It also keeps a mass restart of initiators harmless: what is not known of the time before is made up by
//! the phases.

#![forbid(unsafe_code)]

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A time or a span, in microseconds.
pub type Micros = u64;

/// This much of the told budget is spared where single requests of many initiators make it up by chance.
const SPARED: f64 = 0.5;
/// This much of what a cold target bears is kept back from the reserves' traffic: for chance, for the even
/// parts beside it, and for targets weaker than the reserves count on.
const KEPT_BACK: f64 = 0.2;

/// The rule on cold targets, and how many initiators keep it together.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rule {
    /// A target starts at this part of its capacity or more ...
    pub from: f64,
    /// ... and is warm after this long at most.
    pub warm_within: Micros,
    /// Units within `window`, from all initiators together, that a cold target always bears.
    pub units: f64,
    pub window: Micros,
    /// More than this multiple of its capacity for `window` pushes a cold target over.
    pub multiple: f64,
    pub initiators: u32,
}

impl Rule {
    fn from(&self) -> f64 {
        self.from.clamp(0.01, 1.0)
    }

    /// The least part of its capacity that a target has at a time, as it warms evenly at the slowest.
    fn capacity(&self, started: Micros, at: Micros) -> f64 {
        let warmed = at.saturating_sub(started) as f64 / self.warm_within.max(1) as f64;
        self.from() + (1.0 - self.from()) * warmed.min(1.0)
    }

    pub fn is_cold(&self, started: Micros, now: Micros) -> bool {
        now < started.saturating_add(self.warm_within)
    }

    /// The part of their rate at which reserves may be sent to a target. It passes one where the target bears
    /// more than it can do.
    pub fn reserve_part(&self, started: Micros, now: Micros) -> f64 {
        let begin = now.saturating_sub(self.window);
        self.multiple * self.capacity(started, begin) * (1.0 - KEPT_BACK)
    }
}

/// What a request takes from a budget until it has reached its target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Taken {
    /// The request's number: only one of its attempts is on its way at a time.
    pub request: u64,
    pub units: f64,
    /// By then it has arrived or never will, also where nothing is told of it.
    pub latest: Micros,
}

impl Taken {
    /// When it reaches its target, as far as can be said now.
    fn arrives(&self, now: Micros) -> Micros {
        self.latest.min(now)
    }
}

/// A cold target, as one initiator sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Target {
    started: Micros,
    /// When this initiator heard of its start.
    told: Micros,
    /// Of the first send.
    phase: f64,
    /// When units arrived.
    sends: VecDeque<(Micros, f64)>,
    /// What has not arrived yet.
    #[serde(default)]
    on_way: Vec<Taken>,
}

impl Target {
    /// `phase` is drawn evenly from 0 to 1.
    pub fn new(started: Micros, told: Micros, phase: f64) -> Target {
        Target { started, told, phase, ..Target::default() }
    }

    /// Until when these units are to wait for this initiator's even part. `born`: when the initiator started;
    /// what it sent before that is not known to it.
    pub fn even_until(&self, rule: &Rule, now: Micros, born: Micros, units: f64) -> Micros {
        let (started, begin) = (self.started, now.saturating_sub(rule.window));
        let from = rule.from();
        let grown = rule.capacity(started, begin) / from;
        let part = rule.units * grown / f64::from(rule.initiators.max(1));
        let since = born.max(started);
        let lately: f64 = self.charged(now).filter(|(t, _)| *t >= begin).map(|(_, u)| u).sum();
        if lately + units <= part {
            return now.max(if since > started { since + rule.window } else { 0 });
        }
        // At the start's part they take `span`; the part grows by `rise` of it a microsecond.
        let span = rule.window as f64 * units * grown / (part * (1.0 - SPARED)).max(1e-9);
        let rise = ((1.0 - from) / from / rule.warm_within.max(1) as f64).max(1e-12);
        let last = self.charged(now).map(|(t, _)| t).max();
        let (last, spans) = last.map_or((since, self.phase), |t| (t, 1.0));
        let reached = 1.0 + rise * last.saturating_sub(started) as f64;
        let until = started + (((reached.powi(2) + 2.0 * rise * span * spans).sqrt() - 1.0) / rise) as Micros;
        until.max(if self.charged(now).next().is_none() { 0 } else { last + rule.window })
    }

    /// What counts against the even part, and since when.
    fn charged(&self, now: Micros) -> impl Iterator<Item = (Micros, f64)> {
        let on_way = self.on_way.iter().map(move |t| (t.arrives(now), t.units));
        self.sends.iter().copied().chain(on_way)
    }

    /// Units are on their way on account of the even part.
    pub fn take(&mut self, taken: Taken) {
        self.on_way.push(taken);
    }

    /// A request's units have arrived now, or never left.
    pub fn settle(&mut self, now: Micros, request: u64, arrived: bool) {
        if let Some(i) = self.on_way.iter().position(|t| t.request == request) {
            let taken = self.on_way.swap_remove(i);
            if arrived {
                self.sends.push_back((taken.arrives(now), taken.units));
            }
        }
    }

    /// Units were sent on account of the even part, and arrived at once.
    pub fn sent(&mut self, now: Micros, units: f64) {
        self.sends.push_back((now, units));
    }
}

/// An initiator's share of a volume's reserve at a cold target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Pace {
    /// From when the next units may go.
    next: Option<Micros>,
    /// What has not arrived yet, and in how long it is made up then.
    #[serde(default)]
    on_way: Option<(Taken, Micros)>,
    /// Sets its first send apart from those of other volumes through the same initiator.
    #[serde(default)]
    shift: f64,
}

/// Multiples of it, without their whole part, lie evenly from 0 to 1.
const GOLDEN: f64 = 0.618_033_988_749_895;

impl Pace {
    pub fn new(volume: u64) -> Pace {
        Pace { shift: (volume as f64 * GOLDEN).fract(), ..Pace::default() }
    }

    /// Until when these units are to wait. `rate`: the initiator's share of the reserve, in units a second.
    pub fn until(&self, rule: &Rule, target: &Target, now: Micros, rate: f64, units: f64) -> Micros {
        // A whole phase is no draw: nothing is known of what went before, and all of it is waited for.
        let phase = if target.phase < 1.0 { (target.phase + self.shift).fract() } else { 1.0 };
        let first = (Pace::span(rule, target, now, rate, units) as f64 * phase) as Micros;
        let on_way = self.on_way.map(|(taken, span)| taken.arrives(now) + span);
        on_way.or(self.next).unwrap_or(0).max(target.told.saturating_add(first))
    }

    /// Units are on their way on account of the reserve.
    pub fn take(&mut self, rule: &Rule, target: &Target, now: Micros, rate: f64, taken: Taken) {
        self.on_way = Some((taken, Pace::span(rule, target, now, rate, taken.units)));
    }

    /// A request's units have arrived now, or never left.
    pub fn settle(&mut self, now: Micros, request: u64, arrived: bool) {
        if let Some((taken, span)) = self.on_way.take_if(|(taken, _)| taken.request == request)
            && arrived
        {
            self.next = Some(taken.arrives(now) + span);
        }
    }

    pub fn sent(&mut self, rule: &Rule, target: &Target, now: Micros, rate: f64, units: f64) {
        self.next = Some(now + Pace::span(rule, target, now, rate, units));
    }

    /// In how long these units are made up.
    fn span(rule: &Rule, target: &Target, now: Micros, rate: f64, units: f64) -> Micros {
        let rate = rate * rule.reserve_part(target.started, now);
        // A volume without a reserve has no pace that could let anything through.
        (units / rate.max(1e-9) * 1e6).min(1e15) as Micros
    }
}
