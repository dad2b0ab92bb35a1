//! Each rule's breach, planted into a history without any, is found; without it nothing is.

use rowanglade_checker::*;

const SECOND: Micros = 1_000_000;
const GRACE: Micros = SECOND;

fn rules() -> Rules {
    Rules {
        slow_start: Some(SlowStart {
            requests: 25.0,
            window: 3 * SECOND,
            from: 0.25,
            warm_within: 15 * SECOND,
        }),
        ..Rules::with_grace(GRACE)
    }
}

fn request(id: &str, effect: Effect, end: ClientEnd) -> Request {
    Request { id: id.into(), process: ProcessId(0), effect, sent: SECOND, wait: 2 * SECOND, end }
}

fn attempt(request: &str, begun: Micros) -> Attempt {
    Attempt {
        request: request.into(),
        target: "s-1".into(),
        group: "cell-1".into(),
        begun,
        units: 1.0,
        time_left: None,
        fate: Fate::Served,
        ended: Some(begun + 1_000),
    }
}

fn change(version: u64, at: Micros, state: TargetState) -> Change {
    Change { version, at, target: "s-1".into(), state }
}

fn answered(at: Micros) -> ClientEnd {
    ClientEnd::Answered { at, status: 200 }
}

/// The kinds of what is found.
fn found(history: &History) -> Vec<BreachKind> {
    check(history, &rules()).into_iter().map(|breach| breach.kind).collect()
}

fn one(request: Request, attempts: Vec<Attempt>) -> History {
    History { requests: vec![request], attempts, ..History::default() }
}

#[test]
fn an_answer_in_time_is_no_breach_and_one_half_a_second_late_is() {
    let served = |at| one(request("a", Effect::Once, answered(at)), vec![attempt("a", SECOND)]);
    assert_eq!(found(&served(3 * SECOND + 500_000)), []);
    assert_eq!(found(&served(3 * SECOND + 500_001)), [BreachKind::Unanswered]);
}

#[test]
fn no_answer_a_close_and_an_invented_answer_are_breaches() {
    let ended = |end| found(&one(request("a", Effect::Once, end), Vec::new()));
    assert_eq!(ended(ClientEnd::WaitedInVain { at: 4 * SECOND }), [BreachKind::Unanswered]);
    assert_eq!(ended(ClientEnd::Closed { at: 2 * SECOND, first: true }), [BreachKind::ClosedUnanswered]);
    assert_eq!(ended(answered(2 * SECOND)), [BreachKind::InventedAnswer]);
    assert_eq!(ended(ClientEnd::Answered { at: 2 * SECOND, status: 503 }), []);
    assert_eq!(ended(ClientEnd::Left { at: 2 * SECOND }), []);
    assert_eq!(ended(ClientEnd::NotTaken), []);
}

#[test]
fn an_attempt_may_begin_a_tenth_of_a_second_after_the_client_left_and_no_later() {
    let left = |begun| {
        let request = request("a", Effect::Repeatable, ClientEnd::Left { at: 2 * SECOND });
        found(&one(request, vec![attempt("a", begun)]))
    };
    assert_eq!(left(2 * SECOND + 100_000), []);
    assert_eq!(left(2 * SECOND + 100_001), [BreachKind::AttemptAfterEnd]);
}

#[test]
fn the_time_told_to_a_target_is_what_is_left_at_most() {
    let told = |time_left| {
        let attempt = Attempt { time_left: Some(time_left), ..attempt("a", 2 * SECOND) };
        found(&one(request("a", Effect::Once, answered(2 * SECOND + 5)), vec![attempt]))
    };
    assert_eq!(told(SECOND + 150_000), []);
    assert_eq!(told(SECOND + 150_001), [BreachKind::TimeLeftTooLong]);
}

#[test]
fn what_may_have_run_is_not_sent_again_where_its_class_forbids() {
    let twice = |effect, first: Fate, second: Micros, group: &str| {
        let earlier = Attempt { fate: first, ..attempt("a", SECOND) };
        let later = Attempt { group: group.into(), ..attempt("a", second) };
        found(&one(request("a", effect, answered(2 * SECOND)), vec![earlier, later]))
    };
    let (soon, late) = (SECOND + 200_000, SECOND + 700_001);
    let keyed = Effect::Keyed { span: 650_000 };
    assert_eq!(twice(Effect::Once, Fate::Failed, soon, "cell-1"), [BreachKind::ForbiddenRepeat]);
    assert_eq!(twice(Effect::Once, Fate::TurnedAway, soon, "cell-1"), []);
    assert_eq!(twice(Effect::Once, Fate::NeverWhole, soon, "cell-1"), []);
    assert_eq!(twice(Effect::Repeatable, Fate::Failed, soon, "cell-2"), []);
    assert_eq!(twice(keyed, Fate::Failed, soon, "cell-1"), []);
    assert_eq!(twice(keyed, Fate::Failed, soon, "cell-2"), [BreachKind::ForbiddenRepeat]);
    assert_eq!(twice(keyed, Fate::Failed, late, "cell-1"), [BreachKind::ForbiddenRepeat]);
}

#[test]
fn two_attempts_of_what_may_run_once_are_never_out_together() {
    let open = Attempt { fate: Fate::Open, ended: None, ..attempt("a", SECOND) };
    let history = one(request("a", Effect::Once, answered(2 * SECOND)), vec![open, attempt("a", SECOND + 9)]);
    assert_eq!(found(&history), [BreachKind::ForbiddenCopy]);
}

/// A target leaves at 10 s, told at `told`, and is sent to at `begun`.
fn departure(told: Option<Micros>, begun: Micros, outages: Vec<Outage>) -> Vec<BreachKind> {
    let mut history = one(
        Request { sent: begun, ..request("a", Effect::Once, answered(begun + SECOND)) },
        vec![attempt("a", begun)],
    );
    history.changes = vec![change(2, 10 * SECOND, TargetState::Leaving)];
    let delivery = |at| Delivery { process: ProcessId(0), version: 2, at };
    history.deliveries = told.map(delivery).into_iter().collect();
    history.outages = outages;
    found(&history)
}

#[test]
fn a_target_told_as_leaving_gets_new_work_within_the_grace_only() {
    let told = 11 * SECOND;
    assert_eq!(departure(Some(told), told + GRACE + 50_000, Vec::new()), []);
    assert_eq!(departure(Some(told), told + GRACE + 50_001, Vec::new()), [BreachKind::SentToLeaving]);
}

#[test]
fn a_departure_counts_as_told_six_seconds_after_discovery_could_be_reached() {
    let latest = 16 * SECOND + GRACE + 50_000;
    assert_eq!(departure(None, latest, Vec::new()), []);
    assert_eq!(departure(None, latest + 1, Vec::new()), [BreachKind::SentToLeaving]);
    let outage = Outage { from: 9 * SECOND, to: 14 * SECOND };
    assert_eq!(departure(None, latest + 4 * SECOND, vec![outage]), []);
    assert_eq!(departure(None, latest + 4 * SECOND + 1, vec![outage]), [BreachKind::SentToLeaving]);
}

#[test]
fn a_process_that_starts_later_counts_from_its_start() {
    let mut history = one(
        Request { sent: 18 * SECOND, ..request("a", Effect::Once, answered(19 * SECOND)) },
        vec![attempt("a", 18 * SECOND)],
    );
    history.changes = vec![change(2, 10 * SECOND, TargetState::Leaving)];
    assert_eq!(found(&history), [BreachKind::SentToLeaving]);
    history.starts = vec![(ProcessId(0), 12 * SECOND)];
    assert_eq!(found(&history), []);
}

#[test]
fn a_target_that_is_back_may_be_sent_to() {
    let mut history = one(
        Request { sent: 30 * SECOND, ..request("a", Effect::Once, answered(31 * SECOND)) },
        vec![attempt("a", 30 * SECOND)],
    );
    history.changes = vec![
        change(2, 10 * SECOND, TargetState::Left),
        change(3, 20 * SECOND, TargetState::InUse { started: None }),
    ];
    assert_eq!(found(&history), []);
}

#[test]
fn a_cold_target_is_sent_no_more_than_its_allowance_by_all_together() {
    // 25 requests, three times their root and three: 43 in the first window.
    let sent = |count: u64| {
        let attempts = (0..count).map(|i| attempt(&format!("r{i}"), 20 * SECOND + i * 1_000)).collect();
        let start = TargetState::InUse { started: Some(20 * SECOND) };
        History { attempts, changes: vec![change(2, 20 * SECOND, start)], ..History::default() }
    };
    assert_eq!(found(&sent(43)), []);
    assert_eq!(found(&sent(44)), [BreachKind::SlowStartExceeded]);
}

// A killed process answers no more; one that had been told to end before owes what came later than 0.7 s
// after that.
#[test]
fn what_a_killed_process_had_taken_is_a_breach_only_after_it_was_told_to_end() {
    let closed = |told: Option<Micros>, killed| {
        let mut history =
            one(request("a", Effect::Once, ClientEnd::Closed { at: 2 * SECOND, first: true }), Vec::new());
        history.ends = vec![ProcessEnd { process: ProcessId(0), told, killed }];
        found(&history)
    };
    let kill = Some(2 * SECOND);
    assert_eq!(closed(None, kill), []);
    assert_eq!(closed(Some(500_000), kill), []);
    assert_eq!(closed(Some(200_000), kill), [BreachKind::ClosedUnanswered]);
    assert_eq!(closed(Some(500_000), None), [BreachKind::ClosedUnanswered]);
    assert_eq!(closed(None, Some(2 * SECOND + 1)), [BreachKind::ClosedUnanswered], "it was closed before");
}

// While idle clients fill the descriptors a new connection may be shut unread, and no other.
#[test]
fn only_new_connections_may_be_shut_in_a_crowd() {
    let shut = |first, since| {
        let end = ClientEnd::Closed { at: 2 * SECOND, first };
        let crowds = vec![(ProcessId(0), since)];
        found(&History { crowds, ..one(request("a", Effect::Once, end), Vec::new()) })
    };
    assert_eq!(shut(true, SECOND), []);
    assert_eq!(shut(false, SECOND), [BreachKind::ClosedUnanswered]);
    assert_eq!(shut(true, SECOND + 1), [BreachKind::ClosedUnanswered], "it was asked before the crowd");
}

// Where the rig itself stood still, what it recorded is late by as much, and no later.
#[test]
fn what_the_rig_was_late_to_see_is_no_breach() {
    let stalled = |span: Micros| {
        let mut history = one(
            request("a", Effect::Repeatable, ClientEnd::Left { at: 2 * SECOND }),
            vec![attempt("a", 2 * SECOND + 300_000)],
        );
        history.stalls = vec![Outage { from: 2 * SECOND, to: 2 * SECOND + span }];
        found(&history)
    };
    assert_eq!(stalled(200_000), []);
    assert_eq!(stalled(199_999), [BreachKind::AttemptAfterEnd]);
}
