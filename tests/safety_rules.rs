//! The seven safety rules of the scheduler, each with a test that fails if its guard is removed.

mod support;

use rowanglade::interface::*;
use support::FinalResponse::{Failed, Rejected};
use support::*;

#[test]
fn a_queued_request_is_rejected_once_when_its_objective_has_passed() {
    let mut harness = Harness::new(settings(), &[]);
    assert!(harness.arrive(request(1, READ)).is_empty(), "queued: there is no target");
    assert!(final_responses(&harness.advance(100 * MS)).is_empty());
    assert_eq!(
        final_responses(&harness.advance(20 * MS)),
        [(1, Rejected)],
        "it cannot meet its objective any more"
    );
    assert!(final_responses(&harness.advance(5 * SECOND)).is_empty());
}

#[test]
fn a_request_in_flight_at_its_deadline_gets_one_response_and_no_retry() {
    let mut harness = Harness::new(settings(), &[entry(0, 0)]);
    assert_eq!(started_requests(&harness.arrive(request(1, NON_IDEMPOTENT))), [1]);
    assert_eq!(
        final_responses(&harness.advance(SECOND)),
        [(1, Failed)],
        "it may have run, so it fails and is not rejected"
    );
    let after = harness.attempt_ended(1, 0, 0, Outcome::TimedOut, SECOND);
    assert!(started_requests(&after).is_empty() && final_responses(&after).is_empty());
}

#[test]
fn a_request_whose_client_has_gone_is_neither_sent_nor_answered() {
    let mut harness = Harness::new(settings(), &[]);
    harness.arrive(request(1, READ));
    harness.event(Event::ClientGone { id: RequestId(1) });
    assert!(harness.endpoints_changed(EndpointUpdateKind::Delta, &[entry(0, 0)]).is_empty());
    assert!(harness.advance(3 * SECOND).is_empty());
}

#[test]
fn a_request_that_never_ran_is_retried_and_one_that_may_have_run_only_as_its_class_allows() {
    for (class, outcome, is_retried, response) in [
        (READ, Outcome::Error, true, Rejected),
        (READ, Outcome::Unreachable, true, Rejected),
        (NON_IDEMPOTENT, Outcome::Unreachable, true, Rejected),
        (NON_IDEMPOTENT, Outcome::Error, false, Failed),
        (NON_IDEMPOTENT, Outcome::Broken, false, Failed),
        (KEYED, Outcome::Broken, true, Failed),
    ] {
        let mut harness = Harness::new(settings(), &[entry(0, 0)]);
        harness.arrive(request(1, class));
        let mut actions = harness.attempt_ended(1, 0, 0, outcome, MS);
        actions.extend(harness.advance(100 * MS));
        assert_eq!(started_requests(&actions).len(), usize::from(is_retried), "class {class}, {outcome:?}");
        if is_retried {
            actions.extend(harness.advance(900 * MS));
            if class == NON_IDEMPOTENT {
                continue; // its second attempt is in flight and may run, as in the test above
            }
        }
        assert_eq!(final_responses(&actions), [(1, response)], "class {class}, {outcome:?}");
    }
}

#[test]
fn a_keyed_request_is_not_retried_outside_its_window_or_scope() {
    let mut short_window = settings();
    short_window.classes[KEYED as usize].idempotency =
        Idempotency::KeyedWithin { scope: DeduplicationScope::Shard, window: 50 * MS };
    let mut harness = Harness::new(short_window.clone(), &[entry(0, 0)]);
    harness.arrive(request(1, KEYED));
    harness.advance(60 * MS);
    let late = harness.attempt_ended(1, 0, 0, Outcome::Broken, 60 * MS);
    assert!(started_requests(&late).is_empty());
    assert_eq!(final_responses(&late), [(1, Failed)]);

    let mut harness = Harness::new(settings(), &[entry(0, 0), entry(1, 1)]);
    let mut new_object = request(2, KEYED);
    new_object.shard = None;
    let first = harness.arrive(new_object);
    let Some(Action::StartAttempt { target, .. }) = first.first() else {
        panic!("the new object was not sent: {first:?}")
    };
    let (target, other) = (target.0, 1 - target.0);
    let mut removed = entry(target, target);
    removed.state = TargetState::Removed;
    harness.endpoints_changed(EndpointUpdateKind::Delta, &[removed]);
    let mut actions = harness.attempt_ended(2, 0, target, Outcome::Broken, MS);
    actions.extend(harness.advance(SECOND));
    assert!(started_requests(&actions).is_empty(), "target {other} is outside the scope");
    assert_eq!(final_responses(&actions), [(2, Failed)]);
}

#[test]
fn nothing_is_sent_to_a_target_that_drains_or_is_missing_from_a_snapshot() {
    let mut harness = Harness::new(settings(), &[entry(0, 0), entry(1, 1)]);
    let mut draining = entry(0, 0);
    draining.state = TargetState::Draining;
    harness.endpoints_changed(EndpointUpdateKind::Delta, &[draining]);
    harness.endpoints_changed(EndpointUpdateKind::Snapshot, &[draining]);
    let mut actions = harness.arrive(request(1, READ));
    let mut other = request(2, READ);
    other.shard = Some(ShardId(1));
    actions.extend(harness.arrive(other));
    actions.extend(harness.advance(SECOND));
    assert!(started_requests(&actions).is_empty());
    assert_eq!(final_responses(&actions).len(), 2);
}

#[test]
fn a_successor_target_gets_the_requests_queued_for_its_shard() {
    let mut harness = Harness::new(settings(), &[]);
    harness.arrive(request(1, READ));
    assert_eq!(started_requests(&harness.endpoints_changed(EndpointUpdateKind::Delta, &[entry(7, 0)])), [1]);
}

// One request is in flight at the target that begins to drain, and another is queued for it.
#[test]
fn when_a_target_drains_its_attempts_end_and_its_queue_waits_for_a_successor() {
    let mut harness = Harness::new(settings(), &[entry(0, 0)]);
    let large = |id| RequestProfile { units: 100.0, ..request(id, READ) };
    assert_eq!(started_requests(&harness.arrive(large(1))), [1]);
    assert!(harness.arrive(request(2, READ)).is_empty(), "queued: the target is full");
    let draining = EndpointEntry { state: TargetState::Draining, ..entry(0, 0) };
    assert!(
        harness.endpoints_changed(EndpointUpdateKind::Delta, &[draining]).is_empty(),
        "nothing is cancelled"
    );
    assert!(
        !harness.scheduler.may_start(harness.now, RequestId(1), AttemptNumber(0)),
        "an attempt whose connection is not up yet must not start"
    );
    assert!(harness.served(1, MS).is_empty(), "the target has capacity again, but gets no new requests");
    assert_eq!(started_requests(&harness.endpoints_changed(EndpointUpdateKind::Delta, &[entry(7, 0)])), [2]);
}

// Guards against a queued request that waits until its client's deadline because its shard has no other
// target.
#[test]
fn when_a_target_drains_without_a_successor_its_queue_is_rejected_at_the_objective() {
    let mut harness = Harness::new(settings(), &[entry(0, 0)]);
    harness.arrive(RequestProfile { units: 100.0, ..request(1, READ) });
    assert!(harness.arrive(request(2, READ)).is_empty(), "queued: the target is full");
    let draining = EndpointEntry { state: TargetState::Draining, ..entry(0, 0) };
    harness.endpoints_changed(EndpointUpdateKind::Delta, &[draining]);
    harness.served(1, MS);
    assert!(final_responses(&harness.advance(100 * MS)).is_empty());
    assert_eq!(final_responses(&harness.advance(20 * MS)), [(2, Rejected)]);
}

fn warming(target: u32, started: Micros) -> EndpointEntry {
    EndpointEntry { started: Some(started), ..entry(target, 0) }
}

#[test]
fn a_warming_target_gets_no_more_than_this_initiators_part_in_any_window() {
    let mut harness = Harness::new(settings(), &[]);
    harness.advance(5 * SECOND);
    harness.endpoints_changed(EndpointUpdateKind::Delta, &[warming(0, harness.now)]);
    // Two initiators share a budget of 16 units a second: 8 for this one, which are four requests of 2 units.
    let mut sent = Vec::new();
    for id in 0..12 {
        sent.extend(started_requests(&harness.arrive(request(id, BACKGROUND))));
        if sent.contains(&id) {
            sent.extend(started_requests(&harness.served(id, MS)));
        }
    }
    assert_eq!(sent.len(), 4);
}

#[test]
fn the_slow_start_budget_grows_as_the_target_warms_up() {
    let sent_count = |waited: Micros| {
        let mut harness = Harness::new(settings(), &[]);
        harness.advance(5 * SECOND);
        let started = harness.now;
        harness.advance(waited);
        harness.endpoints_changed(EndpointUpdateKind::Delta, &[warming(0, started)]);
        let mut sent = 0;
        for id in 0..40 {
            if started_requests(&harness.arrive(request(id, BACKGROUND))).contains(&id) {
                sent += 1 + started_requests(&harness.served(id, MS)).len();
            }
        }
        sent
    };
    assert_eq!(sent_count(0), 4);
    assert!(sent_count(6 * SECOND) > 8, "sent {}", sent_count(6 * SECOND));
    assert!(sent_count(6 * SECOND) < 16);
    assert_eq!(sent_count(11 * SECOND), 40);
}

#[test]
fn a_restarted_initiator_sends_a_warming_target_nothing_for_a_window() {
    let mut harness = Harness::new(settings(), &[warming(0, 99 * SECOND)]);
    let long_deadline = RequestProfile { deadline: harness.now + 20 * SECOND, ..request(1, BACKGROUND) };
    assert!(started_requests(&harness.arrive(long_deadline)).is_empty());
    assert_eq!(started_requests(&harness.advance(1_100 * MS)), [1]);
}

#[test]
fn requests_of_one_key_run_one_at_a_time_and_the_key_has_a_quiet_period() {
    let mut harness = Harness::new(settings(), &[entry(0, 0)]);
    let same = |id| RequestProfile { key: Some(KeyId(9)), ..request(id, ORDERED) };
    assert_eq!(started_requests(&harness.arrive(same(1))), [1]);
    assert!(started_requests(&harness.arrive(same(2))).is_empty());
    assert_eq!(started_requests(&harness.served(1, MS)), [2]);
    assert!(started_requests(&harness.arrive(same(3))).is_empty());
    harness.event(Event::ClientGone { id: RequestId(2) });
    assert!(started_requests(&harness.advance(50 * MS)).is_empty(), "the attempt of request 2 is in flight");
    harness.attempt_ended(2, 0, 0, Outcome::Broken, MS);
    assert!(started_requests(&harness.advance(290 * MS)).is_empty(), "the key is in its quiet period");
    assert_eq!(started_requests(&harness.advance(30 * MS)), [3]);
}

#[test]
fn retries_stay_within_their_budget() {
    let mut settings = settings();
    settings.rules.retry_budget = Some(RetryBudget { minimum: 1.0, ratio: 0.1, window: 5 * SECOND });
    settings.rules.max_attempts = 10;
    let mut harness = Harness::new(settings, &[entry(0, 0)]);
    let mut sent = started_requests(&harness.arrive(request(1, READ))).len();
    for attempt in 0..4 {
        if sent == attempt as usize + 1 {
            sent += started_requests(&harness.attempt_ended(1, attempt, 0, Outcome::Error, MS)).len();
        }
    }
    assert_eq!(sent, 2, "one retry of the minimum, and 0.1 for the request that arrived");
}

#[test]
fn a_volumes_limit_holds_from_the_first_second() {
    let mut harness = Harness::new(settings(), &[entry(0, 0)]);
    let deadline = harness.now + 20 * SECOND;
    let limited = |id| RequestProfile { plan: Some(PlanId(1)), deadline, ..request(id, BACKGROUND) };
    let mut sent = 0;
    for id in 0..20 {
        sent += started_requests(&harness.arrive(limited(id))).len();
        for done in 0..id {
            sent += started_requests(&harness.served(done, MS)).len();
        }
    }
    assert_eq!(sent, 0, "a previous process may have used up the burst and the debt limit");
    let mut later = 0;
    for _ in 0..10 {
        later += started_requests(&harness.advance(100 * MS)).len();
        for id in 0..20 {
            later += started_requests(&harness.served(id, MS)).len();
        }
    }
    assert!((4..=6).contains(&later), "10 units a second and 2 units each: {later}");
}
