//! This instance's part in the fleet, between the module's stores and the exchange.

use crate::core::actor::Core;
use crate::interface::{Event, VolumeId};
use rowanglade_quota_exchange::{Message, MilliUnits, Peer, QuotaExchange, TokenBuckets};
use std::collections::HashMap;
use tokio::sync::mpsc;

/// Volumes whose names are kept; beyond them all are learned anew.
const KEPT: usize = 65_536;

/// A datagram to be sent; to all others where nobody is named.
pub type Outgoing = (Option<Peer>, Message);

/// The exchange, and what it needs to talk of volumes by their names.
#[derive(Debug)]
pub struct Fleet {
    pub(super) exchange: QuotaExchange,
    out: mpsc::Sender<Outgoing>,
    by_name: HashMap<u64, VolumeId>,
    names: HashMap<VolumeId, u64>,
}

impl Fleet {
    /// Of an instance that has just started; datagrams go out by the mailbox.
    pub fn new(incarnation: u64, out: mpsc::Sender<Outgoing>) -> Fleet {
        let exchange = QuotaExchange::new(incarnation);
        Fleet { exchange, out, by_name: HashMap::new(), names: HashMap::new() }
    }

    /// A request of a volume came.
    pub(super) fn seen(&mut self, volume: u64, id: VolumeId) {
        if self.by_name.len() >= KEPT {
            self.by_name.clear();
            self.names.clear();
        }
        self.by_name.insert(volume, id);
        self.names.insert(id, volume);
    }

    pub(super) fn lacks(&mut self, now: u64, id: VolumeId, units: f64, initiators: u32) {
        if let Some(volume) = self.names.get(&id) {
            self.exchange.record_need(now, *volume, milli(units), initiators);
        }
    }

    pub(super) fn id(&self, volume: u64) -> Option<VolumeId> {
        self.by_name.get(&volume).copied()
    }

    /// A datagram that finds no room is lost, as it could be on its way.
    pub(super) fn send(&self, outgoing: Outgoing) {
        let _ = self.out.try_send(outgoing);
    }
}

/// Thousandths, rounded down: what is told is never more than there was.
pub(super) fn milli(units: f64) -> MilliUnits {
    (units * 1e3).clamp(0.0, f64::from(MilliUnits::MAX)) as MilliUnits
}

/// The module's stores, as the exchange sees them.
struct Stores<'a> {
    core: &'a mut Core,
    id: &'a dyn Fn(u64) -> Option<VolumeId>,
}

impl TokenBuckets for Stores<'_> {
    fn take_unused(&mut self, volume: u64, max: MilliUnits) -> MilliUnits {
        let Some(volume) = (self.id)(volume) else { return 0 };
        self.core.spared = 0.0;
        self.core.feed(Event::OfferQuota { volume, max_units: f64::from(max) / 1e3 });
        milli(self.core.spared)
    }

    fn add(&mut self, volume: u64, units: MilliUnits) {
        if let Some(volume) = (self.id)(volume) {
            self.core.feed(Event::QuotaReceived { volume, units: f64::from(units) / 1e3 });
        }
    }
}

impl Core {
    /// A peer's datagram; the answer goes back to it.
    pub(super) fn peer(&mut self, from: Peer, message: &Message) {
        let now = self.clock.now();
        // What others are given must be this process's to give.
        let Some(mut fleet) = self.fleet.take_if(|_| !self.handed) else { return };
        let mut exchange = std::mem::replace(&mut fleet.exchange, QuotaExchange::new(0));
        let id = |volume| fleet.id(volume);
        let answer = exchange.handle_message(now, from, message, &mut Stores { core: self, id: &id });
        fleet.exchange = exchange;
        if let Some(answer) = answer {
            fleet.send((Some(from), answer));
        }
        self.fleet = Some(fleet);
    }
}
