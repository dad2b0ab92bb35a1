//! Each rule's breach, planted into a history without any, is found; without it nothing is.

use rowanglade_checker::*;

const SECOND: Micros = 1_000_000;
const GRACE: Micros = SECOND;

fn rules() -> Rules {
    Rules {
        slow_start: Some(SlowStart {
            requests: 25.0,
            window: 3 * SECOND,
            initial_capacity: 0.25,
            warm_within: 15 * SECOND,
        }),
        ..Rules::with_grace(GRACE)
    }
}

fn request(id: &str, idempotency: Idempotency, outcome: ClientOutcome) -> Request {
    Request { id: id.into(), process: ProcessId(0), idempotency, sent_at: SECOND, wait: 2 * SECOND, outcome }
}

fn attempt(request: &str, started_at: Micros) -> Attempt {
    Attempt {
        request: request.into(),
        target: "s-1".into(),
        deduplication_scope: "cell-1".into(),
        started_at,
        units: 1.0,
        time_left: None,
        outcome: AttemptOutcome::Served,
        ended_at: Some(started_at + 1_000),
    }
}

fn change(version: u64, at: Micros, state: TargetState) -> EndpointChange {
    EndpointChange { version, at, target: "s-1".into(), state }
}

fn answered(at: Micros) -> ClientOutcome {
    ClientOutcome::Answered { at, status: 200 }
}

/// The kinds of what is found.
fn found(history: &History) -> Vec<BreachKind> {
    check(history, &rules()).into_iter().map(|breach| breach.kind).collect()
}

fn one(request: Request, attempts: Vec<Attempt>) -> History {
    History { requests: vec![request], attempts, ..History::default() }
}

#[test]
fn a_response_up_to_half_a_second_after_the_deadline_is_in_time() {
    let served = |at| one(request("a", Idempotency::NonIdempotent, answered(at)), vec![attempt("a", SECOND)]);
    assert_eq!(found(&served(3 * SECOND + 500_000)), []);
    assert_eq!(found(&served(3 * SECOND + 500_001)), [BreachKind::Unanswered]);
}

#[test]
fn a_missing_response_a_closed_connection_and_a_fabricated_response_are_breaches() {
    let ended = |end| found(&one(request("a", Idempotency::NonIdempotent, end), Vec::new()));
    assert_eq!(ended(ClientOutcome::TimedOut { at: 4 * SECOND }), [BreachKind::Unanswered]);
    assert_eq!(
        ended(ClientOutcome::Closed { at: 2 * SECOND, first: true }),
        [BreachKind::ClosedWithoutResponse]
    );
    assert_eq!(ended(answered(2 * SECOND)), [BreachKind::FabricatedResponse]);
    assert_eq!(ended(ClientOutcome::Answered { at: 2 * SECOND, status: 503 }), []);
    assert_eq!(ended(ClientOutcome::Disconnected { at: 2 * SECOND }), []);
    assert_eq!(ended(ClientOutcome::NotAccepted), []);
}

#[test]
fn an_attempt_may_begin_a_tenth_of_a_second_after_the_client_disconnected_and_no_later() {
    let left = |begun| {
        let request = request("a", Idempotency::Idempotent, ClientOutcome::Disconnected { at: 2 * SECOND });
        found(&one(request, vec![attempt("a", begun)]))
    };
    assert_eq!(left(2 * SECOND + 100_000), []);
    assert_eq!(left(2 * SECOND + 100_001), [BreachKind::AttemptAfterEnd]);
}

#[test]
fn the_time_left_in_an_attempt_is_at_most_that_of_its_request() {
    let told = |time_left| {
        let attempt = Attempt { time_left: Some(time_left), ..attempt("a", 2 * SECOND) };
        found(&one(request("a", Idempotency::NonIdempotent, answered(2 * SECOND + 5)), vec![attempt]))
    };
    assert_eq!(told(SECOND + 150_000), []);
    assert_eq!(told(SECOND + 150_001), [BreachKind::TimeLeftTooLong]);
}

#[test]
fn a_request_that_may_have_run_is_retried_only_as_its_idempotency_permits() {
    let twice = |idempotency, first: AttemptOutcome, second: Micros, group: &str| {
        let earlier = Attempt { outcome: first, ..attempt("a", SECOND) };
        let later = Attempt { deduplication_scope: group.into(), ..attempt("a", second) };
        found(&one(request("a", idempotency, answered(2 * SECOND)), vec![earlier, later]))
    };
    let (soon, late) = (SECOND + 200_000, SECOND + 700_001);
    let keyed = Idempotency::KeyedWithin { window: 650_000 };
    assert_eq!(
        twice(Idempotency::NonIdempotent, AttemptOutcome::Failed, soon, "cell-1"),
        [BreachKind::ForbiddenRetry]
    );
    assert_eq!(twice(Idempotency::NonIdempotent, AttemptOutcome::Rejected, soon, "cell-1"), []);
    assert_eq!(twice(Idempotency::NonIdempotent, AttemptOutcome::Incomplete, soon, "cell-1"), []);
    assert_eq!(twice(Idempotency::Idempotent, AttemptOutcome::Failed, soon, "cell-2"), []);
    assert_eq!(twice(keyed, AttemptOutcome::Failed, soon, "cell-1"), []);
    assert_eq!(twice(keyed, AttemptOutcome::Failed, soon, "cell-2"), [BreachKind::ForbiddenRetry]);
    assert_eq!(twice(keyed, AttemptOutcome::Failed, late, "cell-1"), [BreachKind::ForbiddenRetry]);
}

#[test]
fn a_non_idempotent_request_never_has_two_attempts_in_flight() {
    let open = Attempt { outcome: AttemptOutcome::InFlight, ended_at: None, ..attempt("a", SECOND) };
    let history = one(
        request("a", Idempotency::NonIdempotent, answered(2 * SECOND)),
        vec![open, attempt("a", SECOND + 9)],
    );
    assert_eq!(found(&history), [BreachKind::ConcurrentAttempts]);
}

/// A target drains at 10 s, which is delivered at `known_at`, and is sent to at `begun`.
fn drained(known_at: Option<Micros>, begun: Micros, outages: Vec<Interval>) -> Vec<BreachKind> {
    let mut history = one(
        Request { sent_at: begun, ..request("a", Idempotency::NonIdempotent, answered(begun + SECOND)) },
        vec![attempt("a", begun)],
    );
    history.changes = vec![change(2, 10 * SECOND, TargetState::Draining)];
    let delivery = |at| Delivery { process: ProcessId(0), version: 2, at };
    history.deliveries = known_at.map(delivery).into_iter().collect();
    history.outages = outages;
    found(&history)
}

#[test]
fn a_draining_target_gets_new_work_within_the_grace_only() {
    let told = 11 * SECOND;
    assert_eq!(drained(Some(told), told + GRACE + 50_000, Vec::new()), []);
    assert_eq!(drained(Some(told), told + GRACE + 50_001, Vec::new()), [BreachKind::SentToDraining]);
}

#[test]
fn a_drain_counts_as_known_six_seconds_after_discovery_could_be_reached() {
    let latest = 16 * SECOND + GRACE + 50_000;
    assert_eq!(drained(None, latest, Vec::new()), []);
    assert_eq!(drained(None, latest + 1, Vec::new()), [BreachKind::SentToDraining]);
    let outage = Interval { from: 9 * SECOND, to: 14 * SECOND };
    assert_eq!(drained(None, latest + 4 * SECOND, vec![outage]), []);
    assert_eq!(drained(None, latest + 4 * SECOND + 1, vec![outage]), [BreachKind::SentToDraining]);
}

#[test]
fn a_process_that_starts_later_knows_of_a_drain_from_its_start_on() {
    let mut history = one(
        Request { sent_at: 18 * SECOND, ..request("a", Idempotency::NonIdempotent, answered(19 * SECOND)) },
        vec![attempt("a", 18 * SECOND)],
    );
    history.changes = vec![change(2, 10 * SECOND, TargetState::Draining)];
    assert_eq!(found(&history), [BreachKind::SentToDraining]);
    history.process_starts = vec![(ProcessId(0), 12 * SECOND)];
    assert_eq!(found(&history), []);
}

#[test]
fn a_target_that_is_listed_again_may_be_sent_to() {
    let mut history = one(
        Request { sent_at: 30 * SECOND, ..request("a", Idempotency::NonIdempotent, answered(31 * SECOND)) },
        vec![attempt("a", 30 * SECOND)],
    );
    history.changes = vec![
        change(2, 10 * SECOND, TargetState::Removed),
        change(3, 20 * SECOND, TargetState::Active { started: None }),
    ];
    assert_eq!(found(&history), []);
}

#[test]
fn all_initiators_together_keep_to_the_allowance_of_a_target_in_slow_start() {
    // 25 requests, three times their root and three: 43 in the first window.
    let sent = |count: u64| {
        let attempts = (0..count).map(|i| attempt(&format!("r{i}"), 20 * SECOND + i * 1_000)).collect();
        let start = TargetState::Active { started: Some(20 * SECOND) };
        History { attempts, changes: vec![change(2, 20 * SECOND, start)], ..History::default() }
    };
    assert_eq!(found(&sent(43)), []);
    assert_eq!(found(&sent(44)), [BreachKind::SlowStartExceeded]);
}

// A killed process answers no more; one that had been told to end before owes what came later than 0.7 s
// after that.
#[test]
fn a_killed_process_owes_responses_only_to_requests_that_came_after_sigterm() {
    let closed = |terminated_at: Option<Micros>, killed_at| {
        let mut history = one(
            request("a", Idempotency::NonIdempotent, ClientOutcome::Closed { at: 2 * SECOND, first: true }),
            Vec::new(),
        );
        history.process_ends = vec![ProcessEnd { process: ProcessId(0), terminated_at, killed_at }];
        found(&history)
    };
    let kill = Some(2 * SECOND);
    assert_eq!(closed(None, kill), []);
    assert_eq!(closed(Some(500_000), kill), []);
    assert_eq!(closed(Some(200_000), kill), [BreachKind::ClosedWithoutResponse]);
    assert_eq!(closed(Some(500_000), None), [BreachKind::ClosedWithoutResponse]);
    assert_eq!(
        closed(None, Some(2 * SECOND + 1)),
        [BreachKind::ClosedWithoutResponse],
        "it was closed before"
    );
}

// While idle clients fill the descriptors a new connection may be shut unread, and no other.
#[test]
fn only_new_connections_may_be_closed_unread_in_a_crowd() {
    let shut = |first, since| {
        let end = ClientOutcome::Closed { at: 2 * SECOND, first };
        let descriptor_exhaustions = vec![(ProcessId(0), since)];
        found(&History {
            descriptor_exhaustions,
            ..one(request("a", Idempotency::NonIdempotent, end), Vec::new())
        })
    };
    assert_eq!(shut(true, SECOND), []);
    assert_eq!(shut(false, SECOND), [BreachKind::ClosedWithoutResponse]);
    assert_eq!(shut(true, SECOND + 1), [BreachKind::ClosedWithoutResponse], "it was asked before the crowd");
}

// Where the rig itself stood still, what it recorded is late by as much, and no later.
#[test]
fn a_stall_of_the_rig_excuses_as_much_delay_and_no_more() {
    let stalled = |span: Micros| {
        let mut history = one(
            request("a", Idempotency::Idempotent, ClientOutcome::Disconnected { at: 2 * SECOND }),
            vec![attempt("a", 2 * SECOND + 300_000)],
        );
        history.stalls = vec![Interval { from: 2 * SECOND, to: 2 * SECOND + span }];
        found(&history)
    };
    assert_eq!(stalled(200_000), []);
    assert_eq!(stalled(199_999), [BreachKind::AttemptAfterEnd]);
}
