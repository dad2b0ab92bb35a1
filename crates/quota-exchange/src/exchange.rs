//! Units of a limited volume, moved toward demand.
//!
//! Each of the `k` instances that a volume comes through has a store of its own that fills at a `k`th of the
//! limit's rate and holds a `k`th of its burst at most. That is the even split, and what stands where nobody
//! is heard. An instance that lacks units asks all others; one that has some to spare takes them out of its
//! store and sends them.
//!
//! **Invariant.** At any time, over all instances: units spent, plus units in all stores, plus units in
//! grants that will still be accepted, are at most the units that the stores were ever filled with; and no
//! store holds more than its `k`th of the burst. So what all spend in any window is at most the burst and
//! what fills in the window.
//!
//! *Proof.* Units enter a store by filling, or by accepting a grant; they leave by being spent, by being
//! given up, or with an instance that ends. A grant is made only of units that its giver has taken out of its
//! store in the same step ([`Store::give_up`] comes first), so making one moves units from a store into the
//! grant. A grant answers one ask, named by a nonce that only the asker made: its incarnation, drawn at
//! random at its start, and a number that it never uses twice. The asker accepts a grant only while it holds
//! that ask open, and one from each peer; so a datagram that is doubled, or late beyond the asker's patience
//! or its life, adds nothing, and what is accepted was given up once. A second grant of the same peer to the
//! same ask (the ask was doubled) is dropped: its units are lost, never doubled. Lost datagrams lose units.
//! An instance that starts has an empty store and no open ask. No step compares two instances' clocks: an
//! asker closes its asks by its own, and closing early only loses units. Accepting adds to a store no more
//! than its room. ∎
//!
//! An instance gives up units of a volume only if requests of it come through it; otherwise it is none of the
//! `k`, and what it would give was never filled.

use std::collections::{BTreeMap, BTreeSet};

/// Microseconds of the caller's clock.
pub type Micros = u64;
/// Thousandths of a unit.
pub type Milli = u32;

/// How often an instance asks at most.
const EVERY: Micros = 50_000;
/// How long it holds an ask open. An answer takes some milliseconds; later units are worth less than
/// certainty.
const OPEN_FOR: Micros = 500_000;
/// What is lacked is forgotten after this long: the requests that lacked it are over.
const LACK_FOR: Micros = 1_000_000;
/// Volumes that one datagram tells of (see [`crate::wire`]).
pub const MOST_VOLUMES: usize = 18;

/// Another instance, by its number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Peer(pub u16);

/// Names an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Nonce {
    /// Drawn at random at the asker's start.
    pub incarnation: u64,
    /// Never used twice by it.
    pub number: u32,
}

/// What passes between instances.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// To all: units that the sender lacks, by volume.
    Want { nonce: Nonce, lacks: Vec<(u64, Milli)> },
    /// To the asker: units that are no longer the sender's, by volume.
    Grant { nonce: Nonce, gives: Vec<(u64, Milli)> },
}

/// This instance's stores, which the decision module owns.
pub trait Store {
    /// Takes units that can be spared out of the volume's store, `most` at most, and tells how many they
    /// were. None where no request of the volume has come through this instance.
    fn give_up(&mut self, volume: u64, most: Milli) -> Milli;
    /// Adds units to the volume's store, as many as it has room for.
    fn add(&mut self, volume: u64, units: Milli);
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Ask {
    until: Micros,
    volumes: BTreeSet<u64>,
    granted: BTreeSet<Peer>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lack {
    units: Milli,
    until: Micros,
}

/// Counts that tell whether it works.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    pub asked: u64,
    pub given: u64,
    pub accepted: u64,
    /// Grants for an ask that is not open, or doubled.
    pub dropped: u64,
}

/// One instance's part in the exchange.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Exchange {
    incarnation: u64,
    next: u32,
    asked_at: Option<Micros>,
    lacks: BTreeMap<u64, Lack>,
    asks: BTreeMap<u32, Ask>,
    counters: Counters,
}

impl Exchange {
    /// Of an instance that has just started. `incarnation` is drawn at random: two lives must not have the
    /// same.
    pub fn new(incarnation: u64) -> Exchange {
        Exchange {
            incarnation,
            next: 0,
            asked_at: None,
            lacks: BTreeMap::new(),
            asks: BTreeMap::new(),
            counters: Counters::default(),
        }
    }

    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// A request of a volume that comes through `hosts` instances lacks units here.
    pub fn lacks(&mut self, now: Micros, volume: u64, units: Milli, hosts: u32) {
        // Each of the others is asked for its part.
        let Some(others) = hosts.checked_sub(1).filter(|o| *o > 0) else { return };
        let lack = self.lacks.entry(volume).or_insert(Lack { units: 0, until: 0 });
        lack.units = lack.units.saturating_add(units.div_ceil(others));
        lack.until = now + LACK_FOR;
    }

    /// When to call [`Exchange::poll`] again, if anything is lacked.
    pub fn wake(&self) -> Option<Micros> {
        (!self.lacks.is_empty()).then(|| self.asked_at.map_or(0, |at| at + EVERY))
    }

    /// What to send to all others now, if anything.
    pub fn poll(&mut self, now: Micros) -> Option<Message> {
        self.asks.retain(|_, ask| ask.until > now);
        self.lacks.retain(|_, lack| lack.until > now);
        if self.lacks.is_empty() || self.asked_at.is_some_and(|at| now < at + EVERY) {
            return None;
        }
        // Those that lack most come first; the rest have their turn at the next ask.
        let mut lacks: Vec<(u64, Milli)> = self.lacks.iter().map(|(v, l)| (*v, l.units)).collect();
        lacks.sort_by_key(|(volume, units)| (std::cmp::Reverse(*units), *volume));
        lacks.truncate(MOST_VOLUMES);
        for (volume, _) in &lacks {
            self.lacks.remove(volume);
        }
        let number = self.next;
        // After four thousand million asks there are no more: a number that comes again could name an old
        // grant.
        self.next = number.checked_add(1)?;
        self.asked_at = Some(now);
        self.counters.asked += 1;
        let volumes = lacks.iter().map(|(v, _)| *v).collect();
        self.asks.insert(number, Ask { until: now + OPEN_FOR, volumes, granted: BTreeSet::new() });
        Some(Message::Want { nonce: Nonce { incarnation: self.incarnation, number }, lacks })
    }

    /// A datagram came. The answer, if there is one, goes to its sender.
    pub fn heard(
        &mut self,
        now: Micros,
        from: Peer,
        message: &Message,
        store: &mut dyn Store,
    ) -> Option<Message> {
        match message {
            Message::Want { nonce, lacks } => {
                let mut gives = Vec::new();
                for (volume, units) in lacks {
                    // Given up before anybody else has it.
                    let given = store.give_up(*volume, *units);
                    if given > 0 {
                        self.counters.given += u64::from(given);
                        gives.push((*volume, given));
                    }
                }
                (!gives.is_empty()).then_some(Message::Grant { nonce: *nonce, gives })
            }
            Message::Grant { nonce, gives } => {
                let ask = match nonce.incarnation == self.incarnation {
                    true => self.asks.get_mut(&nonce.number).filter(|ask| ask.until > now),
                    false => None,
                };
                let Some(ask) = ask.filter(|ask| !ask.granted.contains(&from)) else {
                    self.counters.dropped += 1;
                    return None;
                };
                ask.granted.insert(from);
                for (volume, units) in gives.iter().filter(|(v, _)| ask.volumes.contains(v)) {
                    self.counters.accepted += u64::from(*units);
                    store.add(*volume, *units);
                }
                None
            }
        }
    }
}
