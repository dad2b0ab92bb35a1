//! Properties of a fleet in which each of many initiators sees only a small part of a target's traffic.

mod support;

use rowanglade::interface::*;
use std::collections::VecDeque;
use support::*;

#[test]
fn a_hundred_initiators_keep_the_slow_start_budget_and_do_not_starve_the_target() {
    let settings = Settings { initiators: 100, ..settings() };
    let started = 100 * SECOND;
    let warming = EndpointEntry { started: Some(started), ..entry(0, 0) };
    let mut fleet: Vec<Harness> =
        (0..100).map(|seed| Harness::with_seed(settings.clone(), &[warming], seed)).collect();
    let mut sent: Vec<(Micros, f64)> = Vec::new();
    for step in 0..90u64 {
        for (index, harness) in fleet.iter_mut().enumerate() {
            let mut actions = harness.advance(100 * MS);
            actions.extend(harness.arrive(request(step * 1_000 + index as u64, BACKGROUND)));
            for id in started_requests(&actions) {
                sent.push((harness.now, 2.0));
                harness.served(id, 10 * MS);
            }
        }
    }
    let rules = &settings.rules;
    let max_units = |end: Micros| {
        let begin = end.saturating_sub(rules.overload_window);
        let capacity_fraction = rules.slow_start_capacity
            + (1.0 - rules.slow_start_capacity) * begin.saturating_sub(started) as f64
                / rules.slow_start_duration as f64;
        rules.slow_start_units * capacity_fraction.clamp(rules.slow_start_capacity, 1.0)
            / rules.slow_start_capacity
    };
    for (end, _) in &sent {
        let window = sent.iter().filter(|(at, _)| at <= end && at + rules.overload_window > *end);
        let units: f64 = window.map(|(_, u)| u).sum();
        assert!(
            units <= max_units(*end),
            "{units} units in the window to {end} us, the target bears {}",
            max_units(*end)
        );
    }
    let early_units: f64 = sent.iter().filter(|(at, _)| *at < started + 4 * SECOND).map(|(_, u)| u).sum();
    assert!(
        early_units >= 0.3 * 4.0 * rules.slow_start_units,
        "only {early_units} units in the first four seconds"
    );
}

// Guards against warming targets that stay idle: the even part of a hundred initiators is less than a
// request. Most of the targets that had just been replaced, six in ten of the fleet, were idle until they
// were warm.
#[test]
fn a_hundred_initiators_send_the_reserves_to_a_warming_target() {
    assert_reserves_reach_a_warming_target(KEYED);
}

// Guards against large background reads that have only the even part at a warming target: they were the
// worst-served class of a day on which many targets were replaced.
#[test]
fn background_work_has_its_part_of_the_reserves_at_a_warming_target() {
    assert_reserves_reach_a_warming_target(BACKGROUND);
}

/// Repetitions of each test, with other seeds of the initiators' random phases.
const DRAWS: u64 = 12;
/// Units of a request, and the capacity of the warm target in units per second.
const UNITS: f64 = 2.0;
const CAPACITY: f64 = 60.0;
const STARTED: Micros = 100 * SECOND;

fn reserved_settings() -> Settings {
    let mut settings = Settings { initiators: 100, ..settings() };
    settings.plans[0].reserve = 2.0; // 48 units a second for 24 volumes
    settings.rules.slow_start_units = 8.0; // a target with a capacity of 60 units a second bears 45 in its first window
    settings
}

/// The times at which units are sent to a target that has just started, by initiators whose volumes request
/// all of their reserve.
fn sent_to_a_warming_target(class: u32, draw: u64) -> Vec<(Micros, f64)> {
    let warming = EndpointEntry { started: Some(STARTED), ..entry(0, 0) };
    let settings = reserved_settings();
    let seeds = (0..48).map(|initiator| draw * 1_000 + initiator);
    let mut fleet: Vec<Harness> =
        seeds.map(|seed| Harness::with_seed(settings.clone(), &[warming], seed)).collect();
    let mut sent: Vec<(Micros, f64)> = Vec::new();
    for step in 0..80u64 {
        for (index, harness) in fleet.iter_mut().enumerate() {
            let mut actions = harness.advance(100 * MS);
            if (step + index as u64).is_multiple_of(5) {
                let volume = VolumeId(index as u64 / 2);
                actions.extend(harness.arrive(RequestProfile {
                    volume,
                    initiators: 2,
                    ..request(step, class)
                }));
            }
            for id in started_requests(&actions) {
                sent.push((harness.now, UNITS));
                harness.served(id, 10 * MS);
            }
        }
    }
    sent
}

/// The units that the target can bear in a window that ends at `end`.
fn max_units(end: Micros) -> f64 {
    let rules = reserved_settings().rules;
    let begin = end.saturating_sub(rules.overload_window).max(STARTED);
    let warm_fraction = (begin - STARTED) as f64 / rules.slow_start_duration as f64;
    rules.overload_multiple
        * (rules.slow_start_capacity + (1.0 - rules.slow_start_capacity) * warm_fraction)
        * CAPACITY
        * rules.overload_window as f64
        / 1e6
}

fn units_in_window(sent: &[(Micros, f64)], end: Micros) -> f64 {
    let window = reserved_settings().rules.overload_window;
    sent.iter().filter(|(at, _)| *at <= end && at + window > end).map(|(_, u)| u).sum()
}

fn assert_reserves_reach_a_warming_target(class: u32) {
    let draws: Vec<_> = (0..DRAWS).map(|draw| sent_to_a_warming_target(class, draw)).collect();
    for (draw, sent) in draws.iter().enumerate() {
        for (end, _) in sent {
            // The target bears N requests in a window. Up to N + 2 * sqrt(N) + 2 are attributed to chance.
            let (units, n) = (units_in_window(sent, *end), max_units(*end) / UNITS);
            let max_requests = n + 2.0 * n.sqrt() + 2.0;
            assert!(
                units / UNITS <= max_requests,
                "draw {draw}: {units} units in the window to {end} us, the bound is {max_requests} requests of {UNITS} units"
            );
        }
        let units: f64 = sent.iter().map(|(_, u)| u).sum();
        assert!(units >= 0.5 * 8.0 * 48.0, "draw {draw}: only {units} units in eight seconds");
    }
    // Only chance may exceed N requests: the mean of all draws has to stay below N.
    for end in (STARTED + SECOND..STARTED + 8 * SECOND).step_by(100_000) {
        let mean = draws.iter().map(|sent| units_in_window(sent, end)).sum::<f64>() / DRAWS as f64;
        assert!(
            mean <= 0.95 * max_units(end),
            "{mean} units in the mean window to {end} us, the target bears {}",
            max_units(end)
        );
    }
}

#[test]
fn idle_initiators_reject_requests_that_an_overloaded_target_cannot_serve_in_time() {
    const SERVICE_TIME: Micros = 20 * MS;
    let settings = Settings { initiators: 20, ..settings() };
    let mut fleet: Vec<Harness> =
        (0..20).map(|seed| Harness::with_seed(settings.clone(), &[entry(0, 0)], seed)).collect();
    let mut queue: VecDeque<(usize, u64, Micros)> = VecDeque::new();
    let (mut next_done, mut served, mut in_time, mut arrived) = (0, 0, 0, 0);
    for ms in 0..20_000u64 {
        let now = fleet[0].now + MS;
        let mut sent = Vec::new();
        for (index, harness) in fleet.iter_mut().enumerate() {
            sent.extend(started_requests(&harness.advance(MS)).into_iter().map(|id| (index, id)));
            if (ms + 8 * index as u64).is_multiple_of(160) {
                arrived += 1; // 125 requests a second, while the target serves 50
                sent.extend(
                    started_requests(&harness.arrive(request(ms, READ))).into_iter().map(|id| (index, id)),
                );
            }
        }
        if let Some((index, id, sent_at)) = queue.front().copied().filter(|_| now >= next_done) {
            queue.pop_front();
            next_done = now + SERVICE_TIME;
            (served, in_time) = (served + 1, in_time + u32::from(now - sent_at <= 100 * MS));
            sent.extend(
                started_requests(&fleet[index].served(id, now - sent_at)).into_iter().map(|id| (index, id)),
            );
        }
        if queue.is_empty() {
            next_done = next_done.max(now + SERVICE_TIME);
        }
        queue.extend(sent.into_iter().map(|(index, id)| (index, id, now)));
    }
    assert!(arrived > 2_400, "only {arrived} requests arrived");
    assert!(served > 400, "the target is idle: it served {served} of 1000 requests");
    assert!(in_time * 10 > served * 6, "only {in_time} of {served} served in time");
}

#[test]
fn requests_are_rejected_after_an_overload_in_which_none_was_served() {
    let mut settings = settings();
    settings.rules.max_attempts = 1;
    let rejected_on_arrival = |outcome: Outcome| {
        let mut harness = Harness::new(settings.clone(), &[entry(0, 0)]);
        harness.arrive(request(1_000, READ));
        harness.served(1_000, 20 * MS);
        let mut rejected = 0;
        for id in 1..40 {
            let actions = harness.arrive(request(id, READ));
            rejected += final_responses(&actions).len();
            for id in started_requests(&actions) {
                harness.attempt_ended(id, 0, 0, outcome, 900 * MS);
            }
            harness.advance(700 * MS); // longer than any backoff
        }
        rejected
    };
    for outcome in [Outcome::QueueFull, Outcome::TimedOut] {
        assert!(rejected_on_arrival(outcome) > 8, "{outcome:?}: {}", rejected_on_arrival(outcome));
    }
    assert_eq!(rejected_on_arrival(Outcome::Error), 0, "an error shows nothing of the queue");
}

#[test]
fn an_attempt_is_cancelled_when_its_client_has_gone_if_targets_can_cancel() {
    for may_cancel in [true, false] {
        let mut harness = Harness::new(Settings { may_cancel, ..settings() }, &[entry(0, 0)]);
        assert_eq!(started_requests(&harness.arrive(request(1, READ))), [1]);
        let actions = harness.event(Event::ClientGone { id: RequestId(1) });
        let cancelled =
            actions.contains(&Action::CancelAttempt { id: RequestId(1), attempt: AttemptNumber(0) });
        assert_eq!(cancelled, may_cancel);
    }
}

#[test]
fn the_mean_of_all_targets_follows_few_responses_after_a_surge() {
    let mut settings = settings();
    settings.classes[KEYED as usize].latency_objective = SECOND; // so that the class is admitted while the target is late for reads
    let mut harness = Harness::new(settings, &[entry(0, 0), entry(1, 1)]);
    let mut id = 0;
    let mut serve = |harness: &mut Harness, latency: Micros, pause: Micros| {
        id += 1;
        assert_eq!(
            started_requests(
                &harness.arrive(RequestProfile { shard: Some(ShardId(1)), ..request(id, KEYED) })
            ),
            [id]
        );
        harness.attempt_ended(id, 0, 1, Outcome::Served, latency);
        harness.advance(pause);
    };
    for _ in 0..30 {
        serve(&mut harness, 300 * MS, 5 * MS);
    }
    for _ in 0..4 {
        serve(&mut harness, 10 * MS, 1_500 * MS);
    }
    serve(&mut harness, 10 * MS, 0);
    // Target 0 has never responded, so the mean of all targets is its estimate.
    assert_eq!(started_requests(&harness.arrive(request(900, READ))), [900]);
}
