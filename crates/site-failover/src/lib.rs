//! Whole sites: when one is taken for lost, what holds for its targets meanwhile, and how they come back.
//!
//! A target that fails is the decision module's: it rests, and is tried again. When a site is gone, that is
//! done for each of its targets and by every instance, for as long as it is away, and on its return all turn
//! to it at once. So a site is judged as a whole here. It is lost when most of its targets have failed or
//! left the list within one window, with no answer of theirs since; those that nobody asked meanwhile are
//! probed first, since silence about a target is no evidence. One that is lost gets nothing, for a time that
//! doubles with each further loss: a site that comes and goes must not take the load along each time. After
//! that it is probed, by all instances in turn, and comes back once most of its targets answer. They come
//! back as if just started, whether or not they were: the rule on cold targets then parts what they are sent
//! among all instances, so that the sum of what returns is paced. Where they answer far slower than before
//! the loss, the ramp begins anew.
//!
//! Targets that drained before they left are no evidence: somebody planned that.

#![forbid(unsafe_code)]

use std::collections::{BTreeMap, BTreeSet};

/// A time or a span, in microseconds.
pub type Micros = u64;

/// Answers of a returning site after which its latency is judged, and the weight of a new one in a mean.
const JUDGED_AFTER: u32 = 8;
const WEIGHT: f64 = 0.2;
/// A probe without an end is given up after this long.
const PROBE_LASTS: Micros = 2_000_000;
/// So many holds without a further loss, and the next hold is as short as the first.
const CALM: Micros = 10;
/// How soon to look again while anything is amiss.
const LOOK_AGAIN: Micros = 50_000;

/// The figures that an operator sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rules {
    /// Evidence counts for this long.
    pub window: Micros,
    /// A site is lost when this part of its targets fails, and back when this part answers.
    pub part: f64,
    /// A lost site gets nothing for this long at first, and at most.
    pub hold: Micros,
    pub longest_hold: Micros,
    /// After that it is probed this often, by all instances together.
    pub probe_every: Micros,
    /// How long a returned target counts as cold.
    pub ramp: Micros,
    /// The ramp begins anew where a returning site answers this many times slower than before.
    pub slow_times: f64,
    /// This instance's number, and how many there are.
    pub me: u32,
    pub instances: u32,
}

/// What the list says of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    In,
    Draining,
    Gone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    Up,
    /// Nothing is sent to it.
    Lost {
        since: Micros,
        until: Micros,
    },
    /// Its targets are cold.
    Returning {
        since: Micros,
    },
}

/// What follows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Order {
    /// Ask this target whether it answers.
    Probe(String),
    /// What holds for the site's targets has changed.
    Changed(String, Change),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    Lost {
        failing: usize,
        of: usize,
        hold: Micros,
    },
    Returning {
        answering: usize,
        of: usize,
    },
    /// It answers so many percent of its usual latency: the ramp begins anew.
    Slowed {
        percent: u64,
    },
    Back,
}

#[derive(Clone, Debug)]
struct Target {
    site: String,
    shard: u32,
    state: State,
    /// When the list said that it had gone, without a drain before.
    went: Option<Micros>,
    answered: Option<Micros>,
    failed: Option<Micros>,
    /// A probe is out since then.
    probed: Option<Micros>,
    /// When it came back with its site.
    returned: Option<Micros>,
}

impl Target {
    fn fails(&self, now: Micros, window: Micros) -> bool {
        let lately = |at: Option<Micros>| at.is_some_and(|at| at + window > now);
        lately(self.went) || (lately(self.failed) && self.failed > self.answered)
    }

    fn counts(&self, now: Micros, window: Micros) -> bool {
        self.state == State::In || self.went.is_some_and(|at| at + window > now)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    of: f64,
    count: u32,
}

impl Mean {
    fn add(&mut self, took: Micros) {
        let weight = if self.count == 0 { 1.0 } else { WEIGHT };
        self.of += weight * (took as f64 - self.of);
        self.count = self.count.saturating_add(1);
    }
}

#[derive(Clone, Debug)]
struct Site {
    phase: Phase,
    hold: Micros,
    lost_at: Micros,
    probe_at: Micros,
    turn: usize,
    usual: Mean,
    lately: Mean,
}

/// All sites, as one instance sees them.
#[derive(Clone, Debug)]
pub struct Sites {
    rules: Rules,
    targets: BTreeMap<String, Target>,
    /// The targets of each shard.
    by_shard: BTreeMap<u32, BTreeSet<String>>,
    /// Targets that failed or went lately, perhaps: while there is none and all sites are up, nothing is
    /// looked through.
    suspects: BTreeSet<String>,
    sites: BTreeMap<String, Site>,
}

impl Sites {
    pub fn new(rules: Rules) -> Sites {
        Sites {
            rules,
            targets: BTreeMap::new(),
            by_shard: BTreeMap::new(),
            suspects: BTreeSet::new(),
            sites: BTreeMap::new(),
        }
    }

    /// What the list tells of a target.
    pub fn listed(&mut self, now: Micros, name: &str, site: &str, shard: u32, state: State) {
        let hold = self.rules.hold;
        self.sites.entry(site.to_string()).or_insert(Site {
            phase: Phase::Up,
            hold,
            lost_at: 0,
            probe_at: 0,
            turn: 0,
            usual: Mean::default(),
            lately: Mean::default(),
        });
        let target = self.targets.entry(name.to_string()).or_insert(Target {
            site: site.to_string(),
            shard,
            state: State::Gone,
            went: None,
            answered: None,
            failed: None,
            probed: None,
            returned: None,
        });
        if state == State::Gone && target.state == State::In {
            target.went = Some(now);
        } else if state != State::Gone {
            target.went = None;
        }
        if state == State::Gone {
            self.suspects.insert(name.to_string());
        }
        let before = std::mem::replace(&mut target.shard, shard);
        target.state = state;
        if target.site != site {
            target.site = site.to_string();
        }
        if before != shard {
            leave_shard(&mut self.by_shard, before, name);
        }
        self.by_shard.entry(shard).or_default().insert(name.to_string());
    }

    /// A target answered, whatever it said.
    pub fn answered(&mut self, now: Micros, name: &str, took: Option<Micros>) {
        let Some(target) = self.targets.get_mut(name) else { return };
        (target.answered, target.probed) = (Some(now), None);
        if let (Some(took), Some(site)) = (took, self.sites.get_mut(&target.site)) {
            match site.phase {
                Phase::Up => site.usual.add(took),
                Phase::Returning { .. } => site.lately.add(took),
                Phase::Lost { .. } => {}
            }
        }
    }

    /// No connection, a broken one, or silence.
    pub fn failed(&mut self, now: Micros, name: &str) {
        if let Some(target) = self.targets.get_mut(name) {
            (target.failed, target.probed) = (Some(now), None);
            self.suspects.insert(name.to_string());
        }
    }

    pub fn phase(&self, site: &str) -> Phase {
        self.sites.get(site).map_or(Phase::Up, |s| s.phase)
    }

    /// A target's site, if it was ever listed.
    pub fn site_of(&self, name: &str) -> Option<&str> {
        self.targets.get(name).map(|t| t.site.as_str())
    }

    /// The targets of a site, by their names.
    pub fn targets_of<'a>(&'a self, site: &'a str) -> impl Iterator<Item = &'a str> {
        self.targets.iter().filter(move |(_, t)| t.site == site).map(|(name, _)| name.as_str())
    }

    /// What holds for a target of which the list says this.
    pub fn view(&self, name: &str, state: State, started: Option<Micros>) -> (State, Option<Micros>) {
        let Some(target) = self.targets.get(name) else { return (state, started) };
        match self.phase(&target.site) {
            Phase::Lost { .. } if state == State::In => (State::Draining, started),
            _ => (state, started.max(target.returned)),
        }
    }

    /// Whether nobody but targets of lost sites has a shard: of which site, and after which time it may be
    /// back.
    pub fn refused(&self, now: Micros, shard: u32) -> Option<(&str, Micros)> {
        let mut found = None;
        let names = self.by_shard.get(&shard).into_iter().flatten();
        let targets = names.filter_map(|name| self.targets.get(name));
        for target in targets.filter(|target| target.state == State::In) {
            match self.phase(&target.site) {
                Phase::Lost { until, .. } => {
                    let wait = until.saturating_sub(now).max(self.rules.probe_every);
                    if found.is_none_or(|(_, least)| wait < least) {
                        found = Some((target.site.as_str(), wait));
                    }
                }
                _ => return None,
            }
        }
        found
    }

    /// When to call [`Sites::poll`] again, if anything is amiss.
    pub fn wake(&self, now: Micros) -> Option<Micros> {
        let amiss = self.sites.values().any(|s| s.phase != Phase::Up)
            || self.suspects().any(|target| target.fails(now, self.rules.window));
        amiss.then_some(now + LOOK_AGAIN)
    }

    /// What follows by now.
    pub fn poll(&mut self, now: Micros) -> Vec<Order> {
        let mut orders = Vec::new();
        if self.suspects.is_empty() && self.sites.values().all(|site| site.phase == Phase::Up) {
            return orders;
        }
        let names: Vec<String> = self.sites.keys().cloned().collect();
        for name in names {
            self.judge(now, &name, &mut orders);
        }
        self.forget_suspects(now);
        orders
    }

    fn suspects(&self) -> impl Iterator<Item = &Target> {
        self.suspects.iter().filter_map(|name| self.targets.get(name))
    }

    /// Forgets which targets are suspected that fail no more, and targets that are gone and count no more.
    fn forget_suspects(&mut self, now: Micros) {
        let window = self.rules.window;
        let Sites { targets, by_shard, suspects, .. } = self;
        suspects.retain(|name| {
            let Some(target) = targets.get(name) else { return false };
            if target.state == State::Gone && !target.counts(now, window) {
                leave_shard(by_shard, target.shard, name);
                targets.remove(name);
                return false;
            }
            target.state == State::Gone || target.fails(now, window)
        });
    }

    fn judge(&mut self, now: Micros, name: &str, orders: &mut Vec<Order>) {
        let rules = self.rules;
        let Sites { targets, sites, .. } = self;
        let Some(site) = sites.get_mut(name) else { return };
        let mut own: Vec<(&String, &mut Target)> =
            targets.iter_mut().filter(|(_, t)| t.site == name).collect();
        let of = own.iter().filter(|(_, t)| t.counts(now, rules.window)).count();
        let failing = own.iter().filter(|(_, t)| t.fails(now, rules.window)).count();
        let most = ((rules.part * of as f64).ceil() as usize).max(1);
        // One target that fails is not a site.
        let lost = of >= 2 && failing >= most.max(2);
        match site.phase {
            Phase::Up | Phase::Returning { .. } if lost => {
                if now > site.lost_at + CALM * site.hold {
                    site.hold = rules.hold;
                }
                let hold = site.hold;
                site.phase = Phase::Lost { since: now, until: now + hold };
                site.hold = (2 * hold).min(rules.longest_hold).max(rules.hold);
                site.lost_at = now;
                // Each instance has a turn of its own, so that all together keep to the pace.
                site.probe_at = now + hold + rules.probe_every * u64::from(rules.me);
                orders.push(Order::Changed(name.to_string(), Change::Lost { failing, of, hold }));
            }
            Phase::Up | Phase::Returning { .. } => {
                if 2 * failing >= of && of >= 2 {
                    // Half of it fails: the others are asked, since what nobody asked tells nothing.
                    for (name, target) in &mut own {
                        let lately = |at: Option<Micros>| at.is_some_and(|at| at + rules.window > now);
                        let known = lately(target.answered) || lately(target.failed);
                        if !known && target.state == State::In && !target.asked(now) {
                            target.probed = Some(now);
                            orders.push(Order::Probe((*name).clone()));
                        }
                    }
                }
                let Phase::Returning { since } = site.phase else { return };
                let slow = site.lately.of > rules.slow_times * site.usual.of;
                if site.usual.count > 0 && site.lately.count >= JUDGED_AFTER && slow {
                    let percent = (100.0 * site.lately.of / site.usual.of.max(1.0)) as u64;
                    (site.lately, site.phase) = (Mean::default(), Phase::Returning { since: now });
                    own.iter_mut().for_each(|(_, t)| t.returned = Some(now));
                    orders.push(Order::Changed(name.to_string(), Change::Slowed { percent }));
                } else if now >= since + rules.ramp {
                    site.phase = Phase::Up;
                    orders.push(Order::Changed(name.to_string(), Change::Back));
                }
            }
            Phase::Lost { until, .. } if now >= until => {
                let listed = own.iter().filter(|(_, t)| t.state == State::In).count();
                let answers = |t: &Target| t.answered.is_some_and(|at| at >= until) && t.answered >= t.failed;
                let answering = own.iter().filter(|(_, t)| t.state == State::In && answers(t)).count();
                let enough = ((rules.part * listed as f64).ceil() as usize).max(1);
                if listed > 0 && answering >= enough {
                    (site.phase, site.lately) = (Phase::Returning { since: now }, Mean::default());
                    for (_, target) in &mut own {
                        (target.returned, target.failed) = (Some(now), None);
                    }
                    let change = Change::Returning { answering, of: listed };
                    orders.push(Order::Changed(name.to_string(), change));
                } else if now >= site.probe_at && listed > 0 {
                    let asked: Vec<_> = own
                        .iter_mut()
                        .filter(|(_, t)| t.state == State::In && !answers(t) && !t.asked(now))
                        .collect();
                    let place = site.turn % asked.len().max(1);
                    if let Some((name, target)) = asked.into_iter().nth(place) {
                        target.probed = Some(now);
                        orders.push(Order::Probe((*name).clone()));
                    }
                    site.turn = site.turn.wrapping_add(1);
                    // The first answer tells that it is worth asking the rest.
                    let turns = if answering > 0 { 1 } else { u64::from(rules.instances.max(1)) };
                    site.probe_at = now + rules.probe_every * turns;
                }
            }
            Phase::Lost { .. } => {}
        }
    }
}

fn leave_shard(by_shard: &mut BTreeMap<u32, BTreeSet<String>>, shard: u32, name: &str) {
    if let Some(names) = by_shard.get_mut(&shard) {
        names.remove(name);
        if names.is_empty() {
            by_shard.remove(&shard);
        }
    }
}

impl Target {
    fn asked(&self, now: Micros) -> bool {
        self.probed.is_some_and(|at| at + PROBE_LASTS > now)
    }
}

#[cfg(test)]
mod tests;
