//! Sites that are lost and return, for different sequences of failures, responses and endpoint lists.

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
    let change = |command: &Command| match command {
        Command::SiteChanged { site, change } => Some((site.clone(), *change)),
        Command::Probe(_) => None,
    };
    commands.iter().filter_map(change).map(|(s, c)| (if s == "a" { "a" } else { "b" }, c)).collect()
}

fn probes(commands: &[Command]) -> Vec<String> {
    let probe = |command: &Command| match command {
        Command::Probe(name) => Some(name.clone()),
        Command::SiteChanged { .. } => None,
    };
    commands.iter().filter_map(probe).collect()
}

/// Fails the first `count` targets of site b at the same time.
fn fail_targets(sites: &mut SiteFailover, now: Micros, count: u32) {
    (0..count).for_each(|i| sites.handle_failure(now, &format!("b-{i}")));
}

/// Two sites of which site b was lost at 10 s.
fn sites_with_b_lost(config: FailoverConfig) -> SiteFailover {
    let mut sites = sites(config);
    fail_targets(&mut sites, 10 * SECOND, 3);
    let commands = sites.poll(10 * SECOND);
    assert_eq!(
        changes(&commands),
        [("b", SiteChange::Lost { failing: 3, targets: 4, ejection_time: 5 * SECOND })]
    );
    sites
}

#[test]
fn a_site_is_lost_when_most_of_its_targets_fail_within_a_window_and_the_other_stays_in_use() {
    let sites = sites_with_b_lost(config());
    assert_eq!(
        sites.effective_state("b-3", TargetState::Active, None),
        (TargetState::Draining, None),
        "a target without a failure is not draining"
    );
    assert_eq!(sites.effective_state("a-0", TargetState::Active, None), (TargetState::Active, None));
    assert_eq!(sites.lost_site_of_shard(11 * SECOND, 7), Some(("b", 4 * SECOND)));
    assert_eq!(sites.lost_site_of_shard(11 * SECOND, 0), None);
}

#[test]
fn targets_that_fail_at_different_times_or_respond_again_do_not_make_a_site_lost() {
    let mut sites = sites(config());
    for i in 0..4 {
        let now = SECOND * 2 * u64::from(i + 1u32);
        sites.handle_failure(now, &format!("b-{i}"));
        assert!(changes(&sites.poll(now)).is_empty(), "lost by targets that failed one at a time");
    }
    fail_targets(&mut sites, 20 * SECOND, 4);
    (0..2).for_each(|i| sites.handle_response(20 * SECOND + MS, &format!("b-{i}"), None));
    assert!(changes(&sites.poll(20 * SECOND + MS)).is_empty(), "lost though half of it responds");
}

// If half of a site is slow, the other half responds to its probes and the site stays in use.
#[test]
fn the_remaining_targets_are_probed_when_half_of_a_site_fails() {
    let mut sites = sites(config());
    fail_targets(&mut sites, SECOND, 2);
    assert_eq!(probes(&sites.poll(SECOND)), ["b-2", "b-3"]);
    assert!(sites.poll(SECOND + 50 * MS).is_empty(), "probed twice");
    let mut other = sites.clone();
    sites.handle_failure(SECOND + 300 * MS, "b-2");
    assert_eq!(changes(&sites.poll(SECOND + 300 * MS)).len(), 1);
    ["b-2", "b-3"].iter().for_each(|name| other.handle_response(SECOND + 300 * MS, name, None));
    assert!(other.poll(SECOND + 300 * MS).is_empty());
}

#[test]
fn targets_that_leave_the_list_together_make_a_site_lost_unless_they_drained_before() {
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
fn a_site_returns_as_just_started_once_most_targets_respond_after_the_ejection_time() {
    let mut sites = sites_with_b_lost(config());
    (0..4).for_each(|i| sites.handle_response(12 * SECOND, &format!("b-{i}"), None));
    assert!(sites.poll(14 * SECOND).is_empty(), "returned before the end of its ejection time");
    let mut now = 15 * SECOND;
    let mut probes_sent = Vec::new();
    while changes(&sites.poll(now)).is_empty() {
        now += 50 * MS;
        assert!(now < 25 * SECOND);
        for name in probes(&sites.poll(now)) {
            sites.handle_response(now, &name, None);
            probes_sent.push((now, name));
        }
    }
    let names: std::collections::BTreeSet<_> = probes_sent.iter().map(|(_, name)| name).collect();
    assert_eq!((probes_sent.len(), names.len()), (3, 3), "{probes_sent:?}");
    assert!(probes_sent.windows(2).all(|w| w[1].0 - w[0].0 >= 500 * MS), "{probes_sent:?}");
    assert_eq!(sites.effective_state("b-3", TargetState::Active, None), (TargetState::Active, Some(now)));
    assert_eq!(
        sites.effective_state("b-3", TargetState::Active, Some(now + 9)),
        (TargetState::Active, Some(now + 9)),
        "a later start is ignored"
    );
    assert_eq!(changes(&sites.poll(now + 15 * SECOND)), [("b", SiteChange::Recovered)]);
    assert_eq!(
        sites.effective_state("b-3", TargetState::Active, None),
        (TargetState::Active, Some(now)),
        "the start changes with the recovery"
    );
}

#[test]
fn initiators_probe_in_turn() {
    let times = |own_index: u32| {
        let mut sites = sites_with_b_lost(FailoverConfig { own_index, initiators: 4, ..config() });
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

// The site is up for 2 s and down for 2 s, alternately, for five minutes.
#[test]
fn a_site_that_fails_repeatedly_is_ejected_for_longer_each_time() {
    let mut sites = sites(config());
    let mut ejection_times = Vec::new();
    for step in 0..6_000 {
        let now = SECOND + step * 50 * MS;
        let is_up = (now / (2 * SECOND)).is_multiple_of(2);
        for command in sites.poll(now) {
            match command {
                Command::Probe(name) if is_up => sites.handle_response(now, &name, None),
                Command::Probe(name) => sites.handle_failure(now, &name),
                Command::SiteChanged { change: SiteChange::Lost { ejection_time, .. }, .. } => {
                    ejection_times.push(ejection_time / SECOND)
                }
                Command::SiteChanged { .. } => {}
            }
        }
        if !matches!(sites.phase("b"), Phase::Lost { .. }) {
            (0..4).for_each(|i| match is_up {
                true => sites.handle_response(now, &format!("b-{i}"), None),
                false => sites.handle_failure(now, &format!("b-{i}")),
            });
        }
    }
    assert_eq!(ejection_times[..5], [5, 10, 20, 40, 60], "{ejection_times:?}");
    assert!(ejection_times.len() <= 8, "{ejection_times:?}");
}

#[test]
fn the_ramp_restarts_if_a_returning_site_responds_much_more_slowly() {
    let mut sites = sites(config());
    (0..20).for_each(|i| sites.handle_response(i * MS, "b-0", Some(20 * MS)));
    fail_targets(&mut sites, 10 * SECOND, 4);
    sites.poll(10 * SECOND);
    (0..4).for_each(|i| sites.handle_response(16 * SECOND, &format!("b-{i}"), None));
    assert_eq!(
        changes(&sites.poll(16 * SECOND)),
        [("b", SiteChange::Returning { responding: 4, targets: 4 })]
    );
    (0..7).for_each(|_| sites.handle_response(17 * SECOND, "b-0", Some(100 * MS)));
    assert!(sites.poll(17 * SECOND).is_empty(), "judged by too few responses");
    sites.handle_response(17 * SECOND, "b-0", Some(100 * MS));
    assert_eq!(
        changes(&sites.poll(17 * SECOND)),
        [("b", SiteChange::RampRestarted { latency_percent: 500 })]
    );
    assert_eq!(sites.effective_state("b-0", TargetState::Active, None).1, Some(17 * SECOND));
    assert!(sites.poll(17 * SECOND + MS).is_empty(), "judged by responses from before the ramp restarted");
}

/// A random event of the test. Each step advances the time by at least 100 ms.
#[derive(Clone, Debug)]
enum Step {
    Failed(u32),
    Responded(u32),
    Listed(u32, TargetState),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let state =
        prop_oneof![Just(TargetState::Active), Just(TargetState::Draining), Just(TargetState::Removed)];
    prop_oneof![
        4 => (0..4u32).prop_map(Step::Failed),
        2 => (0..4u32).prop_map(Step::Responded),
        1 => (0..4u32, state).prop_map(|(i, s)| Step::Listed(i, s)),
        3 => (1..80u64).prop_map(Step::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, rng_seed: RngSeed::Fixed(24), ..ProptestConfig::default() })]

    // Any sequence of losses, partial returns, further losses and list updates.
    #[test]
    fn a_lost_site_is_unused_for_its_ejection_time_and_returns_as_just_started(
        steps in proptest::collection::vec(step(), 1..120),
        responds in any::<bool>(),
    ) {
        let config = FailoverConfig { initiators: 3, own_index: 1, ..config() };
        let mut sites = sites(config);
        let (mut now, mut probed) = (SECOND, Vec::new());
        let mut ejected_until: Option<Micros> = None;
        for step in steps {
            let mut ticks = 1;
            match step {
                Step::Failed(i) => sites.handle_failure(now, &format!("b-{i}")),
                Step::Responded(i) => sites.handle_response(now, &format!("b-{i}"), Some(MS)),
                Step::Listed(i, state) => sites.handle_endpoint(now, &format!("b-{i}"), "b", 4 + i, state),
                Step::Wait(tenths) => ticks = tenths,
            }
            for _ in 0..ticks {
                for command in sites.poll(now) {
                    match command {
                        Command::Probe(name) => {
                            if matches!(sites.phase("b"), Phase::Lost { .. }) {
                                probed.push(now);
                            }
                            match responds {
                                true => sites.handle_response(now, &name, None),
                                false => sites.handle_failure(now, &name),
                            }
                        }
                        Command::SiteChanged { site, change } => {
                            prop_assert_eq!(site, "b", "the other site changed");
                            match change {
                                SiteChange::Lost { ejection_time, .. } => {
                                    prop_assert!(ejection_time >= config.ejection_time && ejection_time <= config.max_ejection_time);
                                    ejected_until = Some(now + ejection_time);
                                }
                                SiteChange::Returning { .. } => {
                                    prop_assert!(ejected_until.take().is_some_and(|until| now >= until));
                                    for i in 0..4 {
                                        let (_, started) = sites.effective_state(&format!("b-{i}"), TargetState::Active, None);
                                        let is_known = sites.site_of(&format!("b-{i}")).is_some();
                                        prop_assert!(
                                            !is_known || started == Some(now),
                                            "a returned target does not count as just started"
                                        );
                                    }
                                }
                                SiteChange::RampRestarted { .. } | SiteChange::Recovered => prop_assert!(ejected_until.is_none()),
                            }
                        }
                    }
                }
                if ejected_until.is_some() {
                    for i in 0..4 {
                        let name = format!("b-{i}");
                        if sites.site_of(&name).is_some() {
                            prop_assert!(
                                sites.effective_state(&name, TargetState::Active, None).0 != TargetState::Active,
                                "{} is used though its site is lost", name
                            );
                        }
                    }
                }
                now += 100 * MS;
            }
        }
        // The probes of this initiator are at least one interval apart, also after the first response.
        prop_assert!(probed.windows(2).all(|w| w[1] - w[0] >= config.probe_interval), "{:?}", probed);
    }
}
