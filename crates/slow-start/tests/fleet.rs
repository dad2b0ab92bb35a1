//! A fleet of initiators that do not communicate, and one target that has just started.

use rowanglade_slow_start::{Micros, ReservePacer, SlowStartRule, TargetBudget};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Capacity of the warm target, in units per second. All of it is reserved, which is the maximum.
const CAPACITY: f64 = 60.0;
const INITIATORS: u32 = 100;
const VOLUMES: usize = 24;
/// Number of initiators that serve a volume.
const INITIATORS_PER_VOLUME: usize = 2;
const UNITS_PER_REQUEST: f64 = 2.0;

fn rule() -> SlowStartRule {
    SlowStartRule {
        initial_capacity: 0.28,
        duration: 15 * SECOND,
        initial_units: 12.0,
        overload_window: 3 * SECOND,
        overload_multiple: 2.5,
        initiators: INITIATORS,
    }
}

/// A generator of pseudo-random numbers from 0 to 1.
struct Phases(u64);

impl Phases {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 11) as f64 / (1u64 << 53) as f64
    }
}

/// A volume's share at one initiator.
struct Sender {
    target: TargetBudget,
    pacer: ReservePacer,
    /// When the initiator of this share started.
    history_since: Micros,
}

impl Sender {
    /// Sends a request if one of the two budgets admits it now.
    fn send(&mut self, rule: &SlowStartRule, now: Micros, rate: f64) -> bool {
        if self.pacer.admits_at(rule, &self.target, now, rate, UNITS_PER_REQUEST) <= now {
            self.pacer.record_arrival(rule, &self.target, now, rate, UNITS_PER_REQUEST);
            return true;
        }
        let admitted = self.target.admits_at(rule, now, self.history_since, UNITS_PER_REQUEST) <= now;
        if admitted {
            self.target.record_arrival(now, UNITS_PER_REQUEST);
        }
        admitted
    }
}

/// Returns what arrives at a target that started at `STARTED` when the initiators of every volume always have
/// requests to send. They are notified of the start after `notified_after`; all of them restart after
/// `restart`.
fn arrivals(
    seed: u64,
    notified_after: impl Fn(usize) -> Micros,
    restart: Option<Micros>,
) -> Vec<(Micros, f64)> {
    let (rule, mut phases) = (rule(), Phases(seed));
    let count = VOLUMES * INITIATORS_PER_VOLUME;
    let rate = CAPACITY / count as f64;
    let mut sender = |notified_at, history_since| Sender {
        target: TargetBudget::new(STARTED, notified_at, phases.next()),
        pacer: ReservePacer::default(),
        history_since,
    };
    let mut senders: Vec<Sender> = (0..count).map(|i| sender(STARTED + notified_after(i), 0)).collect();
    let mut arrived = Vec::new();
    for step in 0..1_500 {
        let now = STARTED + step * 10 * MS;
        if restart.is_some_and(|at| now == STARTED + at) {
            senders.fill_with(|| sender(now, now));
        }
        for (i, sender) in senders.iter_mut().enumerate() {
            if now >= STARTED + notified_after(i) && sender.send(&rule, now, rate) {
                arrived.push((now, UNITS_PER_REQUEST));
            }
        }
    }
    arrived
}

const STARTED: Micros = 1_000 * SECOND;

/// The highest load of any window, as a fraction of what the target accepts in it if it warms up at its
/// slowest.
fn highest_load(arrivals: &[(Micros, f64)]) -> f64 {
    let rule = rule();
    let allowed_units = |end: Micros| {
        let begin = end.saturating_sub(rule.overload_window).max(STARTED);
        let capacity = rule.initial_capacity
            + (1.0 - rule.initial_capacity) * (begin - STARTED) as f64 / rule.duration as f64;
        rule.overload_multiple * capacity.min(1.0) * CAPACITY * rule.overload_window as f64 / 1e6
    };
    let window =
        |end: Micros| arrivals.iter().filter(move |(at, _)| *at <= end && *at + rule.overload_window > end);
    arrivals
        .iter()
        .map(|(end, _)| window(*end).map(|(_, u)| u).sum::<f64>() / allowed_units(*end))
        .fold(0.0, f64::max)
}

#[test]
fn initiators_keep_the_slow_start_rule_and_the_target_busy_without_communication() {
    for seed in 1..30 {
        for lag in [0, 2 * SECOND, 5 * SECOND] {
            // Some are notified at once and others late.
            let arrivals = arrivals(seed, |s| lag * (s as u64 % 10) / 10, None);
            let highest_load = highest_load(&arrivals);
            assert!(
                highest_load <= 1.0,
                "seed {seed}, lag {lag}: {highest_load} of the load that the target accepts"
            );
            let early: f64 =
                arrivals.iter().filter(|(at, _)| *at < STARTED + 8 * SECOND).map(|(_, u)| u).sum();
            // The even part alone admits only 12 units in 3 s; the target can do at least 28 % of 60 units
            // per second.
            assert!(early > 0.3 * 8.0 * CAPACITY, "seed {seed}, lag {lag}: {early} units in 8 s");
        }
    }
}

#[test]
fn a_mass_restart_of_the_initiators_does_not_overload_the_target() {
    for seed in 1..30 {
        for restart in [SECOND, 3 * SECOND, 6 * SECOND] {
            let highest_load = highest_load(&arrivals(seed, |_| 0, Some(restart)));
            assert!(
                highest_load <= 1.0,
                "seed {seed}, after {restart}: {highest_load} of the load that the target accepts"
            );
        }
    }
}

#[test]
fn a_volume_without_a_reserve_uses_only_the_even_part() {
    let (rule, target) = (rule(), TargetBudget::new(STARTED, STARTED, 0.5));
    let now = STARTED + 14 * SECOND;
    assert!(
        ReservePacer::default().admits_at(&rule, &target, now, 0.0, UNITS_PER_REQUEST) > now + 15 * SECOND
    );
}

#[test]
fn a_pacer_covers_all_warming_targets_of_a_shard_and_starts_each_at_its_phase() {
    let rule = rule();
    let (first_target, second_target) =
        (TargetBudget::new(STARTED, STARTED, 0.0), TargetBudget::new(STARTED, STARTED, 0.0));
    let mut pacer = ReservePacer::default();
    pacer.record_arrival(&rule, &first_target, STARTED, 1.0, UNITS_PER_REQUEST);
    assert!(pacer.admits_at(&rule, &second_target, STARTED, 1.0, UNITS_PER_REQUEST) > STARTED + 2 * SECOND);
    let later = STARTED + 100 * SECOND;
    let target_started_later = TargetBudget::new(later, later, 0.5);
    assert!(
        pacer.admits_at(&rule, &target_started_later, later, 1.0, UNITS_PER_REQUEST) > later + SECOND,
        "units saved up long ago are admitted immediately"
    );
}

#[test]
fn pacers_of_one_initiator_start_at_different_phases_unless_the_phase_is_one() {
    let rule = rule();
    let wait = |volume, phase| {
        ReservePacer::new(volume).admits_at(
            &rule,
            &TargetBudget::new(STARTED, STARTED, phase),
            STARTED,
            1.0,
            UNITS_PER_REQUEST,
        ) - STARTED
    };
    let mut waits: Vec<Micros> = (0..8).map(|volume| wait(volume, 0.5)).collect();
    waits.sort_unstable();
    let min_distance = waits.windows(2).map(|pair| pair[1] - pair[0]).min().expect("eight volumes");
    assert!(min_distance > 100 * MS, "{waits:?}");
    let full_wait = wait(0, 1.0);
    assert!(full_wait > waits[7]);
    assert!((0..8).all(|volume| wait(volume, 1.0) == full_wait));
}
