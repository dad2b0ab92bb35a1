//! Slow start across a fleet: what all initiators together send to a target that has just started, and from
//! when on units count.

mod support;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade::interface::*;
use std::collections::BTreeMap;
use support::*;

const STEP: Micros = 50 * MS;
const START: Micros = 100 * SECOND;
const TARGETS: u32 = 6;
const UNITS: f64 = 2.0;
/// The reserve of every volume, in units per second.
const RESERVE: f64 = 2.0;
/// The volumes' reserves at the warming target, as a fraction of its capacity.
const RESERVED_FRACTION: f64 = 0.9;
const NO_REQUESTS: [u64; 0] = [];

fn warming() -> EndpointEntry {
    EndpointEntry { started: Some(START), ..entry(0, 0) }
}

/// One initiator, and a warming target that bears four units in each window of a second.
fn single_initiator() -> Harness {
    let mut settings = Settings { initiators: 1, ..settings() };
    settings.rules.slow_start_units = 4.0;
    settings.rules.slow_start_duration = 1_000 * SECOND;
    let mut harness = Harness::new(settings, &[warming()]);
    harness.manual_arrivals = true;
    harness
}

fn large(id: u64) -> RequestProfile {
    RequestProfile { units: 4.0, ..request(id, BACKGROUND) }
}

// Guards against units that count from the decision to send them: when a slow connection came up, the budget
// had already filled again.
#[test]
fn units_that_arrive_late_count_from_their_arrival() {
    let mut harness = single_initiator();
    harness.advance(2 * SECOND);
    assert_eq!(started_requests(&harness.arrive(large(1))), [1]);
    harness.advance(900 * MS);
    harness.scheduler.commit_reserved(harness.now, RequestId(1));
    harness.served(1, 10 * MS);
    harness.advance(200 * MS);
    assert_eq!(
        started_requests(&harness.arrive(large(2))),
        NO_REQUESTS,
        "the first request was sent more than a second ago, but arrived only now"
    );
    harness.advance(850 * MS);
    assert_eq!(started_requests(&harness.arrive(large(3))), [3]);
}

#[test]
fn units_count_while_their_connection_comes_up() {
    let mut harness = single_initiator();
    harness.advance(2 * SECOND);
    assert_eq!(started_requests(&harness.arrive(request(1, BACKGROUND))), [1]);
    harness.advance(1_300 * MS);
    assert_eq!(started_requests(&harness.arrive(large(2))), NO_REQUESTS);
    assert_eq!(started_requests(&harness.advance(100 * MS)), NO_REQUESTS);
}

// Guards against units that stay charged for an attempt that was never sent: the target was idle for a
// window.
#[test]
fn an_attempt_that_was_never_sent_releases_its_units() {
    let mut harness = single_initiator();
    harness.advance(2 * SECOND);
    assert_eq!(started_requests(&harness.arrive(large(1))), [1]);
    harness.advance(300 * MS);
    assert_eq!(started_requests(&harness.attempt_ended(1, 0, 0, Outcome::NotSent, 300 * MS)), [1]);
}

#[test]
fn an_attempt_answered_with_an_error_counts_as_arrived() {
    let mut harness = single_initiator();
    harness.advance(2 * SECOND);
    assert_eq!(started_requests(&harness.arrive(large(1))), [1]);
    harness.advance(300 * MS);
    harness.scheduler.commit_reserved(harness.now, RequestId(1));
    let mut again = started_requests(&harness.attempt_ended(1, 0, 0, Outcome::Error, 300 * MS));
    again.extend(started_requests(&harness.advance(900 * MS)));
    assert_eq!(again, NO_REQUESTS, "the failed attempt counts for a second from its arrival");
    assert_eq!(started_requests(&harness.advance(200 * MS)), [1]);
}

/// The successor of an initiator that has sent a request which has not arrived yet.
fn successor(settings: &Settings) -> Harness {
    let mut predecessor = Harness::new(settings.clone(), &[warming()]);
    predecessor.manual_arrivals = true;
    predecessor.advance(12 * SECOND);
    assert_eq!(started_requests(&predecessor.arrive(large(1))), [1]);
    let mut successor = Harness::new(settings.clone(), &[warming()]);
    successor.now = predecessor.now;
    successor.scheduler.restore(predecessor.scheduler.snapshot(predecessor.now));
    successor
}

#[test]
fn units_reserved_at_a_handover_count_at_the_successor() {
    let mut even = Settings { initiators: 1, ..settings() };
    even.rules.slow_start_units = 4.0;
    even.rules.slow_start_duration = 1_000 * SECOND;
    let mut reserve = Settings { initiators: 1, ..even.clone() };
    reserve.plans[0].reserve = 2.0;
    reserve.rules.slow_start_units = 0.0;
    for settings in [even, reserve] {
        let mut successor = successor(&settings);
        assert_eq!(started_requests(&successor.arrive(large(2))), NO_REQUESTS);
        successor.advance(500 * MS);
        assert_eq!(started_requests(&successor.arrive(large(3))), NO_REQUESTS);
        successor.advance(20 * SECOND);
        assert_eq!(
            started_requests(&successor.arrive(large(4))),
            [4],
            "the deadline of request 1 has passed: it has arrived or never will"
        );
    }
}

/// The requests of one volume through one initiator.
struct Sender {
    initiator: usize,
    volume: u32,
    initiators_of_volume: u32,
    targets: u32,
}

/// An attempt whose connection is coming up, or whose response is due.
struct PendingAttempt {
    due_at: Micros,
    initiator: usize,
    id: u64,
    attempt: u32,
    target: u32,
    arrived: bool,
}

struct Fleet {
    settings: Settings,
    random: Pcg64Mcg,
    initiators: Vec<Harness>,
    notified_at: Vec<Micros>,
    senders: Vec<Sender>,
    pending: Vec<PendingAttempt>,
    /// The number of attempts that each request has had.
    attempts: BTreeMap<u64, u32>,
    last_request: u64,
    /// The times at which requests reached the warming target.
    arrivals: Vec<Micros>,
}

impl Fleet {
    fn new(seed: u64, count: u32, capacity: f64, notified_within: Micros) -> Fleet {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut settings = Settings { initiators: count, ..settings() };
        settings.plans[0].reserve = RESERVE;
        settings.plans[0].nominal = RESERVE;
        settings.rules.slow_start_duration = 15 * SECOND;
        settings.rules.overload_window = 3 * SECOND;
        settings.rules.overload_multiple = 2.5;
        settings.rules.slow_start_capacity = 0.28;
        settings.rules.slow_start_units = 0.1 * max_requests(&settings.rules, capacity, START) * UNITS;
        let (mut senders, mut reserve_left, mut volume) = (Vec::new(), RESERVED_FRACTION * capacity, 0);
        while reserve_left > 0.0 {
            volume += 1;
            let (targets, initiators_of_volume) =
                (random.random_range(1..=TARGETS), random.random_range(1..=3));
            reserve_left -= RESERVE / f64::from(targets);
            for _ in 0..initiators_of_volume {
                senders.push(Sender {
                    initiator: random.random_range(0..count) as usize,
                    volume,
                    initiators_of_volume,
                    targets,
                });
            }
        }
        let warm: Vec<EndpointEntry> = (1..TARGETS).map(|n| entry(n, n)).collect();
        let harness = |index| {
            let mut harness = Harness::with_seed(settings.clone(), &warm, seed * 1_000 + index);
            harness.manual_arrivals = true;
            harness
        };
        let initiators = (0..u64::from(count)).map(harness).collect();
        let notified_at = (0..count).map(|_| START + random.random_range(0..=notified_within)).collect();
        let (pending, arrivals) = (Vec::new(), Vec::new());
        Fleet {
            settings,
            random,
            initiators,
            notified_at,
            senders,
            pending,
            attempts: BTreeMap::new(),
            last_request: 0,
            arrivals,
        }
    }

    fn record_sends(&mut self, initiator: usize, actions: &[Action]) {
        for action in actions {
            let Action::StartAttempt { id, target, .. } = action else { continue };
            let attempt = self.attempts.entry(id.0).or_default();
            let connection_delay =
                if self.random.random_bool(0.33) { self.random.random_range(0..1_500 * MS) } else { 0 };
            let due_at = self.initiators[initiator].now + connection_delay;
            self.pending.push(PendingAttempt {
                due_at,
                initiator,
                id: id.0,
                attempt: *attempt,
                target: target.0,
                arrived: false,
            });
            *attempt += 1;
        }
    }

    /// Handles the attempts that are due. An attempt whose connection has come up may start or not; one that
    /// starts gets its response a step later, which is an error for one in five.
    fn process_due(&mut self, now: Micros) {
        let (due, pending) =
            std::mem::take(&mut self.pending).into_iter().partition(|attempt| attempt.due_at <= now);
        self.pending = pending;
        for attempt in due {
            let harness = &mut self.initiators[attempt.initiator];
            if !attempt.arrived
                && harness.scheduler.may_start(now, RequestId(attempt.id), AttemptNumber(attempt.attempt))
            {
                harness.scheduler.commit_reserved(now, RequestId(attempt.id));
                if attempt.target == 0 {
                    self.arrivals.push(now);
                }
                self.pending.push(PendingAttempt { due_at: now + STEP, arrived: true, ..attempt });
                continue;
            }
            let outcome = match attempt.arrived {
                false => Outcome::NotSent,
                true if self.random.random_bool(0.2) => Outcome::Error,
                true => Outcome::Served,
            };
            let actions =
                harness.attempt_ended(attempt.id, attempt.attempt, attempt.target, outcome, 10 * MS);
            self.record_sends(attempt.initiator, &actions);
        }
    }

    /// Kills and restarts the process of an initiator: it loses its attempts in flight and all of its state.
    fn restart(&mut self, initiator: usize) {
        let now = self.initiators[initiator].now;
        let mut entries: Vec<EndpointEntry> = (1..TARGETS).map(|n| entry(n, n)).collect();
        entries.extend((self.notified_at[initiator] <= now).then(warming));
        let mut harness = Harness::without_endpoints(self.settings.clone(), self.random.random());
        (harness.now, harness.manual_arrivals) = (now, true);
        harness.endpoints_changed(EndpointUpdateKind::Cached, &entries);
        self.initiators[initiator] = harness;
        self.pending.retain(|attempt| attempt.initiator != initiator);
    }

    fn step(&mut self, rate: f64) {
        for initiator in 0..self.initiators.len() {
            let actions = self.initiators[initiator].advance(STEP);
            self.record_sends(initiator, &actions);
            let now = self.initiators[initiator].now;
            if (now - STEP..now).contains(&self.notified_at[initiator]) {
                let actions =
                    self.initiators[initiator].endpoints_changed(EndpointUpdateKind::Delta, &[warming()]);
                self.record_sends(initiator, &actions);
            }
        }
        let now = self.initiators[0].now;
        for sender in 0..self.senders.len() {
            if !self.random.random_bool(rate) {
                continue;
            }
            let Sender { initiator, volume, initiators_of_volume, targets } = self.senders[sender];
            let target = self.random.random_range(0..targets);
            if target == 0 && self.notified_at[initiator] > now {
                continue; // the initiator does not have the target in its list yet
            }
            self.last_request += 1;
            let profile = RequestProfile {
                volume: VolumeId(u64::from(volume)),
                initiators: initiators_of_volume,
                shard: Some(ShardId(target)),
                ..request(self.last_request, KEYED)
            };
            let actions = self.initiators[initiator].arrive(profile);
            self.record_sends(initiator, &actions);
        }
        self.process_due(now);
    }
}

/// N, the number of requests that the warming target bears in the window that begins at `begin`.
fn max_requests(rules: &RuleBounds, capacity: f64, begin: Micros) -> f64 {
    let warm_fraction = begin.saturating_sub(START) as f64 / rules.slow_start_duration as f64;
    let capacity_fraction =
        rules.slow_start_capacity + (1.0 - rules.slow_start_capacity) * warm_fraction.min(1.0);
    rules.overload_multiple * capacity_fraction * capacity * rules.overload_window as f64 / 1e6 / UNITS
}

/// The most requests that any window held, as a fraction of N + 2 * sqrt(N) + 2. More than 1 is an overload.
fn max_load_fraction(fleet: &Fleet, capacity: f64) -> f64 {
    let rules = &fleet.settings.rules;
    let load_fraction = |begin: &Micros| {
        let n = max_requests(rules, capacity, *begin);
        let in_window =
            fleet.arrivals.iter().filter(|at| (*begin..begin + rules.overload_window).contains(*at));
        in_window.count() as f64 / (n + 2.0 * n.sqrt() + 2.0)
    };
    fleet.arrivals.iter().map(load_fraction).fold(0.0, f64::max)
}

// Guards against volumes that send their whole reserve to one of their targets: a warming target got more
// than it bears.
#[test]
fn a_fleet_with_restarts_late_updates_and_late_connections_does_not_overload_a_warming_target() {
    let capacity = 60.0;
    for count in [20, 30, 350] {
        for (seed, notified_within) in [(1, 0), (2, 0), (3, 6 * SECOND)] {
            let mut fleet = Fleet::new(seed, count, capacity, notified_within);
            for step in 0..10 * SECOND / STEP {
                // One process in five is killed within the first eight seconds.
                if step % 40 == 0 && step < 160 {
                    for _ in 0..count / 20 {
                        let killed = fleet.random.random_range(0..count) as usize;
                        fleet.restart(killed);
                    }
                }
                fleet.step(0.5);
            }
            let load_fraction = max_load_fraction(&fleet, capacity);
            let requests = fleet.arrivals.len();
            println!(
                "{count} initiators, seed {seed}: {load_fraction:.3} of an overload, {requests} requests"
            );
            assert!(load_fraction <= 1.0, "{count} initiators, seed {seed}: {load_fraction} of an overload");
            assert!(
                requests >= 100,
                "{count} initiators, seed {seed}: only {requests} requests reached the target"
            );
        }
    }
}
