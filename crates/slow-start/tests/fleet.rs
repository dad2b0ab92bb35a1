//! A fleet of initiators, each acting alone, in front of one target that has just started.

use rowanglade_slow_start::{Micros, Pace, Rule, Target};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
/// Units a second that the target can do when warm; all of it is reserved, which is the most that can be.
const CAPACITY: f64 = 60.0;
const GATEWAYS: u32 = 100;
const VOLUMES: usize = 24;
/// Through how many initiators a volume works.
const HOSTS: usize = 2;
const UNITS: f64 = 2.0;

fn rule() -> Rule {
    Rule {
        from: 0.28,
        warm_within: 15 * SECOND,
        units: 12.0,
        window: 3 * SECOND,
        multiple: 2.5,
        initiators: GATEWAYS,
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

/// What arrives at a target that started at `STARTED`, when every volume's initiators would send all the
/// time. They hear of the start after `told`; all initiators are restarted after `restart`.
fn sent(seed: u64, told: impl Fn(usize) -> Micros, restart: Option<Micros>) -> Vec<(Micros, f64)> {
    let (rule, mut phases) = (rule(), Phases(seed));
    let senders: Vec<usize> = (0..VOLUMES * HOSTS).collect();
    let rate = CAPACITY / (VOLUMES * HOSTS) as f64;
    let target = |told, phase| Target::new(STARTED, told, phase);
    let mut state: Vec<(Target, Pace, Micros)> =
        senders.iter().map(|s| (target(STARTED + told(*s), phases.next()), Pace::default(), 0)).collect();
    let mut all = Vec::new();
    for step in 0..1_500 {
        let now = STARTED + step * 10 * MS;
        if restart.is_some_and(|at| now == STARTED + at) {
            for (n, pace, born) in &mut state {
                (*n, *pace, *born) = (target(now, phases.next()), Pace::default(), now);
            }
        }
        for (s, (n, pace, born)) in state.iter_mut().enumerate() {
            if now < STARTED + told(s) {
                continue;
            }
            if pace.until(&rule, n, now, rate, UNITS) <= now {
                pace.sent(&rule, n, now, rate, UNITS);
                all.push((now, UNITS));
            } else if n.even_until(&rule, now, *born, UNITS) <= now {
                n.sent(now, UNITS);
                all.push((now, UNITS));
            }
        }
    }
    all
}

const STARTED: Micros = 1_000 * SECOND;

/// The most that any window held, as a part of what the target bears in it at the slowest warming.
fn fullest(all: &[(Micros, f64)]) -> f64 {
    let r = rule();
    let borne = |end: Micros| {
        let begin = end.saturating_sub(r.window).max(STARTED);
        let capacity = r.from + (1.0 - r.from) * (begin - STARTED) as f64 / r.warm_within as f64;
        r.multiple * capacity.min(1.0) * CAPACITY * r.window as f64 / 1e6
    };
    let window = |end: Micros| all.iter().filter(move |(at, _)| *at <= end && *at + r.window > end);
    all.iter().map(|(end, _)| window(*end).map(|(_, u)| u).sum::<f64>() / borne(*end)).fold(0.0, f64::max)
}

#[test]
fn a_fleet_that_acts_alone_keeps_the_rule_on_cold_nodes_and_the_node_busy() {
    for seed in 1..30 {
        for lag in [0, 2 * SECOND, 5 * SECOND] {
            // The list tells some at once and others late.
            let all = sent(seed, |s| lag * (s as u64 % 10) / 10, None);
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
fn a_mass_restart_of_the_gateways_does_not_send_the_same_twice() {
    for seed in 1..30 {
        for restart in [SECOND, 3 * SECOND, 6 * SECOND] {
            let fullest = fullest(&sent(seed, |_| 0, Some(restart)));
            assert!(fullest <= 1.0, "seed {seed}, after {restart}: {fullest} of what the target bears");
        }
    }
}

#[test]
fn a_volume_without_a_reserve_has_the_even_part_only() {
    let (rule, target) = (rule(), Target::new(STARTED, STARTED, 0.5));
    let now = STARTED + 14 * SECOND;
    assert!(Pace::default().until(&rule, &target, now, 0.0, UNITS) > now + 15 * SECOND);
}

#[test]
fn one_pace_is_for_all_cold_nodes_of_a_volume_at_a_shard_and_each_new_node_begins_with_its_phase() {
    let rule = rule();
    let (a, b) = (Target::new(STARTED, STARTED, 0.0), Target::new(STARTED, STARTED, 0.0));
    let mut pace = Pace::default();
    pace.sent(&rule, &a, STARTED, 1.0, UNITS);
    assert!(pace.until(&rule, &b, STARTED, 1.0, UNITS) > STARTED + 2 * SECOND);
    let later = STARTED + 100 * SECOND;
    let c = Target::new(later, later, 0.5);
    assert!(pace.until(&rule, &c, later, 1.0, UNITS) > later + SECOND, "a pace of long ago is no credit");
}

#[test]
fn paces_of_one_gateway_begin_apart_and_a_whole_phase_is_waited_for_by_all() {
    let rule = rule();
    let until = |volume, phase| {
        Pace::new(volume).until(&rule, &Target::new(STARTED, STARTED, phase), STARTED, 1.0, UNITS) - STARTED
    };
    let mut drawn: Vec<Micros> = (0..8).map(|volume| until(volume, 0.5)).collect();
    drawn.sort_unstable();
    let apart = drawn.windows(2).map(|pair| pair[1] - pair[0]).min().expect("eight volumes");
    assert!(apart > 100 * MS, "{drawn:?}");
    let whole = until(0, 1.0);
    assert!(whole > drawn[7]);
    assert!((0..8).all(|volume| until(volume, 1.0) == whole));
}
