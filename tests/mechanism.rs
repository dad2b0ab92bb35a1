//! The design's mechanism, and each departure from it.

mod support;

use rowanglade::interface::*;
use support::*;

/// One node that has answered a request of 2 units in `took`.
fn heard(took: Micros) -> Bench {
    let mut b = Bench::new(settings(), &[entry(0, 0)]);
    b.take(request(1_000, READ));
    b.served(1_000, took);
    b
}

#[test]
fn held_requests_leave_by_earliest_deadline() {
    let mut b = heard(20 * MS);
    b.take(request(1, EXPORT));
    let mut sent = sends(&b.take(request(2, EXPORT)));
    sent.extend(sends(&b.take(request(3, KEYED))));
    sent.extend(sends(&b.take(request(4, KEYED))));
    sent.extend(sends(&b.take(request(5, READ))));
    assert!(!sent.contains(&5) && !sent.contains(&2), "{sent:?}");
    assert_eq!(sends(&b.served(1, 20 * MS)), [5], "the read's deadline is the earliest");
}

#[test]
fn push_backs_are_capped() {
    let mut b = heard(MS);
    let mut queued: Vec<u64> = Vec::new();
    // Fill the node, then let reads overtake one keyed request until it may be pushed back no more.
    let mut out: Vec<u64> = Vec::new();
    for id in 1..60 {
        out.extend(sends(&b.take(request(id, READ))));
    }
    let full = out.len() as u64;
    assert!(full < 59, "the bound holds");
    for id in 100..101 {
        queued.extend(sends(&b.take(request(id, KEYED))));
    }
    for id in 200..260 {
        b.take(request(id, READ));
    }
    let mut order: Vec<u64> = Vec::new();
    let mut next = out.clone();
    while let Some(id) = next.pop() {
        let more = sends(&b.served(id, MS));
        order.extend(&more);
        next.extend(more);
    }
    let place = order.iter().position(|id| *id == 100).expect("it is served");
    let overtaken = order[..place].iter().filter(|id| **id >= 200).count();
    assert!(queued.is_empty() && overtaken <= 12, "overtaken {overtaken} times");
}

#[test]
fn a_request_predicted_late_is_refused_on_arrival_and_background_work_never() {
    let mut b = heard(40 * MS); // 50 units a second
    assert_eq!(sends(&b.take(request(1, READ))), [1]);
    assert_eq!(answers(&b.take(request(2, READ))), [(2, true)]);
    for id in 3..40 {
        assert!(answers(&b.take(request(id, EXPORT))).is_empty());
    }
    assert!(answers(&b.pass(150 * MS)).is_empty(), "background work waits longer");
}

// Held to its deadline, background work took up its clients' connections, and tight requests found none.
#[test]
fn background_work_that_finds_no_room_is_given_up_well_before_half_of_its_time() {
    let mut b = heard(40 * MS);
    assert!(b.take(request(1, EXPORT)).is_empty(), "held: the node is predicted busy");
    assert!(answers(&b.pass(150 * MS)).is_empty());
    assert_eq!(answers(&b.pass(30 * MS)), [(1, true)], "refused: a new try does no harm");
}

#[test]
fn a_request_that_would_push_an_accepted_one_past_its_aim_is_refused() {
    let mut b = heard(25 * MS); // 80 units a second, 25 ms latency
    let large = |id, class| RequestProfile { units: 4.0, ..request(id, class) };
    assert_eq!(sends(&b.take(large(1, KEYED))), [1]);
    let held = b.take(RequestProfile { units: 9.0, ..request(2, KEYED) });
    assert!(held.is_empty(), "(4 + 9) / 80 s + 25 ms: just in time, and held at the bound");
    let pushed = b.take(request(3, READ));
    assert_eq!(answers(&pushed), [(3, true)], "in time itself, but 2 would be late");
}

#[test]
fn units_out_at_a_node_follow_its_speed_between_floor_and_ceiling() {
    let count = |took: Micros| {
        let mut b = heard(took);
        (1..60).map(|id| sends(&b.take(request(id, EXPORT))).len()).sum::<usize>()
    };
    assert!(count(MS) > count(5 * MS), "{} {}", count(MS), count(5 * MS));
    assert!(count(5 * MS) > count(20 * MS));
    assert!(count(20 * MS) >= 1);
    assert!(count(1) <= 24);
}

#[test]
fn a_new_object_goes_where_it_completes_first() {
    let mut b = Bench::new(settings(), &[entry(0, 0), entry(1, 1)]);
    for (id, shard, took) in [(1, 0, 60 * MS), (2, 1, 10 * MS)] {
        b.take(RequestProfile { shard: Some(ShardId(shard)), ..request(id, READ) });
        b.outcome(id, 0, shard, Outcome::Served, took);
    }
    let sent = b.take(RequestProfile { shard: None, ..request(3, ONCE) });
    assert_eq!(sent, [Action::StartAttempt { id: RequestId(3), target: TargetId(1), timeout: None }]);
}

#[test]
fn what_missed_its_aim_does_not_go_before_timely_work() {
    let mut s = settings();
    s.classes[ONCE as usize].latency_objective = 1_900 * MS;
    s.classes[ONCE as usize].deadline = 3 * SECOND;
    let mut b = Bench::new(s, &[entry(0, 0)]);
    b.take(request(1_000, READ));
    b.served(1_000, 20 * MS); // 100 units a second: two requests may be out
    let out: Vec<u64> = (1..4).flat_map(|id| sends(&b.take(request(id, KEYED)))).collect();
    assert_eq!(out, [1, 2], "3 is held");
    b.pass(300 * MS); // the aim of all three has passed
    assert!(b.take(request(20, ONCE)).is_empty(), "held too");
    assert_eq!(sends(&b.served(1, 300 * MS)), [20], "3 has the earlier deadline but lapsed");
}

#[test]
fn background_work_leaves_room_for_tight_aims() {
    let mut b = heard(5 * MS); // 400 units a second: a bound of 20 units
    let exports: usize = (1..20).map(|id| sends(&b.take(request(id, EXPORT))).len()).sum();
    assert_eq!(exports, 2, "a fifth of the bound");
    assert_eq!(sends(&b.take(request(50, READ))), [50]);
}

#[test]
fn a_volume_beyond_its_due_is_refused_before_one_within() {
    let mut b = heard(20 * MS);
    // Volume 1 asks for all it can, volume 2 for a little; the node serves 100 units a second.
    let (mut greedy, mut modest) = ((0, 0), (0, 0));
    let mut out: Vec<(u64, Micros)> = Vec::new();
    for id in 1..4_000u64 {
        b.pass(5 * MS);
        let done: Vec<u64> = out.iter().filter(|o| o.1 <= b.now).map(|o| o.0).take(1).collect();
        out.retain(|o| !done.contains(&o.0));
        let mut sent = Vec::new();
        for d in done {
            sent.extend(sends(&b.served(d, 20 * MS)));
        }
        let small = id % 10 == 0;
        let volume = VolumeId(if small { 2 } else { 1 });
        let actions = b.take(RequestProfile { volume, ..request(id, READ) });
        let tally = if small { &mut modest } else { &mut greedy };
        tally.0 += 1;
        tally.1 += answers(&actions).len();
        sent.extend(sends(&actions));
        for id in sent {
            let free = out.iter().map(|o| o.1).max().unwrap_or(b.now).max(b.now);
            out.push((id, free + 20 * MS));
        }
    }
    let part = |t: (usize, usize)| t.1 as f64 / t.0 as f64;
    assert!(part(greedy) > 0.4, "the node is overloaded: {greedy:?}");
    assert!(part(modest) < 0.6 * part(greedy), "modest {modest:?}, greedy {greedy:?}");
}

#[test]
fn a_node_that_cannot_be_reached_is_tried_with_one_request_not_a_burst() {
    let mut b = heard(MS);
    let ids: Vec<u64> = (1..11).collect();
    for id in &ids {
        b.take(request(*id, READ));
    }
    let mut sent: Vec<u64> = Vec::new();
    for id in &ids {
        sent.extend(sends(&b.outcome(*id, 0, 0, Outcome::Unreachable, MS)));
    }
    assert!(sent.is_empty(), "it rests");
    let again = sends(&b.pass(30 * MS));
    assert_eq!(again.len(), 1, "{again:?}");
}

#[test]
fn odd_input_does_no_harm() {
    let mut b = Bench::new(settings(), &[entry(0, 0)]);
    assert!(b.served(77, MS).is_empty());
    assert!(b.outcome(77, 9, 9, Outcome::Error, 0).is_empty());
    assert!(b.event(Event::TimerFired { token: 1 }).is_empty());
    assert!(b.event(Event::ClientGone { id: RequestId(5) }).is_empty());
    assert_eq!(answers(&b.take(RequestProfile { class: None, ..request(1, READ) })), [(1, false)]);
    assert_eq!(sends(&b.take(RequestProfile { units: f64::NAN, ..request(2, READ) })), [2]);
    assert_eq!(sends(&b.take(RequestProfile { units: 0.0, plan: None, key: None, ..request(3, READ) })), [3]);
    for id in 10..20 {
        b.take(request(id, READ));
        b.served(id, 0); // the clock stands still
    }
}

#[test]
fn unusable_settings_name_the_field() {
    let mut s = settings();
    s.plans[1].weight = f64::NAN;
    let error = rowanglade::scheduler::Scheduler::new(s, 1).err().expect("refused");
    assert_eq!(error.field, "plans[1].weight");
    let none = Settings { classes: vec![], ..settings() };
    assert_eq!(rowanglade::scheduler::Scheduler::new(none, 1).err().expect("refused").field, "classes");
}

#[test]
fn a_silent_node_is_predicted_late_and_recovers_with_its_first_answer() {
    let mut b = heard(5 * MS);
    assert_eq!(sends(&b.take(request(1, READ))), [1]);
    b.pass(20 * MS);
    assert!(answers(&b.take(request(2, READ))).is_empty());
    b.pass(100 * MS); // answers are owed and none comes
    assert_eq!(answers(&b.take(request(3, READ))), [(3, true)]);
    b.served(1, 120 * MS);
    b.served(2, 100 * MS);
    assert!(answers(&b.take(request(4, READ))).is_empty(), "one late answer does not shut it out");
}

#[test]
fn a_node_is_refused_on_what_it_told_and_tried_again_once_that_is_old() {
    let mut b = heard(200 * MS);
    assert_eq!(
        answers(&b.take(request(1, READ))),
        [(1, true)],
        "nothing of ours is out, yet others' work is"
    );
    b.pass(300 * MS);
    assert_eq!(answers(&b.take(request(2, READ))), [(2, true)]);
    b.pass(3 * SECOND);
    assert_eq!(sends(&b.take(request(3, READ))), [3]);
}

#[test]
fn one_costly_answer_of_a_node_seldom_heard_does_not_shut_it() {
    let mut b = Bench::new(settings(), &[entry(0, 0), entry(1, 1)]);
    for id in 1..60 {
        b.take(RequestProfile { shard: Some(ShardId(1)), ..request(id, READ) });
        b.pass(50 * MS);
        b.outcome(id, 0, 1, Outcome::Served, 10 * MS);
    }
    b.take(request(100, READ));
    b.served(100, 80 * MS);
    assert_eq!(sends(&b.take(request(101, READ))), [101]);
}

fn calls_off(actions: &[Action]) -> Vec<u64> {
    let called_off = |a: &Action| match a {
        Action::CancelAttempt { id, .. } => Some(id.0),
        _ => None,
    };
    actions.iter().filter_map(called_off).collect()
}

// An answer that never comes held its units and its client until the deadline, and kept its node closed.
#[test]
fn an_attempt_that_later_answers_overtake_is_called_off_and_sent_again() {
    let mut b = heard(2 * MS);
    assert_eq!(sends(&b.take(request(1, READ))), [1]);
    for id in 2..6 {
        b.pass(MS);
        assert_eq!(sends(&b.take(request(id, READ))), [id], "one silent connection closes no node");
        b.served(id, 2 * MS);
    }
    assert!(calls_off(&b.pass(10 * MS)).is_empty(), "it may just be slow");
    assert_eq!(calls_off(&b.pass(30 * MS)), [1]);
    assert!(calls_off(&b.pass(10 * MS)).is_empty(), "once");
    assert_eq!(sends(&b.outcome(1, 0, 0, Outcome::Cancelled, 40 * MS)), [1]);
}

#[test]
fn a_lone_attempt_is_called_off_after_part_of_the_aim_and_a_keyed_one_only_for_its_own_nodes() {
    let mut b = heard(2 * MS);
    b.take(request(1, KEYED));
    assert!(calls_off(&b.pass(40 * MS)).is_empty());
    assert_eq!(calls_off(&b.pass(20 * MS)), [1]);
    assert_eq!(sends(&b.outcome(1, 0, 0, Outcome::Cancelled, 60 * MS)), [1], "the same shard drops a repeat");
}

#[test]
fn background_work_waits_while_the_node_is_predicted_busy_with_others_work() {
    // Nothing of ours is out in either case; a read's aim is 100 ms.
    let at_once = |took: Micros| sends(&heard(took).take(request(2, EXPORT))).len();
    assert_eq!(at_once(10 * MS), 1);
    assert_eq!(at_once(80 * MS), 0);
    let mut b = heard(80 * MS);
    assert!(b.take(request(2, EXPORT)).is_empty());
    b.pass(1_500 * MS);
    assert_eq!(sends(&b.take(request(3, EXPORT))), [3], "what was told long ago counts less and less");
}

#[test]
fn the_margin_follows_answers_that_keep_coming_late() {
    let refused = |took: Micros| {
        let mut b = heard(10 * MS);
        for id in 1..200 {
            b.take(request(id, READ));
            b.pass(20 * MS);
            b.served(id, took);
        }
        b.take(request(300, READ));
        (301..400).filter(|id| !answers(&b.take(request(*id, READ))).is_empty()).count()
    };
    assert!(refused(40 * MS) > refused(10 * MS));
}

// A volume beyond its limit used to be held until its client gave up; no answer until then told it to slow
// down.
#[test]
fn what_the_limit_keeps_beyond_its_aim_is_given_up_at_once_with_advice() {
    let mut s = settings();
    s.max_retry_after = 500 * MS;
    let mut b = Bench::new(s, &[entry(0, 0)]);
    let limited = |id| RequestProfile { plan: Some(PlanId(1)), units: 4.0, ..request(id, READ) };
    b.pass(5 * SECOND);
    let mut actions = Vec::new();
    for id in 0..12 {
        actions.extend(b.take(limited(id)));
        actions.extend(b.served(id, MS));
    }
    let refused = |actions: &[Action]| -> Vec<(u64, Micros)> {
        let refusal = |a: &Action| match a {
            Action::Reject { id, retry_after } => Some((id.0, *retry_after)),
            _ => None,
        };
        actions.iter().filter_map(refusal).collect()
    };
    assert_eq!(sends(&actions).len(), 5, "the burst and the slack");
    actions.clear();
    actions.extend(b.pass(120 * MS));
    let refused = refused(&actions);
    assert!(!refused.is_empty(), "the aim of 100 ms has passed");
    assert!(refused.iter().all(|(_, wait)| *wait > 0 && *wait <= 500 * MS), "{refused:?}");
}

// A route may keep a request from the node that others of its shard go to, and from every node.
#[test]
fn a_request_goes_to_nodes_of_its_reach_alone() {
    let mut fresh = entry(1, 0);
    fresh.started = Some(50 * SECOND);
    let mut bench = Bench::new(settings(), &[entry(0, 0), fresh, entry(2, 1)]);
    let node = |actions: &[Action]| {
        let to = |a: &Action| match a {
            Action::StartAttempt { target: node, .. } => Some(node.0),
            _ => None,
        };
        actions.iter().find_map(to)
    };
    assert_eq!(node(&bench.take(request(1, READ))), Some(1), "the one that started last");
    let reach = |id, nodes: &[u32]| Event::TargetSetChanged {
        set: TargetSetId(id),
        targets: Some(nodes.iter().map(|n| TargetId(*n)).collect()),
    };
    bench.event(reach(7, &[0, 2]));
    let kept = |id, reach| RequestProfile { target_set: Some(TargetSetId(reach)), ..request(id, READ) };
    assert_eq!(node(&bench.take(kept(2, 7))), Some(0));
    let anywhere = RequestProfile { shard: None, ..kept(3, 7) };
    assert!(matches!(node(&bench.take(anywhere)), Some(0 | 2)));
    bench.event(reach(8, &[2]));
    assert_eq!(answers(&bench.take(kept(4, 8))), [(4, true)], "data on one node never goes elsewhere");
    assert_eq!(answers(&bench.take(kept(5, 9))), [(5, true)], "a reach that was never told holds nobody");
    // What waits follows its reach: a node taken out of it gets nothing more of it.
    bench.event(reach(7, &[]));
    assert_eq!(sends(&bench.outcome(2, 0, 0, Outcome::QueueFull, MS)), Vec::<u64>::new());
    assert_eq!(sends(&bench.pass(SECOND)).iter().filter(|id| **id == 2).count(), 0);
}

// A store that runs low asks for units, one that can do without gives them, and neither makes any.
#[test]
fn units_move_between_stores_and_are_not_made() {
    let volume = VolumeId(1);
    let limited = |id| RequestProfile { plan: Some(PlanId(1)), initiators: 2, ..request(id, READ) };
    let spared = |actions: &[Action]| {
        actions
            .iter()
            .find_map(|a| if let Action::QuotaOffered { units, .. } = a { Some(*units) } else { None })
    };
    let mut bench = Bench::new(settings(), &[entry(0, 0)]);
    assert_eq!(
        spared(&bench.event(Event::OfferQuota { volume, max_units: 5.0 })),
        Some(0.0),
        "none of its requests came"
    );
    let lacks =
        |actions: &[Action]| actions.iter().any(|a| matches!(a, Action::QuotaNeeded { initiators: 2, .. }));
    assert!(lacks(&bench.take(limited(1))), "it starts with an empty store");
    bench.served(1, MS);
    // Its half of the store, 10 units, is full by now; a quarter of it, and what is asked here, is kept.
    bench.pass(30 * SECOND);
    let first = spared(&bench.event(Event::OfferQuota { volume, max_units: 5.0 })).expect("an answer");
    assert!((first - 5.0).abs() < 1e-9, "{first}");
    let second = spared(&bench.event(Event::OfferQuota { volume, max_units: 50.0 })).expect("an answer");
    assert!((second - 2.5).abs() < 0.1, "{second}");
    assert_eq!(spared(&bench.event(Event::OfferQuota { volume, max_units: 50.0 })), Some(0.0));
    bench.event(Event::QuotaReceived { volume, units: 500.0 });
    let back = spared(&bench.event(Event::OfferQuota { volume, max_units: 50.0 })).expect("an answer");
    assert!((back - 7.5).abs() < 0.1, "no more than the store holds: {back}");
}

// Where a fleet spreads its traffic thin, most attempts meet a node that was not heard for seconds. Judged by
// what others' latencies predict, those at slow nodes were called off, ran on all the same, and were sent
// once more.
#[test]
fn an_attempt_alone_is_called_off_soon_only_where_its_node_was_heard_lately() {
    let cancelled = |unheard: Micros| {
        let mut b = heard(20 * MS);
        b.pass(unheard);
        assert_eq!(sends(&b.take(request(1, KEYED))), [1]);
        let actions = b.pass(400 * MS);
        actions.contains(&Action::CancelAttempt { id: RequestId(1), attempt: AttemptNumber(0) })
    };
    assert!(cancelled(0), "a silent connection must not hold it to the end");
    assert!(!cancelled(4 * SECOND), "it may just be slow");
}

// A hundred initiators that each placed new objects at any of sixty nodes held a connection to almost every
// one.
#[test]
fn a_new_object_goes_to_a_node_heard_before_unless_that_is_late() {
    let placed = |took: Micros, seed: u64| {
        let mut b = Bench::seeded(settings(), &[entry(0, 0), entry(1, 1)], seed);
        b.take(RequestProfile { shard: Some(ShardId(1)), ..request(1, READ) });
        b.outcome(1, 0, 1, Outcome::Served, took);
        let sent = b.take(RequestProfile { shard: None, ..request(2, ONCE) });
        sent.iter().any(|a| matches!(a, Action::StartAttempt { target: TargetId(1), .. }))
    };
    assert!((0..20).all(|seed| placed(20 * MS, seed)), "40 ms of an aim of 200");
    assert!((0..20).any(|seed| !placed(90 * MS, seed)), "180 ms: a new connection is worth it");
}

// Before the first answer all nodes cost nothing, and the first in the list's order was taken. So 48
// initiators that started together all began with one node, and stayed there: what was heard before is
// preferred.
#[test]
fn the_first_new_objects_of_many_gateways_go_to_all_nodes() {
    let nodes: Vec<EndpointEntry> = (0..6).map(|i| entry(i, i)).collect();
    let mut counts = [0; 6];
    for seed in 0..120 {
        let mut b = Bench::seeded(settings(), &nodes, seed);
        for action in b.take(RequestProfile { shard: None, ..request(1, ONCE) }) {
            if let Action::StartAttempt { target: node, .. } = action {
                counts[node.0 as usize] += 1;
            }
        }
    }
    assert!(counts.iter().all(|c| (8..=35).contains(c)), "{counts:?}");
}

// What all initiators hear of first was where all of them placed new objects.
#[test]
fn a_new_object_goes_to_a_preferred_node_unless_that_is_late_or_rests() {
    let placed = |took: Micros, outcome: Outcome| {
        let mut b = Bench::new(settings(), &[entry(0, 0), entry(1, 1), entry(2, 2)]);
        b.event(Event::PreferredTargets(vec![TargetId(2)]));
        for (id, node, took) in [(1, 0, 32 * MS), (2, 2, took)] {
            b.take(RequestProfile { shard: Some(ShardId(node)), ..request(id, READ) });
            b.outcome(id, 0, node, if node == 2 { outcome } else { Outcome::Served }, took);
        }
        let sent = b.take(RequestProfile { shard: None, ..request(3, ONCE) });
        sent.iter().find_map(|a| match a {
            Action::StartAttempt { target: node, .. } => Some(node.0),
            _ => None,
        })
    };
    assert_eq!(placed(40 * MS, Outcome::Served), Some(2), "slower than the other, and early enough");
    assert_eq!(placed(200 * MS, Outcome::Served), Some(0), "late");
    assert_eq!(placed(MS, Outcome::Unreachable), Some(0), "it rests");
}

// An answer that its target wrote slowly took up the node's room until its last byte, and was called off as
// silent.
#[test]
fn an_attempt_whose_answer_has_begun_takes_no_room_and_is_not_called_off_but_stays_timed() {
    let begun = |told: bool| {
        let mut b = heard(2 * MS);
        assert_eq!(sends(&b.take(request(1, READ))), [1]);
        if told {
            b.event(Event::TransferStarted {
                id: RequestId(1),
                attempt: AttemptNumber(0),
                deadline_applies: true,
            });
        }
        b
    };
    let room = |mut b: Bench| (2..40).map(|id| sends(&b.take(request(id, READ))).len()).sum::<usize>();
    assert_eq!(room(begun(true)), room(begun(false)) + 1);
    let ends = |mut b: Bench| {
        let called_off = calls_off(&b.pass(200 * MS));
        (called_off, answers(&b.pass(SECOND)))
    };
    assert_eq!(ends(begun(false)), (vec![1], vec![(1, true)]));
    assert_eq!(ends(begun(true)), (vec![], vec![(1, true)]), "its client still gets an answer in time");
}

// What filled the store of a limited volume always went to the lowest shard that had a request waiting: asked
// beyond its limit, a volume got nothing at its other shards.
#[test]
fn units_of_a_limited_volume_go_to_the_earliest_deadline_whatever_its_shard() {
    let mut s = settings();
    if let Some(limit) = &mut s.plans[1].limit {
        limit.rate = 40.0;
    }
    let mut b = Bench::new(s, &[entry(0, 0), entry(1, 1)]);
    let limited = |id: u64, shard: u32| RequestProfile {
        plan: Some(PlanId(1)),
        shard: Some(ShardId(shard)),
        ..request(id, READ)
    };
    // At a start the slack counts as used.
    b.pass(50 * MS);
    assert_eq!(sends(&b.take(limited(1, 0))), [1], "on the slack");
    assert!(sends(&b.take(limited(2, 1))).is_empty());
    b.pass(20 * MS);
    assert!(sends(&b.take(limited(3, 0))).is_empty());
    assert_eq!(sends(&b.pass(40 * MS)), [2]);
}
