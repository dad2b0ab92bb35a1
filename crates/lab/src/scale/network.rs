//! A source, relays and followers on a simulated network. They run the distribution's own code and exchange
//! its encoded messages; delays, partitions, failures and restarts happen in simulated time.

use super::cost::thread_time;
use super::network_events::{Due, Event};
use super::observations::Observations;
use crate::failure::Failure;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rowanglade_distribution::{
    EntryChange, Follower, InvalidState, Key, Message, Millis, NodeId, NodeLocation, Relay, RelayLimits,
    State, Topology, decode, encode,
};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};

const KEY: Key = [0x5a; 32];
/// Overhead of a packet in bytes: TCP over IPv4 with options.
const PACKET_OVERHEAD: u64 = 60;
const SEGMENT: u64 = 1_400;
/// Delays within a region and between two regions, in milliseconds.
const DELAY_WITHIN_REGION: std::ops::Range<Millis> = 1..4;
const DELAY_BETWEEN_REGIONS: std::ops::Range<Millis> = 20..80;
/// How long an upstream holds the watch of a follower without a change.
const HOLD: Millis = 4_000;
const LIMITS: RelayLimits =
    RelayLimits { max_followers: 220, bytes_per_second: 4 << 20, burst_bytes: 512 << 10 };
/// The nodes start within this span.
const START_WITHIN: Millis = 1_000;

/// Size of a fleet, and the seed of its random numbers.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub initiators: u32,
    pub relays: u32,
    pub regions: u32,
    pub seed: u64,
}

enum Node {
    Relay(Box<Relay>),
    Follower(Box<Follower>),
    Dead,
}

/// The simulated fleet, with measurements of each initiator and of the relays.
pub struct Network {
    shape: Shape,
    now: Millis,
    nodes: Vec<Node>,
    /// Number of restarts of each node.
    incarnations: Vec<u32>,
    /// Time of each node's next poll.
    due: Vec<Millis>,
    queue: BinaryHeap<Reverse<Due>>,
    order: u64,
    random: Pcg64Mcg,
    topology: Topology,
    partition: Option<(u32, Millis)>,
    /// Time at which each version was published, indexed by version number.
    pub published: Vec<Millis>,
    /// What was observed of each initiator.
    pub observations: Vec<Observations>,
    /// Processor seconds of all initiators, and of all relays including the source.
    pub initiator_time: f64,
    pub relay_time: f64,
    /// Bytes sent by the relays and the source.
    pub relay_bytes: u64,
    pub messages: u64,
}

/// Value of the entry `limits` that makes a state invalid for initiators.
pub const POISON: &str = "poison";

fn validate(state: &State) -> Result<(), InvalidState> {
    match state.get("limits") {
        Some(POISON) => Err(InvalidState { entry: "limits".into(), problem: "not a number".into() }),
        _ => Ok(()),
    }
}

impl Network {
    /// Creates a fleet whose source has the state `first`. All relays and initiators start with the state
    /// `known` from a previous run, or without any if it is `None`.
    pub fn new(shape: Shape, first: State, known: Option<&State>) -> Network {
        let location = |i: u32| NodeLocation {
            addr: SocketAddr::from((Ipv4Addr::from(0x7f02_0000 + i), 9)),
            region: format!("r{}", i % shape.regions),
            zone: "z".into(),
        };
        let topology = Topology {
            regions: Vec::new(),
            relays: (0..shape.relays).map(location).collect(),
            fan_out: LIMITS.max_followers,
        };
        let count = (1 + shape.relays + shape.initiators) as usize;
        let published = vec![0; first.version().number as usize + 1];
        let mut network = Network {
            shape,
            now: 0,
            nodes: Vec::with_capacity(count),
            incarnations: vec![0; count],
            due: vec![Millis::MAX; count],
            queue: BinaryHeap::new(),
            order: 0,
            random: Pcg64Mcg::seed_from_u64(shape.seed),
            topology,
            partition: None,
            published,
            observations: vec![Observations::default(); shape.initiators as usize],
            initiator_time: 0.0,
            relay_time: 0.0,
            relay_bytes: 0,
            messages: 0,
        };
        network.nodes.push(Node::Relay(Box::new(Relay::source(NodeId(0), LIMITS, first))));
        (0..shape.relays).for_each(|i| network.nodes.push(network.relay(i, known.cloned())));
        for i in 0..shape.initiators {
            network.nodes.push(network.initiator(i, known.cloned()));
        }
        for node in 0..count as u32 {
            let at = network.random.random_range(0..START_WITHIN);
            network.poll_at(NodeId(node), at);
        }
        network
    }

    fn relay(&self, relay: u32, known: Option<State>) -> Node {
        let me = NodeId(1 + relay);
        // The source comes first. The other relays follow, since those of other regions may reach the source
        // when this relay cannot.
        let others = (0..self.shape.relays).map(|i| NodeId(1 + i)).filter(|id| *id != me);
        let mut upstreams: Vec<NodeId> = others.collect();
        let others = upstreams.len().max(1);
        upstreams.rotate_left(relay as usize % others);
        upstreams.insert(0, NodeId(0));
        Node::Relay(Box::new(Relay::new(me, LIMITS, upstreams, known)))
    }

    fn initiator(&self, initiator: u32, known: Option<State>) -> Node {
        let me = NodeId(1 + self.shape.relays + initiator);
        let places = self.topology.preferred_relays(me, &format!("r{}", self.region(me)));
        let upstreams = places.into_iter().map(|index| NodeId(1 + index as u32)).collect();
        Node::Follower(Box::new(Follower::new(me, upstreams, HOLD, Box::new(validate), known)))
    }

    fn region(&self, node: NodeId) -> u32 {
        match node.0 {
            0 => 0,
            relay if relay <= self.shape.relays => (relay - 1) % self.shape.regions,
            initiator => (initiator - 1 - self.shape.relays) % self.shape.regions,
        }
    }

    fn initiator_index(&self, node: NodeId) -> Option<usize> {
        (node.0 > self.shape.relays).then(|| (node.0 - 1 - self.shape.relays) as usize)
    }

    /// Runs the simulation until the given time.
    pub fn run(&mut self, until: Millis) -> Result<(), Failure> {
        while self.queue.peek().is_some_and(|Reverse(due)| due.at <= until) {
            let Some(Reverse(due)) = self.queue.pop() else { break };
            self.now = due.at;
            match due.event {
                Event::Poll(node) if self.due[node.0 as usize] == due.at => {
                    self.due[node.0 as usize] = Millis::MAX;
                    self.poll(node)?;
                }
                Event::Poll(_) => {}
                Event::Deliver { from, to, incarnation, bytes }
                    if self.incarnations[to.0 as usize] == incarnation =>
                {
                    self.deliver(from, to, &bytes)?;
                }
                Event::Deliver { .. } => {}
            }
        }
        self.now = until;
        Ok(())
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.order += 1;
        self.queue.push(Reverse(Due { at, order: self.order, event }));
    }

    fn poll_at(&mut self, node: NodeId, at: Millis) {
        let due = &mut self.due[node.0 as usize];
        if at < *due {
            *due = at;
            self.schedule(at, Event::Poll(node));
        }
    }

    fn poll(&mut self, node: NodeId) -> Result<(), Failure> {
        let (now, started_at) = (self.now, thread_time());
        let mut out: Vec<(NodeId, Message)> = Vec::new();
        let wake = match &mut self.nodes[node.0 as usize] {
            Node::Relay(relay) => {
                out.extend(relay.poll_upstream(now).map(|(to, watch)| (to, Message::Request(watch))));
                out.extend(relay.poll(now).into_iter().map(|o| (o.to, Message::Response(o.response))));
                relay.next_timeout(now)
            }
            Node::Follower(follower) => {
                out.extend(follower.poll(now, 0).map(|(to, watch)| (to, Message::Request(watch))));
                follower.next_timeout()
            }
            Node::Dead => None,
        };
        let sent: Vec<(NodeId, Vec<u8>)> = out
            .into_iter()
            .map(|(to, m)| Ok((to, encode(&KEY, node, &m)?)))
            .collect::<Result<_, Failure>>()?;
        self.record_time(node, started_at);
        for (to, bytes) in sent {
            self.send(node, to, bytes);
        }
        if let Some(wake) = wake {
            self.poll_at(node, wake.max(now + 1));
        }
        Ok(())
    }

    fn record_time(&mut self, node: NodeId, started_at: f64) {
        let elapsed = thread_time() - started_at;
        match self.initiator_index(node) {
            Some(_) => self.initiator_time += elapsed,
            None => self.relay_time += elapsed,
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, bytes: Vec<u8>) {
        let delay =
            if self.region(from) == self.region(to) { DELAY_WITHIN_REGION } else { DELAY_BETWEEN_REGIONS };
        let at = self.now + self.random.random_range(delay);
        let length = bytes.len() as u64;
        let counted = length + PACKET_OVERHEAD * length.div_ceil(SEGMENT).max(1);
        for node in [from, to] {
            match self.initiator_index(node) {
                Some(index) => self.observations[index].count(self.now, counted),
                None if node == from => self.relay_bytes += counted,
                None => {}
            }
        }
        self.messages += 1;
        let incarnation = self.incarnations[to.0 as usize];
        self.schedule(at, Event::Deliver { from, to, incarnation, bytes: bytes.into() });
    }

    fn is_partitioned(&self, a: NodeId, b: NodeId) -> bool {
        self.partition.is_some_and(|(region, _)| (self.region(a) == region) != (self.region(b) == region))
    }

    fn deliver(&mut self, from: NodeId, to: NodeId, bytes: &[u8]) -> Result<(), Failure> {
        // Messages between partitioned regions are dropped without notice to either side.
        if self.is_partitioned(from, to) {
            return Ok(());
        }
        let (now, started_at) = (self.now, thread_time());
        let (mut update, mut rejection) = (None, None);
        match (&mut self.nodes[to.0 as usize], decode(&KEY, from, bytes)?) {
            (Node::Relay(relay), Message::Request(watch)) => {
                rejection = relay.handle_request(now, from, watch)
            }
            (Node::Relay(relay), Message::Response(response)) => relay.handle_response(now, from, response),
            (Node::Follower(follower), Message::Response(response)) => {
                update = follower.handle_response(now, from, response)
            }
            _ => return Ok(()),
        }
        self.record_time(to, started_at);
        if let (Some(update), Some(index)) = (update, self.initiator_index(to)) {
            self.observations[index].record(now, &update);
        }
        if let Some(rejection) = rejection {
            let bytes = encode(&KEY, to, &Message::Response(rejection.response))?;
            self.send(to, rejection.to, bytes);
        }
        self.poll(to)
    }

    /// Publishes the next version at the source.
    pub fn publish(&mut self, changes: Vec<EntryChange>) -> Result<(), Failure> {
        let Node::Relay(source) = &mut self.nodes[0] else {
            return Err(Failure::Unexpected("node 0 is not the source"));
        };
        source.publish(changes).ok_or(Failure::Unexpected("the source did not publish the changes"))?;
        self.published.push(self.now);
        self.poll(NodeId(0))
    }

    /// Stops a relay without notice to its peers.
    pub fn kill_relay(&mut self, relay: u32) {
        self.nodes[(1 + relay) as usize] = Node::Dead;
    }

    /// Restarts a relay with the state that it stored.
    pub fn start_relay(&mut self, relay: u32, known: Option<State>) {
        self.nodes[(1 + relay) as usize] = self.relay(relay, known);
        self.incarnations[(1 + relay) as usize] += 1;
        self.poll_at(NodeId(1 + relay), self.now + 1);
    }

    /// Restarts every `step`-th initiator at the same time, without stored state.
    pub fn restart_every(&mut self, step: u32) {
        for initiator in (0..self.shape.initiators).step_by(step as usize) {
            let node = 1 + self.shape.relays + initiator;
            self.nodes[node as usize] = self.initiator(initiator, None);
            self.incarnations[node as usize] += 1;
            self.break_connections(NodeId(node));
            self.observations[initiator as usize].unreachable.push((self.now, self.now));
            self.poll_at(NodeId(node), self.now + 1);
        }
    }

    /// Notifies all relays that a follower's connections were closed.
    fn break_connections(&mut self, follower: NodeId) {
        for node in &mut self.nodes {
            if let Node::Relay(relay) = node {
                relay.handle_disconnect(self.now, follower);
            }
        }
    }

    /// Partitions a region from all others.
    pub fn partition(&mut self, region: u32) {
        self.partition = Some((region, self.now));
    }

    pub fn heal(&mut self) {
        let Some((region, since)) = self.partition.take() else { return };
        for initiator in 0..self.shape.initiators {
            if self.region(NodeId(1 + self.shape.relays + initiator)) == region {
                self.observations[initiator as usize].unreachable.push((since, self.now));
            }
        }
    }

    pub fn source(&self) -> Option<&Relay> {
        match &self.nodes[0] {
            Node::Relay(source) => Some(source),
            _ => None,
        }
    }

    /// Number of initiators whose active state is that of the source.
    pub fn current(&self) -> usize {
        let newest = self.source().and_then(Relay::state);
        let in_force = |node: &&Node| matches!(node, Node::Follower(f) if f.active() == newest);
        self.nodes.iter().filter(in_force).count()
    }

    /// Sums of all initiators' counters: relays abandoned after a timeout, relays abandoned because they were
    /// cut off from the source, and snapshots received.
    pub fn follower_counters(&self) -> (u64, u64, u64) {
        let mut sums = (0, 0, 0);
        for node in &self.nodes {
            if let Node::Follower(follower) = node {
                let counters = follower.counters();
                sums = (sums.0 + counters.timeouts, sums.1 + counters.cut_off, sums.2 + counters.snapshots);
            }
        }
        sums
    }

    /// Milliseconds from each version's publication until each initiator had it or a newer one in force,
    /// counted from the end of the initiator's last unreachable span if there was one. `None` if it never
    /// had. Versions in `skip` are left out.
    pub fn delays(&self, skip: &[usize]) -> Vec<Option<Millis>> {
        let mut delays = Vec::new();
        for (version, published) in self.published.iter().enumerate().skip(2) {
            if !skip.contains(&version) {
                delays.extend(
                    self.observations.iter().map(|observations| observations.delay(version, *published)),
                );
            }
        }
        delays
    }

    /// Milliseconds until the last initiator had a state; `None` if one has none.
    pub fn all_started(&self) -> Option<Millis> {
        self.observations
            .iter()
            .map(|observations| observations.reached.first().copied())
            .try_fold(0, |last, at| Some(last.max(at?)))
    }
}
