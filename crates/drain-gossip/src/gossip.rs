//! The state machine: receives endpoint lists and datagrams with their time, returns datagrams for peers.

use crate::budget::ByteBudget;
use crate::constants::*;
use crate::cursor::Cursor;
use crate::log::{DrainLog, Position};
use crate::{Message, Micros, Report, TargetKey};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;

/// Totals since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Drains sent to peers.
    pub sent: u64,
    /// Drains reported by peers, including those that were already known.
    pub received: u64,
    /// Answers that the byte budget cut short.
    pub over_budget: u64,
    /// Reports of peers that no longer had all the drains that the query asked for.
    pub gaps: u64,
    /// Reports that answered no query of the latest rounds, or arrived while a watch was open.
    pub unsolicited: u64,
}

/// A datagram to a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outgoing {
    /// The peer's index in the fleet.
    pub to: usize,
    /// The content of the datagram.
    pub message: Message,
}

/// The query that is due at a peer whose last answer was incomplete.
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
    /// Version of the newest endpoint list; 0 if there is none or its version is unknown.
    version: u64,
    /// Whether a list of the current discovery service has been received or cached.
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
    /// Creates the gossip of initiator `own_index` of `initiators`, without an open watch.
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

    /// Totals since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Handles a cached list of a version that discovery served earlier; 0 if the version is unknown.
    pub fn handle_cached_list(&mut self, version: u64) {
        self.version = version;
        if version > 0 {
            self.has_list = true;
            self.log.begin_after(version);
        }
        self.reset_cursor();
    }

    /// Handles a list of this version from discovery: its targets, and whether each is active. Targets that a
    /// snapshot no longer contains must be passed as well, as inactive.
    pub fn handle_endpoint_list<'a>(
        &mut self,
        now: Micros,
        version: u64,
        targets: impl Iterator<Item = (&'a str, bool)>,
    ) {
        if !self.has_list {
            // Drains before this list are unknown.
            self.log.begin_after(version.saturating_sub(1));
        }
        self.version = version;
        self.has_list = true;
        for (name, is_active) in targets {
            let key = TargetKey::of(name);
            match is_active {
                true => self.log.record_active(key),
                false => self.log.record_drain(now, version, key),
            }
        }
        self.log.prune(now);
        self.reset_cursor();
    }

    /// Handles a change of discovery's address. The new service numbers its versions independently.
    pub fn handle_address_change(&mut self) {
        self.version = 0;
        self.has_list = false;
        self.log.restart();
        self.reset_cursor();
    }

    /// Restarts the cursor at the version of the endpoint list.
    fn reset_cursor(&mut self) {
        self.cursor.reset(Position::after_version(self.version));
        self.follow_up = None;
    }

    /// Sets whether a watch on discovery is open; peers are queried while none is. Returns whether the value
    /// changed.
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

    /// When [`DrainGossip::poll`] returns a query next; `None` if only an event can lead to one.
    pub fn next_timeout(&self) -> Option<Micros> {
        let follow_up_at = self.follow_up.map(|follow_up| follow_up.at);
        self.next_round_at.into_iter().chain(follow_up_at).min()
    }

    /// Returns the queries that are due.
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

    /// Answers a peer's query. Returns no reports without an open watch or without drains after `after`.
    pub fn handle_query(&mut self, now: Micros, from: usize, round: u32, after: Position) -> Vec<Outgoing> {
        if !self.watching {
            return Vec::new();
        }
        let reports = self.build_reports(now, round, after);
        reports.into_iter().map(|report| Outgoing { to: from, message: Message::Report(report) }).collect()
    }

    fn build_reports(&mut self, now: Micros, round: u32, after: Position) -> Vec<Report> {
        const MAX_TARGETS_PER_ANSWER: usize = MAX_REPORTS_PER_QUERY * MAX_TARGETS_PER_REPORT;
        let (mut begin, gap) = self.log.report_start(after);
        let mut drains: Vec<Position> = self.log.after(begin).take(MAX_TARGETS_PER_ANSWER + 1).collect();
        let exceeds_answer = drains.len() > MAX_TARGETS_PER_ANSWER;
        drains.truncate(MAX_TARGETS_PER_ANSWER);
        let mut chunks = drains.chunks(MAX_TARGETS_PER_REPORT).peekable();
        let mut reports: Vec<Report> = Vec::new();
        while let Some(chunk) = chunks.next() {
            let Some(last) = chunk.last().copied() else { break };
            if !self.budget.try_take(now, MAX_DATAGRAM_BYTES) {
                self.counters.over_budget += 1;
                if let Some(report) = reports.last_mut() {
                    report.more = true;
                }
                break;
            }
            let is_last_chunk = chunks.peek().is_none();
            // There are no further drains up to the version of the list.
            let through = match is_last_chunk && !exceeds_answer {
                true => last.max(Position::after_version(self.version)),
                false => last,
            };
            self.counters.sent += chunk.len() as u64;
            reports.push(Report {
                round,
                after: begin,
                through,
                gap: gap && reports.is_empty(),
                more: is_last_chunk && exceeds_answer,
                draining: chunk.iter().map(|position| position.key).collect(),
            });
            begin = through;
        }
        reports
    }

    /// Handles a peer's report and returns the targets that it reports as draining or removed. Returns none
    /// if the report answers no query of the latest rounds or a watch is open.
    pub fn handle_report(&mut self, now: Micros, from: usize, report: &Report) -> Vec<TargetKey> {
        if self.watching || self.round.wrapping_sub(report.round) >= ACCEPTED_ROUNDS {
            self.counters.unsolicited += 1;
            return Vec::new();
        }
        self.counters.received += report.draining.len() as u64;
        self.counters.gaps += u64::from(report.gap);
        if report.gap {
            // This peer no longer has the earlier drains; others that still have them are queried as well.
            self.cursor.skip_to(report.after);
        }
        self.cursor.record(report.after, report.through);
        if report.more {
            self.follow_up = Some(FollowUp { at: now + FOLLOW_UP_AFTER, peer: from });
        }
        report.draining.clone()
    }
}
