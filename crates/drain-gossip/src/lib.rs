//! What instances tell each other of targets that leave, for the time in which discovery does not answer one
//! of them.
//!
//! Discovery is one service for all instances. After an outage, or a restart of many instances, it needs
//! seconds to answer all of them, and those that wait would go on sending to targets that leave. So an
//! instance without an open watch asks a few others, drawn at random, and one whose watch is open answers
//! with the targets that have left since the version that is held. Only those without a watch ask, and only
//! those with one answer, so the exchange costs nothing while discovery answers.
//!
//! # What a report can do
//!
//! It can only take a target out of use, and only until discovery itself is heard: a target is never used
//! because a peer says so, and a report that is late, doubled, forged or wrong keeps a target idle for
//! seconds at most. Reports are taken only as answers to queries of the last seconds. One that claims a gap
//! moves the position that is asked from: wrongly claimed by a peer, it can keep other peers' departures from
//! this instance until discovery is heard.
//!
//! # How thousands of departures are told
//!
//! All departures stand in one order that the instances share ([`Position`]). A query names the position up
//! to which the asker knows them, an answer goes on from there in datagrams that each name where they begin
//! and end, and the last says whether there is more. So the asker notices a datagram that was lost, asks on
//! from the gap, and is told all in the end: nothing is left out in silence. What an instance sends is
//! bounded by a budget of bytes a second; reaching it is counted ([`Counters`]), and the asker goes on later.
//!
//! There is no clock, socket or runtime here: a driver tells the time, carries the datagrams, and is told
//! what to do.

#![forbid(unsafe_code)]

mod budget;
mod log;
mod message;

pub use budget::{BURST, BYTES_PER_SECOND};
pub use log::{MOST_KEPT, Position};
pub use message::{LONGEST, MOST_TARGETS, Malformed, Message, Report, TargetKey};

use budget::Budget;
use log::DepartureLog;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// A point in time or a span, in microseconds of the driver's monotonic clock.
pub type Micros = u64;

/// Peers that one round of queries goes to: the chance that none of them has a watch falls with each.
const FANOUT: usize = 3;
/// From one round to the next, doubled each time up to the longest.
const SHORTEST_PAUSE: Micros = 250_000;
const LONGEST_PAUSE: Micros = 1_000_000;
/// The first round comes by chance within this time: all instances may begin to ask together.
const FIRST_WITHIN: Micros = 50_000;
/// Reports are taken for the queries of so many last rounds.
const ROUNDS_HEARD: u32 = 4;
/// Datagrams that answer one query at most; the asker asks on.
pub const PAGE: usize = 8;
/// After an answer with more behind it, its sender is asked on this soon.
const FOLLOW_AFTER: Micros = 1_000;
/// Parts of an answer that came ahead of others and are kept in mind.
const MOST_AHEAD: usize = 4 * PAGE;

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Departures sent to peers.
    pub told: u64,
    /// Departures that peers told, whether or not they were known.
    pub heard: u64,
    /// Answers cut short by the budget of bytes.
    pub over_budget: u64,
    /// Reports of peers that did not know all that was asked for.
    pub gaps: u64,
    /// Reports that were no answer to a query of the last rounds.
    pub not_asked: u64,
}

/// A datagram to a peer, by its number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    pub to: usize,
    pub message: Message,
}

/// The exchange, as one instance holds it.
#[derive(Debug)]
pub struct Exchange {
    me: usize,
    instances: usize,
    random: Pcg64Mcg,
    /// The newest version of the list that is held; 0: none.
    version: u64,
    /// A list was heard of this discovery.
    listed: bool,
    log: DepartureLog,
    budget: Budget,
    watching: bool,
    round: u32,
    next_round: Option<Micros>,
    pause: Micros,
    /// All departures up to here are known.
    cursor: Position,
    /// Parts of answers behind the cursor that came out of turn: where each begins and ends.
    ahead: BTreeMap<Position, Position>,
    /// A peer that has more to tell, and when it is asked on.
    follow: Option<(Micros, usize)>,
    counters: Counters,
}

impl Exchange {
    /// The exchange of instance `me` of so many, which does not watch discovery yet.
    pub fn new(me: usize, instances: usize, seed: u64, now: Micros) -> Exchange {
        let mut exchange = Exchange {
            me,
            instances,
            random: Pcg64Mcg::seed_from_u64(seed),
            version: 0,
            listed: false,
            log: DepartureLog::default(),
            budget: Budget::new(now),
            watching: true,
            round: 0,
            next_round: None,
            pause: SHORTEST_PAUSE,
            cursor: Position::default(),
            ahead: BTreeMap::new(),
            follow: None,
            counters: Counters::default(),
        };
        exchange.watching(now, false);
        exchange
    }

    /// What was counted since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// The list is held as of a version that discovery told earlier; 0: it is not known which.
    pub fn remembers(&mut self, version: u64) {
        self.version = version;
        if version > 0 {
            self.listed = true;
            self.log.begin_after(version);
        }
        self.start_over();
    }

    /// Discovery told a list of this version: the targets that are in use, and those that are not, among them
    /// those that a whole list does not name any more.
    pub fn listed<'a>(&mut self, now: Micros, version: u64, targets: impl Iterator<Item = (&'a str, bool)>) {
        if !self.listed {
            // What left before this list is not known here.
            self.log.begin_after(version.saturating_sub(1));
        }
        (self.version, self.listed) = (version, true);
        for (name, in_use) in targets {
            let key = TargetKey::of(name);
            match in_use {
                true => self.log.returned(key),
                false => self.log.departed(now, version, key),
            }
        }
        self.log.prune(now);
        self.start_over();
    }

    /// Discovery is at another address, and counts its versions in another way.
    pub fn moved(&mut self) {
        (self.version, self.listed) = (0, false);
        self.log.restart();
        self.start_over();
    }

    /// What is known is what the list told.
    fn start_over(&mut self) {
        self.cursor = Position::after_version(self.version);
        self.ahead.clear();
        self.follow = None;
    }

    /// Whether a watch on discovery is open. While none is, peers are asked. True: that is news.
    pub fn watching(&mut self, now: Micros, watching: bool) -> bool {
        if self.watching == watching {
            return false;
        }
        self.watching = watching;
        self.pause = SHORTEST_PAUSE;
        self.follow = None;
        let first = self.random.random_range(0..=FIRST_WITHIN);
        self.next_round = (!watching && self.instances > 1).then_some(now + first);
        true
    }

    /// When [`Exchange::poll`] has something to send next.
    pub fn next_poll(&self) -> Option<Micros> {
        self.next_round.into_iter().chain(self.follow.map(|(at, _)| at)).min()
    }

    /// Queries that are due.
    pub fn poll(&mut self, now: Micros) -> Vec<Outgoing> {
        let mut asked = BTreeSet::new();
        if let Some((_, peer)) = self.follow.take_if(|(at, _)| *at <= now) {
            asked.insert(peer);
        }
        if self.next_round.is_some_and(|at| at <= now) {
            let jitter = self.random.random_range(self.pause / 2..=self.pause);
            self.next_round = Some(now + jitter);
            self.pause = (self.pause * 2).min(LONGEST_PAUSE);
            self.round = self.round.wrapping_add(1);
            asked.extend(self.some_peers());
        }
        let message = Message::Query { number: self.round, after: self.cursor };
        asked.into_iter().map(|to| Outgoing { to, message: message.clone() }).collect()
    }

    fn some_peers(&mut self) -> BTreeSet<usize> {
        let others = self.instances - 1;
        let mut chosen = BTreeSet::new();
        while chosen.len() < FANOUT.min(others) {
            let other = self.random.random_range(0..others);
            chosen.insert(if other < self.me { other } else { other + 1 });
        }
        chosen
    }

    /// A peer asks. Nothing is answered without an open watch, or where there is nothing behind its position.
    pub fn query(&mut self, now: Micros, from: usize, number: u32, after: Position) -> Vec<Outgoing> {
        if !self.watching {
            return Vec::new();
        }
        let (mut begin, gap) = self.log.start(after);
        let departed: Vec<Position> = self.log.after(begin).take(PAGE * MOST_TARGETS + 1).collect();
        let mut parts = departed[..departed.len().min(PAGE * MOST_TARGETS)].chunks(MOST_TARGETS).peekable();
        let beyond = departed.len() > PAGE * MOST_TARGETS;
        let mut reports: Vec<Report> = Vec::new();
        while let Some(part) = parts.next() {
            let Some(last) = part.last().copied() else { break };
            if !self.budget.take(now, LONGEST) {
                self.counters.over_budget += 1;
                reports.last_mut().into_iter().for_each(|report| report.more = true);
                break;
            }
            let end = parts.peek().is_none();
            // Behind the last departure there is nothing up to the version that is held.
            let through = if end && !beyond { last.max(Position::after_version(self.version)) } else { last };
            self.counters.told += part.len() as u64;
            reports.push(Report {
                number,
                after: begin,
                through,
                gap: gap && reports.is_empty(),
                more: end && beyond,
                departed: part.iter().map(|position| position.key).collect(),
            });
            begin = through;
        }
        reports.into_iter().map(|report| Outgoing { to: from, message: Message::Report(report) }).collect()
    }

    /// A peer's report. Returns the targets that it says have left; none where it is no answer to a query of
    /// the last rounds, or a watch is open.
    pub fn report(&mut self, now: Micros, from: usize, report: &Report) -> Vec<TargetKey> {
        if self.watching || self.round.wrapping_sub(report.number) >= ROUNDS_HEARD {
            self.counters.not_asked += 1;
            return Vec::new();
        }
        self.counters.heard += report.departed.len() as u64;
        self.counters.gaps += u64::from(report.gap);
        if report.gap && report.after > self.cursor {
            // This peer cannot tell what came before, and others that can are asked too.
            self.cursor = report.after;
        }
        if report.through > report.after && self.ahead.len() < MOST_AHEAD {
            self.ahead.insert(report.after, report.through);
        }
        self.advance();
        if report.more {
            self.follow = Some((now + FOLLOW_AFTER, from));
        }
        report.departed.clone()
    }

    /// Moves the cursor over the parts that join on to it.
    fn advance(&mut self) {
        while let Some((after, through)) = self.ahead.first_key_value().map(|(a, t)| (*a, *t))
            && after <= self.cursor
        {
            self.ahead.remove(&after);
            self.cursor = self.cursor.max(through);
        }
    }
}
