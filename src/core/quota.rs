//! This initiator's part in the quota exchange: connects the scheduler's token buckets with its peers.

use crate::interface::{Micros, VolumeId};
use rowanglade_quota_exchange::{Message, MilliUnits, Peer, QuotaExchange, TokenBuckets};
use tokio::sync::mpsc;

/// A datagram to be sent to one peer, or to all peers if none is given.
pub type OutgoingDatagram = (Option<Peer>, Message);

/// The quota exchange. The number of a volume on the wire is the scheduler's id of it.
#[derive(Debug)]
pub struct QuotaPeers {
    exchange: QuotaExchange,
    outgoing: mpsc::Sender<OutgoingDatagram>,
}

impl QuotaPeers {
    /// The exchange of an initiator that has just started. `incarnation` distinguishes this run from earlier
    /// ones; datagrams are sent through `outgoing`.
    pub fn new(incarnation: u64, outgoing: mpsc::Sender<OutgoingDatagram>) -> QuotaPeers {
        QuotaPeers { exchange: QuotaExchange::new(incarnation), outgoing }
    }

    /// Records that a volume needs more units than its token bucket holds. Peers are asked with the next
    /// poll.
    pub(super) fn record_need(&mut self, now: Micros, volume: VolumeId, units: f64, initiators: u32) {
        self.exchange.record_need(now, volume.0, to_milli_units(units), initiators);
    }

    /// When [`poll`](Self::poll) is due next.
    pub(super) fn next_wake(&self) -> Option<Micros> {
        self.exchange.next_timeout()
    }

    /// Sends a request for the needed units to all peers, if it is due.
    pub(super) fn poll(&mut self, now: Micros) {
        if let Some(request) = self.exchange.poll(now) {
            self.send((None, request));
        }
    }

    /// Handles a peer's datagram and sends the answer back to the peer.
    pub(super) fn handle(&mut self, now: Micros, from: Peer, message: &Message, buckets: &mut dyn Buckets) {
        let mut buckets = NumberedBuckets(buckets);
        if let Some(answer) = self.exchange.handle_message(now, from, message, &mut buckets) {
            self.send((Some(from), answer));
        }
    }

    /// Sends a datagram. If the channel is full it is dropped, like a datagram lost on the network.
    fn send(&self, datagram: OutgoingDatagram) {
        let _ = self.outgoing.try_send(datagram);
    }
}

/// The scheduler's token buckets, as the exchange needs them.
pub(super) trait Buckets {
    /// Removes up to `max_units` unused units from a volume's bucket, and returns the number removed.
    fn offer(&mut self, volume: VolumeId, max_units: f64) -> f64;
    /// Adds units to a volume's bucket, up to its capacity.
    fn receive(&mut self, volume: VolumeId, units: f64);
}

/// The scheduler's token buckets, addressed by the volumes' numbers on the wire.
struct NumberedBuckets<'a>(&'a mut dyn Buckets);

impl TokenBuckets for NumberedBuckets<'_> {
    fn take_unused(&mut self, volume: u64, max: MilliUnits) -> MilliUnits {
        to_milli_units(self.0.offer(VolumeId(volume), f64::from(max) / 1e3))
    }

    fn add(&mut self, volume: u64, units: MilliUnits) {
        self.0.receive(VolumeId(volume), f64::from(units) / 1e3);
    }
}

/// Thousandths of a unit, rounded down so that never more is reported than there is.
fn to_milli_units(units: f64) -> MilliUnits {
    (units * 1e3).clamp(0.0, f64::from(MilliUnits::MAX)) as MilliUnits
}
