//! The hard cases, one by one: a follower or a relay by itself, beside scripted peers.

use rowanglade_distribution::*;
use std::sync::Arc;

const SOURCE: NodeId = NodeId(0);
const A: NodeId = NodeId(1);
const B: NodeId = NodeId(2);
const ME: NodeId = NodeId(9);
const KEY: Key = [7; 32];
const HOLD: Millis = 4_000;
const WIDE: RelayLimits =
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

/// The source at version 1, with so many entries.
fn source(entries: usize, limits: RelayLimits) -> Relay {
    let entry = |i: usize| {
        (Arc::from(format!("s-{i:08x}")), Arc::from(format!("10.0.{}.{}:80 up", i / 256, i % 256)))
    };
    Relay::source(SOURCE, limits, State::new(version(1), (0..entries).map(entry)))
}

fn follower(known: Option<State>) -> Follower {
    Follower::new(ME, vec![A, B], HOLD, Box::new(|_| Ok(())), known)
}

fn answer(from: NodeId, body: ResponseBody) -> WatchResponse {
    WatchResponse { path: vec![SOURCE, from], age: 5, body }
}

fn snapshot(state: &State) -> ResponseBody {
    ResponseBody::Snapshot(Snapshot::compress(state).expect("packed"))
}

/// Asks at `now`, and has the relay asked answer so.
fn told(follower: &mut Follower, now: Millis, body: ResponseBody) -> Option<StateUpdate> {
    let (to, _) = follower.poll(now, 0).expect("it asks");
    follower.handle_response(now, to, answer(to, body))
}

/// What a relay answers a watch with at once.
fn asked(relay: &mut Relay, now: Millis, from: NodeId, held: Option<HeldVersion>) -> ResponseBody {
    let watch = WatchRequest { held, max_wait: 0, rejecting: 0 };
    let turned_away = relay.handle_request(now, from, watch);
    turned_away
        .into_iter()
        .chain(relay.poll(now))
        .find(|out| out.to == from)
        .expect("an answer")
        .response
        .body
}

fn held(state: &State) -> Option<HeldVersion> {
    Some(HeldVersion { version: state.version(), digest: state.digest() })
}

#[test]
fn of_two_versions_that_race_by_two_paths_the_newer_stays() {
    let (older, newer) = (state(2, &[("a", "2")]), state(3, &[("a", "3")]));
    let mut me = follower(Some(state(1, &[("a", "1")])));
    assert_eq!(told(&mut me, 0, snapshot(&newer)), Some(StateUpdate::Activated(newer.clone())));
    // The older one comes late, whole and as a delta: nothing changes, and its relay is left.
    assert_eq!(told(&mut me, 1, snapshot(&older)), None);
    assert_eq!(me.poll(2, 0).map(|(to, _)| to), Some(B));
    let delta = state(1, &[("a", "1")]).delta(version(2), vec![set("a", "2")]);
    assert_eq!(me.handle_response(3, B, answer(B, ResponseBody::Deltas(vec![delta]))), None);
    assert_eq!(me.active(), Some(&newer));
    assert_eq!((me.counters().stale, me.counters().wrong_base), (2, 0));
}

#[test]
fn a_delta_on_a_base_that_is_not_held_has_the_whole_state_asked_for() {
    let first = state(1, &[("a", "1")]);
    let third = state(3, &[("a", "1"), ("b", "2")]);
    let delta = third.delta(version(4), vec![set("c", "3")]);
    let mut me = follower(Some(first.clone()));
    assert_eq!(told(&mut me, 0, ResponseBody::Deltas(vec![delta])), None);
    assert_eq!(me.active(), Some(&first), "nothing was changed");
    assert_eq!((me.counters().wrong_base, me.counters().digest_mismatches), (1, 0));
    let (_, watch) = me.poll(1, 0).expect("it asks at once");
    assert_eq!((watch.held, watch.max_wait), (None, 0));
    let fourth = state(4, &[("a", "1"), ("b", "2"), ("c", "3")]);
    assert_eq!(
        me.handle_response(2, A, answer(A, snapshot(&fourth))),
        Some(StateUpdate::Activated(fourth.clone()))
    );
    let (_, watch) = me.poll(3, 0).expect("it watches on");
    assert_eq!((watch.held, watch.max_wait), (held(&fourth), HOLD), "deltas from now on");
}

#[test]
fn a_delta_that_makes_something_else_than_the_source_had_changes_nothing() {
    let first = state(1, &[("a", "1")]);
    let mut delta = first.delta(version(2), vec![set("b", "2")]);
    delta.changes = vec![set("b", "spoilt")];
    let mut me = follower(Some(first.clone()));
    assert_eq!(told(&mut me, 0, ResponseBody::Deltas(vec![delta])), None);
    assert_eq!((me.active(), me.counters().digest_mismatches), (Some(&first), 1));
    assert!(me.poll(1, 0).expect("it asks").1.held.is_none());
}

// Two states of one version, as after a source that came back from a copy: the digest finds it.
#[test]
fn another_state_of_the_same_version_is_found_and_repaired() {
    let (right, spoilt) = (state(2, &[("a", "1")]), state(2, &[("a", "other")]));
    let mut relay = Relay::source(SOURCE, WIDE, right.clone());
    let mut me = follower(Some(spoilt));
    let (_, watch) = me.poll(0, 0).expect("it asks");
    let body = asked(&mut relay, 0, ME, watch.held);
    assert_eq!(body, ResponseBody::DigestMismatch);
    me.handle_response(0, A, answer(A, body));
    let (_, watch) = me.poll(1, 0).expect("it asks at once");
    let body = asked(&mut relay, 1, ME, watch.held);
    assert_eq!(me.handle_response(1, A, answer(A, body)), Some(StateUpdate::Activated(right)));
}

#[test]
fn a_relay_that_serves_old_state_after_a_restart_is_left_until_it_has_caught_up() {
    let (old, new) = (state(1, &[("a", "1")]), state(5, &[("a", "5")]));
    let mut relay = Relay::new(A, WIDE, vec![SOURCE], Some(old));
    let mut me = follower(Some(new.clone()));
    let (to, watch) = me.poll(0, 0).expect("it asks");
    let body = asked(&mut relay, 0, ME, watch.held);
    assert_eq!((to, &body), (A, &ResponseBody::Behind));
    me.handle_response(0, A, answer(A, body));
    assert_eq!(me.poll(1, 0).map(|(to, _)| to), Some(B));
    assert_eq!(me.active(), Some(&new));
    // The relay itself takes the newer state of its source, and is of use again.
    let (_, _) = relay.poll_upstream(10).expect("it asks");
    relay.handle_response(20, SOURCE, WatchResponse { path: vec![SOURCE], age: 0, body: snapshot(&new) });
    assert_eq!(asked(&mut relay, 30, ME, held(&new)), ResponseBody::Unchanged);
}

#[test]
fn a_whole_list_cut_or_spoilt_half_way_changes_nothing() {
    let mut relay = source(3_500, WIDE);
    let body = asked(&mut relay, 0, ME, None);
    let message = Message::Response(answer(A, body.clone()));
    let bytes = encode(&KEY, A, &message).expect("encoded");
    for cut in [0, 1, 15, 16, 17, bytes.len() / 2, bytes.len() - 1] {
        assert!(decode(&KEY, A, &bytes[..cut]).is_err(), "cut at {cut}");
    }
    for place in (0..bytes.len()).step_by(bytes.len() / 97) {
        let mut spoilt = bytes.clone();
        spoilt[place] ^= 1;
        assert!(decode(&KEY, A, &spoilt).is_err(), "changed at {place}");
    }
    // Its connection ends half way: the driver tells so, and the next relay is asked for all of it.
    let mut me = follower(None);
    let (to, _) = me.poll(0, 0).expect("it asks");
    me.handle_disconnect(10, to);
    let (next, watch) = me.poll(10, 0).expect("it asks at once");
    assert_eq!((next, watch.held, me.active()), (B, None, None));
    let Ok(Message::Response(whole)) = decode(&KEY, A, &bytes) else { panic!("whole") };
    assert!(
        matches!(me.handle_response(20, B, whole), Some(StateUpdate::Activated(state)) if state.len() == 3_500)
    );
}

#[test]
fn messages_of_others_are_not_taken() {
    let message = Message::Request(WatchRequest { held: None, max_wait: 0, rejecting: 0 });
    let bytes = encode(&KEY, A, &message).expect("encoded");
    assert_eq!(decode(&KEY, A, &bytes), Ok(message));
    assert_eq!(decode(&KEY, B, &bytes), Err(DecodeError::BadCode), "another sender");
    assert_eq!(decode(&[8; 32], A, &bytes), Err(DecodeError::BadCode), "another fleet");
    assert_eq!(decode(&KEY, A, &[&[9], &bytes[1..]].concat()), Err(DecodeError::UnknownFormat(9)));
    assert_eq!(decode(&KEY, A, &vec![1; MAX_MESSAGE_BYTES + 1]), Err(DecodeError::BadLength));
}

// All at once would be a burst of 1,000 whole lists; the budget spreads them, and news goes first.
#[test]
fn a_thousand_watchers_that_wake_together_are_told_within_the_budget() {
    let limits = RelayLimits { max_followers: 2_000, bytes_per_second: 4 << 20, burst_bytes: 256 << 10 };
    let mut relay = source(3_500, limits);
    let current = held(relay.state().expect("its own"));
    for i in 0..1_000 {
        // Every tenth has just started.
        let held = current.filter(|_| i % 10 != 0);
        let watch = WatchRequest { held, max_wait: 10_000, rejecting: 0 };
        assert_eq!(relay.handle_request(0, NodeId(100 + i), watch), None);
    }
    relay.publish(vec![set("s-00000001", "gone")]).expect("the source's");
    let (mut news_at, mut whole_at, mut told, mut now) = (0, 0, 0, 0);
    while told < 1_000 {
        let (mut bytes, out) = (0, relay.poll(now));
        for Outgoing { to, response } in out {
            let message = Message::Response(response.clone());
            bytes += encode(&KEY, SOURCE, &message).expect("encoded").len() as u64;
            match response.body {
                ResponseBody::Deltas(_) => news_at = now,
                ResponseBody::Snapshot(_) => whole_at = now,
                body => panic!("{body:?} for {to:?}"),
            }
            told += 1;
        }
        assert!(bytes <= limits.burst_bytes + limits.bytes_per_second / 4, "{bytes} bytes at {now}");
        now = relay.next_timeout(now).map_or(now + 1, |at| at.max(now + 1));
        assert!(now < 14_000, "{told} told by then");
    }
    assert!(news_at <= 100, "news at {news_at} ms, behind whole lists");
    assert!(whole_at > news_at);
}

#[test]
fn a_relay_takes_as_many_followers_as_it_may_and_turns_the_next_away() {
    let mut relay = source(4, RelayLimits { max_followers: 2, ..WIDE });
    let current = held(relay.state().expect("its own"));
    let watch = || WatchRequest { held: current, max_wait: 1_000, rejecting: 0 };
    assert_eq!(relay.handle_request(0, NodeId(10), watch()), None);
    assert_eq!(relay.handle_request(0, NodeId(11), watch()), None);
    assert_eq!(relay.handle_request(0, ME, watch()).map(|out| out.response.body), Some(ResponseBody::Busy));
    // One that asks again is no further one.
    assert_eq!(relay.handle_request(1, NodeId(11), watch()), None);
    let mut me = follower(None);
    told(&mut me, 0, ResponseBody::Busy);
    assert_eq!(me.poll(0, 0).map(|(to, _)| to), Some(B));
}

#[test]
fn relays_that_follow_each_other_find_the_loop_and_leave_it() {
    let old = state(1, &[("a", "1")]);
    let mut relays = [
        Relay::new(A, WIDE, vec![B, SOURCE], Some(old.clone())),
        Relay::new(B, WIDE, vec![A, SOURCE], Some(old)),
    ];
    let mut now = 0;
    for _ in 0..8 {
        for (me, other) in [(0, 1), (1, 0)] {
            now += 100;
            let Some((to, watch)) = relays[me].poll_upstream(now) else { continue };
            if to == SOURCE {
                continue;
            }
            let name = [A, B][me];
            let away = relays[other].handle_request(now, name, WatchRequest { max_wait: 0, ..watch });
            let out = away.into_iter().chain(relays[other].poll(now)).find(|out| out.to == name);
            relays[me].handle_response(now, to, out.expect("an answer").response);
        }
    }
    // Both are with the source, or wait for it: neither believes the other.
    let left = relays.iter().filter(|r| {
        let counters = r.follower().expect("a relay").counters();
        counters.loops + counters.cut_off > 0
    });
    assert_eq!(left.count(), 2);
}

// Versions are the source's, and ages are spans: a clock that is an hour off changes nothing.
#[test]
fn an_instance_whose_clock_is_an_hour_off_is_told_as_all_others() {
    for offset in [0, 3_600_000] {
        let mut relay = source(4, WIDE);
        let mut me = follower(None);
        let mut now = 1_000;
        for _ in 0..5 {
            relay.publish(vec![set("a", &now.to_string())]).expect("the source's");
            let (_, watch) = me.poll(now + offset, 0).expect("it asks");
            let body = asked(&mut relay, now, ME, watch.held);
            me.handle_response(now + offset, A, answer(A, body));
            assert_eq!(me.active(), relay.state());
            now += 1_000;
        }
        assert_eq!((me.counters().snapshots, me.counters().deltas), (1, 4));
    }
}

#[test]
fn a_change_that_is_taken_back_is_told_as_what_holds_now() {
    let mut relay = source(4, WIDE);
    let first = relay.state().expect("its own").clone();
    relay.publish(vec![set("s-00000001", "out"), set("x", "new")]).expect("the source's");
    relay
        .publish(vec![EntryChange { name: "x".into(), value: None }, set("s-00000001", "10.0.0.1:80 up")])
        .expect("the source's");
    let mut me = follower(Some(first.clone()));
    let (_, watch) = me.poll(0, 0).expect("it asks");
    let body = asked(&mut relay, 0, ME, watch.held);
    me.handle_response(1, A, answer(A, body));
    let now = me.active().expect("a state");
    assert_eq!((now.version(), now.digest()), (version(3), first.digest()));
    assert!(now.entries().eq(first.entries()));
}

fn without_poison(state: &State) -> Result<(), InvalidState> {
    match state.entries().find(|(_, value)| value.contains("poison")) {
        Some((name, _)) => Err(InvalidState { entry: name.to_string(), problem: "unusable".into() }),
        None => Ok(()),
    }
}

#[test]
fn a_poison_configuration_is_held_back_counted_up_to_the_source_and_mended_by_the_next() {
    let mut top = source(4, WIDE);
    let mut relay = Relay::new(A, WIDE, vec![SOURCE], None);
    let mut instances: Vec<Follower> = (0..20)
        .map(|i| Follower::new(NodeId(100 + i), vec![A], HOLD, Box::new(without_poison), None))
        .collect();
    let mut now = 0;
    let mut round = |top: &mut Relay, relay: &mut Relay| {
        // What the instances refuse reaches the source with the relay's next watch.
        for _ in 0..2 {
            for instance in &mut instances {
                now += 1;
                let Some((_, watch)) = instance.poll(now, 0) else { continue };
                let id = instance.id();
                let away = relay.handle_request(now, id, WatchRequest { max_wait: 0, ..watch });
                let out =
                    away.into_iter().chain(relay.poll(now)).find(|out| out.to == id).expect("an answer");
                instance.handle_response(now, A, out.response);
            }
            now += 1;
            let (_, watch) = relay.poll_upstream(now).expect("it asks");
            let away = top.handle_request(now, A, WatchRequest { max_wait: 0, ..watch });
            let out = away.into_iter().chain(top.poll(now)).next().expect("an answer");
            relay.handle_response(now, SOURCE, out.response);
        }
        now += 500;
        let in_force: Vec<Option<u64>> =
            instances.iter().map(|i| i.active().map(|s| s.version().number)).collect();
        let refused = instances.iter().map(|i| i.counters().rejected).sum::<u64>();
        (in_force, refused, (top.rejecting(now), relay.rejecting(now), top.rejecting(now + 60_000)))
    };
    round(&mut top, &mut relay);
    let (before, ..) = round(&mut top, &mut relay);
    assert_eq!(before, vec![Some(1); 20]);
    top.publish(vec![set("limits", "poison")]).expect("the source's");
    round(&mut top, &mut relay);
    let (after, refused, counted) = round(&mut top, &mut relay);
    assert_eq!((after, refused), (vec![Some(1); 20], 20), "the last good one stays, each refuses once");
    assert_eq!(counted, (20, 20, 0), "counted as long as they watch");
    top.publish(vec![set("limits", "32")]).expect("the source's");
    round(&mut top, &mut relay);
    let (mended, _, counted) = round(&mut top, &mut relay);
    assert_eq!((mended, counted), (vec![Some(3); 20], (0, 0, 0)));
}

#[test]
fn a_relay_that_falls_silent_is_left_after_its_hold_and_some_patience() {
    let mut me = follower(None);
    assert!(told(&mut me, 0, snapshot(&state(1, &[]))).is_some());
    assert_eq!(me.poll(0, 0).map(|(to, watch)| (to, watch.max_wait)), Some((A, HOLD)));
    let wake = me.next_timeout().expect("it waits");
    assert!(wake <= HOLD + 2_000, "{wake}");
    assert_eq!(me.poll(wake - 1, 0), None);
    assert_eq!(me.poll(wake, 0).map(|(to, watch)| (to, watch.max_wait)), Some((B, 0)));
    // What the first says after all is not waited for any more.
    assert_eq!(me.handle_response(wake + 1, A, answer(A, snapshot(&state(9, &[])))), None);
    assert_eq!(me.counters().unsolicited, 1);
}

#[test]
fn where_all_relays_fail_they_are_asked_less_often_and_the_last_good_state_stays() {
    let good = state(1, &[("a", "1")]);
    let mut me = follower(Some(good.clone()));
    let (mut now, mut calls) = (0, 0);
    while now < 60_000 {
        if let Some((to, _)) = me.poll(now, 0) {
            calls += 1;
            me.handle_disconnect(now, to);
        }
        now = me.next_timeout().expect("it asks on").max(now + 1);
    }
    assert!((20..=80).contains(&calls), "{calls} calls in a minute");
    assert_eq!(me.active(), Some(&good));
}

#[test]
fn a_topology_that_cannot_be_is_told_by_its_key() {
    let place = |addr: &str, region: &str, zone: &str| NodeLocation {
        addr: addr.parse().expect("an address"),
        region: region.into(),
        zone: zone.into(),
    };
    let me = place("127.0.0.1:9", "north", "n1");
    let good = Topology {
        regions: vec![Region { name: "north".into(), zones: vec!["n1".into()] }],
        relays: vec![place("127.0.0.1:1", "north", "n1"), place("127.0.0.1:2", "north", "n1")],
        fan_out: 200,
    };
    assert_eq!(good.check(&me, None), Ok(()));
    let key = |change: &dyn Fn(&mut Topology)| {
        let mut topology = good.clone();
        change(&mut topology);
        topology.check(&me, None).expect_err("rejected").key()
    };
    assert_eq!(key(&|t| t.fan_out = 0), "distribution.fan_out");
    assert_eq!(key(&|t| t.relays.clear()), "distribution.relay");
    assert_eq!(key(&|t| t.relays[1].addr = t.relays[0].addr), "distribution.relay[1].addr");
    assert_eq!(key(&|t| t.relays[1].addr = me.addr), "distribution.relay[1].addr");
    assert_eq!(key(&|t| t.relays[0].region = "nowhere".into()), "distribution.relay[0].region");
    assert_eq!(key(&|t| t.relays[1].zone = "z9".into()), "distribution.relay[1].zone");
    // A relay is in the list itself.
    assert_eq!(good.check(&good.relays[0], Some(0)), Ok(()));
}

#[test]
fn instances_are_spread_over_the_relays_of_their_region() {
    let place = |i: usize| NodeLocation {
        addr: format!("10.0.0.{i}:9000").parse().expect("an address"),
        region: format!("r{}", i % 4),
        zone: "z".into(),
    };
    let topology = Topology { regions: Vec::new(), relays: (0..16).map(place).collect(), fan_out: 200 };
    let mut first = [0; 16];
    for me in 0..2_200 {
        let region = format!("r{}", me % 4);
        let preferred = topology.preferred_relays(NodeId(me), &region);
        assert!(preferred[..4].iter().all(|i| topology.relays[*i].region == region));
        first[preferred[0]] += 1;
    }
    assert!(first.iter().all(|n| (90..190).contains(n)), "{first:?}");
}

// Its news would be its own, however fresh it looks.
#[test]
fn an_answer_that_came_through_the_asker_is_a_loop() {
    let known = state(1, &[("a", "1")]);
    let mut me = follower(Some(known));
    let (to, _) = me.poll(0, 0).expect("it asks");
    let looped = WatchResponse { path: vec![SOURCE, ME, A], age: 0, body: ResponseBody::Unchanged };
    assert_eq!(me.handle_response(1, to, looped), None);
    assert_eq!((me.counters().loops, me.poll(1, 0).map(|(to, _)| to)), (1, Some(B)));
    let long = WatchResponse { path: (20..26).map(NodeId).collect(), age: 0, body: ResponseBody::Unchanged };
    assert_eq!(me.handle_response(2, B, long), None);
    assert_eq!(me.counters().loops, 2);
}

// What lies between the deltas kept and a whole state is not known, so no delta may be made across it.
#[test]
fn a_relay_that_was_told_a_whole_state_makes_no_delta_across_it() {
    let first = state(1, &[("a", "1")]);
    let mut relay = Relay::new(A, WIDE, vec![SOURCE], Some(first.clone()));
    let mut now = 0;
    let mut tell = |relay: &mut Relay, body| {
        now += 1;
        relay.poll_upstream(now).expect("it asks");
        relay.handle_response(now, SOURCE, WatchResponse { path: vec![SOURCE], age: 0, body });
    };
    tell(&mut relay, ResponseBody::Deltas(vec![first.delta(version(2), vec![set("a", "2")])]));
    let fifth = state(5, &[("a", "5"), ("b", "5")]);
    tell(&mut relay, snapshot(&fifth));
    tell(&mut relay, ResponseBody::Deltas(vec![fifth.delta(version(6), vec![set("b", "6")])]));
    let ResponseBody::Snapshot(whole) = asked(&mut relay, 10, ME, held(&first)) else {
        panic!("no delta leads there")
    };
    assert_eq!(whole.decompress().expect("whole"), state(6, &[("a", "5"), ("b", "6")]));
    assert!(matches!(asked(&mut relay, 11, ME, held(&fifth)), ResponseBody::Deltas(_)));
}

// One that has caught up by several deltas must not need whole states for followers that are in between.
#[test]
fn a_relay_that_caught_up_serves_followers_at_every_version_between() {
    let mut top = source(4, WIDE);
    let first = top.state().expect("its own").clone();
    let mut between = Vec::new();
    for i in 0..5 {
        top.publish(vec![set("a", &i.to_string())]).expect("the source's");
        between.push(top.state().expect("its own").clone());
    }
    let mut relay = Relay::new(A, WIDE, vec![SOURCE], Some(first));
    let (_, watch) = relay.poll_upstream(0).expect("it asks");
    let body = asked(&mut top, 0, A, watch.held);
    relay.handle_response(1, SOURCE, WatchResponse { path: vec![SOURCE], age: 0, body });
    for state in &between[..4] {
        let mut me = follower(Some(state.clone()));
        let (_, watch) = me.poll(2, 0).expect("it asks");
        let body = asked(&mut relay, 2, ME, watch.held);
        assert!(matches!(body, ResponseBody::Deltas(_)), "{body:?}");
        me.handle_response(3, A, answer(A, body));
        assert_eq!(me.active(), top.state());
    }
}
