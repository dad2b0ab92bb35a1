//! The simulator's messages against recorded samples. Guards against a field whose name is lost: most are
//! optional, so that without them the scheduler would decide by less than it was told. `tests/adapter.rs` has
//! those that begin and end an instance.

use super::*;
use rowanglade::interface as api;
use rowanglade::interface::{
    Action, AttemptNumber, EndpointEntry, EndpointUpdateKind, KeyId, LoadReport, Outcome, ShardId,
    TargetState, VolumeId, ZoneId,
};
use rowanglade::names::Names;

const EVENTS: &str = include_str!("../../../../tests/compatibility/samples/simulator-events.json");
const ACTIONS: &str = include_str!("../../../../tests/compatibility/samples/simulator-actions.json");
const STORE: &str = "10.0.0.1:7000";

fn names() -> Names {
    let words = |words: &[&str]| words.iter().map(|word| word.to_string()).collect();
    let mut names = Names::default();
    names.classes = words(&["view", "deposit"]);
    names.plans = words(&["basic", "full"]);
    names.zones = words(&["kingston", "negril"]);
    names.load_report_fields = words(&["concurrent", "depth", "mean_ms", "load_share"]);
    names
}

#[test]
fn every_event_is_read_whole() {
    let batch: Batch = serde_json::from_str(EVENTS).expect("a batch");
    assert_eq!(batch.now, 1_000_000);
    let mut names = names();
    let read: Vec<String> = batch
        .events
        .into_iter()
        .map(|event| match event.classify() {
            Ok((3, InitiatorEvent::Other(event))) => {
                format!("{:?}", event.translate(&mut names).expect("known"))
            }
            _ => panic!("none of instance 3"),
        })
        .collect();
    let expected: Vec<String> = expected(&names).iter().map(|event| format!("{event:?}")).collect();
    assert_eq!(read, expected);
    assert_eq!(names.volume_name(VolumeId(1)), Some("p:v"), "a volume without a name has a number too");
}

/// The sample's events, as the scheduler has them.
fn expected(names: &Names) -> Vec<api::Event> {
    let (id, target) = (names.request("a-1").expect("open"), names.target(STORE).expect("listed"));
    let entry = |shard, state| EndpointEntry {
        target: api::TargetId(shard - 1),
        shard: ShardId(shard),
        zone: ZoneId(1),
        state,
        started: Some(u64::from(100 + shard)),
    };
    let list = |kind, entries| api::Event::EndpointsChanged { kind, entries };
    let load = LoadReport {
        in_flight: Some(7.0),
        queued: Some(8.0),
        service_time: Some(9_000),
        utilization: Some(0.25),
    };
    let resolved = |outcome| api::Event::AttemptEnded {
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
    let (here, rest) =
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
        list(EndpointUpdateKind::Delta, vec![here, rest[0], rest[1]]),
        list(EndpointUpdateKind::Snapshot, vec![here]),
        list(EndpointUpdateKind::Cached, vec![here]),
        api::Event::RequestArrived(request),
    ];
    events.extend(outcomes.map(resolved));
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
        (names.intern_target(STORE), names.open_request("a-1"), names.open_request("a-2"));
    let actions = [
        Action::StartAttempt { id, target, timeout: Some(500) },
        Action::StartAttempt { id, target, timeout: None },
        Action::CancelAttempt { id, attempt: AttemptNumber(6) },
        Action::SetTimer { token: 7, after: 8 },
        Action::Probe { target },
        Action::Reject { id, retry_after: 9 },
        Action::Fail { id: other },
    ];
    let mut sent: Vec<Sent> =
        actions.iter().map(|action| Sent::from(3, action, &mut names).expect("known")).collect();
    sent.extend([Sent::subscribe(3), Sent::panic(3, "why".into())]);
    let text = serde_json::to_string(&Reply { actions: sent }).expect("JSON");
    assert_eq!(text, ACTIONS.trim_end());
}

#[test]
fn events_that_carry_nothing_for_the_scheduler_are_classified() {
    let classify = |text: &str| serde_json::from_str::<Event>(text).expect("an event").classify();
    let failed = classify(r#"{"verb":"Membership","gateway-id":4,"mode":"X"}"#);
    assert!(matches!(failed, Ok((4, InitiatorEvent::DiscoveryFailed))));
    assert!(matches!(classify(r#"{"verb":"Destroy","gateway-id":4}"#), Ok((4, InitiatorEvent::Destroyed))));
    assert!(matches!(
        classify(r#"{"verb":"Mail","gateway-id":4}"#),
        Ok((4, InitiatorEvent::Other(Event::PeerMessage(_))))
    ));
}
