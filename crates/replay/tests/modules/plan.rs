//! Tests of the replay's schedule, its limit of attempts in flight and the clients' retries.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade_capture::{ClassTerms, Record, Repeat};
use rowanglade_replay::plan::{
    Action, Attempt, AttemptOutcome, Micros, Planner, PlannerConfig, RequestNumber, RequestOutcome,
};
use std::collections::BTreeMap;

const MS: Micros = 1_000;

fn config(max_in_flight: usize) -> PlannerConfig {
    let class = |name: &str, write, repeat| ClassTerms {
        name: name.into(),
        write,
        repeat,
        aim_ms: 300,
        deadline_ms: 1_500,
    };
    PlannerConfig {
        classes: vec![
            class("view", false, Repeat::Safe),
            class("deposit", true, Repeat::Keyed { span_ms: 3_000 }),
            class("note", true, Repeat::Once),
        ],
        speed: 1.0,
        initiators: 3,
        max_in_flight,
        retries: true,
        retry_wait: 50 * MS,
        seed: 11,
        id_seed: 12,
    }
}

fn record(at_ms: u64, class: u16) -> Record {
    Record {
        at: at_ms * MS,
        class,
        plan: 0,
        volume: 5,
        piece: at_ms,
        units: 1.0,
        shard: Some(0),
        hosts: 2,
        deadline_ms: if class == 1 { 6_000 } else { 1_500 },
        bytes: 1,
        key: (class == 1).then_some(9),
        status: 200,
        took: None,
    }
}

fn planner(max_in_flight: usize, records: &[Record]) -> Planner {
    let mut planner = Planner::new(config(max_in_flight)).expect("a valid configuration");
    records.iter().for_each(|r| planner.push_record(r.clone()));
    planner
}

fn sent_attempts(planner: &mut Planner, now: Micros) -> Vec<Attempt> {
    let mut attempts = Vec::new();
    while let Some(action) = planner.poll(now) {
        match action {
            Action::Send(attempt) => attempts.push(attempt),
            Action::Complete(request) => panic!("{request:?}"),
        }
    }
    attempts
}

fn completion(planner: &mut Planner, now: Micros) -> (RequestOutcome, Micros, u32) {
    match planner.poll(now) {
        Some(Action::Complete(r)) => (r.outcome, r.latency, r.attempts),
        other => panic!("{other:?}"),
    }
}

#[test]
fn requests_are_sent_at_their_recorded_times_divided_by_the_speed() {
    let mut planner =
        Planner::new(PlannerConfig { speed: 2.0, ..config(10) }).expect("a valid configuration");
    for at in [0, 100, 100, 100, 300] {
        planner.push_record(record(at, 0));
    }
    assert_eq!(sent_attempts(&mut planner, 0).len(), 1);
    assert_eq!(planner.next_wake(), Some(50 * MS));
    assert!(sent_attempts(&mut planner, 49 * MS).is_empty());
    assert_eq!(sent_attempts(&mut planner, 50 * MS).len(), 3);
    assert_eq!(sent_attempts(&mut planner, 150 * MS)[0].deadline, 1_650 * MS);
    assert!(Planner::new(PlannerConfig { speed: 0.0, ..config(1) }).is_err());
}

// A stall delays the sending of later requests. Latency counted from the send time would hide that.
#[test]
fn latency_counts_from_the_due_time() {
    let mut planner = planner(10, &[record(10, 0)]);
    let attempt = sent_attempts(&mut planner, 500 * MS).remove(0);
    planner.attempt_ended(520 * MS, attempt.number, AttemptOutcome::Served);
    assert_eq!(completion(&mut planner, 520 * MS), (RequestOutcome::Served, 510 * MS, 1));
    assert!(planner.is_idle());
}

#[test]
fn a_client_retries_once_after_retry_after_with_a_new_id_through_the_same_initiator() {
    let mut planner = planner(10, &[record(0, 0)]);
    let first = sent_attempts(&mut planner, 0).remove(0);
    planner.attempt_ended(MS, first.number, AttemptOutcome::Refused { retry_after: 400 * MS });
    let at = planner.next_wake().expect("a time");
    assert!(at >= 401 * MS && sent_attempts(&mut planner, at - 1).is_empty(), "{at}");
    let second = sent_attempts(&mut planner, at).remove(0);
    assert!(second.id != first.id && second.initiator == first.initiator && second.retry_number == 1);
    assert_eq!(second.deadline, first.deadline);
    planner.attempt_ended(at + MS, second.number, AttemptOutcome::Refused { retry_after: MS });
    assert_eq!(completion(&mut planner, at + MS), (RequestOutcome::Refused, at + MS, 2));
}

#[test]
fn no_retry_after_the_deadline_or_with_retries_disabled() {
    let mut late = planner(10, &[record(0, 0)]);
    let attempt = sent_attempts(&mut late, 0).remove(0);
    late.attempt_ended(MS, attempt.number, AttemptOutcome::Refused { retry_after: 1_600 * MS });
    assert_eq!(completion(&mut late, MS).0, RequestOutcome::Refused);
    let mut never =
        Planner::new(PlannerConfig { retries: false, ..config(10) }).expect("a valid configuration");
    never.push_record(record(0, 0));
    let attempt = sent_attempts(&mut never, 0).remove(0);
    never.attempt_ended(MS, attempt.number, AttemptOutcome::Lost);
    assert_eq!(completion(&mut never, MS), (RequestOutcome::Lost, MS, 1));
}

// A keyed write must not be executed twice: if it may have been executed, it is retried only while the rack
// remembers its key.
#[test]
fn a_keyed_write_that_may_have_run_is_retried_only_within_the_deduplication_window() {
    let is_retried = |record: Record, ended: Micros, outcome| {
        let mut planner = planner(10, &[record]);
        let attempt = sent_attempts(&mut planner, 0).remove(0);
        planner.attempt_ended(ended, attempt.number, outcome);
        planner.next_wake().is_some()
    };
    assert!(is_retried(record(0, 1), 1_000 * MS, AttemptOutcome::Lost));
    assert!(is_retried(record(0, 1), 1_000 * MS, AttemptOutcome::Failed));
    assert!(is_retried(record(0, 1), 2_800 * MS, AttemptOutcome::Lost));
    assert!(
        !is_retried(record(0, 1), 2_950 * MS, AttemptOutcome::Lost),
        "the retry would start after the window"
    );
    assert!(!is_retried(record(0, 1), 3_100 * MS, AttemptOutcome::Failed), "after the window");
    assert!(
        is_retried(record(0, 1), 3_100 * MS, AttemptOutcome::Refused { retry_after: 0 }),
        "it was not executed"
    );
    assert!(is_retried(record(0, 1), 3_100 * MS, AttemptOutcome::Unreachable), "it was not executed");
    let mut planner = planner(10, &[record(0, 1)]);
    let first = sent_attempts(&mut planner, 0).remove(0);
    planner.attempt_ended(100 * MS, first.number, AttemptOutcome::Lost);
    let second = sent_attempts(&mut planner, 200 * MS).remove(0);
    assert_eq!(
        (first.deadline, second.deadline),
        (6_000 * MS, 3_000 * MS),
        "the retry must end within the window"
    );
    let without_shard = Record { shard: None, ..record(0, 1) };
    assert!(
        !is_retried(without_shard, 100 * MS, AttemptOutcome::Lost),
        "without a shard the retry could reach another rack"
    );
    assert!(!is_retried(record(0, 2), 100 * MS, AttemptOutcome::Lost), "a write without a key");
    assert!(is_retried(record(0, 2), 100 * MS, AttemptOutcome::Refused { retry_after: 0 }));
}

// More requests are due than may be in flight. Waiting requests are sent in order, and one whose deadline passes
// while it waits is reported as unsent.
#[test]
fn the_in_flight_limit_holds_and_each_waiting_request_gets_an_outcome() {
    let records: Vec<Record> = (0..4).map(|_| record(0, 0)).collect();
    let mut planner = planner(2, &records);
    let in_flight = sent_attempts(&mut planner, 0);
    assert_eq!((in_flight.len(), planner.in_flight()), (2, 2));
    planner.attempt_ended(700 * MS, in_flight[0].number, AttemptOutcome::Served);
    assert_eq!(completion(&mut planner, 700 * MS).0, RequestOutcome::Served);
    let third = sent_attempts(&mut planner, 700 * MS);
    assert!(third.len() == 1 && third[0].waited_for_slot && third[0].number == RequestNumber(2));
    assert_eq!(planner.next_wake(), Some(1_500 * MS));
    assert_eq!(completion(&mut planner, 1_500 * MS), (RequestOutcome::Unsent, 1_500 * MS, 0));
    for number in [1, 2] {
        planner.attempt_ended(1_500 * MS, RequestNumber(number), AttemptOutcome::Lost);
        assert_eq!(completion(&mut planner, 1_500 * MS).0, RequestOutcome::Lost);
    }
    assert!(planner.is_idle());
}

#[test]
fn after_a_stop_each_due_request_gets_an_outcome() {
    let mut planner = planner(1, &[record(0, 0), record(0, 0), record(9_000, 0)]);
    let in_flight = sent_attempts(&mut planner, 0);
    planner.stop(MS);
    assert_eq!(completion(&mut planner, MS).0, RequestOutcome::Unsent);
    planner.attempt_ended(2 * MS, in_flight[0].number, AttemptOutcome::Lost);
    assert_eq!(completion(&mut planner, 2 * MS).0, RequestOutcome::Lost);
    assert!(planner.is_idle() && planner.next_wake().is_none());
}

// For random orders of events, each request has exactly one final outcome, and the planner counts the attempts
// in flight correctly.
#[test]
fn each_request_has_one_final_outcome_for_random_events() {
    for seed in 0..200 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut planner = Planner::new(PlannerConfig { max_in_flight: 1 + seed as usize % 7, ..config(1) })
            .expect("a valid configuration");
        let count = 60;
        let mut at = 0;
        for _ in 0..count {
            at += rng.random_range(0..40);
            planner.push_record(record(at, rng.random_range(0..3)));
        }
        let (mut now, mut in_flight, mut outcomes, mut attempt_ids) =
            (0, Vec::new(), BTreeMap::new(), BTreeMap::new());
        while !planner.is_idle() {
            while let Some(action) = planner.poll(now) {
                match action {
                    Action::Send(attempt) => {
                        assert!(attempt.due <= now && now < attempt.deadline, "seed {seed}");
                        assert_eq!(attempt_ids.insert(attempt.id, ()), None, "seed {seed}");
                        in_flight.push(attempt);
                    }
                    Action::Complete(request) => {
                        assert_eq!(outcomes.insert(request.number, request.outcome), None, "seed {seed}");
                    }
                }
            }
            assert_eq!(planner.in_flight(), in_flight.len(), "seed {seed}");
            let overdue = in_flight.iter().position(|s: &Attempt| s.deadline <= now);
            if let Some(index) = overdue.or((!in_flight.is_empty() && rng.random_bool(0.5)).then_some(0)) {
                let attempt = in_flight.remove(index);
                let outcome = match rng.random_range(0..5) {
                    _ if overdue.is_some() => AttemptOutcome::Lost,
                    0 => AttemptOutcome::Served,
                    1 => AttemptOutcome::Refused { retry_after: rng.random_range(0..900) * MS },
                    2 => AttemptOutcome::Failed,
                    3 => AttemptOutcome::Unreachable,
                    _ => AttemptOutcome::Lost,
                };
                planner.attempt_ended(now, attempt.number, outcome);
            } else {
                now += rng.random_range(1..30) * MS;
            }
        }
        assert_eq!(outcomes.len(), count, "seed {seed}");
    }
}
