//! The state machine that moves quota toward demand.
//!
//! Each of the `k` initiators that a volume comes through has a token bucket of its own that fills at a `k`th of
//! the limit's rate and holds a `k`th of its burst at most. That is the even split, and what stands where no
//! peer answers. An initiator that needs units requests them from all others; one that has unused units takes
//! them out of its bucket and sends them.
//!
//! **Invariant.** At any time, over all initiators: units spent, plus units in all buckets, plus units in grants
//! that will still be accepted, are at most the units that the buckets were ever filled with; and no bucket
//! holds more than its `k`th of the burst. So what all spend in any window is at most the burst and what fills
//! in the window.
//!
//! *Proof.* Units enter a bucket by filling, or by accepting a grant; they leave by being spent, by being
//! granted, or with an initiator that ends. A grant is made only of units that its sender has taken out of its
//! bucket in the same step ([`TokenBuckets::take_unused`] comes first), so making one moves units from a bucket
//! into the grant. A grant answers one request, named by a nonce that only the requester made: its incarnation,
//! drawn at random at its start, and a sequence number that it never uses twice. The requester accepts a grant
//! only while that request is open, and one from each peer; so a datagram that is duplicated, or late beyond
//! the request's timeout or the requester's life, adds nothing, and what is accepted was taken out once. A
//! second grant of the same peer for the same request (the request was duplicated) is dropped: its units are
//! lost, never doubled. Lost datagrams lose units. An initiator that starts has empty buckets and no open
//! request. No step compares two initiators' clocks: a requester closes its requests by its own, and closing
//! early only loses units. Accepting adds to a bucket no more than its capacity. ∎
//!
//! An initiator grants units of a volume only if requests of it come through it; otherwise it is none of the
//! `k`, and what it would grant was never filled.

use crate::constants::*;
use crate::{Message, Micros, MilliUnits, Nonce, Peer, VolumeUnits};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// This initiator's token buckets, which the scheduler owns.
pub trait TokenBuckets {
    /// Takes unused units out of the volume's bucket, `max` at most, and returns how many they were: 0 where no
    /// request of the volume has come through this initiator.
    fn take_unused(&mut self, volume: u64, max: MilliUnits) -> MilliUnits;
    /// Adds units to the volume's bucket, as many as it has capacity for.
    fn add(&mut self, volume: u64, units: MilliUnits);
}

/// A request that still accepts grants.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OpenRequest {
    expires_at: Micros,
    volumes: BTreeSet<u64>,
    granted_by: BTreeSet<Peer>,
}

/// Units that have been missing here and have not been requested yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Need {
    /// What each peer is to be asked for.
    units: MilliUnits,
    expires_at: Micros,
}

/// What was counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Requests sent; one goes to all others.
    pub requests: u64,
    /// Thousandths of units granted to peers.
    pub granted: u64,
    /// Thousandths of units accepted from peers.
    pub accepted: u64,
    /// Grants for a request that is not open, or duplicates.
    pub dropped: u64,
}

/// One initiator's part in the exchange.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct QuotaExchange {
    incarnation: u64,
    next_sequence: u32,
    requested_at: Option<Micros>,
    needs: BTreeMap<u64, Need>,
    open_requests: BTreeMap<u32, OpenRequest>,
    counters: Counters,
}

impl QuotaExchange {
    /// Of an initiator that has just started. `incarnation` is drawn at random: two lives must not have the
    /// same.
    pub fn new(incarnation: u64) -> QuotaExchange {
        QuotaExchange {
            incarnation,
            next_sequence: 0,
            requested_at: None,
            needs: BTreeMap::new(),
            open_requests: BTreeMap::new(),
            counters: Counters::default(),
        }
    }

    /// What was counted since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// A request of a volume that comes through `initiators` initiators misses units here. Each of the others is
    /// asked for its part of them.
    pub fn record_need(&mut self, now: Micros, volume: u64, units: MilliUnits, initiators: u32) {
        let Some(others) = initiators.checked_sub(1).filter(|others| *others > 0) else { return };
        let need = self.needs.entry(volume).or_insert(Need { units: 0, expires_at: 0 });
        need.units = need.units.saturating_add(units.div_ceil(others));
        need.expires_at = now + NEED_TIMEOUT;
    }

    /// When to call [`QuotaExchange::poll`] again; none while nothing is needed.
    pub fn next_timeout(&self) -> Option<Micros> {
        let next_request_at = self.requested_at.map_or(0, |at| at + REQUEST_INTERVAL);
        (!self.needs.is_empty()).then_some(next_request_at)
    }

    /// What to send to all others now, if anything.
    pub fn poll(&mut self, now: Micros) -> Option<Message> {
        self.open_requests.retain(|_, request| request.expires_at > now);
        self.needs.retain(|_, need| need.expires_at > now);
        let paused = self.requested_at.is_some_and(|at| now < at + REQUEST_INTERVAL);
        if self.needs.is_empty() || paused {
            return None;
        }
        let needed = self.take_largest_needs();
        let sequence = self.next_sequence;
        // Once all sequence numbers are used there are no more requests: one that comes again could name an old
        // grant.
        self.next_sequence = sequence.checked_add(1)?;
        self.requested_at = Some(now);
        self.counters.requests += 1;
        let request = OpenRequest {
            expires_at: now + REQUEST_TIMEOUT,
            volumes: needed.iter().map(|need| need.volume).collect(),
            granted_by: BTreeSet::new(),
        };
        self.open_requests.insert(sequence, request);
        let nonce = Nonce { incarnation: self.incarnation, sequence };
        Some(Message::Request { nonce, needed })
    }

    /// Takes out the largest needs that fit into a datagram; the others wait for the next request.
    fn take_largest_needs(&mut self) -> Vec<VolumeUnits> {
        let needs = self.needs.iter();
        let mut needed: Vec<VolumeUnits> =
            needs.map(|(volume, need)| VolumeUnits { volume: *volume, units: need.units }).collect();
        needed.sort_by_key(|need| (Reverse(need.units), need.volume));
        needed.truncate(MAX_VOLUMES_PER_DATAGRAM);
        for need in &needed {
            self.needs.remove(&need.volume);
        }
        needed
    }

    /// A datagram was received. The answer, if there is one, goes to its sender.
    pub fn handle_message(
        &mut self,
        now: Micros,
        from: Peer,
        message: &Message,
        buckets: &mut dyn TokenBuckets,
    ) -> Option<Message> {
        match message {
            Message::Request { nonce, needed } => self.handle_request(*nonce, needed, buckets),
            Message::Grant { nonce, granted } => {
                self.handle_grant(now, from, *nonce, granted, buckets);
                None
            }
        }
    }

    fn handle_request(
        &mut self,
        nonce: Nonce,
        needed: &[VolumeUnits],
        buckets: &mut dyn TokenBuckets,
    ) -> Option<Message> {
        let mut granted = Vec::new();
        for VolumeUnits { volume, units } in needed.iter().copied() {
            // Out of this initiator's bucket before anybody else has them.
            let units = buckets.take_unused(volume, units);
            if units > 0 {
                self.counters.granted += u64::from(units);
                granted.push(VolumeUnits { volume, units });
            }
        }
        (!granted.is_empty()).then_some(Message::Grant { nonce, granted })
    }

    fn handle_grant(
        &mut self,
        now: Micros,
        from: Peer,
        nonce: Nonce,
        granted: &[VolumeUnits],
        buckets: &mut dyn TokenBuckets,
    ) {
        let Some(request) = self.request_awaiting(now, from, nonce) else {
            self.counters.dropped += 1;
            return;
        };
        request.granted_by.insert(from);
        let mut requested = granted.to_vec();
        requested.retain(|grant| request.volumes.contains(&grant.volume));
        for grant in requested {
            self.counters.accepted += u64::from(grant.units);
            buckets.add(grant.volume, grant.units);
        }
    }

    /// The open request of this nonce, if this peer has not answered it yet.
    fn request_awaiting(&mut self, now: Micros, from: Peer, nonce: Nonce) -> Option<&mut OpenRequest> {
        if nonce.incarnation != self.incarnation {
            return None;
        }
        let request = self.open_requests.get_mut(&nonce.sequence)?;
        let is_open = request.expires_at > now;
        (is_open && !request.granted_by.contains(&from)).then_some(request)
    }
}
