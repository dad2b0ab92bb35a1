//! Sites that are lost and return, in every order of failures, responses and endpoint lists.

use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rowanglade_site_failover::{
    Command, FailoverConfig, Micros, Phase, SiteChange, SiteFailover, TargetState,
};

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

fn config() -> FailoverConfig {
    FailoverConfig {
        evidence_window: SECOND,
        quorum: 0.75,
        ejection_time: 5 * SECOND,
        max_ejection_time: 60 * SECOND,
        probe_interval: 500 * MS,
        recovery_ramp: 15 * SECOND,
        slow_factor: 3.0,
        own_index: 0,
        initiators: 1,
    }
}

/// Two sites of four targets each; shard `i` at a-`i` and shard `4 + i` at b-`i`.
fn sites(config: FailoverConfig) -> SiteFailover {
    let mut sites = SiteFailover::new(config);
    for i in 0..4 {
        sites.handle_endpoint(0, &format!("a-{i}"), "a", i, TargetState::Active);
        sites.handle_endpoint(0, &format!("b-{i}"), "b", 4 + i, TargetState::Active);
    }
    sites
}

fn changes(commands: &[Command]) -> Vec<(&str, SiteChange)> {
    let change = |o: &Command| match o {
        Command::SiteChanged { site, change } => Some((site.clone(), *change)),
        Command::Probe(_) => None,
    };
    commands.iter().filter_map(change).map(|(s, c)| (if s == "a" { "a" } else { "b" }, c)).collect()
}

fn probes(commands: &[Command]) -> Vec<String> {
    let probe = |o: &Command| match o {
        Command::Probe(name) => Some(name.clone()),
        Command::SiteChanged { .. } => None,
    };
    commands.iter().filter_map(probe).collect()
}

/// Fails so many targets of site b at once.
fn fail(sites: &mut SiteFailover, now: Micros, count: u32) {
    (0..count).for_each(|i| sites.handle_failure(now, &format!("b-{i}")));
}

/// Lost at 10 s.
fn lost(config: FailoverConfig) -> SiteFailover {
    let mut sites = sites(config);
    fail(&mut sites, 10 * SECOND, 3);
    let lost = sites.poll(10 * SECOND);
    assert_eq!(
        changes(&lost),
        [("b", SiteChange::Lost { failing: 3, targets: 4, ejection_time: 5 * SECOND })]
    );
    sites
}

#[test]
fn a_site_is_lost_when_most_of_its_targets_fail_within_a_window_and_the_other_serves_on() {
    let sites = lost(config());
    assert_eq!(
        sites.effective_state("b-3", TargetState::Active, None),
        (TargetState::Draining, None),
        "also the one that nobody asked"
    );
    assert_eq!(sites.effective_state("a-0", TargetState::Active, None), (TargetState::Active, None));
    assert_eq!(sites.lost_site_of_shard(11 * SECOND, 7), Some(("b", 4 * SECOND)));
    assert_eq!(sites.lost_site_of_shard(11 * SECOND, 0), None);
}

#[test]
fn what_failed_at_different_times_or_answers_since_is_no_loss() {
    let mut sites = sites(config());
    for i in 0..4 {
        let now = SECOND * 2 * u64::from(i + 1u32);
        sites.handle_failure(now, &format!("b-{i}"));
        assert!(changes(&sites.poll(now)).is_empty(), "one at a time");
    }
    fail(&mut sites, 20 * SECOND, 4);
    (0..2).for_each(|i| sites.handle_response(20 * SECOND + MS, &format!("b-{i}"), None));
    assert!(changes(&sites.poll(20 * SECOND + MS)).is_empty(), "half of it serves");
}

// Half of a site is slow, not silent: it answers, and stays in.
#[test]
fn a_site_half_of_which_fails_has_the_rest_asked_before_it_is_judged() {
    let mut sites = sites(config());
    fail(&mut sites, SECOND, 2);
    assert_eq!(probes(&sites.poll(SECOND)), ["b-2", "b-3"]);
    assert!(sites.poll(SECOND + 50 * MS).is_empty(), "once");
    let mut other = sites.clone();
    sites.handle_failure(SECOND + 300 * MS, "b-2");
    assert_eq!(changes(&sites.poll(SECOND + 300 * MS)).len(), 1);
    ["b-2", "b-3"].iter().for_each(|name| other.handle_response(SECOND + 300 * MS, name, None));
    assert!(other.poll(SECOND + 300 * MS).is_empty());
}

#[test]
fn targets_that_leave_the_list_together_are_a_loss_and_those_that_drained_are_none() {
    for (state, count) in [(TargetState::Active, 1), (TargetState::Draining, 0)] {
        let mut sites = sites(config());
        (0..4).for_each(|i| sites.handle_endpoint(SECOND, &format!("b-{i}"), "b", 4 + i, state));
        (0..4).for_each(|i| {
            sites.handle_endpoint(2 * SECOND, &format!("b-{i}"), "b", 4 + i, TargetState::Removed)
        });
        assert_eq!(changes(&sites.poll(2 * SECOND)).len(), count, "{state:?}");
    }
}

#[test]
fn it_comes_back_cold_once_most_of_it_answers_after_its_hold() {
    let mut sites = lost(config());
    (0..4).for_each(|i| sites.handle_response(12 * SECOND, &format!("b-{i}"), None));
    assert!(sites.poll(14 * SECOND).is_empty(), "its hold stands");
    let mut now = 15 * SECOND;
    let mut asked = Vec::new();
    while changes(&sites.poll(now)).is_empty() {
        now += 50 * MS;
        assert!(now < 25 * SECOND);
        for name in probes(&sites.poll(now)) {
            sites.handle_response(now, &name, None);
            asked.push((now, name));
        }
    }
    let names: std::collections::BTreeSet<_> = asked.iter().map(|(_, name)| name).collect();
    assert_eq!((asked.len(), names.len()), (3, 3), "{asked:?}");
    assert!(asked.windows(2).all(|w| w[1].0 - w[0].0 >= 500 * MS), "{asked:?}");
    assert_eq!(sites.effective_state("b-3", TargetState::Active, None), (TargetState::Active, Some(now)));
    assert_eq!(
        sites.effective_state("b-3", TargetState::Active, Some(now + 9)),
        (TargetState::Active, Some(now + 9)),
        "a later start counts"
    );
    assert_eq!(changes(&sites.poll(now + 15 * SECOND)), [("b", SiteChange::Recovered)]);
    assert_eq!(
        sites.effective_state("b-3", TargetState::Active, None),
        (TargetState::Active, Some(now)),
        "its start does not change with that"
    );
}

#[test]
fn instances_probe_in_turn() {
    let times = |own_index: u32| {
        let mut sites = lost(FailoverConfig { own_index, initiators: 4, ..config() });
        let mut times = Vec::new();
        for step in 0..200 {
            let now = 15 * SECOND + step * 50 * MS;
            times.extend(probes(&sites.poll(now)).iter().map(|_| now));
        }
        times
    };
    let mut all: Vec<Micros> = (0..4).flat_map(times).collect();
    all.sort_unstable();
    assert!(all.windows(2).all(|w| w[1] - w[0] >= 500 * MS), "{all:?}");
    assert!(all.len() >= 18, "{}", all.len());
}

// Up for 2 s and away for 2 s, for five minutes.
#[test]
fn a_site_that_comes_and_goes_changes_seldom() {
    let mut sites = sites(config());
    let mut lost = Vec::new();
    for step in 0..6_000 {
        let now = SECOND + step * 50 * MS;
        let up = (now / (2 * SECOND)).is_multiple_of(2);
        for command in sites.poll(now) {
            match command {
                Command::Probe(name) if up => sites.handle_response(now, &name, None),
                Command::Probe(name) => sites.handle_failure(now, &name),
                Command::SiteChanged { change: SiteChange::Lost { ejection_time, .. }, .. } => {
                    lost.push(ejection_time / SECOND)
                }
                Command::SiteChanged { .. } => {}
            }
        }
        if !matches!(sites.phase("b"), Phase::Lost { .. }) {
            (0..4).for_each(|i| match up {
                true => sites.handle_response(now, &format!("b-{i}"), None),
                false => sites.handle_failure(now, &format!("b-{i}")),
            });
        }
    }
    assert_eq!(lost[..5], [5, 10, 20, 40, 60], "{lost:?}");
    assert!(lost.len() <= 8, "{lost:?}");
}

#[test]
fn a_returning_site_that_answers_far_slower_begins_its_ramp_anew() {
    let mut sites = sites(config());
    (0..20).for_each(|i| sites.handle_response(i * MS, "b-0", Some(20 * MS)));
    fail(&mut sites, 10 * SECOND, 4);
    sites.poll(10 * SECOND);
    (0..4).for_each(|i| sites.handle_response(16 * SECOND, &format!("b-{i}"), None));
    assert_eq!(
        changes(&sites.poll(16 * SECOND)),
        [("b", SiteChange::Returning { responding: 4, targets: 4 })]
    );
    (0..7).for_each(|_| sites.handle_response(17 * SECOND, "b-0", Some(100 * MS)));
    assert!(sites.poll(17 * SECOND).is_empty(), "too few to tell");
    sites.handle_response(17 * SECOND, "b-0", Some(100 * MS));
    assert_eq!(
        changes(&sites.poll(17 * SECOND)),
        [("b", SiteChange::RampRestarted { latency_percent: 500 })]
    );
    assert_eq!(sites.effective_state("b-0", TargetState::Active, None).1, Some(17 * SECOND));
    assert!(sites.poll(17 * SECOND + MS).is_empty(), "judged anew");
}

/// What may happen, a step of 100 ms each.
#[derive(Clone, Debug)]
enum Step {
    Failed(u32),
    Answered(u32),
    Listed(u32, TargetState),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let state =
        prop_oneof![Just(TargetState::Active), Just(TargetState::Draining), Just(TargetState::Removed)];
    prop_oneof![
        4 => (0..4u32).prop_map(Step::Failed),
        2 => (0..4u32).prop_map(Step::Answered),
        1 => (0..4u32, state).prop_map(|(i, s)| Step::Listed(i, s)),
        3 => (1..80u64).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: RngSeed::Fixed(24), ..ProptestConfig::default() })]

    // Every order of loss, partial return, second loss and news of the list.
    #[test]
    fn nothing_of_a_lost_site_is_used_its_hold_stands_and_what_returns_is_cold(
        steps in proptest::collection::vec(step(), 1..120),
        answers in any::<bool>(),
    ) {
        let config = FailoverConfig { initiators: 3, own_index: 1, ..config() };
        let mut sites = sites(config);
        let (mut now, mut probed) = (SECOND, Vec::new());
        let mut held: Option<Micros> = None;
        for step in steps {
            let mut pass = 1;
            match step {
                Step::Failed(i) => sites.handle_failure(now, &format!("b-{i}")),
                Step::Answered(i) => sites.handle_response(now, &format!("b-{i}"), Some(MS)),
                Step::Listed(i, state) => sites.handle_endpoint(now, &format!("b-{i}"), "b", 4 + i, state),
                Step::Pass(tenths) => pass = tenths,
            }
            for _ in 0..pass {
                for command in sites.poll(now) {
                    match command {
                        Command::Probe(name) => {
                            if matches!(sites.phase("b"), Phase::Lost { .. }) {
                                probed.push(now);
                            }
                            match answers {
                                true => sites.handle_response(now, &name, None),
                                false => sites.handle_failure(now, &name),
                            }
                        }
                        Command::SiteChanged { site, change } => {
                            prop_assert_eq!(site, "b", "nothing happened to the other");
                            match change {
                                SiteChange::Lost { ejection_time, .. } => {
                                    prop_assert!(ejection_time >= config.ejection_time && ejection_time <= config.max_ejection_time);
                                    held = Some(now + ejection_time);
                                }
                                SiteChange::Returning { .. } => {
                                    prop_assert!(held.take().is_some_and(|until| now >= until));
                                    for i in 0..4 {
                                        let (_, started) = sites.effective_state(&format!("b-{i}"), TargetState::Active, None);
                                        let handle_endpoint = sites.site_of(&format!("b-{i}")).is_some();
                                        prop_assert!(!handle_endpoint || started == Some(now), "cold");
                                    }
                                }
                                SiteChange::RampRestarted { .. } | SiteChange::Recovered => prop_assert!(held.is_none()),
                            }
                        }
                    }
                }
                if held.is_some() {
                    for i in 0..4 {
                        let name = format!("b-{i}");
                        if sites.site_of(&name).is_some() {
                            prop_assert!(sites.effective_state(&name, TargetState::Active, None).0 != TargetState::Active, "{} is used", name);
                        }
                    }
                }
                now += 100 * MS;
            }
        }
        // This initiator's part of the probes, and no more than the pace of all once the first has answered.
        prop_assert!(probed.windows(2).all(|w| w[1] - w[0] >= config.probe_interval), "{:?}", probed);
    }
}
