//! The exchange itself, checked over every order of events of a small fleet: three initiators and one volume,
//! where datagrams are lost, doubled, late, and initiators start anew from nothing.

use rowanglade_quota_exchange::{Message, MilliUnits, Peer, QuotaExchange, TokenBuckets};
use stateright::{Checker, Model, Property};

const VOLUME: u64 = 1;
const INSTANCES: usize = 3;
/// What a bucket holds at most, and what all were ever filled with, in thousandths.
const CAP: MilliUnits = 2;
const FILLS: u32 = 3;
const REQUESTS: u8 = 2;
const DOUBLES: u8 = 1;
const STARTS: u8 = 1;
const STEPS: u64 = 2;
/// Two steps are longer than a request stays open.
const STEP: u64 = 300_000;

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Mutation {
    None,
    /// Units are granted and kept as well.
    KeepsWhatIsGranted,
    /// Every grant that comes is accepted, again and again.
    EveryGrantAccepted,
    /// A bucket takes more than its capacity.
    NoCapacityLimit,
    /// An initiator that starts owns its part at once.
    StartsFull,
    /// It grants units of volumes that do not come through it.
    GrantsWhatWasNeverFilled,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Bucket {
    level: MilliUnits,
    keeps: bool,
    bottomless: bool,
    invents: bool,
}

impl TokenBuckets for Bucket {
    fn take_unused(&mut self, _volume: u64, max: MilliUnits) -> MilliUnits {
        if self.invents && self.level == 0 {
            return max.min(1);
        }
        let given = self.level.min(max);
        if !self.keeps {
            self.level -= given;
        }
        given
    }

    fn add(&mut self, _volume: u64, units: MilliUnits) {
        self.level += units;
        if !self.bottomless {
            self.level = self.level.min(CAP);
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
    /// In the order of their making; any may come next.
    network: Vec<Datagram>,
    filled: u32,
    spent: u32,
    requests: u8,
    doubles: u8,
    starts: u8,
    moved: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Event {
    Fill(usize),
    Need(usize),
    Spend(usize),
    Deliver(usize),
    Double(usize),
    Start(usize),
    Pass,
}

struct Fleet {
    mutation: Mutation,
}

impl Fleet {
    fn bucket(&self, level: MilliUnits) -> Bucket {
        Bucket {
            level,
            keeps: self.mutation == Mutation::KeepsWhatIsGranted,
            bottomless: self.mutation == Mutation::NoCapacityLimit,
            invents: self.mutation == Mutation::GrantsWhatWasNeverFilled,
        }
    }

    fn deliver(&self, s: &mut State, datagram: &Datagram) {
        let Datagram { from, to, message } = datagram;
        let before = s.buckets[*to].level;
        if let (Mutation::EveryGrantAccepted, Message::Grant { granted, .. }) = (self.mutation, message) {
            granted.iter().for_each(|grant| s.buckets[*to].add(grant.volume, grant.units));
            return;
        }
        let answer = s.exchanges[*to].handle_message(s.now, Peer(*from as u16), message, &mut s.buckets[*to]);
        s.moved |= s.buckets[*to].level > before;
        if let Some(message) = answer {
            s.network.push(Datagram { from: *to, to: *from, message });
        }
    }
}

impl Model for Fleet {
    type State = State;
    type Action = Event;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            now: 0,
            exchanges: (0..INSTANCES).map(|i| QuotaExchange::new(100 + i as u64)).collect(),
            buckets: (0..INSTANCES).map(|_| self.bucket(0)).collect(),
            network: Vec::new(),
            filled: 0,
            spent: 0,
            requests: 0,
            doubles: 0,
            starts: 0,
            moved: false,
        }]
    }

    fn actions(&self, s: &State, out: &mut Vec<Event>) {
        for i in 0..INSTANCES {
            if s.filled < FILLS && s.buckets[i].level < CAP {
                out.push(Event::Fill(i));
            }
            if s.requests < REQUESTS {
                out.push(Event::Need(i));
            }
            if s.buckets[i].level > 0 {
                out.push(Event::Spend(i));
            }
            if s.starts < STARTS {
                out.push(Event::Start(i));
            }
        }
        for i in 0..s.network.len() {
            // One that is lost is one that is never delivered.
            out.push(Event::Deliver(i));
            if s.doubles < DOUBLES {
                out.push(Event::Double(i));
            }
        }
        if s.now < STEPS * STEP {
            out.push(Event::Pass);
        }
    }

    fn next_state(&self, last: &State, event: Event) -> Option<State> {
        let mut s = last.clone();
        match event {
            Event::Fill(i) => {
                s.buckets[i].level += 1;
                s.filled += 1;
            }
            Event::Need(i) => {
                s.exchanges[i].record_need(s.now, VOLUME, 4, INSTANCES as u32);
                let message = s.exchanges[i].poll(s.now)?;
                s.requests += 1;
                for to in (0..INSTANCES).filter(|to| *to != i) {
                    s.network.push(Datagram { from: i, to, message: message.clone() });
                }
            }
            Event::Spend(i) => {
                s.buckets[i].level -= 1;
                s.spent += 1;
            }
            Event::Deliver(i) => {
                let datagram = s.network.remove(i);
                self.deliver(&mut s, &datagram);
            }
            Event::Double(i) => {
                s.doubles += 1;
                let datagram = s.network[i].clone();
                self.deliver(&mut s, &datagram);
            }
            Event::Start(i) => {
                s.starts += 1;
                s.exchanges[i] = QuotaExchange::new(200 + i as u64);
                let full = if self.mutation == Mutation::StartsFull { CAP } else { 0 };
                s.buckets[i] = self.bucket(full);
            }
            Event::Pass => s.now += STEP,
        }
        // The order in which datagrams were made does not matter.
        s.network.sort();
        Some(s)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("nothing is minted", |_, s: &State| {
                s.spent + s.buckets.iter().map(|bucket| bucket.level).sum::<u32>() <= s.filled
            }),
            Property::always("no bucket holds more than its part", |_, s: &State| {
                s.buckets.iter().all(|bucket| bucket.level <= CAP)
            }),
            Property::sometimes("units move", |_, s: &State| s.moved),
        ]
    }
}

fn broken(mutation: Mutation, depth: usize) -> (Vec<&'static str>, usize) {
    let checker = Fleet { mutation }.checker().target_max_depth(depth).threads(2).spawn_bfs().join();
    let found = checker.discoveries();
    if mutation == Mutation::None {
        assert!(found.contains_key("units move"), "no order of events moves a unit");
    }
    let names = ["nothing is minted", "no bucket holds more than its part"];
    (names.into_iter().filter(|n| found.contains_key(n)).collect(), checker.unique_state_count())
}

#[test]
fn nothing_is_minted_in_any_order_of_events_to_a_depth_of_ten() {
    let (broken, states) = broken(Mutation::None, 10);
    assert_eq!(broken, Vec::<&str>::new());
    assert!(states > 20_000, "the model has shrunk to {states} states");
}

#[test]
fn each_mutation_is_caught() {
    for (mutation, property) in [
        (Mutation::KeepsWhatIsGranted, "nothing is minted"),
        (Mutation::EveryGrantAccepted, "nothing is minted"),
        (Mutation::NoCapacityLimit, "no bucket holds more than its part"),
        (Mutation::StartsFull, "nothing is minted"),
        (Mutation::GrantsWhatWasNeverFilled, "nothing is minted"),
    ] {
        let found = broken(mutation, 9).0;
        assert!(found.contains(&property), "{mutation:?}: {found:?}");
    }
}
