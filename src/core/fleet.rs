//! This instance's part in the fleet, between the module's stores and the exchange.

use crate::interface::VolumeId;
use rowanglade_fleet_state::exchange::Milli;
use rowanglade_fleet_state::{Exchange, Message, Peer};
use std::collections::HashMap;
use tokio::sync::mpsc;

/// Volumes whose names are kept; beyond them all are learned anew.
const KEPT: usize = 65_536;

/// A datagram to be sent; to all others where nobody is named.
pub type Outgoing = (Option<Peer>, Message);

/// The exchange, and what it needs to talk of volumes by their names.
#[derive(Debug)]
pub struct Fleet {
    pub(super) exchange: Exchange,
    out: mpsc::Sender<Outgoing>,
    by_name: HashMap<u64, VolumeId>,
    names: HashMap<VolumeId, u64>,
}

impl Fleet {
    /// Of an instance that has just started; datagrams go out by the mailbox.
    pub fn new(incarnation: u64, out: mpsc::Sender<Outgoing>) -> Fleet {
        let exchange = Exchange::new(incarnation);
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

    pub(super) fn lacks(&mut self, now: u64, id: VolumeId, units: f64, gateways: u32) {
        if let Some(volume) = self.names.get(&id) {
            self.exchange.lacks(now, *volume, milli(units), gateways);
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
pub(super) fn milli(units: f64) -> Milli {
    (units * 1e3).clamp(0.0, f64::from(Milli::MAX)) as Milli
}
