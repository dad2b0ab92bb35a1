//! A fleet of initiators, each acting alone, in front of one target that has just started.

use rowanglade_slow_start::{Micros, ReservePacer, SlowStartRule, TargetBudget};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Units a second that the target can do when warm; all of it is reserved, which is the most that can be.
const CAPACITY: f64 = 60.0;
const INITIATORS: u32 = 100;
const VOLUMES: usize = 24;
/// Through how many initiators a volume works.
const INITIATORS_OF_A_VOLUME: usize = 2;
const UNITS: f64 = 2.0;

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

/// Numbers that look random, from 0 to 1.
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
    /// When its initiator started.
    history_since: Micros,
}

impl Sender {
    /// Sends a request if one of the two budgets admits it now.
    fn send(&mut self, rule: &SlowStartRule, now: Micros, rate: f64) -> bool {
        if self.pacer.admits_at(rule, &self.target, now, rate, UNITS) <= now {
            self.pacer.record_arrival(rule, &self.target, now, rate, UNITS);
            return true;
        }
        let admitted = self.target.admits_at(rule, now, self.history_since, UNITS) <= now;
        if admitted {
            self.target.record_arrival(now, UNITS);
        }
        admitted
    }
}

/// What arrives at a target that started at `STARTED`, when every volume's initiators would send all the
/// time. They are notified of the start after `notified_after`; all initiators are restarted after `restart`.
fn arrivals(
    seed: u64,
    notified_after: impl Fn(usize) -> Micros,
    restart: Option<Micros>,
) -> Vec<(Micros, f64)> {
    let (rule, mut phases) = (rule(), Phases(seed));
    let count = VOLUMES * INITIATORS_OF_A_VOLUME;
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
                arrived.push((now, UNITS));
            }
        }
    }
    arrived
}

const STARTED: Micros = 1_000 * SECOND;

/// The most that any window held, as a part of what the target bears in it at the slowest warming.
fn fullest(all: &[(Micros, f64)]) -> f64 {
    let r = rule();
    let borne = |end: Micros| {
        let begin = end.saturating_sub(r.overload_window).max(STARTED);
        let capacity =
            r.initial_capacity + (1.0 - r.initial_capacity) * (begin - STARTED) as f64 / r.duration as f64;
        r.overload_multiple * capacity.min(1.0) * CAPACITY * r.overload_window as f64 / 1e6
    };
    let window = |end: Micros| all.iter().filter(move |(at, _)| *at <= end && *at + r.overload_window > end);
    all.iter().map(|(end, _)| window(*end).map(|(_, u)| u).sum::<f64>() / borne(*end)).fold(0.0, f64::max)
}

#[test]
fn initiators_that_act_alone_keep_the_slow_start_rule_and_the_target_busy() {
    for seed in 1..30 {
        for lag in [0, 2 * SECOND, 5 * SECOND] {
            // Some are notified at once and others late.
            let all = arrivals(seed, |s| lag * (s as u64 % 10) / 10, None);
            let fullest = fullest(&all);
            assert!(fullest <= 1.0, "seed {seed}, lag {lag}: {fullest} of what the target bears");
            let early: f64 = all.iter().filter(|(at, _)| *at < STARTED + 8 * SECOND).map(|(_, u)| u).sum();
            // An even part alone lets 12 units in 3 s through; the target can do 28 % of 60 a second and
            // more.
            assert!(early > 0.3 * 8.0 * CAPACITY, "seed {seed}, lag {lag}: {early} units in 8 s");
        }
    }
}

#[test]
fn a_mass_restart_of_the_initiators_does_not_send_the_same_twice() {
    for seed in 1..30 {
        for restart in [SECOND, 3 * SECOND, 6 * SECOND] {
            let fullest = fullest(&arrivals(seed, |_| 0, Some(restart)));
            assert!(fullest <= 1.0, "seed {seed}, after {restart}: {fullest} of what the target bears");
        }
    }
}

#[test]
fn a_volume_without_a_reserve_has_the_even_part_only() {
    let (rule, target) = (rule(), TargetBudget::new(STARTED, STARTED, 0.5));
    let now = STARTED + 14 * SECOND;
    assert!(ReservePacer::default().admits_at(&rule, &target, now, 0.0, UNITS) > now + 15 * SECOND);
}

#[test]
fn one_pacer_serves_all_warming_targets_of_a_shard_and_each_new_target_begins_with_its_phase() {
    let rule = rule();
    let (a, b) = (TargetBudget::new(STARTED, STARTED, 0.0), TargetBudget::new(STARTED, STARTED, 0.0));
    let mut pacer = ReservePacer::default();
    pacer.record_arrival(&rule, &a, STARTED, 1.0, UNITS);
    assert!(pacer.admits_at(&rule, &b, STARTED, 1.0, UNITS) > STARTED + 2 * SECOND);
    let later = STARTED + 100 * SECOND;
    let c = TargetBudget::new(later, later, 0.5);
    assert!(
        pacer.admits_at(&rule, &c, later, 1.0, UNITS) > later + SECOND,
        "a pacer of long ago is no credit"
    );
}

#[test]
fn pacers_of_one_initiator_begin_apart_and_a_whole_phase_is_waited_for_by_all() {
    let rule = rule();
    let until = |volume, phase| {
        ReservePacer::new(volume).admits_at(
            &rule,
            &TargetBudget::new(STARTED, STARTED, phase),
            STARTED,
            1.0,
            UNITS,
        ) - STARTED
    };
    let mut drawn: Vec<Micros> = (0..8).map(|volume| until(volume, 0.5)).collect();
    drawn.sort_unstable();
    let apart = drawn.windows(2).map(|pair| pair[1] - pair[0]).min().expect("eight volumes");
    assert!(apart > 100 * MS, "{drawn:?}");
    let whole = until(0, 1.0);
    assert!(whole > drawn[7]);
    assert!((0..8).all(|volume| until(volume, 1.0) == whole));
}
