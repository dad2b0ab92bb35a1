//! The scheduler's rules from the start of a shutdown on: nothing is admitted or sent that this process cannot
//! pass a response on for, and every request has its response in time.

mod support;

use rowanglade::interface::*;
use support::FinalResponse::{Failed, Rejected};
use support::*;

/// How long the target of these tests takes for a request.
const LATENCY: Micros = 20 * MS;

/// A harness with one target that has served a request, and a shutdown whose last responses are due after
/// `time_left`.
fn shutting_down(time_left: Micros) -> Harness {
    let mut harness = Harness::new(settings(), &[entry(0, 0)]);
    harness.arrive(request(1_000, READ));
    harness.served(1_000, LATENCY);
    begin_shutdown(&mut harness, time_left);
    harness
}

fn begin_shutdown(harness: &mut Harness, time_left: Micros) -> Vec<Action> {
    harness.event(Event::ShutdownStarted { responses_due: harness.now + time_left })
}

// Guards against requests that are sent to a target when the process ends before their response: they ran
// there, and nobody answered their clients.
#[test]
fn a_request_that_would_be_served_after_the_end_is_rejected_on_arrival_whatever_its_class() {
    for class in [READ, KEYED, BACKGROUND, NON_IDEMPOTENT, ORDERED] {
        let mut harness = shutting_down(LATENCY / 2);
        let actions = harness.arrive(request(1, class));
        assert_eq!((started_requests(&actions), final_responses(&actions)), (vec![], vec![(1, Rejected)]));
    }
}

#[test]
fn a_request_that_arrives_after_the_last_responses_is_rejected_at_once() {
    let mut harness = shutting_down(50 * MS);
    harness.advance(200 * MS);
    let actions = harness.arrive(request(1, BACKGROUND));
    assert_eq!((started_requests(&actions), final_responses(&actions)), (vec![], vec![(1, Rejected)]));
}

#[test]
fn a_request_that_is_served_before_the_end_is_sent() {
    let mut harness = shutting_down(500 * MS);
    assert_eq!(started_requests(&harness.arrive(request(1, READ))), [1]);
}

// Guards against requests that were admitted long before the end and are sent when nobody can answer them.
#[test]
fn a_queued_request_is_not_sent_once_its_response_would_come_after_the_end() {
    let mut harness = shutting_down(400 * MS);
    let mut started = Vec::new();
    for id in 1..=40 {
        started.extend(started_requests(&harness.arrive(request(id, BACKGROUND))));
    }
    assert!(started.len() < 40, "some requests are queued");
    let responses = final_responses(&harness.advance(400 * MS - LATENCY / 2));
    assert!(responses.iter().all(|(_, response)| *response == Rejected), "{responses:?}");
    assert_eq!(started_requests(&harness.served(started[0], LATENCY)), [0; 0]);
}

#[test]
fn an_attempt_whose_connection_comes_up_too_late_before_the_end_does_not_start() {
    let mut harness = shutting_down(100 * MS);
    harness.manual_arrivals = true;
    assert_eq!(started_requests(&harness.arrive(request(1, READ))), [1]);
    let may_start =
        |harness: &Harness| harness.scheduler.may_start(harness.now, RequestId(1), AttemptNumber(0));
    assert!(may_start(&harness));
    harness.now += 100 * MS - LATENCY / 2;
    assert!(!may_start(&harness));
}

// Guards against requests whose client waits longer than the process lives.
#[test]
fn requests_that_are_open_when_the_shutdown_begins_are_answered_before_the_end() {
    let mut harness = Harness::new(settings(), &[entry(0, 0)]);
    assert_eq!(started_requests(&harness.arrive(request(1, NON_IDEMPOTENT))), [1]);
    begin_shutdown(&mut harness, 300 * MS);
    assert!(final_responses(&harness.advance(290 * MS)).is_empty());
    assert_eq!(final_responses(&harness.advance(10 * MS)), [(1, Failed)]);
}

// Guards against a second signal that would move the end.
#[test]
fn a_second_start_of_the_shutdown_does_not_move_its_end() {
    let mut harness = Harness::new(settings(), &[entry(0, 0)]);
    assert_eq!(started_requests(&harness.arrive(request(1, NON_IDEMPOTENT))), [1]);
    begin_shutdown(&mut harness, 300 * MS);
    begin_shutdown(&mut harness, 600 * MS);
    assert_eq!(final_responses(&harness.advance(300 * MS)), [(1, Failed)]);
}
