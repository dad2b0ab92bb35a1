//! A source, two relays and three instances under random sequences of message loss, duplication, reordering
//! and corruption, and of restarts. Newer versions always win, no instance activates a state that the source
//! did not have, and once the faults end all instances converge to the newest state.

use proptest::prelude::*;
use rowanglade_distribution::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const SOURCE: NodeId = NodeId(0);
const RELAYS: [NodeId; 2] = [NodeId(1), NodeId(2)];
const INSTANCES: [NodeId; 3] = [NodeId(10), NodeId(11), NodeId(12)];
const LIMITS: RelayLimits = RelayLimits { max_followers: 4, bytes_per_second: 1 << 20, burst_bytes: 1 << 20 };
const FLEET_KEY: Key = [3; 32];
/// Every instance rejects a state with an entry of this value.
const POISON: u8 = 7;

/// One step of a sequence.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The source sets an entry to a value.
    Publish {
        name: u8,
        value: u8,
    },
    /// One of the messages in flight is delivered once, is delivered and stays in flight, is lost, or is
    /// delivered with a byte changed.
    Deliver(prop::sample::Index),
    Duplicate(prop::sample::Index),
    Lose(prop::sample::Index),
    Corrupt(prop::sample::Index, prop::sample::Index),
    AdvanceTime(u16),
    /// A relay restarts with its first state, or without one.
    RestartRelay {
        relay: usize,
        with_state: bool,
    },
    RestartInstance {
        instance: usize,
        with_state: bool,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let any = || any::<prop::sample::Index>();
    prop_oneof![
        4 => (0u8..4, 0u8..8).prop_map(|(name, value)| Step::Publish { name, value }),
        24 => any().prop_map(Step::Deliver),
        2 => any().prop_map(Step::Duplicate),
        3 => any().prop_map(Step::Lose),
        1 => (any(), any()).prop_map(|(selected, index)| Step::Corrupt(selected, index)),
        10 => (1u16..3_000).prop_map(Step::AdvanceTime),
        1 => (0usize..2, proptest::bool::ANY).prop_map(|(relay, with_state)| Step::RestartRelay { relay, with_state }),
        1 => (0usize..3, proptest::bool::ANY).prop_map(|(instance, with_state)| Step::RestartInstance { instance, with_state }),
    ]
}

/// A message in flight.
#[derive(Clone)]
struct InFlightMessage {
    from: NodeId,
    to: NodeId,
    bytes: Vec<u8>,
}

fn reject_poison(state: &State) -> Result<(), InvalidState> {
    match state.entries().find(|(_, value)| ***value == POISON.to_string()) {
        Some((name, _)) => Err(InvalidState { entry: name.to_string(), problem: "poison".into() }),
        None => Ok(()),
    }
}

struct SimulatedFleet {
    now: Millis,
    source: Relay,
    relays: Vec<Relay>,
    /// The state that each relay may restart with.
    restart_states: Vec<Option<State>>,
    instances: Vec<Follower>,
    in_flight: Vec<InFlightMessage>,
    /// Every state that the source had, by version.
    states: BTreeMap<Version, State>,
    /// The greatest version that each instance has had since its last restart.
    greatest_versions: Vec<Option<Version>>,
}

/// Each relay prefers the other one, so that loops occur.
fn relay(i: usize, cached: Option<State>) -> Relay {
    Relay::new(RELAYS[i], LIMITS, vec![RELAYS[1 - i], SOURCE], cached)
}

fn instance(i: usize, cached: Option<State>) -> Follower {
    let upstreams = vec![RELAYS[i % 2], RELAYS[(i + 1) % 2]];
    Follower::new(INSTANCES[i], upstreams, 2_000, Box::new(reject_poison), cached)
}

impl SimulatedFleet {
    fn new() -> SimulatedFleet {
        let first = State::new(Version { epoch: 1, number: 1 }, [(Arc::from("a"), Arc::from("0"))]);
        SimulatedFleet {
            now: 0,
            source: Relay::source(SOURCE, LIMITS, first.clone()),
            relays: (0..2).map(|i| relay(i, None)).collect(),
            restart_states: vec![Some(first.clone()); 2],
            instances: (0..3).map(|i| instance(i, None)).collect(),
            in_flight: Vec::new(),
            states: [(first.version(), first)].into(),
            greatest_versions: vec![None; 3],
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: &Message) {
        let bytes = encode(&FLEET_KEY, from, message).expect("encoded");
        self.in_flight.push(InFlightMessage { from, to, bytes });
    }

    /// All nodes send what is due.
    fn poll(&mut self) {
        let now = self.now;
        let mut outgoing: Vec<(NodeId, NodeId, Message)> = Vec::new();
        for instance in &mut self.instances {
            let request = instance.poll(now, 0);
            outgoing.extend(request.map(|(to, request)| (instance.id(), to, Message::Request(request))));
        }
        for (relay, id) in self.relays.iter_mut().zip(RELAYS) {
            let request = relay.poll_upstream(now);
            outgoing.extend(request.map(|(to, request)| (id, to, Message::Request(request))));
            outgoing.extend(relay.poll(now).into_iter().map(|o| (id, o.to, Message::Response(o.response))));
        }
        outgoing
            .extend(self.source.poll(now).into_iter().map(|o| (SOURCE, o.to, Message::Response(o.response))));
        for (from, to, message) in outgoing {
            self.send(from, to, &message);
        }
    }

    fn deliver(&mut self, sent: &InFlightMessage) {
        // The driver drops a message that cannot be decoded, and closes the connection.
        let message = decode(&FLEET_KEY, sent.from, &sent.bytes);
        let (now, from) = (self.now, sent.from);
        if let Some(i) = INSTANCES.iter().position(|id| *id == sent.to) {
            match message {
                Ok(Message::Response(response)) => {
                    drop(self.instances[i].handle_response(now, from, response))
                }
                _ => self.instances[i].handle_disconnect(now, from),
            }
            return;
        }
        let relay = match RELAYS.iter().position(|id| *id == sent.to) {
            Some(i) => &mut self.relays[i],
            None => &mut self.source,
        };
        match message {
            Ok(Message::Response(response)) => relay.handle_response(now, from, response),
            Ok(Message::Request(request)) => {
                if let Some(outgoing) = relay.handle_request(now, from, request) {
                    self.send(sent.to, outgoing.to, &Message::Response(outgoing.response));
                }
            }
            Err(_) => relay.handle_disconnect(now, from),
        }
    }

    fn publish(&mut self, name: u8, value: u8) {
        self.source
            .publish(vec![EntryChange {
                name: name.to_string().into(),
                value: Some(value.to_string().into()),
            }])
            .expect("published by the source");
        let state = self.source.state().expect("the source's state").clone();
        self.states.insert(state.version(), state);
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Publish { name, value } => self.publish(name, value),
            Step::AdvanceTime(span) => self.now += Millis::from(span),
            Step::RestartRelay { relay: i, with_state } => {
                self.relays[i] = relay(i, self.restart_states[i].clone().filter(|_| with_state));
            }
            Step::RestartInstance { instance: i, with_state } => {
                let cached = self.instances[i].active().cloned().filter(|_| with_state);
                (self.greatest_versions[i], self.instances[i]) = (None, instance(i, cached));
            }
            Step::Deliver(_) | Step::Duplicate(_) | Step::Lose(_) | Step::Corrupt(..)
                if self.in_flight.is_empty() => {}
            Step::Deliver(selected) => {
                let sent = self.in_flight.remove(selected.index(self.in_flight.len()));
                self.deliver(&sent);
            }
            Step::Duplicate(selected) => {
                let sent = self.in_flight[selected.index(self.in_flight.len())].clone();
                self.deliver(&sent);
            }
            Step::Lose(selected) => drop(self.in_flight.remove(selected.index(self.in_flight.len()))),
            Step::Corrupt(selected, index) => {
                let mut sent = self.in_flight.remove(selected.index(self.in_flight.len()));
                let index = index.index(sent.bytes.len());
                sent.bytes[index] ^= 0x55;
                self.deliver(&sent);
            }
        }
        self.poll();
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        for (i, instance) in self.instances.iter().enumerate() {
            let version = instance.newest().map(State::version);
            prop_assert!(
                version >= self.greatest_versions[i],
                "version {version:?} replaced the newer {:?}",
                self.greatest_versions[i]
            );
            self.greatest_versions[i] = version;
            if let Some(state) = instance.active() {
                prop_assert_eq!(
                    Some(state),
                    self.states.get(&state.version()),
                    "active state differs from the source's at its version"
                );
                prop_assert!(reject_poison(state).is_ok());
            }
        }
        for relay in &self.relays {
            if let Some(state) = relay.state() {
                prop_assert_eq!(Some(state), self.states.get(&state.version()));
            }
        }
        Ok(())
    }

    /// Delivers all messages at once and in order, for this long.
    fn settle(&mut self, span: Millis) {
        let until = self.now + span;
        while self.now < until {
            self.poll();
            for sent in std::mem::take(&mut self.in_flight) {
                self.deliver(&sent);
            }
            self.now += 5;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]
    #[test]
    fn newer_versions_win_and_all_instances_converge_to_the_newest(steps in prop::collection::vec(step(), 1..160)) {
        let mut fleet = SimulatedFleet::new();
        fleet.poll();
        for step in steps {
            fleet.apply(step);
            fleet.check()?;
        }
        // Publishes a state that every instance accepts, followed by 14 s without faults.
        (0..4).for_each(|name| fleet.publish(name, 0));
        fleet.settle(14_000);
        fleet.check()?;
        let newest = fleet.source.state().cloned();
        for instance in &fleet.instances {
            prop_assert_eq!(instance.active(), newest.as_ref());
        }
    }
}
