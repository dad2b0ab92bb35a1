//! The state machine: lists and datagrams go in with their time, datagrams to peers come out.

use crate::budget::ByteBudget;
use crate::constants::*;
use crate::cursor::Cursor;
use crate::log::{DrainLog, Position};
use crate::{Message, Micros, Report, TargetKey};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Drains sent to peers.
    pub sent: u64,
    /// Drains that peers reported, whether or not they were known.
    pub received: u64,
    /// Answers cut short by the budget of bytes.
    pub over_budget: u64,
    /// Reports of peers that did not know all that was queried.
    pub gaps: u64,
    /// Reports that were no answer to a query of the last rounds.
    pub unsolicited: u64,
}

/// A datagram to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The peer's index among all initiators.
    pub to: usize,
    /// What is sent.
    pub message: Message,
}

/// When a peer that has more to report is queried again.
#[derive(Clone, Copy, Debug)]
struct FollowUp {
    at: Micros,
    peer: usize,
}

/// The drain gossip of one initiator.
#[derive(Debug)]
pub struct DrainGossip {
    own_index: usize,
    initiators: usize,
    random: Pcg64Mcg,
    /// The newest version of the list that is held; 0: none.
    version: u64,
    /// A list of the present discovery is held.
    has_list: bool,
    log: DrainLog,
    budget: ByteBudget,
    watching: bool,
    round: u32,
    next_round_at: Option<Micros>,
    round_interval: Micros,
    cursor: Cursor,
    follow_up: Option<FollowUp>,
    counters: Counters,
}

impl DrainGossip {
    /// The gossip of initiator `own_index` of so many, which does not watch discovery yet.
    pub fn new(own_index: usize, initiators: usize, seed: u64, now: Micros) -> DrainGossip {
        let mut gossip = DrainGossip {
            own_index,
            initiators,
            random: Pcg64Mcg::seed_from_u64(seed),
            version: 0,
            has_list: false,
            log: DrainLog::default(),
            budget: ByteBudget::new(now),
            watching: true,
            round: 0,
            next_round_at: None,
            round_interval: MIN_ROUND_INTERVAL,
            cursor: Cursor::default(),
            follow_up: None,
            counters: Counters::default(),
        };
        gossip.set_watching(now, false);
        gossip
    }

    /// What was counted since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// A cached list is held, as of a version that discovery served earlier; 0: it is not known which.
    pub fn handle_cached_list(&mut self, version: u64) {
        self.version = version;
        if version > 0 {
            self.has_list = true;
            self.log.begin_after(version);
        }
        self.reset_cursor();
    }

    /// Discovery sent a list of this version: its targets, and whether each is active. Those that a snapshot
    /// does not name any more are to be among them.
    pub fn handle_endpoint_list<'a>(
        &mut self,
        now: Micros,
        version: u64,
        targets: impl Iterator<Item = (&'a str, bool)>,
    ) {
        if !self.has_list {
            // What drained before this list is not known here.
            self.log.begin_after(version.saturating_sub(1));
        }
        self.version = version;
        self.has_list = true;
        for (name, is_active) in targets {
            let key = TargetKey::of(name);
            match is_active {
                true => self.log.record_return(key),
                false => self.log.record_drain(now, version, key),
            }
        }
        self.log.prune(now);
        self.reset_cursor();
    }

    /// Discovery is at another address, and counts its versions in another way.
    pub fn handle_address_change(&mut self) {
        self.version = 0;
        self.has_list = false;
        self.log.restart();
        self.reset_cursor();
    }

    /// What is known is what the list said.
    fn reset_cursor(&mut self) {
        self.cursor.reset(Position::after_version(self.version));
        self.follow_up = None;
    }

    /// Whether a watch on discovery is open. While none is, peers are queried. Returns whether that has changed.
    pub fn set_watching(&mut self, now: Micros, watching: bool) -> bool {
        if self.watching == watching {
            return false;
        }
        self.watching = watching;
        self.round_interval = MIN_ROUND_INTERVAL;
        self.follow_up = None;
        let first_round_after = self.random.random_range(0..=FIRST_ROUND_WITHIN);
        let queries = !watching && self.initiators > 1;
        self.next_round_at = queries.then_some(now + first_round_after);
        true
    }

    /// When [`DrainGossip::poll`] has something to send next; none: only after an event.
    pub fn next_timeout(&self) -> Option<Micros> {
        let follow_up_at = self.follow_up.map(|follow_up| follow_up.at);
        self.next_round_at.into_iter().chain(follow_up_at).min()
    }

    /// Queries that are due.
    pub fn poll(&mut self, now: Micros) -> Vec<Outgoing> {
        let mut queried = BTreeSet::new();
        if let Some(follow_up) = self.follow_up.take_if(|follow_up| follow_up.at <= now) {
            queried.insert(follow_up.peer);
        }
        if self.next_round_at.is_some_and(|at| at <= now) {
            self.begin_round(now);
            queried.extend(self.draw_peers());
        }
        let query = Message::Query { round: self.round, after: self.cursor.position() };
        queried.into_iter().map(|to| Outgoing { to, message: query.clone() }).collect()
    }

    fn begin_round(&mut self, now: Micros) {
        let interval = self.random.random_range(self.round_interval / 2..=self.round_interval);
        self.next_round_at = Some(now + interval);
        self.round_interval = (self.round_interval * 2).min(MAX_ROUND_INTERVAL);
        self.round = self.round.wrapping_add(1);
    }

    fn draw_peers(&mut self) -> BTreeSet<usize> {
        let others = self.initiators - 1;
        let mut peers = BTreeSet::new();
        while peers.len() < PEERS_PER_ROUND.min(others) {
            let other = self.random.random_range(0..others);
            peers.insert(if other < self.own_index { other } else { other + 1 });
        }
        peers
    }

    /// The answer to a peer's query: none without an open watch, or where nothing is behind its position.
    pub fn handle_query(&mut self, now: Micros, from: usize, round: u32, after: Position) -> Vec<Outgoing> {
        if !self.watching {
            return Vec::new();
        }
        let reports = self.build_reports(now, round, after);
        reports.into_iter().map(|report| Outgoing { to: from, message: Message::Report(report) }).collect()
    }

    fn build_reports(&mut self, now: Micros, round: u32, after: Position) -> Vec<Report> {
        const MAX_TARGETS_PER_ANSWER: usize = MAX_REPORTS_PER_QUERY * MAX_TARGETS_PER_REPORT;
        let (mut begin, gap) = self.log.start(after);
        let mut drains: Vec<Position> = self.log.after(begin).take(MAX_TARGETS_PER_ANSWER + 1).collect();
        let more_than_answer = drains.len() > MAX_TARGETS_PER_ANSWER;
        drains.truncate(MAX_TARGETS_PER_ANSWER);
        let mut parts = drains.chunks(MAX_TARGETS_PER_REPORT).peekable();
        let mut reports: Vec<Report> = Vec::new();
        while let Some(part) = parts.next() {
            let Some(last) = part.last().copied() else { break };
            if !self.budget.try_take(now, MAX_DATAGRAM_BYTES) {
                self.counters.over_budget += 1;
                if let Some(report) = reports.last_mut() {
                    report.more = true;
                }
                break;
            }
            let is_last_part = parts.peek().is_none();
            // Behind the last drain there is nothing up to the version that is held.
            let through = match is_last_part && !more_than_answer {
                true => last.max(Position::after_version(self.version)),
                false => last,
            };
            self.counters.sent += part.len() as u64;
            reports.push(Report {
                round,
                after: begin,
                through,
                gap: gap && reports.is_empty(),
                more: is_last_part && more_than_answer,
                draining: part.iter().map(|position| position.key).collect(),
            });
            begin = through;
        }
        reports
    }

    /// A peer's report. Returns the targets that it says are draining or removed; none where it is no answer
    /// to a query of the last rounds, or a watch is open.
    pub fn handle_report(&mut self, now: Micros, from: usize, report: &Report) -> Vec<TargetKey> {
        if self.watching || self.round.wrapping_sub(report.round) >= ACCEPTED_ROUNDS {
            self.counters.unsolicited += 1;
            return Vec::new();
        }
        self.counters.received += report.draining.len() as u64;
        self.counters.gaps += u64::from(report.gap);
        if report.gap {
            // This peer cannot tell what came before, and others that can are queried too.
            self.cursor.skip_to(report.after);
        }
        self.cursor.record(report.after, report.through);
        if report.more {
            self.follow_up = Some(FollowUp { at: now + FOLLOW_UP_AFTER, peer: from });
        }
        report.draining.clone()
    }
}
