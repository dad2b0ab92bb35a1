//! The design's mechanism, and each departure from it.

mod support;

use rowanglade::interface::*;
use support::FinalResponse::{Failed, Rejected};
use support::*;

/// One target that has answered a request of 2 units in `took`.
fn target_with_latency(took: Micros) -> Harness {
    let mut b = Harness::new(settings(), &[entry(0, 0)]);
    b.arrive(request(1_000, READ));
    b.served(1_000, took);
    b
}

#[test]
fn queued_requests_are_dispatched_by_earliest_deadline() {
    let mut b = target_with_latency(20 * MS);
    b.arrive(request(1, BACKGROUND));
    let mut sent = started_requests(&b.arrive(request(2, BACKGROUND)));
    sent.extend(started_requests(&b.arrive(request(3, KEYED))));
    sent.extend(started_requests(&b.arrive(request(4, KEYED))));
    sent.extend(started_requests(&b.arrive(request(5, READ))));
    assert!(!sent.contains(&5) && !sent.contains(&2), "{sent:?}");
    assert_eq!(started_requests(&b.served(1, 20 * MS)), [5], "the read's deadline is the earliest");
}

#[test]
fn overtakes_of_a_queued_request_are_capped() {
    let mut b = target_with_latency(MS);
    let mut queued: Vec<u64> = Vec::new();
    // Fill the target, then let reads overtake one keyed request until it may be overtaken no more.
    let mut out: Vec<u64> = Vec::new();
    for id in 1..60 {
        out.extend(started_requests(&b.arrive(request(id, READ))));
    }
    let full = out.len() as u64;
    assert!(full < 59, "the concurrency limit holds");
    for id in 100..101 {
        queued.extend(started_requests(&b.arrive(request(id, KEYED))));
    }
    for id in 200..260 {
        b.arrive(request(id, READ));
    }
    let mut order: Vec<u64> = Vec::new();
    let mut next = out.clone();
    while let Some(id) = next.pop() {
        let more = started_requests(&b.served(id, MS));
        order.extend(&more);
        next.extend(more);
    }
    let place = order.iter().position(|id| *id == 100).expect("it is served");
    let overtaken = order[..place].iter().filter(|id| **id >= 200).count();
    assert!(queued.is_empty() && overtaken <= 12, "overtaken {overtaken} times");
}

#[test]
fn a_request_predicted_late_is_rejected_on_arrival_and_background_work_never() {
    let mut b = target_with_latency(40 * MS); // 50 units a second
    assert_eq!(started_requests(&b.arrive(request(1, READ))), [1]);
    assert_eq!(final_responses(&b.arrive(request(2, READ))), [(2, Rejected)]);
    for id in 3..40 {
        assert!(final_responses(&b.arrive(request(id, BACKGROUND))).is_empty());
    }
    assert!(final_responses(&b.advance(150 * MS)).is_empty(), "background work waits longer");
}

// Held to its deadline, background work took up its clients' connections, and tight requests found none.
#[test]
fn background_work_without_capacity_is_given_up_well_before_half_of_its_time() {
    let mut b = target_with_latency(40 * MS);
    assert!(b.arrive(request(1, BACKGROUND)).is_empty(), "queued: the target is predicted busy");
    assert!(final_responses(&b.advance(150 * MS)).is_empty());
    assert_eq!(final_responses(&b.advance(30 * MS)), [(1, Rejected)], "rejected: a new try does no harm");
}

#[test]
fn a_request_that_would_make_an_admitted_one_late_is_rejected() {
    let mut b = target_with_latency(25 * MS); // 80 units a second, 25 ms latency
    let large = |id, class| RequestProfile { units: 4.0, ..request(id, class) };
    assert_eq!(started_requests(&b.arrive(large(1, KEYED))), [1]);
    let queued = b.arrive(RequestProfile { units: 9.0, ..request(2, KEYED) });
    assert!(queued.is_empty(), "(4 + 9) / 80 s + 25 ms: just in time, and queued at the limit");
    let pushed = b.arrive(request(3, READ));
    assert_eq!(final_responses(&pushed), [(3, Rejected)], "in time itself, but 2 would be late");
}

#[test]
fn the_concurrency_limit_follows_the_speed_between_its_bounds() {
    let count = |took: Micros| {
        let mut b = target_with_latency(took);
        (1..60).map(|id| started_requests(&b.arrive(request(id, BACKGROUND))).len()).sum::<usize>()
    };
    assert!(count(MS) > count(5 * MS), "{} {}", count(MS), count(5 * MS));
    assert!(count(5 * MS) > count(20 * MS));
    assert!(count(20 * MS) >= 1);
    assert!(count(1) <= 24);
}

#[test]
fn a_new_object_goes_where_it_completes_first() {
    let mut b = Harness::new(settings(), &[entry(0, 0), entry(1, 1)]);
    for (id, shard, took) in [(1, 0, 60 * MS), (2, 1, 10 * MS)] {
        b.arrive(RequestProfile { shard: Some(ShardId(shard)), ..request(id, READ) });
        b.attempt_ended(id, 0, shard, Outcome::Served, took);
    }
    let sent = b.arrive(RequestProfile { shard: None, ..request(3, NON_IDEMPOTENT) });
    assert_eq!(sent, [Action::StartAttempt { id: RequestId(3), target: TargetId(1), timeout: None }]);
}

#[test]
fn a_request_past_its_objective_is_not_dispatched_before_one_in_time() {
    let mut s = settings();
    s.classes[NON_IDEMPOTENT as usize].latency_objective = 1_900 * MS;
    s.classes[NON_IDEMPOTENT as usize].deadline = 3 * SECOND;
    let mut b = Harness::new(s, &[entry(0, 0)]);
    b.arrive(request(1_000, READ));
    b.served(1_000, 20 * MS); // 100 units a second: two requests may be out
    let out: Vec<u64> = (1..4).flat_map(|id| started_requests(&b.arrive(request(id, KEYED)))).collect();
    assert_eq!(out, [1, 2], "3 is queued");
    b.advance(300 * MS); // the objective of all three has passed
    assert!(b.arrive(request(20, NON_IDEMPOTENT)).is_empty(), "queued too");
    assert_eq!(started_requests(&b.served(1, 300 * MS)), [20], "3 has the earlier deadline but lapsed");
}

#[test]
fn background_work_leaves_capacity_for_tight_objectives() {
    let mut b = target_with_latency(5 * MS); // 400 units a second: a concurrency limit of 20 units
    let exports: usize = (1..20).map(|id| started_requests(&b.arrive(request(id, BACKGROUND))).len()).sum();
    assert_eq!(exports, 2, "a fifth of the bound");
    assert_eq!(started_requests(&b.arrive(request(50, READ))), [50]);
}

#[test]
fn a_volume_beyond_its_fair_share_is_rejected_before_one_within() {
    let mut b = target_with_latency(20 * MS);
    // Volume 1 asks for all it can, volume 2 for a little; the target serves 100 units a second.
    let (mut greedy, mut modest) = ((0, 0), (0, 0));
    let mut out: Vec<(u64, Micros)> = Vec::new();
    for id in 1..4_000u64 {
        b.advance(5 * MS);
        let done: Vec<u64> = out.iter().filter(|o| o.1 <= b.now).map(|o| o.0).take(1).collect();
        out.retain(|o| !done.contains(&o.0));
        let mut sent = Vec::new();
        for d in done {
            sent.extend(started_requests(&b.served(d, 20 * MS)));
        }
        let small = id % 10 == 0;
        let volume = VolumeId(if small { 2 } else { 1 });
        let actions = b.arrive(RequestProfile { volume, ..request(id, READ) });
        let tally = if small { &mut modest } else { &mut greedy };
        tally.0 += 1;
        tally.1 += final_responses(&actions).len();
        sent.extend(started_requests(&actions));
        for id in sent {
            let free = out.iter().map(|o| o.1).max().unwrap_or(b.now).max(b.now);
            out.push((id, free + 20 * MS));
        }
    }
    let part = |t: (usize, usize)| t.1 as f64 / t.0 as f64;
    assert!(part(greedy) > 0.4, "the target is overloaded: {greedy:?}");
    assert!(part(modest) < 0.6 * part(greedy), "modest {modest:?}, greedy {greedy:?}");
}

#[test]
fn an_unreachable_target_is_tried_with_one_request_not_a_burst() {
    let mut b = target_with_latency(MS);
    let ids: Vec<u64> = (1..11).collect();
    for id in &ids {
        b.arrive(request(*id, READ));
    }
    let mut sent: Vec<u64> = Vec::new();
    for id in &ids {
        sent.extend(started_requests(&b.attempt_ended(*id, 0, 0, Outcome::Unreachable, MS)));
    }
    assert!(sent.is_empty(), "it is in backoff");
    let again = started_requests(&b.advance(30 * MS));
    assert_eq!(again.len(), 1, "{again:?}");
}

#[test]
fn unknown_ids_and_odd_sizes_do_no_harm() {
    let mut b = Harness::new(settings(), &[entry(0, 0)]);
    assert!(b.served(77, MS).is_empty());
    assert!(b.attempt_ended(77, 9, 9, Outcome::Error, 0).is_empty());
    assert!(b.event(Event::TimerFired { token: 1 }).is_empty());
    assert!(b.event(Event::ClientGone { id: RequestId(5) }).is_empty());
    assert_eq!(final_responses(&b.arrive(RequestProfile { class: None, ..request(1, READ) })), [(1, Failed)]);
    assert_eq!(started_requests(&b.arrive(RequestProfile { units: f64::NAN, ..request(2, READ) })), [2]);
    assert_eq!(
        started_requests(&b.arrive(RequestProfile { units: 0.0, plan: None, key: None, ..request(3, READ) })),
        [3]
    );
    for id in 10..20 {
        b.arrive(request(id, READ));
        b.served(id, 0); // the clock stands still
    }
}

#[test]
fn unusable_settings_name_the_field() {
    let mut s = settings();
    s.plans[1].weight = f64::NAN;
    let error = rowanglade::scheduler::Scheduler::new(s, 1).err().expect("rejected");
    assert_eq!(error.field, "plans[1].weight");
    let none = Settings { classes: vec![], ..settings() };
    assert_eq!(rowanglade::scheduler::Scheduler::new(none, 1).err().expect("rejected").field, "classes");
}

#[test]
fn a_silent_target_is_predicted_late_and_recovers_with_its_first_response() {
    let mut b = target_with_latency(5 * MS);
    assert_eq!(started_requests(&b.arrive(request(1, READ))), [1]);
    b.advance(20 * MS);
    assert!(final_responses(&b.arrive(request(2, READ))).is_empty());
    b.advance(100 * MS); // responses are owed and none comes
    assert_eq!(final_responses(&b.arrive(request(3, READ))), [(3, Rejected)]);
    b.served(1, 120 * MS);
    b.served(2, 100 * MS);
    assert!(final_responses(&b.arrive(request(4, READ))).is_empty(), "one late answer does not shut it out");
}

#[test]
fn a_slow_target_is_avoided_until_its_estimate_has_decayed() {
    let mut b = target_with_latency(200 * MS);
    assert_eq!(
        final_responses(&b.arrive(request(1, READ))),
        [(1, Rejected)],
        "nothing of this initiator is in flight, yet others' work is"
    );
    b.advance(300 * MS);
    assert_eq!(final_responses(&b.arrive(request(2, READ))), [(2, Rejected)]);
    b.advance(3 * SECOND);
    assert_eq!(started_requests(&b.arrive(request(3, READ))), [3]);
}

#[test]
fn one_slow_response_of_a_seldom_used_target_does_not_shut_it_out() {
    let mut b = Harness::new(settings(), &[entry(0, 0), entry(1, 1)]);
    for id in 1..60 {
        b.arrive(RequestProfile { shard: Some(ShardId(1)), ..request(id, READ) });
        b.advance(50 * MS);
        b.attempt_ended(id, 0, 1, Outcome::Served, 10 * MS);
    }
    b.arrive(request(100, READ));
    b.served(100, 80 * MS);
    assert_eq!(started_requests(&b.arrive(request(101, READ))), [101]);
}

fn cancellations(actions: &[Action]) -> Vec<u64> {
    let cancelled = |a: &Action| match a {
        Action::CancelAttempt { id, .. } => Some(id.0),
        _ => None,
    };
    actions.iter().filter_map(cancelled).collect()
}

// A response that never comes held its units and its client until the deadline, and kept its target closed.
#[test]
fn an_attempt_overtaken_by_later_responses_is_cancelled_and_retried() {
    let mut b = target_with_latency(2 * MS);
    assert_eq!(started_requests(&b.arrive(request(1, READ))), [1]);
    for id in 2..6 {
        b.advance(MS);
        assert_eq!(
            started_requests(&b.arrive(request(id, READ))),
            [id],
            "one silent connection does not shut a target out"
        );
        b.served(id, 2 * MS);
    }
    assert!(cancellations(&b.advance(10 * MS)).is_empty(), "it may just be slow");
    assert_eq!(cancellations(&b.advance(30 * MS)), [1]);
    assert!(cancellations(&b.advance(10 * MS)).is_empty(), "once");
    assert_eq!(started_requests(&b.attempt_ended(1, 0, 0, Outcome::Cancelled, 40 * MS)), [1]);
}

#[test]
fn a_lone_attempt_is_cancelled_after_part_of_the_objective_and_retried_in_its_scope() {
    let mut b = target_with_latency(2 * MS);
    b.arrive(request(1, KEYED));
    assert!(cancellations(&b.advance(40 * MS)).is_empty());
    assert_eq!(cancellations(&b.advance(20 * MS)), [1]);
    assert_eq!(
        started_requests(&b.attempt_ended(1, 0, 0, Outcome::Cancelled, 60 * MS)),
        [1],
        "the same shard drops a repeat"
    );
}

#[test]
fn background_work_waits_while_the_target_is_busy_with_others_work() {
    // Nothing of this initiator is in flight in either case; a read's objective is 100 ms.
    let at_once =
        |took: Micros| started_requests(&target_with_latency(took).arrive(request(2, BACKGROUND))).len();
    assert_eq!(at_once(10 * MS), 1);
    assert_eq!(at_once(80 * MS), 0);
    let mut b = target_with_latency(80 * MS);
    assert!(b.arrive(request(2, BACKGROUND)).is_empty());
    b.advance(1_500 * MS);
    assert_eq!(
        started_requests(&b.arrive(request(3, BACKGROUND))),
        [3],
        "what was learned long ago counts less and less"
    );
}

#[test]
fn the_margin_follows_responses_that_keep_coming_late() {
    let rejected = |took: Micros| {
        let mut b = target_with_latency(10 * MS);
        for id in 1..200 {
            b.arrive(request(id, READ));
            b.advance(20 * MS);
            b.served(id, took);
        }
        b.arrive(request(300, READ));
        (301..400).filter(|id| !final_responses(&b.arrive(request(*id, READ))).is_empty()).count()
    };
    assert!(rejected(40 * MS) > rejected(10 * MS));
}

// A volume beyond its limit used to be held until its client gave up; no answer until then told it to slow
// down.
#[test]
fn a_request_that_its_limit_keeps_past_its_objective_is_rejected_with_retry_after() {
    let mut s = settings();
    s.max_retry_after = 500 * MS;
    let mut b = Harness::new(s, &[entry(0, 0)]);
    let limited = |id| RequestProfile { plan: Some(PlanId(1)), units: 4.0, ..request(id, READ) };
    b.advance(5 * SECOND);
    let mut actions = Vec::new();
    for id in 0..12 {
        actions.extend(b.arrive(limited(id)));
        actions.extend(b.served(id, MS));
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
    actions.extend(b.advance(120 * MS));
    let rejected = rejected(&actions);
    assert!(!rejected.is_empty(), "the objective of 100 ms has passed");
    assert!(rejected.iter().all(|(_, wait)| *wait > 0 && *wait <= 500 * MS), "{rejected:?}");
}

// A route may keep a request from the target that others of its shard go to, and from every target.
#[test]
fn a_request_goes_to_targets_of_its_target_set_alone() {
    let mut fresh = entry(1, 0);
    fresh.started = Some(50 * SECOND);
    let mut harness = Harness::new(settings(), &[entry(0, 0), fresh, entry(2, 1)]);
    let target = |actions: &[Action]| {
        let to = |a: &Action| match a {
            Action::StartAttempt { target, .. } => Some(target.0),
            _ => None,
        };
        actions.iter().find_map(to)
    };
    assert_eq!(target(&harness.arrive(request(1, READ))), Some(1), "the one that started last");
    let target_set = |id, targets: &[u32]| Event::TargetSetChanged {
        set: TargetSetId(id),
        targets: Some(targets.iter().map(|n| TargetId(*n)).collect()),
    };
    harness.event(target_set(7, &[0, 2]));
    let kept = |id, set| RequestProfile { target_set: Some(TargetSetId(set)), ..request(id, READ) };
    assert_eq!(target(&harness.arrive(kept(2, 7))), Some(0));
    let anywhere = RequestProfile { shard: None, ..kept(3, 7) };
    assert!(matches!(target(&harness.arrive(anywhere)), Some(0 | 2)));
    harness.event(target_set(8, &[2]));
    assert_eq!(
        final_responses(&harness.arrive(kept(4, 8))),
        [(4, Rejected)],
        "data on one target never goes elsewhere"
    );
    assert_eq!(
        final_responses(&harness.arrive(kept(5, 9))),
        [(5, Rejected)],
        "a target set that was never set has no targets"
    );
    // What waits follows its target set: a target taken out of it gets nothing more of it.
    harness.event(target_set(7, &[]));
    assert_eq!(started_requests(&harness.attempt_ended(2, 0, 0, Outcome::QueueFull, MS)), Vec::<u64>::new());
    assert_eq!(started_requests(&harness.advance(SECOND)).iter().filter(|id| **id == 2).count(), 0);
}

// A token bucket that runs low asks for units, one that can do without gives them, and neither makes any.
#[test]
fn units_move_between_token_buckets_and_are_not_made() {
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
        "none of its requests came"
    );
    let needs_quota =
        |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::QuotaNeeded { initiators: 2, .. }));
    assert!(needs_quota(&harness.arrive(limited(1))), "it starts with an empty bucket");
    harness.served(1, MS);
    // Its half of the bucket, 10 units, is full by now; a quarter of it, and what is asked here, is kept.
    harness.advance(30 * SECOND);
    let first = offered(&harness.event(Event::QuotaRequested { volume, max_units: 5.0 })).expect("an answer");
    assert!((first - 5.0).abs() < 1e-9, "{first}");
    let second =
        offered(&harness.event(Event::QuotaRequested { volume, max_units: 50.0 })).expect("an answer");
    assert!((second - 2.5).abs() < 0.1, "{second}");
    assert_eq!(offered(&harness.event(Event::QuotaRequested { volume, max_units: 50.0 })), Some(0.0));
    harness.event(Event::QuotaReceived { volume, units: 500.0 });
    let back = offered(&harness.event(Event::QuotaRequested { volume, max_units: 50.0 })).expect("an answer");
    assert!((back - 7.5).abs() < 0.1, "no more than the bucket holds: {back}");
}

// Where a fleet spreads its traffic thin, most attempts meet a target that has not responded for seconds.
// Judged by what others' latencies predict, those at slow targets were cancelled, ran on all the same, and
// were sent once more.
#[test]
fn a_lone_attempt_is_cancelled_soon_only_where_its_target_responded_lately() {
    let cancelled = |unheard: Micros| {
        let mut b = target_with_latency(20 * MS);
        b.advance(unheard);
        assert_eq!(started_requests(&b.arrive(request(1, KEYED))), [1]);
        let actions = b.advance(400 * MS);
        actions.contains(&Action::CancelAttempt { id: RequestId(1), attempt: AttemptNumber(0) })
    };
    assert!(cancelled(0), "a silent connection must not hold it to the end");
    assert!(!cancelled(4 * SECOND), "it may just be slow");
}

// A hundred initiators that each placed new objects at any of sixty targets held a connection to almost every
// one.
#[test]
fn a_new_object_goes_to_a_known_target_unless_that_is_late() {
    let placed = |took: Micros, seed: u64| {
        let mut b = Harness::with_seed(settings(), &[entry(0, 0), entry(1, 1)], seed);
        b.arrive(RequestProfile { shard: Some(ShardId(1)), ..request(1, READ) });
        b.attempt_ended(1, 0, 1, Outcome::Served, took);
        let sent = b.arrive(RequestProfile { shard: None, ..request(2, NON_IDEMPOTENT) });
        sent.iter().any(|a| matches!(a, Action::StartAttempt { target: TargetId(1), .. }))
    };
    assert!((0..20).all(|seed| placed(20 * MS, seed)), "40 ms of an objective of 200");
    assert!((0..20).any(|seed| !placed(90 * MS, seed)), "180 ms: a new connection is worth it");
}

// Before the first answer all targets cost nothing, and the first in the list's order was taken. So 48
// initiators that started together all began with one target, and stayed there: a target that has responded
// is preferred.
#[test]
fn the_first_new_objects_of_many_initiators_go_to_all_targets() {
    let targets: Vec<EndpointEntry> = (0..6).map(|i| entry(i, i)).collect();
    let mut counts = [0; 6];
    for seed in 0..120 {
        let mut b = Harness::with_seed(settings(), &targets, seed);
        for action in b.arrive(RequestProfile { shard: None, ..request(1, NON_IDEMPOTENT) }) {
            if let Action::StartAttempt { target, .. } = action {
                counts[target.0 as usize] += 1;
            }
        }
    }
    assert!(counts.iter().all(|c| (8..=35).contains(c)), "{counts:?}");
}

// All initiators placed new objects at the targets that responded to all of them first.
#[test]
fn a_new_object_goes_to_a_preferred_target_unless_that_is_late_or_in_backoff() {
    let placed = |took: Micros, outcome: Outcome| {
        let mut b = Harness::new(settings(), &[entry(0, 0), entry(1, 1), entry(2, 2)]);
        b.event(Event::PreferredTargetsChanged(vec![TargetId(2)]));
        for (id, target, took) in [(1, 0, 32 * MS), (2, 2, took)] {
            b.arrive(RequestProfile { shard: Some(ShardId(target)), ..request(id, READ) });
            b.attempt_ended(id, 0, target, if target == 2 { outcome } else { Outcome::Served }, took);
        }
        let sent = b.arrive(RequestProfile { shard: None, ..request(3, NON_IDEMPOTENT) });
        sent.iter().find_map(|a| match a {
            Action::StartAttempt { target, .. } => Some(target.0),
            _ => None,
        })
    };
    assert_eq!(placed(40 * MS, Outcome::Served), Some(2), "slower than the other, and early enough");
    assert_eq!(placed(200 * MS, Outcome::Served), Some(0), "late");
    assert_eq!(placed(MS, Outcome::Unreachable), Some(0), "it is in backoff");
}

// An answer that its target wrote slowly took up the target's room until its last byte, and was cancelled as
// silent.
#[test]
fn an_attempt_whose_response_has_begun_takes_no_capacity_and_is_not_cancelled_but_keeps_its_deadline() {
    let begun = |transfer_started: bool| {
        let mut b = target_with_latency(2 * MS);
        assert_eq!(started_requests(&b.arrive(request(1, READ))), [1]);
        if transfer_started {
            b.event(Event::TransferStarted {
                id: RequestId(1),
                attempt: AttemptNumber(0),
                deadline_applies: true,
            });
        }
        b
    };
    let room = |mut b: Harness| {
        (2..40).map(|id| started_requests(&b.arrive(request(id, READ))).len()).sum::<usize>()
    };
    assert_eq!(room(begun(true)), room(begun(false)) + 1);
    let ends = |mut b: Harness| {
        let cancelled = cancellations(&b.advance(200 * MS));
        (cancelled, final_responses(&b.advance(SECOND)))
    };
    assert_eq!(ends(begun(false)), (vec![1], vec![(1, Rejected)]));
    assert_eq!(ends(begun(true)), (vec![], vec![(1, Rejected)]), "its client still gets an answer in time");
}

// What filled the token bucket of a limited volume always went to the lowest shard that had a request
// waiting: asked beyond its limit, a volume got nothing at its other shards.
#[test]
fn units_of_a_limited_volume_go_to_the_earliest_deadline_whatever_its_shard() {
    let mut s = settings();
    if let Some(limit) = &mut s.plans[1].limit {
        limit.rate = 40.0;
    }
    let mut b = Harness::new(s, &[entry(0, 0), entry(1, 1)]);
    let limited = |id: u64, shard: u32| RequestProfile {
        plan: Some(PlanId(1)),
        shard: Some(ShardId(shard)),
        ..request(id, READ)
    };
    // At a start the debt limit counts as used.
    b.advance(50 * MS);
    assert_eq!(started_requests(&b.arrive(limited(1, 0))), [1], "on the debt limit");
    assert!(started_requests(&b.arrive(limited(2, 1))).is_empty());
    b.advance(20 * MS);
    assert!(started_requests(&b.arrive(limited(3, 0))).is_empty());
    assert_eq!(started_requests(&b.advance(40 * MS)), [2]);
}
