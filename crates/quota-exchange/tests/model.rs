//! Model check of the exchange over every order of events in a small fleet: three initiators and one volume,
//! with datagrams that are lost, duplicated and delayed, and initiators that restart without state.

use rowanglade_quota_exchange::{Message, MilliUnits, Peer, QuotaExchange, TokenBuckets};
use stateright::{Checker, Model, Property};

const VOLUME: u64 = 1;
const INITIATORS: usize = 3;
/// Capacity of a bucket, and the total that fills add to all buckets, in thousandths of a unit.
const BUCKET_CAPACITY: MilliUnits = 2;
const MAX_FILLS: u32 = 3;
const MAX_REQUESTS: u8 = 2;
const MAX_DUPLICATES: u8 = 1;
const MAX_RESTARTS: u8 = 1;
const MAX_STEPS: u64 = 2;
/// Two steps are longer than a request stays open.
const STEP_MICROS: u64 = 300_000;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mutation {
    None,
    /// Granted units stay in the sender's bucket as well.
    KeepsGrantedUnits,
    /// Every grant is accepted, even repeatedly.
    AcceptsEveryGrant,
    /// A bucket accepts more than its capacity.
    NoCapacityLimit,
    /// The bucket of an initiator that starts is full.
    StartsFull,
    /// An initiator grants units of volumes for which it has received no request.
    GrantsUnfilledUnits,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Bucket {
    level: MilliUnits,
    keeps_granted_units: bool,
    has_no_capacity_limit: bool,
    grants_unfilled_units: bool,
}

impl TokenBuckets for Bucket {
    fn take_unused(&mut self, _volume: u64, max: MilliUnits) -> MilliUnits {
        if self.grants_unfilled_units && self.level == 0 {
            return max.min(1);
        }
        let taken = self.level.min(max);
        if !self.keeps_granted_units {
            self.level -= taken;
        }
        taken
    }

    fn add(&mut self, _volume: u64, units: MilliUnits) {
        self.level += units;
        if !self.has_no_capacity_limit {
            self.level = self.level.min(BUCKET_CAPACITY);
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Datagram {
    from: usize,
    to: usize,
    message: Message,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    now: u64,
    exchanges: Vec<QuotaExchange>,
    buckets: Vec<Bucket>,
    /// Sorted; any datagram may be delivered next.
    network: Vec<Datagram>,
    filled: u32,
    spent: u32,
    requests: u8,
    duplicates: u8,
    restarts: u8,
    moved: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Event {
    Fill(usize),
    Need(usize),
    Spend(usize),
    Deliver(usize),
    Duplicate(usize),
    Restart(usize),
    AdvanceTime,
}

struct Fleet {
    mutation: Mutation,
}

impl Fleet {
    fn bucket(&self, level: MilliUnits) -> Bucket {
        Bucket {
            level,
            keeps_granted_units: self.mutation == Mutation::KeepsGrantedUnits,
            has_no_capacity_limit: self.mutation == Mutation::NoCapacityLimit,
            grants_unfilled_units: self.mutation == Mutation::GrantsUnfilledUnits,
        }
    }

    fn deliver(&self, state: &mut State, datagram: &Datagram) {
        let Datagram { from, to, message } = datagram;
        let level_before = state.buckets[*to].level;
        if let (Mutation::AcceptsEveryGrant, Message::Grant { granted, .. }) = (self.mutation, message) {
            granted.iter().for_each(|grant| state.buckets[*to].add(grant.volume, grant.units));
            return;
        }
        let answer = state.exchanges[*to].handle_message(
            state.now,
            Peer(*from as u16),
            message,
            &mut state.buckets[*to],
        );
        state.moved |= state.buckets[*to].level > level_before;
        if let Some(message) = answer {
            state.network.push(Datagram { from: *to, to: *from, message });
        }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            exchanges: (0..INITIATORS).map(|i| QuotaExchange::new(100 + i as u64)).collect(),
            buckets: (0..INITIATORS).map(|_| self.bucket(0)).collect(),
            network: Vec::new(),
            filled: 0,
            spent: 0,
            requests: 0,
            duplicates: 0,
            restarts: 0,
            moved: false,
        }]
    }

    fn actions(&self, state: &State, out: &mut Vec<Event>) {
        for i in 0..INITIATORS {
            if state.filled < MAX_FILLS && state.buckets[i].level < BUCKET_CAPACITY {
                out.push(Event::Fill(i));
            }
            if state.requests < MAX_REQUESTS {
                out.push(Event::Need(i));
            }
            if state.buckets[i].level > 0 {
                out.push(Event::Spend(i));
            }
            if state.restarts < MAX_RESTARTS {
                out.push(Event::Restart(i));
            }
        }
        for i in 0..state.network.len() {
            // A lost datagram is one that is never delivered.
            out.push(Event::Deliver(i));
            if state.duplicates < MAX_DUPLICATES {
                out.push(Event::Duplicate(i));
            }
        }
        if state.now < MAX_STEPS * STEP_MICROS {
            out.push(Event::AdvanceTime);
        }
    }

    fn next_state(&self, last: &State, event: Event) -> Option<State> {
        let mut state = last.clone();
        match event {
            Event::Fill(i) => {
                state.buckets[i].level += 1;
                state.filled += 1;
            }
            Event::Need(i) => {
                state.exchanges[i].record_need(state.now, VOLUME, 4, INITIATORS as u32);
                let message = state.exchanges[i].poll(state.now)?;
                state.requests += 1;
                for to in (0..INITIATORS).filter(|to| *to != i) {
                    state.network.push(Datagram { from: i, to, message: message.clone() });
                }
            }
            Event::Spend(i) => {
                state.buckets[i].level -= 1;
                state.spent += 1;
            }
            Event::Deliver(i) => {
                let datagram = state.network.remove(i);
                self.deliver(&mut state, &datagram);
            }
            Event::Duplicate(i) => {
                state.duplicates += 1;
                let datagram = state.network[i].clone();
                self.deliver(&mut state, &datagram);
            }
            Event::Restart(i) => {
                state.restarts += 1;
                state.exchanges[i] = QuotaExchange::new(200 + i as u64);
                let level = if self.mutation == Mutation::StartsFull { BUCKET_CAPACITY } else { 0 };
                state.buckets[i] = self.bucket(level);
            }
            Event::AdvanceTime => state.now += STEP_MICROS,
        }
        // The order in which datagrams were sent does not matter.
        state.network.sort();
        Some(state)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no units are created", |_, state: &State| {
                state.spent + state.buckets.iter().map(|bucket| bucket.level).sum::<u32>() <= state.filled
            }),
            Property::always("no bucket exceeds its capacity", |_, state: &State| {
                state.buckets.iter().all(|bucket| bucket.level <= BUCKET_CAPACITY)
            }),
            Property::sometimes("units are moved", |_, state: &State| state.moved),
        ]
    }
}

fn violated_properties(mutation: Mutation, depth: usize) -> (Vec<&'static str>, usize) {
    let checker = Fleet { mutation }.checker().target_max_depth(depth).threads(2).spawn_bfs().join();
    let found = checker.discoveries();
    if mutation == Mutation::None {
        assert!(found.contains_key("units are moved"), "no order of events moves units");
    }
    let names = ["no units are created", "no bucket exceeds its capacity"];
    (names.into_iter().filter(|n| found.contains_key(n)).collect(), checker.unique_state_count())
}

#[test]
fn no_units_are_created_in_any_order_of_events_to_a_depth_of_ten() {
    let (violated_properties, states) = violated_properties(Mutation::None, 10);
    assert_eq!(violated_properties, Vec::<&str>::new());
    assert!(states > 20_000, "the model has only {states} states");
}

#[test]
fn each_mutation_violates_a_property() {
    for (mutation, property) in [
        (Mutation::KeepsGrantedUnits, "no units are created"),
        (Mutation::AcceptsEveryGrant, "no units are created"),
        (Mutation::NoCapacityLimit, "no bucket exceeds its capacity"),
        (Mutation::StartsFull, "no units are created"),
        (Mutation::GrantsUnfilledUnits, "no units are created"),
    ] {
        let found = violated_properties(mutation, 9).0;
        assert!(found.contains(&property), "{mutation:?}: {found:?}");
    }
}
