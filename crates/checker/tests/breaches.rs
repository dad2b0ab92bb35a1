//! Each rule's breach is reported in a history that contains it, and nothing is reported in the same history
//! without it.

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

/// The kinds of the breaches in a history, in the order reported.
fn breach_kinds(history: &History) -> Vec<BreachKind> {
    check(history, &rules()).into_iter().map(|breach| breach.kind).collect()
}

fn history_of(request: Request, attempts: Vec<Attempt>) -> History {
    History { requests: vec![request], attempts, ..History::default() }
}

#[test]
fn a_response_up_to_half_a_second_after_the_deadline_is_in_time() {
    let history_answered_at =
        |at| history_of(request("a", Idempotency::NonIdempotent, answered(at)), vec![attempt("a", SECOND)]);
    assert_eq!(breach_kinds(&history_answered_at(3 * SECOND + 500_000)), []);
    assert_eq!(breach_kinds(&history_answered_at(3 * SECOND + 500_001)), [BreachKind::Unanswered]);
}

#[test]
fn a_missing_response_a_closed_connection_and_a_fabricated_response_are_breaches() {
    let breaches_for_outcome =
        |end| breach_kinds(&history_of(request("a", Idempotency::NonIdempotent, end), Vec::new()));
    assert_eq!(breaches_for_outcome(ClientOutcome::TimedOut { at: 4 * SECOND }), [BreachKind::Unanswered]);
    assert_eq!(
        breaches_for_outcome(ClientOutcome::Closed { at: 2 * SECOND, first: true }),
        [BreachKind::ClosedWithoutResponse]
    );
    assert_eq!(breaches_for_outcome(answered(2 * SECOND)), [BreachKind::FabricatedResponse]);
    assert_eq!(breaches_for_outcome(ClientOutcome::Answered { at: 2 * SECOND, status: 503 }), []);
    assert_eq!(breaches_for_outcome(ClientOutcome::Disconnected { at: 2 * SECOND }), []);
    assert_eq!(breaches_for_outcome(ClientOutcome::NotAccepted), []);
}

#[test]
fn an_attempt_may_start_up_to_100_ms_after_the_client_disconnected() {
    let breaches_after_disconnect = |attempt_at| {
        let request = request("a", Idempotency::Idempotent, ClientOutcome::Disconnected { at: 2 * SECOND });
        breach_kinds(&history_of(request, vec![attempt("a", attempt_at)]))
    };
    assert_eq!(breaches_after_disconnect(2 * SECOND + 100_000), []);
    assert_eq!(breaches_after_disconnect(2 * SECOND + 100_001), [BreachKind::AttemptAfterEnd]);
}

#[test]
fn the_time_left_of_an_attempt_does_not_exceed_that_of_its_request() {
    let breaches_with_time_left = |time_left| {
        let attempt = Attempt { time_left: Some(time_left), ..attempt("a", 2 * SECOND) };
        breach_kinds(&history_of(
            request("a", Idempotency::NonIdempotent, answered(2 * SECOND + 5)),
            vec![attempt],
        ))
    };
    assert_eq!(breaches_with_time_left(SECOND + 150_000), []);
    assert_eq!(breaches_with_time_left(SECOND + 150_001), [BreachKind::TimeLeftTooLong]);
}

#[test]
fn a_request_that_may_have_run_is_retried_only_as_its_idempotency_permits() {
    let breaches_of_retry = |idempotency, first_outcome: AttemptOutcome, retry_at: Micros, scope: &str| {
        let earlier = Attempt { outcome: first_outcome, ..attempt("a", SECOND) };
        let later = Attempt { deduplication_scope: scope.into(), ..attempt("a", retry_at) };
        breach_kinds(&history_of(request("a", idempotency, answered(2 * SECOND)), vec![earlier, later]))
    };
    let (soon, late) = (SECOND + 200_000, SECOND + 700_001);
    let keyed = Idempotency::KeyedWithin { window: 650_000 };
    assert_eq!(
        breaches_of_retry(Idempotency::NonIdempotent, AttemptOutcome::Failed, soon, "cell-1"),
        [BreachKind::ForbiddenRetry]
    );
    assert_eq!(breaches_of_retry(Idempotency::NonIdempotent, AttemptOutcome::Rejected, soon, "cell-1"), []);
    assert_eq!(breaches_of_retry(Idempotency::NonIdempotent, AttemptOutcome::Incomplete, soon, "cell-1"), []);
    assert_eq!(breaches_of_retry(Idempotency::Idempotent, AttemptOutcome::Failed, soon, "cell-2"), []);
    assert_eq!(breaches_of_retry(keyed, AttemptOutcome::Failed, soon, "cell-1"), []);
    assert_eq!(
        breaches_of_retry(keyed, AttemptOutcome::Failed, soon, "cell-2"),
        [BreachKind::ForbiddenRetry]
    );
    assert_eq!(
        breaches_of_retry(keyed, AttemptOutcome::Failed, late, "cell-1"),
        [BreachKind::ForbiddenRetry]
    );
}

#[test]
fn two_attempts_of_a_non_idempotent_request_in_flight_are_a_breach() {
    let in_flight = Attempt { outcome: AttemptOutcome::InFlight, ended_at: None, ..attempt("a", SECOND) };
    let history = history_of(
        request("a", Idempotency::NonIdempotent, answered(2 * SECOND)),
        vec![in_flight, attempt("a", SECOND + 9)],
    );
    assert_eq!(breach_kinds(&history), [BreachKind::ConcurrentAttempts]);
}

/// The breaches if a target starts draining at 10 s, the change is delivered at `delivered_at`, and the
/// target is sent an attempt at `attempt_at`.
fn breaches_after_drain(
    delivered_at: Option<Micros>,
    attempt_at: Micros,
    outages: Vec<Interval>,
) -> Vec<BreachKind> {
    let mut history = history_of(
        Request {
            sent_at: attempt_at,
            ..request("a", Idempotency::NonIdempotent, answered(attempt_at + SECOND))
        },
        vec![attempt("a", attempt_at)],
    );
    history.changes = vec![change(2, 10 * SECOND, TargetState::Draining)];
    let delivery = |at| Delivery { process: ProcessId(0), version: 2, at };
    history.deliveries = delivered_at.map(delivery).into_iter().collect();
    history.outages = outages;
    breach_kinds(&history)
}

#[test]
fn a_draining_target_is_sent_new_work_only_within_the_grace() {
    let delivered_at = 11 * SECOND;
    assert_eq!(breaches_after_drain(Some(delivered_at), delivered_at + GRACE + 50_000, Vec::new()), []);
    assert_eq!(
        breaches_after_drain(Some(delivered_at), delivered_at + GRACE + 50_001, Vec::new()),
        [BreachKind::SentToDraining]
    );
}

#[test]
fn a_drain_counts_as_received_6_s_after_discovery_was_reachable() {
    let latest = 16 * SECOND + GRACE + 50_000;
    assert_eq!(breaches_after_drain(None, latest, Vec::new()), []);
    assert_eq!(breaches_after_drain(None, latest + 1, Vec::new()), [BreachKind::SentToDraining]);
    let outage = Interval { from: 9 * SECOND, to: 14 * SECOND };
    assert_eq!(breaches_after_drain(None, latest + 4 * SECOND, vec![outage]), []);
    assert_eq!(
        breaches_after_drain(None, latest + 4 * SECOND + 1, vec![outage]),
        [BreachKind::SentToDraining]
    );
}

#[test]
fn for_a_process_started_after_a_drain_propagation_counts_from_its_start() {
    let mut history = history_of(
        Request { sent_at: 18 * SECOND, ..request("a", Idempotency::NonIdempotent, answered(19 * SECOND)) },
        vec![attempt("a", 18 * SECOND)],
    );
    history.changes = vec![change(2, 10 * SECOND, TargetState::Draining)];
    assert_eq!(breach_kinds(&history), [BreachKind::SentToDraining]);
    history.process_starts = vec![(ProcessId(0), 12 * SECOND)];
    assert_eq!(breach_kinds(&history), []);
}

#[test]
fn a_removed_target_that_is_active_again_may_be_sent_new_work() {
    let mut history = history_of(
        Request { sent_at: 30 * SECOND, ..request("a", Idempotency::NonIdempotent, answered(31 * SECOND)) },
        vec![attempt("a", 30 * SECOND)],
    );
    history.changes = vec![
        change(2, 10 * SECOND, TargetState::Removed),
        change(3, 20 * SECOND, TargetState::Active { started: None }),
    ];
    assert_eq!(breach_kinds(&history), []);
}

#[test]
fn all_initiators_together_stay_within_the_slow_start_allowance_of_a_target() {
    // The first window allows 25 requests, plus 3 * sqrt(25) + 3 for random variation: 43.
    let history_with_attempts = |count: u64| {
        let attempts = (0..count).map(|i| attempt(&format!("r{i}"), 20 * SECOND + i * 1_000)).collect();
        let start = TargetState::Active { started: Some(20 * SECOND) };
        History { attempts, changes: vec![change(2, 20 * SECOND, start)], ..History::default() }
    };
    assert_eq!(breach_kinds(&history_with_attempts(43)), []);
    assert_eq!(breach_kinds(&history_with_attempts(44)), [BreachKind::SlowStartExceeded]);
}

// A killed process cannot respond. If it received SIGTERM before, the missing responses to requests sent more
// than 0.7 s after the signal are breaches all the same.
#[test]
fn a_killed_process_owes_responses_only_to_requests_sent_after_the_sigterm_grace() {
    let breaches_after_close = |terminated_at: Option<Micros>, killed_at| {
        let mut history = history_of(
            request("a", Idempotency::NonIdempotent, ClientOutcome::Closed { at: 2 * SECOND, first: true }),
            Vec::new(),
        );
        history.process_ends = vec![ProcessEnd { process: ProcessId(0), terminated_at, killed_at }];
        breach_kinds(&history)
    };
    let kill = Some(2 * SECOND);
    assert_eq!(breaches_after_close(None, kill), []);
    assert_eq!(breaches_after_close(Some(500_000), kill), []);
    assert_eq!(breaches_after_close(Some(200_000), kill), [BreachKind::ClosedWithoutResponse]);
    assert_eq!(breaches_after_close(Some(500_000), None), [BreachKind::ClosedWithoutResponse]);
    assert_eq!(
        breaches_after_close(None, Some(2 * SECOND + 1)),
        [BreachKind::ClosedWithoutResponse],
        "the connection was closed before the kill"
    );
}

// While idle clients exhaust the file descriptors, the process may close new connections before it reads a
// request, but no connection that has carried a request before.
#[test]
fn only_new_connections_may_be_closed_unread_while_descriptors_are_exhausted() {
    let breaches_after_close = |first, since| {
        let end = ClientOutcome::Closed { at: 2 * SECOND, first };
        let descriptor_exhaustions = vec![(ProcessId(0), since)];
        breach_kinds(&History {
            descriptor_exhaustions,
            ..history_of(request("a", Idempotency::NonIdempotent, end), Vec::new())
        })
    };
    assert_eq!(breaches_after_close(true, SECOND), []);
    assert_eq!(breaches_after_close(false, SECOND), [BreachKind::ClosedWithoutResponse]);
    assert_eq!(
        breaches_after_close(true, SECOND + 1),
        [BreachKind::ClosedWithoutResponse],
        "the request was sent before the descriptors were exhausted"
    );
}

// While the rig itself is stalled, what it records may be late by the length of the stall, and by no more.
#[test]
fn a_stall_of_the_rig_excuses_delay_up_to_its_length() {
    let breaches_with_stall = |span: Micros| {
        let mut history = history_of(
            request("a", Idempotency::Idempotent, ClientOutcome::Disconnected { at: 2 * SECOND }),
            vec![attempt("a", 2 * SECOND + 300_000)],
        );
        history.stalls = vec![Interval { from: 2 * SECOND, to: 2 * SECOND + span }];
        breach_kinds(&history)
    };
    assert_eq!(breaches_with_stall(200_000), []);
    assert_eq!(breaches_with_stall(199_999), [BreachKind::AttemptAfterEnd]);
}
