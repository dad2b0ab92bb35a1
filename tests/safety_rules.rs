//! The seven rules, each with a test that fails when its guard is taken out.

mod support;

use rowanglade::interface::*;
use support::*;

#[test]
fn a_held_request_is_refused_once_when_its_aim_has_passed() {
    let mut b = Bench::new(settings(), &[]);
    assert!(b.take(request(1, READ)).is_empty(), "no node: it is held");
    assert!(answers(&b.pass(100 * MS)).is_empty());
    assert_eq!(answers(&b.pass(20 * MS)), [(1, true)], "holding it longer only keeps the client waiting");
    assert!(answers(&b.pass(5 * SECOND)).is_empty());
}

#[test]
fn a_request_out_at_its_deadline_gets_one_answer_and_nothing_more_is_sent() {
    let mut b = Bench::new(settings(), &[entry(0, 0)]);
    assert_eq!(sends(&b.take(request(1, ONCE))), [1]);
    assert_eq!(answers(&b.pass(SECOND)), [(1, false)], "it may have run: a failure, not a refusal");
    let after = b.outcome(1, 0, 0, Outcome::TimedOut, SECOND);
    assert!(sends(&after).is_empty() && answers(&after).is_empty());
}

#[test]
fn a_withdrawn_request_gets_nothing_more() {
    let mut b = Bench::new(settings(), &[]);
    b.take(request(1, READ));
    b.event(Event::ClientGone { id: RequestId(1) });
    assert!(b.list(EndpointUpdateKind::Delta, &[entry(0, 0)]).is_empty());
    assert!(b.pass(3 * SECOND).is_empty());
}

#[test]
fn what_never_ran_is_sent_again_and_what_may_have_run_only_as_its_class_allows() {
    for (class, outcome, again, refused) in [
        (READ, Outcome::Error, true, true),
        (READ, Outcome::Unreachable, true, true),
        (ONCE, Outcome::Unreachable, true, true),
        (ONCE, Outcome::Error, false, false),
        (ONCE, Outcome::Broken, false, false),
        (KEYED, Outcome::Broken, true, false),
    ] {
        let mut b = Bench::new(settings(), &[entry(0, 0)]);
        b.take(request(1, class));
        let mut actions = b.outcome(1, 0, 0, outcome, MS);
        actions.extend(b.pass(100 * MS));
        assert_eq!(sends(&actions).len(), usize::from(again), "class {class}, {outcome:?}");
        if again {
            actions.extend(b.pass(900 * MS));
            if class == ONCE {
                continue; // its second attempt is out and may run: covered above
            }
        }
        assert_eq!(answers(&actions), [(1, refused)], "class {class}, {outcome:?}");
    }
}

#[test]
fn a_keyed_request_is_not_sent_again_outside_its_span_or_group() {
    let mut s = settings();
    s.classes[KEYED as usize].idempotency =
        Idempotency::KeyedWithin { scope: DeduplicationScope::Shard, window: 50 * MS };
    let mut b = Bench::new(s.clone(), &[entry(0, 0)]);
    b.take(request(1, KEYED));
    b.pass(60 * MS);
    let late = b.outcome(1, 0, 0, Outcome::Broken, 60 * MS);
    assert!(sends(&late).is_empty());
    assert_eq!(answers(&late), [(1, false)]);

    let mut b = Bench::new(settings(), &[entry(0, 0), entry(1, 1)]);
    let mut new_object = request(2, KEYED);
    new_object.shard = None;
    let first = b.take(new_object);
    let Some(Action::StartAttempt { target: node, .. }) = first.first() else { panic!("not sent") };
    let (node, other) = (node.0, 1 - node.0);
    let mut gone = entry(node, node);
    gone.state = TargetState::Removed;
    b.list(EndpointUpdateKind::Delta, &[gone]);
    let mut actions = b.outcome(2, 0, node, Outcome::Broken, MS);
    actions.extend(b.pass(SECOND));
    assert!(sends(&actions).is_empty(), "node {other} is outside the group");
    assert_eq!(answers(&actions), [(2, false)]);
}

#[test]
fn nothing_goes_to_a_node_told_to_drain_or_missing_from_a_full_list() {
    let mut b = Bench::new(settings(), &[entry(0, 0), entry(1, 1)]);
    let mut lame = entry(0, 0);
    lame.state = TargetState::Draining;
    b.list(EndpointUpdateKind::Delta, &[lame]);
    b.list(EndpointUpdateKind::Snapshot, &[lame]);
    let mut actions = b.take(request(1, READ));
    let mut other = request(2, READ);
    other.shard = Some(ShardId(1));
    actions.extend(b.take(other));
    actions.extend(b.pass(SECOND));
    assert!(sends(&actions).is_empty());
    assert_eq!(answers(&actions).len(), 2);
}

#[test]
fn a_successor_takes_what_waits_for_its_shard() {
    let mut b = Bench::new(settings(), &[]);
    b.take(request(1, READ));
    assert_eq!(sends(&b.list(EndpointUpdateKind::Delta, &[entry(7, 0)])), [1]);
}

fn cold(node: u32, started: Micros) -> EndpointEntry {
    EndpointEntry { started: Some(started), ..entry(node, 0) }
}

#[test]
fn a_cold_node_gets_no_more_than_this_gateways_part_in_any_window() {
    let mut b = Bench::new(settings(), &[]);
    b.pass(5 * SECOND);
    b.list(EndpointUpdateKind::Delta, &[cold(0, b.now)]);
    // 16 units a second are borne from two initiators: 8 from this one, or four requests of 2 units.
    let mut sent = Vec::new();
    for id in 0..12 {
        sent.extend(sends(&b.take(request(id, EXPORT))));
        if sent.contains(&id) {
            sent.extend(sends(&b.served(id, MS)));
        }
    }
    assert_eq!(sent.len(), 4);
}

#[test]
fn the_cold_budget_grows_as_the_node_warms() {
    let count = |waited: Micros| {
        let mut b = Bench::new(settings(), &[]);
        b.pass(5 * SECOND);
        let started = b.now;
        b.pass(waited);
        b.list(EndpointUpdateKind::Delta, &[cold(0, started)]);
        let mut sent = 0;
        for id in 0..40 {
            if sends(&b.take(request(id, EXPORT))).contains(&id) {
                sent += 1 + sends(&b.served(id, MS)).len();
            }
        }
        sent
    };
    assert_eq!(count(0), 4);
    assert!(count(6 * SECOND) > 8, "got {}", count(6 * SECOND));
    assert!(count(6 * SECOND) < 16);
    assert_eq!(count(11 * SECOND), 40);
}

#[test]
fn a_restarted_gateway_holds_back_from_a_cold_node_for_a_window() {
    let mut b = Bench::new(settings(), &[cold(0, 99 * SECOND)]);
    let patient = RequestProfile { deadline: b.now + 20 * SECOND, ..request(1, EXPORT) };
    assert!(sends(&b.take(patient)).is_empty());
    assert_eq!(sends(&b.pass(1_100 * MS)), [1]);
}

#[test]
fn requests_of_one_key_run_one_at_a_time_and_the_key_rests() {
    let mut b = Bench::new(settings(), &[entry(0, 0)]);
    let same = |id| RequestProfile { key: Some(KeyId(9)), ..request(id, ORDERED) };
    assert_eq!(sends(&b.take(same(1))), [1]);
    assert!(sends(&b.take(same(2))).is_empty());
    assert_eq!(sends(&b.served(1, MS)), [2]);
    assert!(sends(&b.take(same(3))).is_empty());
    b.event(Event::ClientGone { id: RequestId(2) });
    assert!(sends(&b.pass(50 * MS)).is_empty(), "its attempt has no outcome");
    b.outcome(2, 0, 0, Outcome::Broken, MS);
    assert!(sends(&b.pass(290 * MS)).is_empty(), "the key rests");
    assert_eq!(sends(&b.pass(30 * MS)), [3]);
}

#[test]
fn further_attempts_stay_within_their_budget() {
    let mut s = settings();
    s.rules.retry_budget = Some(RetryBudget { minimum: 1.0, ratio: 0.1, window: 5 * SECOND });
    s.rules.max_attempts = 10;
    let mut b = Bench::new(s, &[entry(0, 0)]);
    let mut sent = sends(&b.take(request(1, READ))).len();
    for attempt in 0..4 {
        if sent == attempt as usize + 1 {
            sent += sends(&b.outcome(1, attempt, 0, Outcome::Error, MS)).len();
        }
    }
    assert_eq!(sent, 2, "one free further attempt, and 0.1 for the request taken");
}

#[test]
fn a_volumes_limit_holds_from_the_first_second() {
    let mut b = Bench::new(settings(), &[entry(0, 0)]);
    let deadline = b.now + 20 * SECOND;
    let limited = |id| RequestProfile { plan: Some(PlanId(1)), deadline, ..request(id, EXPORT) };
    let mut sent = 0;
    for id in 0..20 {
        sent += sends(&b.take(limited(id))).len();
        for done in 0..id {
            sent += sends(&b.served(done, MS)).len();
        }
    }
    assert_eq!(sent, 0, "an unknown past may have drawn the store empty, and the slack");
    let mut later = 0;
    for _ in 0..10 {
        later += sends(&b.pass(100 * MS)).len();
        for id in 0..20 {
            later += sends(&b.served(id, MS)).len();
        }
    }
    assert!((4..=6).contains(&later), "10 units a second and 2 units each: {later}");
}
