//! Tests of the replay's schedule and of the clients' own retries.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade_capture::{ClassTerms, Record, Repeat};
use rowanglade_replay::plan::{Action, End, Micros, Number, Planner, RequestOutcome, Send, Terms};
use std::collections::BTreeMap;

const MS: Micros = 1_000;

fn terms(most_out: usize) -> Terms {
    let class = |name: &str, write, repeat| ClassTerms {
        name: name.into(),
        write,
        repeat,
        aim_ms: 300,
        deadline_ms: 1_500,
    };
    Terms {
        classes: vec![
            class("view", false, Repeat::Safe),
            class("deposit", true, Repeat::Keyed { span_ms: 3_000 }),
            class("note", true, Repeat::Once),
        ],
        speed: 1.0,
        initiators: 3,
        most_out,
        retries: true,
        retry_wait: 50 * MS,
        seed: 11,
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

fn planner(most_out: usize, records: &[Record]) -> Planner {
    let mut planner = Planner::new(terms(most_out)).expect("usable");
    records.iter().for_each(|r| planner.offer(r.clone()));
    planner
}

fn sends(planner: &mut Planner, now: Micros) -> Vec<Send> {
    let mut sends = Vec::new();
    while let Some(action) = planner.poll(now) {
        match action {
            Action::Send(send) => sends.push(send),
            Action::Tell(verdict) => panic!("{verdict:?}"),
        }
    }
    sends
}

fn word(planner: &mut Planner, now: Micros) -> (RequestOutcome, Micros, u32) {
    match planner.poll(now) {
        Some(Action::Tell(v)) => (v.word, v.took, v.tries),
        other => panic!("{other:?}"),
    }
}

#[test]
fn bursts_go_as_they_were_and_time_is_scaled() {
    let mut fast = Planner::new(Terms { speed: 2.0, ..terms(10) }).expect("usable");
    for at in [0, 100, 100, 100, 300] {
        fast.offer(record(at, 0));
    }
    assert_eq!(sends(&mut fast, 0).len(), 1);
    assert_eq!(fast.wake(), Some(50 * MS));
    assert!(sends(&mut fast, 49 * MS).is_empty());
    assert_eq!(sends(&mut fast, 50 * MS).len(), 3);
    assert_eq!(sends(&mut fast, 150 * MS)[0].until, 1_650 * MS);
    assert!(Planner::new(Terms { speed: 0.0, ..terms(1) }).is_err());
}

// Late sending must show in the latency, or a stall would hide itself.
#[test]
fn latency_counts_from_the_moment_a_request_was_due() {
    let mut planner = planner(10, &[record(10, 0)]);
    let send = sends(&mut planner, 500 * MS).remove(0);
    planner.ended(520 * MS, send.number, End::Served);
    assert_eq!(word(&mut planner, 520 * MS), (RequestOutcome::Served, 510 * MS, 1));
    assert!(planner.idle());
}

#[test]
fn a_client_tries_again_once_after_the_wait_under_a_new_id_through_the_same_initiator() {
    let mut planner = planner(10, &[record(0, 0)]);
    let first = sends(&mut planner, 0).remove(0);
    planner.ended(MS, first.number, End::Refused { wait: 400 * MS });
    let at = planner.wake().expect("a time");
    assert!(at >= 401 * MS && sends(&mut planner, at - 1).is_empty(), "{at}");
    let second = sends(&mut planner, at).remove(0);
    assert!(second.id != first.id && second.initiator == first.initiator && second.again == 1);
    assert_eq!(second.until, first.until);
    planner.ended(at + MS, second.number, End::Refused { wait: MS });
    assert_eq!(word(&mut planner, at + MS), (RequestOutcome::Refused, at + MS, 2));
}

#[test]
fn nobody_tries_again_beyond_the_deadline_or_without_being_told_to() {
    let mut late = planner(10, &[record(0, 0)]);
    let send = sends(&mut late, 0).remove(0);
    late.ended(MS, send.number, End::Refused { wait: 1_600 * MS });
    assert_eq!(word(&mut late, MS).0, RequestOutcome::Refused);
    let mut never = Planner::new(Terms { retries: false, ..terms(10) }).expect("usable");
    never.offer(record(0, 0));
    let send = sends(&mut never, 0).remove(0);
    never.ended(MS, send.number, End::Lost);
    assert_eq!(word(&mut never, MS), (RequestOutcome::Lost, MS, 1));
}

// A deposit must not run twice: what may have run goes again only while the rack remembers it.
#[test]
fn a_keyed_write_goes_again_within_its_span_and_not_after() {
    let again = |record: Record, ended: Micros, end| {
        let mut tried = planner(10, &[record]);
        let send = sends(&mut tried, 0).remove(0);
        tried.ended(ended, send.number, end);
        tried.wake().is_some()
    };
    assert!(again(record(0, 1), 1_000 * MS, End::Lost));
    assert!(again(record(0, 1), 1_000 * MS, End::Failed));
    assert!(again(record(0, 1), 2_800 * MS, End::Lost));
    assert!(!again(record(0, 1), 2_950 * MS, End::Lost), "the try would begin after the span");
    assert!(!again(record(0, 1), 3_100 * MS, End::Failed), "after the span");
    assert!(again(record(0, 1), 3_100 * MS, End::Refused { wait: 0 }), "it never ran");
    assert!(again(record(0, 1), 3_100 * MS, End::Unreachable), "it never ran");
    let mut planner = planner(10, &[record(0, 1)]);
    let first = sends(&mut planner, 0).remove(0);
    planner.ended(100 * MS, first.number, End::Lost);
    let second = sends(&mut planner, 200 * MS).remove(0);
    assert_eq!((first.until, second.until), (6_000 * MS, 3_000 * MS), "it must end within the span");
    let anywhere = Record { shard: None, ..record(0, 1) };
    assert!(!again(anywhere, 100 * MS, End::Lost), "another rack could take it");
    assert!(!again(record(0, 2), 100 * MS, End::Lost), "a write without a key");
    assert!(again(record(0, 2), 100 * MS, End::Refused { wait: 0 }));
}

// More requests than descriptors: what waits goes in order, and what waits too long is told, not forgotten.
#[test]
fn no_more_is_out_than_allowed_and_nothing_is_forgotten() {
    let records: Vec<Record> = (0..4).map(|_| record(0, 0)).collect();
    let mut planner = planner(2, &records);
    let out = sends(&mut planner, 0);
    assert_eq!((out.len(), planner.out()), (2, 2));
    planner.ended(700 * MS, out[0].number, End::Served);
    assert_eq!(word(&mut planner, 700 * MS).0, RequestOutcome::Served);
    let third = sends(&mut planner, 700 * MS);
    assert!(third.len() == 1 && third[0].held && third[0].number == Number(2));
    assert_eq!(planner.wake(), Some(1_500 * MS));
    assert_eq!(word(&mut planner, 1_500 * MS), (RequestOutcome::Unsent, 1_500 * MS, 0));
    for number in [1, 2] {
        planner.ended(1_500 * MS, Number(number), End::Lost);
        assert_eq!(word(&mut planner, 1_500 * MS).0, RequestOutcome::Lost);
    }
    assert!(planner.idle());
}

#[test]
fn a_stop_gives_everything_its_last_word() {
    let mut planner = planner(1, &[record(0, 0), record(0, 0), record(9_000, 0)]);
    let out = sends(&mut planner, 0);
    planner.stop(MS);
    assert_eq!(word(&mut planner, MS).0, RequestOutcome::Unsent);
    planner.ended(2 * MS, out[0].number, End::Lost);
    assert_eq!(word(&mut planner, 2 * MS).0, RequestOutcome::Lost);
    assert!(planner.idle() && planner.wake().is_none());
}

// Whatever happens in whatever order, each request has one last word, and the count of tries out is kept.
#[test]
fn each_request_has_one_last_word_under_any_course() {
    for seed in 0..200 {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut planner =
            Planner::new(Terms { most_out: 1 + seed as usize % 7, ..terms(1) }).expect("usable");
        let count = 60;
        let mut at = 0;
        for _ in 0..count {
            at += chance.random_range(0..40);
            planner.offer(record(at, chance.random_range(0..3)));
        }
        let (mut now, mut out, mut words, mut ids) = (0, Vec::new(), BTreeMap::new(), BTreeMap::new());
        while !planner.idle() {
            while let Some(action) = planner.poll(now) {
                match action {
                    Action::Send(send) => {
                        assert!(send.due <= now && now < send.until, "seed {seed}");
                        assert_eq!(ids.insert(send.id, ()), None, "seed {seed}");
                        out.push(send);
                    }
                    Action::Tell(verdict) => {
                        assert_eq!(words.insert(verdict.number, verdict.word), None, "seed {seed}");
                    }
                }
            }
            assert_eq!(planner.out(), out.len(), "seed {seed}");
            let overdue = out.iter().position(|s: &Send| s.until <= now);
            if let Some(place) = overdue.or((!out.is_empty() && chance.random_bool(0.5)).then_some(0)) {
                let send = out.remove(place);
                let end = match chance.random_range(0..5) {
                    _ if overdue.is_some() => End::Lost,
                    0 => End::Served,
                    1 => End::Refused { wait: chance.random_range(0..900) * MS },
                    2 => End::Failed,
                    3 => End::Unreachable,
                    _ => End::Lost,
                };
                planner.ended(now, send.number, end);
            } else {
                now += chance.random_range(1..30) * MS;
            }
        }
        assert_eq!(words.len(), count, "seed {seed}");
    }
}
