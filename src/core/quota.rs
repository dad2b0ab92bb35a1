//! This initiator's part in the quota exchange, between the scheduler's token buckets and its peers.

use crate::interface::{Micros, VolumeId};
use rowanglade_quota_exchange::{Message, MilliUnits, Peer, QuotaExchange, TokenBuckets};
use std::collections::HashMap;
use tokio::sync::mpsc;

/// Volumes whose names are kept, about 4 MB; beyond them all are learned anew.
const MAX_VOLUMES: usize = 65_536;

/// A datagram to be sent; to all peers where none is named.
pub type OutgoingDatagram = (Option<Peer>, Message);

/// The exchange, and what it needs to speak of volumes by their names.
#[derive(Debug)]
pub struct QuotaPeers {
    exchange: QuotaExchange,
    outgoing: mpsc::Sender<OutgoingDatagram>,
    volumes: HashMap<u64, VolumeId>,
    names: HashMap<VolumeId, u64>,
}

impl QuotaPeers {
    /// Of an initiator that has just started, by the number of its life; datagrams go out by the mailbox.
    pub fn new(incarnation: u64, outgoing: mpsc::Sender<OutgoingDatagram>) -> QuotaPeers {
        QuotaPeers {
            exchange: QuotaExchange::new(incarnation),
            outgoing,
            volumes: HashMap::new(),
            names: HashMap::new(),
        }
    }

    /// A request of a volume has come.
    pub(super) fn volume_seen(&mut self, name: u64, volume: VolumeId) {
        if self.volumes.len() >= MAX_VOLUMES {
            self.volumes.clear();
            self.names.clear();
        }
        self.volumes.insert(name, volume);
        self.names.insert(volume, name);
    }

    /// A volume needs more units than its token bucket has. Peers are asked with the next poll.
    pub(super) fn quota_needed(&mut self, now: Micros, volume: VolumeId, units: f64, initiators: u32) {
        if let Some(name) = self.names.get(&volume) {
            self.exchange.record_need(now, *name, milli(units), initiators);
        }
    }

    /// When [`poll`](Self::poll) has something to send next.
    pub(super) fn next_wake(&self) -> Option<Micros> {
        self.exchange.next_timeout()
    }

    /// Asks all peers for what is needed, if it is time for that.
    pub(super) fn poll(&mut self, now: Micros) {
        if let Some(request) = self.exchange.poll(now) {
            self.send((None, request));
        }
    }

    /// Handles a peer's datagram; the answer goes back to it.
    pub(super) fn handle(&mut self, now: Micros, from: Peer, message: &Message, buckets: &mut dyn Buckets) {
        let mut buckets = NamedBuckets { buckets, volumes: &self.volumes };
        if let Some(answer) = self.exchange.handle_message(now, from, message, &mut buckets) {
            self.send((Some(from), answer));
        }
    }

    /// A datagram that finds no room is lost, as it could be on its way.
    fn send(&self, datagram: OutgoingDatagram) {
        let _ = self.outgoing.try_send(datagram);
    }
}

/// The scheduler's token buckets, as the exchange needs them.
pub(super) trait Buckets {
    /// Takes unused units out of a volume's bucket, `max_units` at most, and returns how many they were.
    fn offer(&mut self, volume: VolumeId, max_units: f64) -> f64;
    /// Adds units to a volume's bucket, as many as it has room for.
    fn receive(&mut self, volume: VolumeId, units: f64);
}

/// The same by the volumes' names.
struct NamedBuckets<'a> {
    buckets: &'a mut dyn Buckets,
    volumes: &'a HashMap<u64, VolumeId>,
}

impl TokenBuckets for NamedBuckets<'_> {
    fn take_unused(&mut self, volume: u64, max: MilliUnits) -> MilliUnits {
        let Some(volume) = self.volumes.get(&volume) else { return 0 };
        milli(self.buckets.offer(*volume, f64::from(max) / 1e3))
    }

    fn add(&mut self, volume: u64, units: MilliUnits) {
        if let Some(volume) = self.volumes.get(&volume) {
            self.buckets.receive(*volume, f64::from(units) / 1e3);
        }
    }
}

/// Thousandths of a unit, rounded down: what is reported is never more than there was.
fn milli(units: f64) -> MilliUnits {
    (units * 1e3).clamp(0.0, f64::from(MilliUnits::MAX)) as MilliUnits
}
