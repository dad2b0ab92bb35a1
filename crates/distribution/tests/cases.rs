//! Single faults and limits: one follower or relay, with scripted peers and times.

use rowanglade_distribution::*;
use std::sync::Arc;

const SOURCE: NodeId = NodeId(0);
const RELAY_A: NodeId = NodeId(1);
const RELAY_B: NodeId = NodeId(2);
const FOLLOWER: NodeId = NodeId(9);
const FLEET_KEY: Key = [7; 32];
const MAX_WAIT: Millis = 4_000;
const HIGH_LIMITS: RelayLimits =
    RelayLimits { max_followers: 2_000, bytes_per_second: 1 << 30, burst_bytes: 1 << 30 };

fn version(number: u64) -> Version {
    Version { epoch: 1, number }
}

fn set(name: &str, value: &str) -> EntryChange {
    EntryChange { name: name.into(), value: Some(value.into()) }
}

fn state(number: u64, entries: &[(&str, &str)]) -> State {
    State::new(version(number), entries.iter().map(|(n, v)| (Arc::from(*n), Arc::from(*v))))
}

/// The source at version 1, with this many entries.
fn new_source(entries: usize, limits: RelayLimits) -> Relay {
    let entry = |i: usize| {
        (Arc::from(format!("s-{i:08x}")), Arc::from(format!("10.0.{}.{}:80 up", i / 256, i % 256)))
    };
    Relay::source(SOURCE, limits, State::new(version(1), (0..entries).map(entry)))
}

fn new_follower(cached: Option<State>) -> Follower {
    Follower::new(FOLLOWER, vec![RELAY_A, RELAY_B], MAX_WAIT, Box::new(|_| Ok(())), cached)
}

fn response(from: NodeId, body: ResponseBody) -> WatchResponse {
    WatchResponse { path: vec![SOURCE, from], age: 5, body }
}

fn snapshot(state: &State) -> ResponseBody {
    ResponseBody::Snapshot(Snapshot::compress(state).expect("packed"))
}

/// Polls the follower at `now`, and responds to its request with `body`.
fn poll_and_respond(follower: &mut Follower, now: Millis, body: ResponseBody) -> Option<StateUpdate> {
    let (to, _) = follower.poll(now, 0).expect("a request is due");
    follower.handle_response(now, to, response(to, body))
}

/// The response of `relay` to a watch that does not wait.
fn watch_response(relay: &mut Relay, now: Millis, from: NodeId, held: Option<HeldVersion>) -> ResponseBody {
    let request = WatchRequest { held, max_wait: 0, rejecting: 0 };
    let rejection = relay.handle_request(now, from, request);
    rejection.into_iter().chain(relay.poll(now)).find(|out| out.to == from).expect("a response").response.body
}

fn held(state: &State) -> Option<HeldVersion> {
    Some(HeldVersion { version: state.version(), digest: state.digest() })
}

#[test]
fn a_late_older_version_does_not_replace_the_newer_one() {
    let (older, newer) = (state(2, &[("a", "2")]), state(3, &[("a", "3")]));
    let mut follower = new_follower(Some(state(1, &[("a", "1")])));
    assert_eq!(
        poll_and_respond(&mut follower, 0, snapshot(&newer)),
        Some(StateUpdate::Activated(newer.clone()))
    );
    // The older version arrives late, as a snapshot and then as a delta: the state stays, and the follower
    // switches to the next relay.
    assert_eq!(poll_and_respond(&mut follower, 1, snapshot(&older)), None);
    assert_eq!(follower.poll(2, 0).map(|(to, _)| to), Some(RELAY_B));
    let delta = state(1, &[("a", "1")]).delta(version(2), vec![set("a", "2")]);
    assert_eq!(
        follower.handle_response(3, RELAY_B, response(RELAY_B, ResponseBody::Deltas(vec![delta]))),
        None
    );
    assert_eq!(follower.active(), Some(&newer));
    assert_eq!((follower.counters().stale, follower.counters().wrong_base), (2, 0));
}

#[test]
fn a_delta_on_another_base_changes_nothing_and_requests_a_snapshot() {
    let first = state(1, &[("a", "1")]);
    let third = state(3, &[("a", "1"), ("b", "2")]);
    let delta = third.delta(version(4), vec![set("c", "3")]);
    let mut follower = new_follower(Some(first.clone()));
    assert_eq!(poll_and_respond(&mut follower, 0, ResponseBody::Deltas(vec![delta])), None);
    assert_eq!(follower.active(), Some(&first), "the state is unchanged");
    assert_eq!((follower.counters().wrong_base, follower.counters().digest_mismatches), (1, 0));
    let (_, request) = follower.poll(1, 0).expect("a request is due at once");
    assert_eq!((request.held, request.max_wait), (None, 0));
    let fourth = state(4, &[("a", "1"), ("b", "2"), ("c", "3")]);
    assert_eq!(
        follower.handle_response(2, RELAY_A, response(RELAY_A, snapshot(&fourth))),
        Some(StateUpdate::Activated(fourth.clone()))
    );
    let (_, request) = follower.poll(3, 0).expect("a request is due");
    assert_eq!(
        (request.held, request.max_wait),
        (held(&fourth), MAX_WAIT),
        "the next request waits for deltas"
    );
}

#[test]
fn a_delta_with_a_mismatched_digest_changes_nothing_and_requests_a_snapshot() {
    let first = state(1, &[("a", "1")]);
    let mut delta = first.delta(version(2), vec![set("b", "2")]);
    delta.changes = vec![set("b", "corrupt")];
    let mut follower = new_follower(Some(first.clone()));
    assert_eq!(poll_and_respond(&mut follower, 0, ResponseBody::Deltas(vec![delta])), None);
    assert_eq!((follower.active(), follower.counters().digest_mismatches), (Some(&first), 1));
    assert!(follower.poll(1, 0).expect("a request is due").1.held.is_none());
}

// Guards against two different states of the same version, as after a source was restored from a backup:
// their digests differ.
#[test]
fn a_different_state_of_the_same_version_is_detected_and_replaced_by_a_snapshot() {
    let (source_state, corrupt) = (state(2, &[("a", "1")]), state(2, &[("a", "other")]));
    let mut relay = Relay::source(SOURCE, HIGH_LIMITS, source_state.clone());
    let mut follower = new_follower(Some(corrupt));
    let (_, request) = follower.poll(0, 0).expect("a request is due");
    let body = watch_response(&mut relay, 0, FOLLOWER, request.held);
    assert_eq!(body, ResponseBody::DigestMismatch);
    follower.handle_response(0, RELAY_A, response(RELAY_A, body));
    let (_, request) = follower.poll(1, 0).expect("a request is due at once");
    let body = watch_response(&mut relay, 1, FOLLOWER, request.held);
    assert_eq!(
        follower.handle_response(1, RELAY_A, response(RELAY_A, body)),
        Some(StateUpdate::Activated(source_state))
    );
}

#[test]
fn a_relay_with_an_older_state_after_a_restart_is_abandoned_until_it_has_caught_up() {
    let (old, new) = (state(1, &[("a", "1")]), state(5, &[("a", "5")]));
    let mut relay = Relay::new(RELAY_A, HIGH_LIMITS, vec![SOURCE], Some(old));
    let mut follower = new_follower(Some(new.clone()));
    let (to, request) = follower.poll(0, 0).expect("a request is due");
    let body = watch_response(&mut relay, 0, FOLLOWER, request.held);
    assert_eq!((to, &body), (RELAY_A, &ResponseBody::Behind));
    follower.handle_response(0, RELAY_A, response(RELAY_A, body));
    assert_eq!(follower.poll(1, 0).map(|(to, _)| to), Some(RELAY_B));
    assert_eq!(follower.active(), Some(&new));
    // The relay receives the newer state from its source, and is usable again.
    let (_, _) = relay.poll_upstream(10).expect("a request is due");
    relay.handle_response(20, SOURCE, WatchResponse { path: vec![SOURCE], age: 0, body: snapshot(&new) });
    assert_eq!(watch_response(&mut relay, 30, FOLLOWER, held(&new)), ResponseBody::Unchanged);
}

#[test]
fn a_truncated_or_corrupted_snapshot_message_changes_nothing() {
    let mut relay = new_source(3_500, HIGH_LIMITS);
    let body = watch_response(&mut relay, 0, FOLLOWER, None);
    let message = Message::Response(response(RELAY_A, body.clone()));
    let bytes = encode(&FLEET_KEY, RELAY_A, &message).expect("encoded");
    for cut in [0, 1, 15, 16, 17, bytes.len() / 2, bytes.len() - 1] {
        assert!(decode(&FLEET_KEY, RELAY_A, &bytes[..cut]).is_err(), "truncated to {cut} bytes");
    }
    for index in (0..bytes.len()).step_by(bytes.len() / 97) {
        let mut corrupt = bytes.clone();
        corrupt[index] ^= 1;
        assert!(decode(&FLEET_KEY, RELAY_A, &corrupt).is_err(), "bit flipped in byte {index}");
    }
    // The connection ends while the message is received: the driver reports the disconnect, and the snapshot
    // is requested from the next relay.
    let mut follower = new_follower(None);
    let (to, _) = follower.poll(0, 0).expect("a request is due");
    follower.handle_disconnect(10, to);
    let (next, request) = follower.poll(10, 0).expect("a request is due at once");
    assert_eq!((next, request.held, follower.active()), (RELAY_B, None, None));
    let Ok(Message::Response(response)) = decode(&FLEET_KEY, RELAY_A, &bytes) else {
        panic!("complete message")
    };
    assert!(
        matches!(follower.handle_response(20, RELAY_B, response), Some(StateUpdate::Activated(state)) if state.len() == 3_500)
    );
}

#[test]
fn messages_from_another_sender_key_or_format_are_rejected() {
    let message = Message::Request(WatchRequest { held: None, max_wait: 0, rejecting: 0 });
    let bytes = encode(&FLEET_KEY, RELAY_A, &message).expect("encoded");
    assert_eq!(decode(&FLEET_KEY, RELAY_A, &bytes), Ok(message));
    assert_eq!(decode(&FLEET_KEY, RELAY_B, &bytes), Err(DecodeError::BadCode), "decoded as another sender's");
    assert_eq!(decode(&[8; 32], RELAY_A, &bytes), Err(DecodeError::BadCode), "another key");
    assert_eq!(
        decode(&FLEET_KEY, RELAY_A, &[&[9], &bytes[1..]].concat()),
        Err(DecodeError::UnknownFormat(9))
    );
    assert_eq!(decode(&FLEET_KEY, RELAY_A, &vec![1; MAX_MESSAGE_BYTES + 1]), Err(DecodeError::BadLength));
}

// A thousand snapshots sent at once would be one burst: the byte budget spreads them out, and deltas are sent
// first.
#[test]
fn responses_to_a_thousand_concurrent_watches_stay_within_the_byte_budget() {
    let limits = RelayLimits { max_followers: 2_000, bytes_per_second: 4 << 20, burst_bytes: 256 << 10 };
    let mut relay = new_source(3_500, limits);
    let current = held(relay.state().expect("the source's state"));
    for i in 0..1_000 {
        // Every tenth follower has just started and has no state.
        let held = current.filter(|_| i % 10 != 0);
        let request = WatchRequest { held, max_wait: 10_000, rejecting: 0 };
        assert_eq!(relay.handle_request(0, NodeId(100 + i), request), None);
    }
    relay.publish(vec![set("s-00000001", "gone")]).expect("published by the source");
    let (mut deltas_sent_at, mut snapshots_sent_at, mut responses, mut now) = (0, 0, 0, 0);
    while responses < 1_000 {
        let (mut bytes, out) = (0, relay.poll(now));
        for Outgoing { to, response } in out {
            let message = Message::Response(response.clone());
            bytes += encode(&FLEET_KEY, SOURCE, &message).expect("encoded").len() as u64;
            match response.body {
                ResponseBody::Deltas(_) => deltas_sent_at = now,
                ResponseBody::Snapshot(_) => snapshots_sent_at = now,
                body => panic!("{body:?} for {to:?}"),
            }
            responses += 1;
        }
        assert!(bytes <= limits.burst_bytes + limits.bytes_per_second / 4, "{bytes} bytes at {now}");
        now = relay.next_timeout(now).map_or(now + 1, |at| at.max(now + 1));
        assert!(now < 14_000, "{responses} of 1000 responses sent by {now} ms");
    }
    assert!(deltas_sent_at <= 100, "deltas sent as late as {deltas_sent_at} ms, after snapshots");
    assert!(snapshots_sent_at > deltas_sent_at);
}

#[test]
fn a_relay_at_max_followers_rejects_the_next_follower_as_busy() {
    let mut relay = new_source(4, RelayLimits { max_followers: 2, ..HIGH_LIMITS });
    let current = held(relay.state().expect("the source's state"));
    let request = || WatchRequest { held: current, max_wait: 1_000, rejecting: 0 };
    assert_eq!(relay.handle_request(0, NodeId(10), request()), None);
    assert_eq!(relay.handle_request(0, NodeId(11), request()), None);
    assert_eq!(
        relay.handle_request(0, FOLLOWER, request()).map(|out| out.response.body),
        Some(ResponseBody::Busy)
    );
    // A second request of the same follower does not count as another follower.
    assert_eq!(relay.handle_request(1, NodeId(11), request()), None);
    let mut follower = new_follower(None);
    poll_and_respond(&mut follower, 0, ResponseBody::Busy);
    assert_eq!(follower.poll(0, 0).map(|(to, _)| to), Some(RELAY_B));
}

#[test]
fn relays_that_follow_each_other_detect_the_loop_and_switch_to_another_relay() {
    let old = state(1, &[("a", "1")]);
    let mut relays = [
        Relay::new(RELAY_A, HIGH_LIMITS, vec![RELAY_B, SOURCE], Some(old.clone())),
        Relay::new(RELAY_B, HIGH_LIMITS, vec![RELAY_A, SOURCE], Some(old)),
    ];
    let mut now = 0;
    for _ in 0..8 {
        for (follower, other) in [(0, 1), (1, 0)] {
            now += 100;
            let Some((to, request)) = relays[follower].poll_upstream(now) else { continue };
            if to == SOURCE {
                continue;
            }
            let name = [RELAY_A, RELAY_B][follower];
            let rejection = relays[other].handle_request(now, name, WatchRequest { max_wait: 0, ..request });
            let out = rejection.into_iter().chain(relays[other].poll(now)).find(|out| out.to == name);
            relays[follower].handle_response(now, to, out.expect("a response").response);
        }
    }
    // Each relay either follows the source or waits for it: neither accepts the other's response.
    let switched = relays.iter().filter(|relay| {
        let counters = relay.follower().expect("a relay").counters();
        counters.loops + counters.cut_off > 0
    });
    assert_eq!(switched.count(), 2);
}

// Versions come from the source and ages are time spans, so a clock offset changes nothing.
#[test]
fn an_instance_with_a_clock_offset_of_one_hour_receives_every_update() {
    for offset in [0, 3_600_000] {
        let mut relay = new_source(4, HIGH_LIMITS);
        let mut follower = new_follower(None);
        let mut now = 1_000;
        for _ in 0..5 {
            relay.publish(vec![set("a", &now.to_string())]).expect("published by the source");
            let (_, request) = follower.poll(now + offset, 0).expect("a request is due");
            let body = watch_response(&mut relay, now, FOLLOWER, request.held);
            follower.handle_response(now + offset, RELAY_A, response(RELAY_A, body));
            assert_eq!(follower.active(), relay.state());
            now += 1_000;
        }
        assert_eq!((follower.counters().snapshots, follower.counters().deltas), (1, 4));
    }
}

#[test]
fn a_reverted_change_is_delivered_with_its_final_values() {
    let mut relay = new_source(4, HIGH_LIMITS);
    let first = relay.state().expect("the source's state").clone();
    relay.publish(vec![set("s-00000001", "out"), set("x", "new")]).expect("published by the source");
    relay
        .publish(vec![EntryChange { name: "x".into(), value: None }, set("s-00000001", "10.0.0.1:80 up")])
        .expect("published by the source");
    let mut follower = new_follower(Some(first.clone()));
    let (_, request) = follower.poll(0, 0).expect("a request is due");
    let body = watch_response(&mut relay, 0, FOLLOWER, request.held);
    follower.handle_response(1, RELAY_A, response(RELAY_A, body));
    let active = follower.active().expect("a state");
    assert_eq!((active.version(), active.digest()), (version(3), first.digest()));
    assert!(active.entries().eq(first.entries()));
}

fn without_poison(state: &State) -> Result<(), InvalidState> {
    match state.entries().find(|(_, value)| value.contains("poison")) {
        Some((name, _)) => Err(InvalidState { entry: name.to_string(), problem: "unusable".into() }),
        None => Ok(()),
    }
}

#[test]
fn a_poison_configuration_is_rejected_counted_up_to_the_source_and_replaced_by_the_next() {
    let mut source = new_source(4, HIGH_LIMITS);
    let mut relay = Relay::new(RELAY_A, HIGH_LIMITS, vec![SOURCE], None);
    let mut instances: Vec<Follower> = (0..20)
        .map(|i| Follower::new(NodeId(100 + i), vec![RELAY_A], MAX_WAIT, Box::new(without_poison), None))
        .collect();
    let mut now = 0;
    let mut round = |source: &mut Relay, relay: &mut Relay| {
        // The instances' rejections reach the source with the relay's next request.
        for _ in 0..2 {
            for instance in &mut instances {
                now += 1;
                let Some((_, request)) = instance.poll(now, 0) else { continue };
                let id = instance.id();
                let rejection = relay.handle_request(now, id, WatchRequest { max_wait: 0, ..request });
                let out = rejection
                    .into_iter()
                    .chain(relay.poll(now))
                    .find(|out| out.to == id)
                    .expect("a response");
                instance.handle_response(now, RELAY_A, out.response);
            }
            now += 1;
            let (_, request) = relay.poll_upstream(now).expect("a request is due");
            let rejection = source.handle_request(now, RELAY_A, WatchRequest { max_wait: 0, ..request });
            let out = rejection.into_iter().chain(source.poll(now)).next().expect("a response");
            relay.handle_response(now, SOURCE, out.response);
        }
        now += 500;
        let active_versions: Vec<Option<u64>> =
            instances.iter().map(|i| i.active().map(|s| s.version().number)).collect();
        let rejected = instances.iter().map(|i| i.counters().rejected).sum::<u64>();
        (
            active_versions,
            rejected,
            (source.rejecting(now), relay.rejecting(now), source.rejecting(now + 60_000)),
        )
    };
    round(&mut source, &mut relay);
    let (before, ..) = round(&mut source, &mut relay);
    assert_eq!(before, vec![Some(1); 20]);
    source.publish(vec![set("limits", "poison")]).expect("published by the source");
    round(&mut source, &mut relay);
    let (after, rejected, rejecting) = round(&mut source, &mut relay);
    assert_eq!(
        (after, rejected),
        (vec![Some(1); 20], 20),
        "the last accepted state stays active, and each instance rejects the new one once"
    );
    assert_eq!(rejecting, (20, 20, 0), "rejections count until the followers stop sending requests");
    source.publish(vec![set("limits", "32")]).expect("published by the source");
    round(&mut source, &mut relay);
    let (repaired, _, rejecting) = round(&mut source, &mut relay);
    assert_eq!((repaired, rejecting), (vec![Some(3); 20], (0, 0, 0)));
}

#[test]
fn a_silent_relay_is_abandoned_after_the_maximum_wait_and_the_response_timeout() {
    let mut follower = new_follower(None);
    assert!(poll_and_respond(&mut follower, 0, snapshot(&state(1, &[]))).is_some());
    assert_eq!(follower.poll(0, 0).map(|(to, request)| (to, request.max_wait)), Some((RELAY_A, MAX_WAIT)));
    let timeout_at = follower.next_timeout().expect("a request is in flight");
    assert!(timeout_at <= MAX_WAIT + 2_000, "{timeout_at}");
    assert_eq!(follower.poll(timeout_at - 1, 0), None);
    assert_eq!(follower.poll(timeout_at, 0).map(|(to, request)| (to, request.max_wait)), Some((RELAY_B, 0)));
    // A late response of the first relay is unsolicited and dropped.
    assert_eq!(
        follower.handle_response(timeout_at + 1, RELAY_A, response(RELAY_A, snapshot(&state(9, &[])))),
        None
    );
    assert_eq!(follower.counters().unsolicited, 1);
}

#[test]
fn with_all_relays_failing_requests_back_off_and_the_last_good_state_stays_active() {
    let good = state(1, &[("a", "1")]);
    let mut follower = new_follower(Some(good.clone()));
    let (mut now, mut requests) = (0, 0);
    while now < 60_000 {
        if let Some((to, _)) = follower.poll(now, 0) {
            requests += 1;
            follower.handle_disconnect(now, to);
        }
        now = follower.next_timeout().expect("another request is due").max(now + 1);
    }
    assert!((20..=80).contains(&requests), "{requests} requests in 60 s");
    assert_eq!(follower.active(), Some(&good));
}

#[test]
fn an_invalid_topology_is_reported_with_its_key() {
    let location = |addr: &str, region: &str, zone: &str| NodeLocation {
        addr: addr.parse().expect("an address"),
        region: region.into(),
        zone: zone.into(),
    };
    let follower = location("127.0.0.1:9", "north", "n1");
    let good = Topology {
        regions: vec![Region { name: "north".into(), zones: vec!["n1".into()] }],
        relays: vec![location("127.0.0.1:1", "north", "n1"), location("127.0.0.1:2", "north", "n1")],
        fan_out: 200,
    };
    assert_eq!(good.check(&follower, None), Ok(()));
    let key = |change: &dyn Fn(&mut Topology)| {
        let mut topology = good.clone();
        change(&mut topology);
        topology.check(&follower, None).expect_err("rejected").key()
    };
    assert_eq!(key(&|t| t.fan_out = 0), "distribution.fan_out");
    assert_eq!(key(&|t| t.relays.clear()), "distribution.relay");
    assert_eq!(key(&|t| t.relays[1].addr = t.relays[0].addr), "distribution.relay[1].addr");
    assert_eq!(key(&|t| t.relays[1].addr = follower.addr), "distribution.relay[1].addr");
    assert_eq!(key(&|t| t.relays[0].region = "nowhere".into()), "distribution.relay[0].region");
    assert_eq!(key(&|t| t.relays[1].zone = "z9".into()), "distribution.relay[1].zone");
    // A relay may itself be in the list.
    assert_eq!(good.check(&good.relays[0], Some(0)), Ok(()));
}

#[test]
fn instances_are_spread_over_the_relays_of_their_region() {
    let location = |i: usize| NodeLocation {
        addr: format!("10.0.0.{i}:9000").parse().expect("an address"),
        region: format!("r{}", i % 4),
        zone: "z".into(),
    };
    let topology = Topology { regions: Vec::new(), relays: (0..16).map(location).collect(), fan_out: 200 };
    let mut first_choices = [0; 16];
    for follower in 0..2_200 {
        let region = format!("r{}", follower % 4);
        let preferred = topology.preferred_relays(NodeId(follower), &region);
        assert!(preferred[..4].iter().all(|i| topology.relays[*i].region == region));
        first_choices[preferred[0]] += 1;
    }
    assert!(first_choices.iter().all(|n| (90..190).contains(n)), "{first_choices:?}");
}

// A response that passed through the follower carries the follower's own state, whatever age it reports.
#[test]
fn a_response_whose_path_contains_the_follower_or_is_too_long_is_a_loop() {
    let cached = state(1, &[("a", "1")]);
    let mut follower = new_follower(Some(cached));
    let (to, _) = follower.poll(0, 0).expect("a request is due");
    let looped =
        WatchResponse { path: vec![SOURCE, FOLLOWER, RELAY_A], age: 0, body: ResponseBody::Unchanged };
    assert_eq!(follower.handle_response(1, to, looped), None);
    assert_eq!((follower.counters().loops, follower.poll(1, 0).map(|(to, _)| to)), (1, Some(RELAY_B)));
    let long = WatchResponse { path: (20..26).map(NodeId).collect(), age: 0, body: ResponseBody::Unchanged };
    assert_eq!(follower.handle_response(2, RELAY_B, long), None);
    assert_eq!(follower.counters().loops, 2);
}

// The changes between the last delta and a snapshot are unknown, so the relay must not serve deltas from
// versions before the snapshot.
#[test]
fn a_relay_that_received_a_snapshot_serves_no_deltas_from_before_it() {
    let first = state(1, &[("a", "1")]);
    let mut relay = Relay::new(RELAY_A, HIGH_LIMITS, vec![SOURCE], Some(first.clone()));
    let mut now = 0;
    let mut respond = |relay: &mut Relay, body| {
        now += 1;
        relay.poll_upstream(now).expect("a request is due");
        relay.handle_response(now, SOURCE, WatchResponse { path: vec![SOURCE], age: 0, body });
    };
    respond(&mut relay, ResponseBody::Deltas(vec![first.delta(version(2), vec![set("a", "2")])]));
    let fifth = state(5, &[("a", "5"), ("b", "5")]);
    respond(&mut relay, snapshot(&fifth));
    respond(&mut relay, ResponseBody::Deltas(vec![fifth.delta(version(6), vec![set("b", "6")])]));
    let ResponseBody::Snapshot(snapshot) = watch_response(&mut relay, 10, FOLLOWER, held(&first)) else {
        panic!("expected a snapshot, since no deltas lead to the current state")
    };
    assert_eq!(snapshot.decompress().expect("a valid snapshot"), state(6, &[("a", "5"), ("b", "6")]));
    assert!(matches!(watch_response(&mut relay, 11, FOLLOWER, held(&fifth)), ResponseBody::Deltas(_)));
}

// A relay that applied several deltas at once must be able to serve followers at the intermediate versions
// without snapshots.
#[test]
fn a_relay_that_applied_several_deltas_serves_deltas_from_every_intermediate_version() {
    let mut source = new_source(4, HIGH_LIMITS);
    let first = source.state().expect("the source's state").clone();
    let mut intermediate = Vec::new();
    for i in 0..5 {
        source.publish(vec![set("a", &i.to_string())]).expect("published by the source");
        intermediate.push(source.state().expect("the source's state").clone());
    }
    let mut relay = Relay::new(RELAY_A, HIGH_LIMITS, vec![SOURCE], Some(first));
    let (_, request) = relay.poll_upstream(0).expect("a request is due");
    let body = watch_response(&mut source, 0, RELAY_A, request.held);
    relay.handle_response(1, SOURCE, WatchResponse { path: vec![SOURCE], age: 0, body });
    for state in &intermediate[..4] {
        let mut follower = new_follower(Some(state.clone()));
        let (_, request) = follower.poll(2, 0).expect("a request is due");
        let body = watch_response(&mut relay, 2, FOLLOWER, request.held);
        assert!(matches!(body, ResponseBody::Deltas(_)), "{body:?}");
        follower.handle_response(3, RELAY_A, response(RELAY_A, body));
        assert_eq!(follower.active(), source.state());
    }
}
