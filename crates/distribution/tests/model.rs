//! Any order of what a network, restarts and cuts can do to a source, two relays and three instances: newer
//! wins, nothing is in force that the source did not have, and once all is well everybody has the newest.

use proptest::prelude::*;
use rowanglade_distribution::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const SOURCE: NodeId = NodeId(0);
const RELAYS: [NodeId; 2] = [NodeId(1), NodeId(2)];
const INSTANCES: [NodeId; 3] = [NodeId(10), NodeId(11), NodeId(12)];
const LIMITS: RelayLimits = RelayLimits { max_followers: 4, bytes_per_second: 1 << 20, burst_bytes: 1 << 20 };
const KEY: Key = [3; 32];
/// A change whose value is this is refused by every instance.
const POISON: u8 = 7;

/// What happens next.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The source sets an entry.
    Publish {
        name: u8,
        value: u8,
    },
    /// One of the messages on their way arrives, once or twice, is lost, or is spoilt.
    Deliver(prop::sample::Index),
    Double(prop::sample::Index),
    Lose(prop::sample::Index),
    Spoil(prop::sample::Index, prop::sample::Index),
    Pass(u16),
    /// A relay starts again with what it kept long ago, or nothing.
    RestartRelay {
        relay: usize,
        kept: bool,
    },
    RestartInstance {
        instance: usize,
        kept: bool,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let any = || any::<prop::sample::Index>();
    prop_oneof![
        4 => (0u8..4, 0u8..8).prop_map(|(name, value)| Step::Publish { name, value }),
        24 => any().prop_map(Step::Deliver),
        2 => any().prop_map(Step::Double),
        3 => any().prop_map(Step::Lose),
        1 => (any(), any()).prop_map(|(which, place)| Step::Spoil(which, place)),
        10 => (1u16..3_000).prop_map(Step::Pass),
        1 => (0usize..2, proptest::bool::ANY).prop_map(|(relay, kept)| Step::RestartRelay { relay, kept }),
        1 => (0usize..3, proptest::bool::ANY).prop_map(|(instance, kept)| Step::RestartInstance { instance, kept }),
    ]
}

/// A message on its way.
#[derive(Clone)]
struct Sent {
    from: NodeId,
    to: NodeId,
    bytes: Vec<u8>,
}

fn good(state: &State) -> Result<(), InvalidState> {
    match state.entries().find(|(_, value)| ***value == POISON.to_string()) {
        Some((name, _)) => Err(InvalidState { entry: name.to_string(), problem: "poison".into() }),
        None => Ok(()),
    }
}

struct SimulatedFleet {
    now: Millis,
    source: Relay,
    relays: Vec<Relay>,
    /// What each relay kept at its first start.
    kept: Vec<Option<State>>,
    instances: Vec<Follower>,
    sent: Vec<Sent>,
    /// Every state that the source had.
    states: BTreeMap<Version, State>,
    /// The greatest version that each instance has held in this life.
    greatest: Vec<Option<Version>>,
}

/// Each relay prefers the other, so that loops come up by themselves.
fn relay(i: usize, known: Option<State>) -> Relay {
    Relay::new(RELAYS[i], LIMITS, vec![RELAYS[1 - i], SOURCE], known)
}

fn instance(i: usize, known: Option<State>) -> Follower {
    let upstreams = vec![RELAYS[i % 2], RELAYS[(i + 1) % 2]];
    Follower::new(INSTANCES[i], upstreams, 2_000, Box::new(good), known)
}

impl SimulatedFleet {
    fn new() -> SimulatedFleet {
        let first = State::new(Version { epoch: 1, number: 1 }, [(Arc::from("a"), Arc::from("0"))]);
        SimulatedFleet {
            now: 0,
            source: Relay::source(SOURCE, LIMITS, first.clone()),
            relays: (0..2).map(|i| relay(i, None)).collect(),
            kept: vec![Some(first.clone()); 2],
            instances: (0..3).map(|i| instance(i, None)).collect(),
            sent: Vec::new(),
            states: [(first.version(), first)].into(),
            greatest: vec![None; 3],
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, message: &Message) {
        let bytes = encode(&KEY, from, message).expect("encoded");
        self.sent.push(Sent { from, to, bytes });
    }

    /// Everybody does what is due.
    fn poll(&mut self) {
        let now = self.now;
        let mut out: Vec<(NodeId, NodeId, Message)> = Vec::new();
        for instance in &mut self.instances {
            let watch = instance.poll(now, 0);
            out.extend(watch.map(|(to, watch)| (instance.id(), to, Message::Request(watch))));
        }
        for (relay, id) in self.relays.iter_mut().zip(RELAYS) {
            let watch = relay.poll_upstream(now);
            out.extend(watch.map(|(to, watch)| (id, to, Message::Request(watch))));
            out.extend(relay.poll(now).into_iter().map(|o| (id, o.to, Message::Response(o.response))));
        }
        out.extend(self.source.poll(now).into_iter().map(|o| (SOURCE, o.to, Message::Response(o.response))));
        for (from, to, message) in out {
            self.send(from, to, &message);
        }
    }

    fn deliver(&mut self, sent: &Sent) {
        // What cannot be read is dropped by the driver, and ends the connection.
        let message = decode(&KEY, sent.from, &sent.bytes);
        let (now, from) = (self.now, sent.from);
        if let Some(i) = INSTANCES.iter().position(|id| *id == sent.to) {
            match message {
                Ok(Message::Response(answer)) => drop(self.instances[i].handle_response(now, from, answer)),
                _ => self.instances[i].handle_disconnect(now, from),
            }
            return;
        }
        let relay = match RELAYS.iter().position(|id| *id == sent.to) {
            Some(i) => &mut self.relays[i],
            None => &mut self.source,
        };
        match message {
            Ok(Message::Response(answer)) => relay.handle_response(now, from, answer),
            Ok(Message::Request(watch)) => {
                if let Some(out) = relay.handle_request(now, from, watch) {
                    self.send(sent.to, out.to, &Message::Response(out.response));
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
            .expect("the source's");
        let state = self.source.state().expect("its own").clone();
        self.states.insert(state.version(), state);
    }

    fn take(&mut self, step: Step) {
        match step {
            Step::Publish { name, value } => self.publish(name, value),
            Step::Pass(span) => self.now += Millis::from(span),
            Step::RestartRelay { relay: i, kept } => {
                self.relays[i] = relay(i, self.kept[i].clone().filter(|_| kept));
            }
            Step::RestartInstance { instance: i, kept } => {
                let known = self.instances[i].active().cloned().filter(|_| kept);
                (self.greatest[i], self.instances[i]) = (None, instance(i, known));
            }
            Step::Deliver(_) | Step::Double(_) | Step::Lose(_) | Step::Spoil(..) if self.sent.is_empty() => {}
            Step::Deliver(which) => {
                let sent = self.sent.remove(which.index(self.sent.len()));
                self.deliver(&sent);
            }
            Step::Double(which) => {
                let sent = self.sent[which.index(self.sent.len())].clone();
                self.deliver(&sent);
            }
            Step::Lose(which) => drop(self.sent.remove(which.index(self.sent.len()))),
            Step::Spoil(which, place) => {
                let mut sent = self.sent.remove(which.index(self.sent.len()));
                let place = place.index(sent.bytes.len());
                sent.bytes[place] ^= 0x55;
                self.deliver(&sent);
            }
        }
        self.poll();
    }

    fn check(&mut self) -> Result<(), TestCaseError> {
        for (i, instance) in self.instances.iter().enumerate() {
            let held = instance.newest().map(State::version);
            prop_assert!(held >= self.greatest[i], "{held:?} after {:?}", self.greatest[i]);
            self.greatest[i] = held;
            if let Some(state) = instance.active() {
                prop_assert_eq!(
                    Some(state),
                    self.states.get(&state.version()),
                    "the source had no such state"
                );
                prop_assert!(good(state).is_ok());
            }
        }
        for relay in &self.relays {
            if let Some(state) = relay.state() {
                prop_assert_eq!(Some(state), self.states.get(&state.version()));
            }
        }
        Ok(())
    }

    /// Lets the network work, for so long.
    fn settle(&mut self, span: Millis) {
        let until = self.now + span;
        while self.now < until {
            self.poll();
            for sent in std::mem::take(&mut self.sent) {
                self.deliver(&sent);
            }
            self.now += 5;
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]
    #[test]
    fn whatever_happens_newer_wins_and_all_end_with_the_newest(steps in prop::collection::vec(step(), 1..160)) {
        let mut world = SimulatedFleet::new();
        world.poll();
        for step in steps {
            world.take(step);
            world.check()?;
        }
        // One that all can run with, and 14 s in which nothing goes wrong.
        (0..4).for_each(|name| world.publish(name, 0));
        world.settle(14_000);
        world.check()?;
        let newest = world.source.state().cloned();
        for instance in &world.instances {
            prop_assert_eq!(instance.active(), newest.as_ref());
        }
    }
}
