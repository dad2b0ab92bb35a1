//! Measures the total load that 20, 30 and 350 processes send to one target that has just started, at its
//! arrival.
//!
//! A target that has just started is overloaded if, within the rule's window, it receives more than N + 2 x
//! root of N + 2 requests of mean size, where N is the number that the rule allows: multiple x present
//! capacity x window.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade_slow_start::{Micros, ReservePacer, ReservedUnits, SlowStartRule, TargetBudget};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const STEP: Micros = 10 * MS;
const STARTED: Micros = 1_000 * SECOND;
const WARM_UP: Micros = 15 * SECOND;
/// Capacity of the warm target, in units per second.
const CAPACITY: f64 = 60.0;
/// Mean and maximum units of a request.
const MEAN_UNITS: f64 = 2.0;
const MAX_UNITS: u32 = 6;
const SEEDS: u64 = 4;

/// Conditions in the fleet besides the start of the target.
#[derive(Clone, Copy, Debug, Default)]
struct Conditions {
    /// Load that a warming target always accepts, as a fraction of its initial capacity; given by the
    /// settings.
    initial_load: f64,
    /// Fraction of the processes that are killed and restarted within the first 8 s.
    restarted_fraction: f64,
    /// Longest time until a process is notified of the target's start.
    max_notification_delay: Micros,
    /// Fraction of connections that are established late, and their longest delay.
    late_fraction: f64,
    max_arrival_delay: Micros,
    /// Fraction of requests that the target rejects and that are sent again.
    retried_fraction: f64,
    /// No requests are sent until this long after the target's start; then all clients send at the same time.
    quiet_period: Micros,
}

/// A volume's share at one process, which paces its part of the reserve at the target.
struct Sender {
    process: usize,
    rate: f64,
    pacer: ReservePacer,
    /// Units of the next request.
    units: f64,
}

struct Process {
    target: TargetBudget,
    started_at: Micros,
    notified_at: Micros,
    restart_at: Option<Micros>,
}

fn rule(processes: u32, conditions: &Conditions) -> SlowStartRule {
    let mut rule = SlowStartRule {
        initial_capacity: 0.28,
        duration: WARM_UP,
        initial_units: 0.0,
        overload_window: 3 * SECOND,
        overload_multiple: 2.5,
        initiators: processes,
    };
    rule.initial_units = conditions.initial_load * allowed_requests(&rule, STARTED) * MEAN_UNITS;
    rule
}

/// N: the number of requests of mean size that the rule allows in the window that starts at `begin`.
fn allowed_requests(rule: &SlowStartRule, begin: Micros) -> f64 {
    let warmed = begin.saturating_sub(STARTED) as f64 / rule.duration as f64;
    let fraction = rule.initial_capacity + (1.0 - rule.initial_capacity) * warmed.min(1.0);
    rule.overload_multiple * fraction * CAPACITY * rule.overload_window as f64 / 1e6 / MEAN_UNITS
}

fn overload_threshold(n: f64) -> f64 {
    n + 2.0 * n.sqrt() + 2.0
}

/// Draws the units of a request; most requests are small.
fn draw_units(random: &mut Pcg64Mcg) -> f64 {
    let mut units = 1;
    while units < MAX_UNITS && random.random_bool(0.52) {
        units += 1;
    }
    f64::from(units)
}

/// A request that has been sent and has not arrived at the target yet.
struct InTransit {
    arrives_at: Micros,
    request: u64,
    /// Index of its sender.
    sender: usize,
    units: f64,
}

/// A fleet whose clients always have more requests than it may send.
struct Fleet {
    random: Pcg64Mcg,
    rule: SlowStartRule,
    conditions: Conditions,
    processes: Vec<Process>,
    senders: Vec<Sender>,
    requests: u64,
    in_transit: Vec<InTransit>,
    /// When units arrived at the target.
    arrivals: Vec<(Micros, f64)>,
}

impl Process {
    fn new(random: &mut Pcg64Mcg, conditions: &Conditions) -> Process {
        let notified_at = STARTED + random.random_range(0..=conditions.max_notification_delay);
        let is_restarted = random.random_bool(conditions.restarted_fraction);
        let restart_at = is_restarted.then(|| STARTED + random.random_range(0..8 * SECOND));
        let target = TargetBudget::new(STARTED, notified_at, random.random());
        Process { target, started_at: 0, notified_at, restart_at }
    }
}

impl Fleet {
    fn new(seed: u64, processes: u32, conditions: Conditions) -> Fleet {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        Fleet {
            rule: rule(processes, &conditions),
            conditions,
            processes: (0..processes).map(|_| Process::new(&mut random, &conditions)).collect(),
            senders: volumes(&mut random, processes),
            requests: 0,
            in_transit: Vec::new(),
            arrivals: Vec::new(),
            random,
        }
    }

    /// Restarts the processes that are due. A restarted process does not know what it sent before.
    fn restart(&mut self, now: Micros) {
        for process in &mut self.processes {
            if process.restart_at.take_if(|at| *at <= now).is_some() {
                process.notified_at = process.notified_at.max(now + self.random.random_range(0..=300 * MS));
                process.target = TargetBudget::new(STARTED, process.notified_at, self.random.random());
                process.started_at = now;
            }
        }
        for (index, sender) in self.senders.iter_mut().enumerate() {
            if self.processes[sender.process].started_at == now {
                sender.pacer = ReservePacer::new(index as u64);
            }
        }
    }

    /// Delivers the requests whose connections are established.
    fn arrive(&mut self, now: Micros) {
        let (arrived, in_transit) =
            std::mem::take(&mut self.in_transit).into_iter().partition(|r| r.arrives_at <= now);
        self.in_transit = in_transit;
        for InTransit { request, sender, units, .. } in arrived {
            self.arrivals.push((now, units));
            let sender = &mut self.senders[sender];
            sender.pacer.commit(now, request);
            self.processes[sender.process].target.commit(now, request);
        }
    }

    /// Sends at most one request per sender, if one of the two budgets admits it.
    fn send(&mut self, now: Micros) {
        for index in 0..self.senders.len() {
            if let Some(in_transit) = self.send_one(now, index) {
                self.in_transit.push(in_transit);
            }
        }
    }

    fn send_one(&mut self, now: Micros, index: usize) -> Option<InTransit> {
        let (rule, sender) = (&self.rule, &mut self.senders[index]);
        let process = &mut self.processes[sender.process];
        if now < process.notified_at {
            return None;
        }
        let units = sender.units;
        self.requests += 1;
        let request = self.requests;
        let reserved = ReservedUnits { request, units, arrives_by: now + 5 * SECOND };
        if sender.pacer.admits_at(rule, &process.target, now, sender.rate, units) <= now {
            sender.pacer.reserve(rule, &process.target, now, sender.rate, reserved);
        } else if process.target.admits_at(rule, now, process.started_at, units) <= now {
            process.target.reserve(reserved);
        } else {
            return None;
        }
        // A rejected request is retried with the same size.
        if !self.random.random_bool(self.conditions.retried_fraction) {
            sender.units = draw_units(&mut self.random);
        }
        let is_late = self.random.random_bool(self.conditions.late_fraction);
        let delay = if is_late { self.random.random_range(0..=self.conditions.max_arrival_delay) } else { 0 };
        Some(InTransit { arrives_at: now + delay, request, sender: index, units })
    }
}

/// When units arrive at the target, until it is warm.
fn arrivals(seed: u64, processes: u32, conditions: Conditions) -> Vec<(Micros, f64)> {
    let mut fleet = Fleet::new(seed, processes, conditions);
    for step in 0..WARM_UP / STEP {
        let now = STARTED + step * STEP;
        fleet.restart(now);
        fleet.arrive(now);
        if now >= STARTED + conditions.quiet_period {
            fleet.send(now);
        }
    }
    fleet.arrivals
}

/// Volumes whose reserves at the target make up nine tenths of its capacity, each at one to three processes.
fn volumes(random: &mut Pcg64Mcg, processes: u32) -> Vec<Sender> {
    let mut senders = Vec::new();
    let (mut unreserved, reserve) = (0.9 * CAPACITY, 3.0);
    while unreserved > 0.0 {
        let (targets, initiators_of_volume) = (random.random_range(1..=6), random.random_range(1..=3));
        let rate_at_target = (reserve / f64::from(targets)).min(unreserved);
        unreserved -= rate_at_target;
        for _ in 0..initiators_of_volume {
            let process = random.random_range(0..processes) as usize;
            let rate = rate_at_target / f64::from(initiators_of_volume);
            senders.push(Sender {
                process,
                rate,
                pacer: ReservePacer::new(senders.len() as u64),
                units: draw_units(random),
            });
        }
    }
    senders
}

/// The highest load of any window, as a fraction of the overload threshold, and when that window began, in
/// seconds.
fn worst_window(rule: &SlowStartRule, arrivals: &[(Micros, f64)]) -> (f64, f64) {
    let mut worst_window = (0.0, 0.0);
    for (begin, _) in arrivals {
        let inside = arrivals.iter().filter(|(at, _)| at >= begin && *at < begin + rule.overload_window);
        let requests = inside.map(|(_, units)| units).sum::<f64>() / MEAN_UNITS;
        let fraction = requests / overload_threshold(allowed_requests(rule, *begin));
        if fraction > worst_window.0 {
            worst_window = (fraction, (begin - STARTED) as f64 / 1e6);
        }
    }
    worst_window
}

fn highest_load(processes: u32, conditions: Conditions) -> f64 {
    let rule = rule(processes, &conditions);
    let (mut highest_load, mut sum) = ((0.0, 0.0, 0), 0.0);
    for seed in 1..=SEEDS {
        let arrivals = arrivals(seed, processes, conditions);
        let (fraction, at) = worst_window(&rule, &arrivals);
        sum += arrivals.len() as f64 / SEEDS as f64;
        if fraction > highest_load.0 {
            highest_load = (fraction, at, seed);
        }
    }
    let (fraction, at, seed) = highest_load;
    println!(
        "{processes} processes, {conditions:?}: {fraction:.3} of an overload, at {at:.2} s, seed {seed}; {sum:.0} requests"
    );
    fraction
}

const FLEETS: [u32; 3] = [20, 30, 350];
/// Loads that a warming target always accepts by the settings, as fractions of what the rule allows. The
/// reserves leave a fifth.
const INITIAL_LOADS: [f64; 2] = [0.1, 0.2];

#[test]
fn a_fleet_does_not_overload_a_warming_target() {
    for processes in FLEETS {
        for initial_load in INITIAL_LOADS {
            let calm = Conditions { initial_load, ..Conditions::default() };
            let restarts = Conditions { restarted_fraction: 0.4, ..calm };
            let notified = Conditions { max_notification_delay: 6 * SECOND, ..calm };
            let late = Conditions { late_fraction: 0.33, max_arrival_delay: 1_500 * MS, ..calm };
            let retries = Conditions { retried_fraction: 0.3, ..calm };
            let mixed = Conditions {
                max_notification_delay: 6 * SECOND,
                late_fraction: 0.33,
                max_arrival_delay: 1_500 * MS,
                ..restarts
            };
            for conditions in
                [calm, restarts, notified, late, retries, Conditions { retried_fraction: 0.3, ..mixed }]
            {
                let fraction = highest_load(processes, conditions);
                assert!(
                    fraction <= 1.0,
                    "{processes} processes, {conditions:?}: {fraction} of the overload threshold"
                );
            }
        }
    }
}

// If all clients stop sending and resume at the same moment, every pacer can admit one request immediately.
#[test]
fn a_fleet_whose_clients_resume_at_the_same_time_does_not_overload_a_warming_target() {
    for processes in FLEETS {
        let fraction = highest_load(
            processes,
            Conditions { initial_load: INITIAL_LOADS[0], quiet_period: 4 * SECOND, ..Conditions::default() },
        );
        assert!(fraction <= 1.0, "{processes} processes: {fraction} of the overload threshold");
    }
}
