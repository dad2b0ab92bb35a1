//! The simulator's messages against recorded samples. Guards against a field that is lost by a wrong name:
//! most fields are optional, so the scheduler would silently decide with less information. `tests/adapter.rs`
//! covers the events that start and destroy an initiator.

use super::*;
use rowanglade::interface as api;
use rowanglade::interface::{
    Action, AttemptNumber, EndpointEntry, EndpointUpdateKind, KeyId, LoadReport, Outcome, ShardId,
    TargetState, VolumeId, ZoneId,
};
use rowanglade::names::Names;

const EVENTS: &str = include_str!("../../../../tests/compatibility/samples/simulator-events.json");
const ACTIONS: &str = include_str!("../../../../tests/compatibility/samples/simulator-actions.json");
const TARGET_NAME: &str = "10.0.0.1:7000";

fn names() -> Names {
    let owned = |names: &[&str]| names.iter().map(|name| name.to_string()).collect();
    let mut names = Names::default();
    names.classes = owned(&["view", "deposit"]);
    names.plans = owned(&["basic", "full"]);
    names.zones = owned(&["kingston", "negril"]);
    names.load_report_fields = owned(&["concurrent", "depth", "mean_ms", "load_share"]);
    names
}

#[test]
fn every_event_is_translated_with_all_of_its_fields() {
    let batch: Batch = serde_json::from_str(EVENTS).expect("the sample is a batch of events");
    assert_eq!(batch.now, 1_000_000);
    let mut names = names();
    let translated: Vec<String> = batch
        .events
        .into_iter()
        .map(|event| match event.classify() {
            Ok((3, InitiatorEvent::Other(event))) => {
                format!("{:?}", event.translate(&mut names).expect("the event is for the scheduler"))
            }
            _ => panic!("not an event for the scheduler of initiator 3"),
        })
        .collect();
    let expected: Vec<String> = expected(&names).iter().map(|event| format!("{event:?}")).collect();
    assert_eq!(translated, expected);
    assert_eq!(names.volume_name(VolumeId(1)), Some("p:v"), "the sample's volume has the first id");
}

/// The sample's events, as the scheduler receives them.
fn expected(names: &Names) -> Vec<api::Event> {
    let (id, target) = (
        names.request("a-1").expect("the request is open"),
        names.target(TARGET_NAME).expect("the target is listed"),
    );
    let entry = |shard, state| EndpointEntry {
        target: api::TargetId(shard - 1),
        shard: ShardId(shard),
        zone: ZoneId(1),
        state,
        started: Some(u64::from(100 + shard)),
    };
    let endpoints_changed = |kind, entries| api::Event::EndpointsChanged { kind, entries };
    let load = LoadReport {
        in_flight: Some(7.0),
        queued: Some(8.0),
        service_time: Some(9_000),
        utilization: Some(0.25),
    };
    let attempt_ended = |outcome| api::Event::AttemptEnded {
        id,
        attempt: AttemptNumber(6),
        target,
        outcome,
        elapsed: 900,
        request_over: true,
        used_fraction: Some(1.5),
        units_elsewhere: 1.5,
        load,
    };
    let request = api::RequestProfile {
        id,
        class: names.class("deposit"),
        plan: names.plan("full"),
        volume: VolumeId(1),
        key: Some(KeyId(1)),
        units: 2.5,
        shard: Some(ShardId(4)),
        initiators: 5,
        deadline: 2_000_000,
        target_set: None,
    };
    let (active, others) =
        (entry(1, TargetState::Active), [entry(2, TargetState::Draining), entry(3, TargetState::Removed)]);
    let outcomes = [
        Outcome::Served,
        Outcome::QueueFull,
        Outcome::TimedOut,
        Outcome::Unreachable,
        Outcome::Broken,
        Outcome::Cancelled,
        Outcome::NotSent,
        Outcome::Error,
    ];
    let mut events = vec![
        endpoints_changed(EndpointUpdateKind::Delta, vec![active, others[0], others[1]]),
        endpoints_changed(EndpointUpdateKind::Snapshot, vec![active]),
        endpoints_changed(EndpointUpdateKind::Cached, vec![active]),
        api::Event::RequestArrived(request),
    ];
    events.extend(outcomes.map(attempt_ended));
    events.extend([
        api::Event::TransferStarted { id, attempt: AttemptNumber(6), deadline_applies: false },
        api::Event::TimerFired { token: 77 },
        api::Event::ClientGone { id },
        api::Event::ProbeEnded { target, outcome: Outcome::Served, elapsed: 800, load },
    ]);
    events
}

#[test]
fn every_action_is_written_as_recorded() {
    let mut names = names();
    let (target, id, other) =
        (names.intern_target(TARGET_NAME), names.open_request("a-1"), names.open_request("a-2"));
    let actions = [
        Action::StartAttempt { id, target, timeout: Some(500) },
        Action::StartAttempt { id, target, timeout: None },
        Action::CancelAttempt { id, attempt: AttemptNumber(6) },
        Action::SetTimer { token: 7, after: 8 },
        Action::Probe { target },
        Action::Reject { id, retry_after: 9 },
        Action::Fail { id: other },
    ];
    let mut sent: Vec<InitiatorAction> = actions
        .iter()
        .map(|action| {
            InitiatorAction::translate(3, action, &mut names)
                .expect("the action has a counterpart on the wire")
        })
        .collect();
    sent.extend([InitiatorAction::subscribe(3), InitiatorAction::start_failed(3, "why".into())]);
    let text = serde_json::to_string(&Reply { actions: sent }).expect("the reply can be serialized");
    assert_eq!(text, ACTIONS.trim_end());
}

#[test]
fn events_that_the_scheduler_does_not_receive_are_classified() {
    let classify = |text: &str| serde_json::from_str::<Event>(text).expect("the text is an event").classify();
    let failed = classify(r#"{"verb":"Membership","gateway-id":4,"mode":"X"}"#);
    assert!(matches!(failed, Ok((4, InitiatorEvent::DiscoveryFailed))));
    assert!(matches!(classify(r#"{"verb":"Destroy","gateway-id":4}"#), Ok((4, InitiatorEvent::Destroyed))));
    assert!(matches!(
        classify(r#"{"verb":"Mail","gateway-id":4}"#),
        Ok((4, InitiatorEvent::Other(Event::PeerMessage(_))))
    ));
}
