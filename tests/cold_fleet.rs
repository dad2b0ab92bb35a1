//! The sum of what a fleet sends to a target that has just started, and when it counts.

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
/// Units a second of every volume's reserve.
const RESERVE: f64 = 2.0;
/// Of what the warming target can do, the part that its volumes' reserves there make up.
const RESERVED: f64 = 0.9;
const NOTHING: [u64; 0] = [];

fn warming() -> EndpointEntry {
    EndpointEntry { started: Some(START), ..entry(0, 0) }
}

/// One initiator, and a warming target that bears four units in each window of a second.
fn lone() -> Harness {
    let mut s = Settings { initiators: 1, ..settings() };
    s.rules.slow_start_units = 4.0;
    s.rules.slow_start_duration = 1_000 * SECOND;
    let mut b = Harness::new(s, &[warming()]);
    b.manual_arrivals = true;
    b
}

fn large(id: u64) -> RequestProfile {
    RequestProfile { units: 4.0, ..request(id, BACKGROUND) }
}

// Its budget was counted from the decision: by the time a slow connection was up it had filled again.
#[test]
fn units_that_arrive_late_count_from_their_arrival() {
    let mut b = lone();
    b.advance(2 * SECOND);
    assert_eq!(started_requests(&b.arrive(large(1))), [1]);
    b.advance(900 * MS);
    b.scheduler.commit_reserved(b.now, RequestId(1));
    b.served(1, 10 * MS);
    b.advance(200 * MS);
    assert_eq!(
        started_requests(&b.arrive(large(2))),
        NOTHING,
        "a second ago it was decided, and it arrived just now"
    );
    b.advance(850 * MS);
    assert_eq!(started_requests(&b.arrive(large(3))), [3]);
}

#[test]
fn units_that_wait_for_a_connection_count_as_long_as_they_do() {
    let mut b = lone();
    b.advance(2 * SECOND);
    assert_eq!(started_requests(&b.arrive(request(1, BACKGROUND))), [1]);
    b.advance(1_300 * MS);
    assert_eq!(started_requests(&b.arrive(large(2))), NOTHING);
    assert_eq!(started_requests(&b.advance(100 * MS)), NOTHING);
}

// What never left was charged, and the target stood idle for a window.
#[test]
fn an_attempt_that_never_left_gives_its_units_back() {
    let mut b = lone();
    b.advance(2 * SECOND);
    assert_eq!(started_requests(&b.arrive(large(1))), [1]);
    b.advance(300 * MS);
    assert_eq!(started_requests(&b.attempt_ended(1, 0, 0, Outcome::NotSent, 300 * MS)), [1]);
}

#[test]
fn an_attempt_answered_with_an_error_has_arrived() {
    let mut b = lone();
    b.advance(2 * SECOND);
    assert_eq!(started_requests(&b.arrive(large(1))), [1]);
    b.advance(300 * MS);
    b.scheduler.commit_reserved(b.now, RequestId(1));
    let mut again = started_requests(&b.attempt_ended(1, 0, 0, Outcome::Error, 300 * MS));
    again.extend(started_requests(&b.advance(900 * MS)));
    assert_eq!(again, NOTHING, "it counts for a second from its arrival on");
    assert_eq!(started_requests(&b.advance(200 * MS)), [1]);
}

/// What a successor goes on with after one initiator's request has been sent and has not arrived.
fn successor(settings: &Settings) -> Harness {
    let mut first = Harness::new(settings.clone(), &[warming()]);
    first.manual_arrivals = true;
    first.advance(12 * SECOND);
    assert_eq!(started_requests(&first.arrive(large(1))), [1]);
    let mut next = Harness::new(settings.clone(), &[warming()]);
    next.now = first.now;
    next.scheduler.restore(first.scheduler.snapshot(first.now));
    next
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
        let mut next = successor(&settings);
        assert_eq!(started_requests(&next.arrive(large(2))), NOTHING);
        next.advance(500 * MS);
        assert_eq!(started_requests(&next.arrive(large(3))), NOTHING);
        next.advance(20 * SECOND);
        assert_eq!(
            started_requests(&next.arrive(large(4))),
            [4],
            "its time is up: it has arrived or never will"
        );
    }
}

/// A volume's requests through one initiator.
struct Sender {
    initiator: usize,
    volume: u32,
    initiators_of_volume: u32,
    targets: u32,
}

/// An attempt whose connection comes up at a time, or whose answer comes then.
struct Out {
    at: Micros,
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
    out: Vec<Out>,
    /// Attempts of each request so far.
    attempts: BTreeMap<u64, u32>,
    next: u64,
    /// When requests reached the warming target.
    reached: Vec<Micros>,
}

impl Fleet {
    fn new(seed: u64, count: u32, capacity: f64, notified_within: Micros) -> Fleet {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let mut s = Settings { initiators: count, ..settings() };
        s.plans[0].reserve = RESERVE;
        s.plans[0].nominal = RESERVE;
        s.rules.slow_start_duration = 15 * SECOND;
        s.rules.overload_window = 3 * SECOND;
        s.rules.overload_multiple = 2.5;
        s.rules.slow_start_capacity = 0.28;
        s.rules.slow_start_units = 0.1 * allowed(&s.rules, capacity, START) * UNITS;
        let (mut senders, mut left, mut volume) = (Vec::new(), RESERVED * capacity, 0);
        while left > 0.0 {
            volume += 1;
            let (targets, initiators_of_volume) =
                (random.random_range(1..=TARGETS), random.random_range(1..=3));
            left -= RESERVE / f64::from(targets);
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
        let harness = |g| {
            let mut b = Harness::with_seed(s.clone(), &warm, seed * 1_000 + g);
            b.manual_arrivals = true;
            b
        };
        let initiators = (0..u64::from(count)).map(harness).collect();
        let notified_at = (0..count).map(|_| START + random.random_range(0..=notified_within)).collect();
        let (out, reached) = (Vec::new(), Vec::new());
        Fleet {
            settings: s,
            random,
            initiators,
            notified_at,
            senders,
            out,
            attempts: BTreeMap::new(),
            next: 0,
            reached,
        }
    }

    fn sent(&mut self, initiator: usize, actions: &[Action]) {
        for action in actions {
            let Action::StartAttempt { id, target, .. } = action else { continue };
            let attempt = self.attempts.entry(id.0).or_default();
            let late =
                if self.random.random_bool(0.33) { self.random.random_range(0..1_500 * MS) } else { 0 };
            let at = self.initiators[initiator].now + late;
            self.out.push(Out {
                at,
                initiator,
                id: id.0,
                attempt: *attempt,
                target: target.0,
                arrived: false,
            });
            *attempt += 1;
        }
    }

    /// A connection that came up is asked for; what arrives is answered a step later, one in five by an
    /// error.
    fn come_up(&mut self, now: Micros) {
        let (due, out) = std::mem::take(&mut self.out).into_iter().partition(|o| o.at <= now);
        self.out = out;
        for o in due {
            let b = &mut self.initiators[o.initiator];
            if !o.arrived && b.scheduler.may_start(now, RequestId(o.id), AttemptNumber(o.attempt)) {
                b.scheduler.commit_reserved(now, RequestId(o.id));
                if o.target == 0 {
                    self.reached.push(now);
                }
                self.out.push(Out { at: now + STEP, arrived: true, ..o });
                continue;
            }
            let outcome = match o.arrived {
                false => Outcome::NotSent,
                true if self.random.random_bool(0.2) => Outcome::Error,
                true => Outcome::Served,
            };
            let actions = b.attempt_ended(o.id, o.attempt, o.target, outcome, 10 * MS);
            self.sent(o.initiator, &actions);
        }
    }

    /// A process that is killed takes what it had under way along, and knows of nothing when it is back.
    fn restart(&mut self, initiator: usize) {
        let now = self.initiators[initiator].now;
        let mut entries: Vec<EndpointEntry> = (1..TARGETS).map(|n| entry(n, n)).collect();
        entries.extend((self.notified_at[initiator] <= now).then(warming));
        let mut b = Harness::without_endpoints(self.settings.clone(), self.random.random());
        (b.now, b.manual_arrivals) = (now, true);
        b.endpoints_changed(EndpointUpdateKind::Cached, &entries);
        self.initiators[initiator] = b;
        self.out.retain(|o| o.initiator != initiator);
    }

    fn step(&mut self, rate: f64) {
        for initiator in 0..self.initiators.len() {
            let actions = self.initiators[initiator].advance(STEP);
            self.sent(initiator, &actions);
            let now = self.initiators[initiator].now;
            if (now - STEP..now).contains(&self.notified_at[initiator]) {
                let actions =
                    self.initiators[initiator].endpoints_changed(EndpointUpdateKind::Delta, &[warming()]);
                self.sent(initiator, &actions);
            }
        }
        let now = self.initiators[0].now;
        for place in 0..self.senders.len() {
            if !self.random.random_bool(rate) {
                continue;
            }
            let Sender { initiator, volume, initiators_of_volume, targets } = self.senders[place];
            let target = self.random.random_range(0..targets);
            if target == 0 && self.notified_at[initiator] > now {
                continue; // it knows of nobody there
            }
            self.next += 1;
            let asked = RequestProfile {
                volume: VolumeId(volume),
                initiators: initiators_of_volume,
                shard: Some(ShardId(target)),
                ..request(self.next, KEYED)
            };
            let actions = self.initiators[initiator].arrive(asked);
            self.sent(initiator, &actions);
        }
        self.come_up(now);
    }
}

/// N: requests in the window that begins then.
fn allowed(rules: &RuleBounds, capacity: f64, begin: Micros) -> f64 {
    let warmed = begin.saturating_sub(START) as f64 / rules.slow_start_duration as f64;
    let part = rules.slow_start_capacity + (1.0 - rules.slow_start_capacity) * warmed.min(1.0);
    rules.overload_multiple * part * capacity * rules.overload_window as f64 / 1e6 / UNITS
}

/// The most requests that any window held, as a part of N + 2 x root of N + 2.
fn worst(fleet: &Fleet, capacity: f64) -> f64 {
    let rules = &fleet.settings.rules;
    let part = |begin: &Micros| {
        let n = allowed(rules, capacity, *begin);
        let inside = fleet.reached.iter().filter(|at| (*begin..begin + rules.overload_window).contains(*at));
        inside.count() as f64 / (n + 2.0 * n.sqrt() + 2.0)
    };
    fleet.reached.iter().map(part).fold(0.0, f64::max)
}

// Each volume's whole reserve could go to one of its targets: where that was the warming one, it got more than it
// bears.
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
            let part = worst(&fleet, capacity);
            let requests = fleet.reached.len();
            println!("{count} initiators, seed {seed}: {part:.3} of an overload, {requests} requests");
            assert!(part <= 1.0, "{count} initiators, seed {seed}: {part} of an overload");
            assert!(
                requests >= 100,
                "{count} initiators, seed {seed}: {requests} requests, the target is starved"
            );
        }
    }
}
