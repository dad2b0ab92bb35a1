//! Connects the quota exchange with peers to the scheduler's token buckets.

use super::Core;
use crate::core::quota::Buckets;
use crate::interface::{Event, VolumeId};
use rowanglade_quota_exchange::{Message, Peer};

impl Buckets for Core {
    fn offer(&mut self, volume: VolumeId, max_units: f64) -> f64 {
        self.quota_offered = 0.0;
        self.apply_event(Event::QuotaRequested { volume, max_units });
        self.quota_offered
    }

    fn receive(&mut self, volume: VolumeId, units: f64) {
        self.apply_event(Event::QuotaReceived { volume, units });
    }
}

impl Core {
    /// Handles a peer's datagram, unless the state is handed over: only the owner may give units away.
    pub(super) fn handle_quota_datagram(&mut self, from: Peer, message: &Message) {
        let now = self.clock.now();
        let Some(mut quota) = self.quota.take_if(|_| !self.handover.is_handed_over()) else { return };
        quota.handle(now, from, message, self);
        self.quota = Some(quota);
    }
}
