//! Admission, queue order, dispatch, placement and learning of the scheduler: the design's mechanism, and
//! each departure from it.

mod support;

use rowanglade::interface::*;
use support::FinalResponse::{Failed, Rejected};
use support::*;

/// A harness with one target that has served a request of 2 units with this latency.
fn target_with_latency(latency: Micros) -> Harness {
    let mut harness = Harness::new(settings(), &[entry(0, 0)]);
    harness.arrive(request(1_000, READ));
    harness.served(1_000, latency);
    harness
}

#[test]
fn queued_requests_are_dispatched_by_earliest_deadline() {
    let mut harness = target_with_latency(20 * MS);
    harness.arrive(request(1, BACKGROUND));
    let mut sent = started_requests(&harness.arrive(request(2, BACKGROUND)));
    sent.extend(started_requests(&harness.arrive(request(3, KEYED))));
    sent.extend(started_requests(&harness.arrive(request(4, KEYED))));
    sent.extend(started_requests(&harness.arrive(request(5, READ))));
    assert!(!sent.contains(&5) && !sent.contains(&2), "{sent:?}");
    assert_eq!(
        started_requests(&harness.served(1, 20 * MS)),
        [5],
        "the read has the earliest virtual deadline"
    );
}

#[test]
fn overtakes_of_a_queued_request_are_capped() {
    let mut harness = target_with_latency(MS);
    let mut started_keyed: Vec<u64> = Vec::new();
    // Fill the target, then insert reads ahead of one keyed request beyond the cap on overtakes.
    let mut started_reads: Vec<u64> = Vec::new();
    for id in 1..60 {
        started_reads.extend(started_requests(&harness.arrive(request(id, READ))));
    }
    let started_count = started_reads.len() as u64;
    assert!(started_count < 59, "the concurrency limit holds");
    for id in 100..101 {
        started_keyed.extend(started_requests(&harness.arrive(request(id, KEYED))));
    }
    for id in 200..260 {
        harness.arrive(request(id, READ));
    }
    let mut order: Vec<u64> = Vec::new();
    let mut in_flight = started_reads.clone();
    while let Some(id) = in_flight.pop() {
        let started = started_requests(&harness.served(id, MS));
        order.extend(&started);
        in_flight.extend(started);
    }
    let position = order.iter().position(|id| *id == 100).expect("request 100 is started");
    let overtaken = order[..position].iter().filter(|id| **id >= 200).count();
    assert!(started_keyed.is_empty() && overtaken <= 12, "overtaken {overtaken} times");
}

#[test]
fn a_request_predicted_late_is_rejected_on_arrival_unless_it_is_background_work() {
    let mut harness = target_with_latency(40 * MS); // 50 units a second
    assert_eq!(started_requests(&harness.arrive(request(1, READ))), [1]);
    assert_eq!(final_responses(&harness.arrive(request(2, READ))), [(2, Rejected)]);
    for id in 3..40 {
        assert!(final_responses(&harness.arrive(request(id, BACKGROUND))).is_empty());
    }
    assert!(final_responses(&harness.advance(150 * MS)).is_empty(), "background requests wait longer");
}

// Guards against background requests that wait until their deadline: they occupied their clients'
// connections, and requests with tight objectives found none.
#[test]
fn background_requests_without_capacity_are_rejected_well_before_half_of_their_deadline() {
    let mut harness = target_with_latency(40 * MS);
    assert!(harness.arrive(request(1, BACKGROUND)).is_empty(), "queued: the target is predicted to be busy");
    assert!(final_responses(&harness.advance(150 * MS)).is_empty());
    assert_eq!(
        final_responses(&harness.advance(30 * MS)),
        [(1, Rejected)],
        "it never ran, so it is rejected"
    );
}

#[test]
fn a_request_that_would_make_an_admitted_one_late_is_rejected() {
    let mut harness = target_with_latency(25 * MS); // 80 units a second, 25 ms latency
    let large = |id, class| RequestProfile { units: 4.0, ..request(id, class) };
    assert_eq!(started_requests(&harness.arrive(large(1, KEYED))), [1]);
    let queued = harness.arrive(RequestProfile { units: 9.0, ..request(2, KEYED) });
    assert!(queued.is_empty(), "(4 + 9) / 80 s + 25 ms: just in time, and queued since the limit is reached");
    let actions = harness.arrive(request(3, READ));
    assert_eq!(final_responses(&actions), [(3, Rejected)], "in time itself, but request 2 would be late");
}

#[test]
fn the_concurrency_limit_follows_the_speed_between_its_bounds() {
    let started_count = |latency: Micros| {
        let mut harness = target_with_latency(latency);
        (1..60).map(|id| started_requests(&harness.arrive(request(id, BACKGROUND))).len()).sum::<usize>()
    };
    assert!(
        started_count(MS) > started_count(5 * MS),
        "{} requests started at 1 ms, {} at 5 ms",
        started_count(MS),
        started_count(5 * MS)
    );
    assert!(started_count(5 * MS) > started_count(20 * MS));
    assert!(started_count(20 * MS) >= 1);
    assert!(started_count(1) <= 24);
}

#[test]
fn a_new_object_goes_where_it_completes_first() {
    let mut harness = Harness::new(settings(), &[entry(0, 0), entry(1, 1)]);
    for (id, shard, latency) in [(1, 0, 60 * MS), (2, 1, 10 * MS)] {
        harness.arrive(RequestProfile { shard: Some(ShardId(shard)), ..request(id, READ) });
        harness.attempt_ended(id, 0, shard, Outcome::Served, latency);
    }
    let sent = harness.arrive(RequestProfile { shard: None, ..request(3, NON_IDEMPOTENT) });
    assert_eq!(sent, [Action::StartAttempt { id: RequestId(3), target: TargetId(1), timeout: None }]);
}

#[test]
fn a_request_past_its_objective_is_not_dispatched_before_one_in_time() {
    let mut settings = settings();
    settings.classes[NON_IDEMPOTENT as usize].latency_objective = 1_900 * MS;
    settings.classes[NON_IDEMPOTENT as usize].deadline = 3 * SECOND;
    let mut harness = Harness::new(settings, &[entry(0, 0)]);
    harness.arrive(request(1_000, READ));
    harness.served(1_000, 20 * MS); // 100 units a second: two requests may be in flight
    let started: Vec<u64> =
        (1..4).flat_map(|id| started_requests(&harness.arrive(request(id, KEYED)))).collect();
    assert_eq!(started, [1, 2], "request 3 is queued");
    harness.advance(300 * MS); // the objective of all three requests has passed
    assert!(harness.arrive(request(20, NON_IDEMPOTENT)).is_empty(), "request 20 is queued");
    assert_eq!(
        started_requests(&harness.served(1, 300 * MS)),
        [20],
        "request 3 has the earlier deadline, but has missed its objective"
    );
}

#[test]
fn background_work_leaves_capacity_for_tight_objectives() {
    let mut harness = target_with_latency(5 * MS); // 400 units a second: a concurrency limit of 20 units
    let started: usize =
        (1..20).map(|id| started_requests(&harness.arrive(request(id, BACKGROUND))).len()).sum();
    assert_eq!(started, 2, "a fifth of the limit");
    assert_eq!(started_requests(&harness.arrive(request(50, READ))), [50]);
}

#[test]
fn a_volume_beyond_its_fair_share_is_rejected_before_one_within() {
    let mut harness = target_with_latency(20 * MS);
    // Volume 1 requests more than the target serves, which is 100 units a second; every tenth request is of
    // volume 2.
    // Per volume: the requests that arrived, and those that were rejected.
    let (mut volume_1, mut volume_2) = ((0, 0), (0, 0));
    let mut in_flight: Vec<(u64, Micros)> = Vec::new();
    for id in 1..4_000u64 {
        harness.advance(5 * MS);
        let completed: Vec<u64> = in_flight
            .iter()
            .filter(|attempt| attempt.1 <= harness.now)
            .map(|attempt| attempt.0)
            .take(1)
            .collect();
        in_flight.retain(|attempt| !completed.contains(&attempt.0));
        let mut sent = Vec::new();
        for id in completed {
            sent.extend(started_requests(&harness.served(id, 20 * MS)));
        }
        let is_volume_2 = id % 10 == 0;
        let volume = VolumeId(if is_volume_2 { 2 } else { 1 });
        let actions = harness.arrive(RequestProfile { volume, ..request(id, READ) });
        let tally = if is_volume_2 { &mut volume_2 } else { &mut volume_1 };
        tally.0 += 1;
        tally.1 += final_responses(&actions).len();
        sent.extend(started_requests(&actions));
        for id in sent {
            let idle_at =
                in_flight.iter().map(|attempt| attempt.1).max().unwrap_or(harness.now).max(harness.now);
            in_flight.push((id, idle_at + 20 * MS));
        }
    }
    let rejected_fraction = |tally: (usize, usize)| tally.1 as f64 / tally.0 as f64;
    assert!(rejected_fraction(volume_1) > 0.4, "the target is overloaded: {volume_1:?}");
    assert!(
        rejected_fraction(volume_2) < 0.6 * rejected_fraction(volume_1),
        "arrived and rejected: volume 2 {volume_2:?}, volume 1 {volume_1:?}"
    );
}

#[test]
fn an_unreachable_target_gets_one_request_after_its_backoff_and_no_burst() {
    let mut harness = target_with_latency(MS);
    let ids: Vec<u64> = (1..11).collect();
    for id in &ids {
        harness.arrive(request(*id, READ));
    }
    let mut sent: Vec<u64> = Vec::new();
    for id in &ids {
        sent.extend(started_requests(&harness.attempt_ended(*id, 0, 0, Outcome::Unreachable, MS)));
    }
    assert!(sent.is_empty(), "the target is in backoff");
    let started = started_requests(&harness.advance(30 * MS));
    assert_eq!(started.len(), 1, "{started:?}");
}

// Guards against sound requests that are refused because other clients stop in the middle of their bodies: their targets
// counted as failing, and the time for which the clients were silent as the targets' latency.
#[test]
fn bodies_that_clients_break_off_count_neither_as_failures_nor_as_latency_of_their_target() {
    const ABORTED: u64 = 20;
    let mut harness = target_with_latency(MS);
    for id in 1..=ABORTED {
        assert_eq!(started_requests(&harness.arrive(request(id, KEYED))), [id], "sent at once");
        let ended = harness.attempt_ended(id, 0, 0, Outcome::ClientAborted, 3_000 * MS);
        assert!(started_requests(&ended).is_empty(), "not sent again without its body");
    }
    assert_eq!(started_requests(&harness.arrive(request(ABORTED + 1, READ))), [ABORTED + 1]);
}

#[test]
fn unknown_ids_and_invalid_sizes_are_tolerated() {
    let mut harness = Harness::new(settings(), &[entry(0, 0)]);
    assert!(harness.served(77, MS).is_empty());
    assert!(harness.attempt_ended(77, 9, 9, Outcome::Error, 0).is_empty());
    assert!(harness.event(Event::TimerFired { token: 1 }).is_empty());
    assert!(harness.event(Event::ClientGone { id: RequestId(5) }).is_empty());
    assert_eq!(
        final_responses(&harness.arrive(RequestProfile { class: None, ..request(1, READ) })),
        [(1, Failed)]
    );
    assert_eq!(
        started_requests(&harness.arrive(RequestProfile { units: f64::NAN, ..request(2, READ) })),
        [2]
    );
    assert_eq!(
        started_requests(&harness.arrive(RequestProfile {
            units: 0.0,
            plan: None,
            key: None,
            ..request(3, READ)
        })),
        [3]
    );
    for id in 10..20 {
        harness.arrive(request(id, READ));
        harness.served(id, 0); // the clock stands still
    }
}

#[test]
fn invalid_settings_return_an_error_that_names_the_field() {
    let mut invalid = settings();
    invalid.plans[1].weight = f64::NAN;
    let error = rowanglade::scheduler::Scheduler::new(invalid, 1).err().expect("rejected");
    assert_eq!(error.field, "plans[1].weight");
    let no_classes = Settings { classes: vec![], ..settings() };
    assert_eq!(
        rowanglade::scheduler::Scheduler::new(no_classes, 1).err().expect("rejected").field,
        "classes"
    );
}

#[test]
fn a_silent_target_is_predicted_late_and_recovers_with_its_first_response() {
    let mut harness = target_with_latency(5 * MS);
    assert_eq!(started_requests(&harness.arrive(request(1, READ))), [1]);
    harness.advance(20 * MS);
    assert!(final_responses(&harness.arrive(request(2, READ))).is_empty());
    harness.advance(100 * MS); // two attempts are in flight, and no response arrives
    assert_eq!(final_responses(&harness.arrive(request(3, READ))), [(3, Rejected)]);
    harness.served(1, 120 * MS);
    harness.served(2, 100 * MS);
    assert!(
        final_responses(&harness.arrive(request(4, READ))).is_empty(),
        "one late response does not shut the target out"
    );
}

#[test]
fn a_slow_target_is_avoided_until_its_estimate_has_decayed() {
    let mut harness = target_with_latency(200 * MS);
    assert_eq!(
        final_responses(&harness.arrive(request(1, READ))),
        [(1, Rejected)],
        "nothing of this initiator is in flight, but the latency shows the load of others"
    );
    harness.advance(300 * MS);
    assert_eq!(final_responses(&harness.arrive(request(2, READ))), [(2, Rejected)]);
    harness.advance(3 * SECOND);
    assert_eq!(started_requests(&harness.arrive(request(3, READ))), [3]);
}

#[test]
fn one_slow_response_does_not_exclude_a_seldom_used_target() {
    let mut harness = Harness::new(settings(), &[entry(0, 0), entry(1, 1)]);
    for id in 1..60 {
        harness.arrive(RequestProfile { shard: Some(ShardId(1)), ..request(id, READ) });
        harness.advance(50 * MS);
        harness.attempt_ended(id, 0, 1, Outcome::Served, 10 * MS);
    }
    harness.arrive(request(100, READ));
    harness.served(100, 80 * MS);
    assert_eq!(started_requests(&harness.arrive(request(101, READ))), [101]);
}

fn cancellations(actions: &[Action]) -> Vec<u64> {
    let cancelled = |a: &Action| match a {
        Action::CancelAttempt { id, .. } => Some(id.0),
        _ => None,
    };
    actions.iter().filter_map(cancelled).collect()
}

// Guards against responses that never arrive: their attempts occupied capacity, and their clients waited,
// until the deadline, while the target was predicted late for all other requests.
#[test]
fn an_attempt_overtaken_by_later_responses_is_cancelled_and_retried() {
    let mut harness = target_with_latency(2 * MS);
    assert_eq!(started_requests(&harness.arrive(request(1, READ))), [1]);
    for id in 2..6 {
        harness.advance(MS);
        assert_eq!(
            started_requests(&harness.arrive(request(id, READ))),
            [id],
            "one silent connection does not shut the target out"
        );
        harness.served(id, 2 * MS);
    }
    assert!(cancellations(&harness.advance(10 * MS)).is_empty(), "the attempt may just be slow");
    assert_eq!(cancellations(&harness.advance(30 * MS)), [1]);
    assert!(cancellations(&harness.advance(10 * MS)).is_empty(), "an attempt is cancelled once");
    assert_eq!(started_requests(&harness.attempt_ended(1, 0, 0, Outcome::Cancelled, 40 * MS)), [1]);
}

#[test]
fn a_lone_attempt_is_cancelled_after_part_of_the_objective_and_retried_in_its_scope() {
    let mut harness = target_with_latency(2 * MS);
    harness.arrive(request(1, KEYED));
    assert!(cancellations(&harness.advance(40 * MS)).is_empty());
    assert_eq!(cancellations(&harness.advance(20 * MS)), [1]);
    assert_eq!(
        started_requests(&harness.attempt_ended(1, 0, 0, Outcome::Cancelled, 60 * MS)),
        [1],
        "the target of the same shard drops a repeat"
    );
}

#[test]
fn background_work_waits_while_the_target_is_busy_with_requests_of_others() {
    // Nothing of this initiator is in flight in either case; a read's objective is 100 ms.
    let started_count = |latency: Micros| {
        started_requests(&target_with_latency(latency).arrive(request(2, BACKGROUND))).len()
    };
    assert_eq!(started_count(10 * MS), 1);
    assert_eq!(started_count(80 * MS), 0);
    let mut harness = target_with_latency(80 * MS);
    assert!(harness.arrive(request(2, BACKGROUND)).is_empty());
    harness.advance(1_500 * MS);
    assert_eq!(
        started_requests(&harness.arrive(request(3, BACKGROUND))),
        [3],
        "the confidence in the estimate has decayed"
    );
}

#[test]
fn the_margin_follows_responses_that_keep_coming_late() {
    let rejected = |latency: Micros| {
        let mut harness = target_with_latency(10 * MS);
        for id in 1..200 {
            harness.arrive(request(id, READ));
            harness.advance(20 * MS);
            harness.served(id, latency);
        }
        harness.arrive(request(300, READ));
        (301..400).filter(|id| !final_responses(&harness.arrive(request(*id, READ))).is_empty()).count()
    };
    assert!(rejected(40 * MS) > rejected(10 * MS));
}

// Guards against clients beyond their volume's limit that were kept waiting until their deadline, without a
// response that made them slow down.
#[test]
fn a_request_delayed_past_its_objective_by_its_volumes_limit_is_rejected_with_retry_after() {
    let mut settings = settings();
    settings.max_retry_after = 500 * MS;
    let mut harness = Harness::new(settings, &[entry(0, 0)]);
    let limited = |id| RequestProfile { plan: Some(PlanId(1)), units: 4.0, ..request(id, READ) };
    harness.advance(5 * SECOND);
    let mut actions = Vec::new();
    for id in 0..12 {
        actions.extend(harness.arrive(limited(id)));
        actions.extend(harness.served(id, MS));
    }
    let rejected = |actions: &[Action]| -> Vec<(u64, Micros)> {
        let rejection = |a: &Action| match a {
            Action::Reject { id, retry_after } => Some((id.0, *retry_after)),
            _ => None,
        };
        actions.iter().filter_map(rejection).collect()
    };
    assert_eq!(started_requests(&actions).len(), 5, "the burst and the debt limit");
    actions.clear();
    actions.extend(harness.advance(120 * MS));
    let rejected = rejected(&actions);
    assert!(!rejected.is_empty(), "the objective of 100 ms has passed, but no request was rejected");
    assert!(
        rejected.iter().all(|(_, wait)| *wait > 0 && *wait <= 500 * MS),
        "Retry-After outside of 0 to 500 ms: {rejected:?}"
    );
}

// A route's target set may exclude the target that other requests of the shard are sent to, and even every
// target.
#[test]
fn a_request_is_sent_only_to_targets_of_its_target_set() {
    let mut successor = entry(1, 0);
    successor.started = Some(50 * SECOND);
    let mut harness = Harness::new(settings(), &[entry(0, 0), successor, entry(2, 1)]);
    let target = |actions: &[Action]| {
        let started_target = |a: &Action| match a {
            Action::StartAttempt { target, .. } => Some(target.0),
            _ => None,
        };
        actions.iter().find_map(started_target)
    };
    assert_eq!(target(&harness.arrive(request(1, READ))), Some(1), "the target that started last");
    let target_set = |id, targets: &[u32]| Event::TargetSetChanged {
        set: TargetSetId(id),
        targets: Some(targets.iter().map(|n| TargetId(*n)).collect()),
    };
    harness.event(target_set(7, &[0, 2]));
    let restricted = |id, set| RequestProfile { target_set: Some(TargetSetId(set)), ..request(id, READ) };
    assert_eq!(target(&harness.arrive(restricted(2, 7))), Some(0));
    let new_object = RequestProfile { shard: None, ..restricted(3, 7) };
    assert!(matches!(target(&harness.arrive(new_object)), Some(0 | 2)));
    harness.event(target_set(8, &[2]));
    assert_eq!(
        final_responses(&harness.arrive(restricted(4, 8))),
        [(4, Rejected)],
        "a request for a shard's data is not sent to a target of another shard"
    );
    assert_eq!(
        final_responses(&harness.arrive(restricted(5, 9))),
        [(5, Rejected)],
        "an unknown target set has no targets"
    );
    // Queued requests follow changes of their target set: a removed target gets no more of them.
    harness.event(target_set(7, &[]));
    assert_eq!(started_requests(&harness.attempt_ended(2, 0, 0, Outcome::QueueFull, MS)), Vec::<u64>::new());
    assert_eq!(started_requests(&harness.advance(SECOND)).iter().filter(|id| **id == 2).count(), 0);
}

// An initiator whose token bucket runs low requests units, and one that has more than it needs offers them.
// The exchange creates no units.
#[test]
fn quota_exchange_moves_units_and_creates_none() {
    let volume = VolumeId(1);
    let limited = |id| RequestProfile { plan: Some(PlanId(1)), initiators: 2, ..request(id, READ) };
    let offered = |actions: &[Action]| {
        actions
            .iter()
            .find_map(|a| if let Action::QuotaOffered { units, .. } = a { Some(*units) } else { None })
    };
    let mut harness = Harness::new(settings(), &[entry(0, 0)]);
    assert_eq!(
        offered(&harness.event(Event::QuotaRequested { volume, max_units: 5.0 })),
        Some(0.0),
        "there is no bucket before the volume's first request"
    );
    let needs_quota =
        |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::QuotaNeeded { initiators: 2, .. }));
    assert!(needs_quota(&harness.arrive(limited(1))), "the bucket is empty at a start");
    harness.served(1, MS);
    // This initiator's half of the bucket, 10 units, is full by now. It keeps a quarter of that, and the
    // demand of its own requests.
    harness.advance(30 * SECOND);
    let first =
        offered(&harness.event(Event::QuotaRequested { volume, max_units: 5.0 })).expect("units are offered");
    assert!((first - 5.0).abs() < 1e-9, "{first} units offered, expected 5");
    let second = offered(&harness.event(Event::QuotaRequested { volume, max_units: 50.0 }))
        .expect("units are offered");
    assert!((second - 2.5).abs() < 0.1, "{second} units offered, expected 2.5");
    assert_eq!(offered(&harness.event(Event::QuotaRequested { volume, max_units: 50.0 })), Some(0.0));
    harness.event(Event::QuotaReceived { volume, units: 500.0 });
    let capped = offered(&harness.event(Event::QuotaRequested { volume, max_units: 50.0 }))
        .expect("units are offered");
    assert!(
        (capped - 7.5).abs() < 0.1,
        "{capped} units offered, expected 7.5: the bucket is capped at its capacity"
    );
}

// Guards against lone attempts that are cancelled by the latencies of other targets. In a fleet whose traffic
// is spread thin, most attempts are at a target that has not responded for seconds. Those at slow targets
// were cancelled, ran all the same, and were sent once more.
#[test]
fn a_lone_attempt_is_cancelled_soon_only_where_its_target_responded_lately() {
    let cancelled = |since_last_response: Micros| {
        let mut harness = target_with_latency(20 * MS);
        harness.advance(since_last_response);
        assert_eq!(started_requests(&harness.arrive(request(1, KEYED))), [1]);
        let actions = harness.advance(400 * MS);
        actions.contains(&Action::CancelAttempt { id: RequestId(1), attempt: AttemptNumber(0) })
    };
    assert!(cancelled(0), "an attempt on a silent connection is cancelled before its deadline");
    assert!(!cancelled(4 * SECOND), "the target may just be slow");
}

// Guards against initiators that each hold a connection to almost every target: a hundred initiators placed
// new objects at any of sixty targets.
#[test]
fn a_new_object_goes_to_a_known_target_unless_that_is_late() {
    let placed = |latency: Micros, seed: u64| {
        let mut harness = Harness::with_seed(settings(), &[entry(0, 0), entry(1, 1)], seed);
        harness.arrive(RequestProfile { shard: Some(ShardId(1)), ..request(1, READ) });
        harness.attempt_ended(1, 0, 1, Outcome::Served, latency);
        let sent = harness.arrive(RequestProfile { shard: None, ..request(2, NON_IDEMPOTENT) });
        sent.iter().any(|a| matches!(a, Action::StartAttempt { target: TargetId(1), .. }))
    };
    assert!((0..20).all(|seed| placed(20 * MS, seed)), "40 ms of an objective of 200 ms");
    assert!(
        (0..20).any(|seed| !placed(90 * MS, seed)),
        "180 ms of an objective of 200 ms: a new connection may be faster"
    );
}

// Guards against all initiators beginning with the same target. Before the first response all predicted times
// are zero, and the first target of the list was chosen. 48 initiators that started together all began with
// it, and stayed there, since a target that has responded is preferred.
#[test]
fn the_first_new_objects_of_many_initiators_go_to_all_targets() {
    let targets: Vec<EndpointEntry> = (0..6).map(|i| entry(i, i)).collect();
    let mut counts = [0; 6];
    for seed in 0..120 {
        let mut harness = Harness::with_seed(settings(), &targets, seed);
        for action in harness.arrive(RequestProfile { shard: None, ..request(1, NON_IDEMPOTENT) }) {
            if let Action::StartAttempt { target, .. } = action {
                counts[target.0 as usize] += 1;
            }
        }
    }
    assert!(counts.iter().all(|c| (8..=35).contains(c)), "{counts:?}");
}

// Guards against all initiators placing new objects at the targets that responded to all of them first.
#[test]
fn a_new_object_goes_to_a_preferred_target_unless_that_is_late_or_in_backoff() {
    let placed = |latency: Micros, outcome: Outcome| {
        let mut harness = Harness::new(settings(), &[entry(0, 0), entry(1, 1), entry(2, 2)]);
        harness.event(Event::PreferredTargetsChanged(vec![TargetId(2)]));
        for (id, target, latency) in [(1, 0, 32 * MS), (2, 2, latency)] {
            harness.arrive(RequestProfile { shard: Some(ShardId(target)), ..request(id, READ) });
            harness.attempt_ended(
                id,
                0,
                target,
                if target == 2 { outcome } else { Outcome::Served },
                latency,
            );
        }
        let sent = harness.arrive(RequestProfile { shard: None, ..request(3, NON_IDEMPOTENT) });
        sent.iter().find_map(|a| match a {
            Action::StartAttempt { target, .. } => Some(target.0),
            _ => None,
        })
    };
    assert_eq!(placed(40 * MS, Outcome::Served), Some(2), "slower than the other target, but early enough");
    assert_eq!(placed(200 * MS, Outcome::Served), Some(0), "not early enough");
    assert_eq!(placed(MS, Outcome::Unreachable), Some(0), "the target is in backoff");
}

// Guards against slow responses that occupy capacity until their last byte, and are cancelled as if the
// connection were silent.
#[test]
fn an_attempt_whose_response_has_begun_occupies_no_capacity_and_is_not_cancelled_but_keeps_its_deadline() {
    let begun = |transfer_started: bool| {
        let mut harness = target_with_latency(2 * MS);
        assert_eq!(started_requests(&harness.arrive(request(1, READ))), [1]);
        if transfer_started {
            harness.event(Event::TransferStarted {
                id: RequestId(1),
                attempt: AttemptNumber(0),
                deadline_applies: true,
            });
        }
        harness
    };
    let started_count = |mut harness: Harness| {
        (2..40).map(|id| started_requests(&harness.arrive(request(id, READ))).len()).sum::<usize>()
    };
    assert_eq!(started_count(begun(true)), started_count(begun(false)) + 1);
    let outcome = |mut harness: Harness| {
        let cancelled = cancellations(&harness.advance(200 * MS));
        (cancelled, final_responses(&harness.advance(SECOND)))
    };
    assert_eq!(outcome(begun(false)), (vec![1], vec![(1, Rejected)]));
    assert_eq!(
        outcome(begun(true)),
        (vec![], vec![(1, Rejected)]),
        "its client still gets a response in time"
    );
}

// Guards against a limited volume that is served at one shard only: new units of its bucket went to the
// lowest shard with a queued request, and none were left for its other shards while it was beyond its limit.
#[test]
fn units_of_a_limited_volume_go_to_the_earliest_deadline_whatever_its_shard() {
    let mut settings = settings();
    if let Some(limit) = &mut settings.plans[1].limit {
        limit.rate = 40.0;
    }
    let mut harness = Harness::new(settings, &[entry(0, 0), entry(1, 1)]);
    let limited = |id: u64, shard: u32| RequestProfile {
        plan: Some(PlanId(1)),
        shard: Some(ShardId(shard)),
        ..request(id, READ)
    };
    // At a start the debt limit counts as used.
    harness.advance(50 * MS);
    assert_eq!(started_requests(&harness.arrive(limited(1, 0))), [1], "sent on the debt limit");
    assert!(started_requests(&harness.arrive(limited(2, 1))).is_empty());
    harness.advance(20 * MS);
    assert!(started_requests(&harness.arrive(limited(3, 0))).is_empty());
    assert_eq!(started_requests(&harness.advance(40 * MS)), [2]);
}
