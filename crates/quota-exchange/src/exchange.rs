//! The state machine that moves quota to the initiators that need it.
//!
//! Each of the `k` initiators that serve a volume has a token bucket of its own, which fills at a `k`th of
//! the limit's rate and holds at most a `k`th of its burst. This is the even split, and it applies while no
//! peer answers. An initiator that needs units requests them from all others; one that has unused units takes
//! them out of its bucket and sends them.
//!
//! **Invariant.** At any time, over all initiators: units spent, plus units in all buckets, plus units in
//! grants that will still be accepted, are at most the units that the buckets were ever filled with; and no
//! bucket holds more than its `k`th of the burst. So the units that all initiators spend in any window are at
//! most the burst plus the units filled in during the window.
//!
//! *Proof.* Units enter a bucket by filling, or by an accepted grant; they leave it by being spent, by being
//! granted, or when their initiator stops. A grant contains only units that its sender has taken out of its
//! bucket in the same step ([`TokenBuckets::take_unused`] comes first), so making a grant moves units from a
//! bucket into the grant. A grant answers one request, identified by a nonce that only the requester made:
//! its incarnation, drawn at random at its start, and a sequence number that it never reuses. The requester
//! accepts a grant only while that request is open, and one from each peer; so a datagram that is duplicated,
//! or arrives after the request's timeout or the requester's restart, adds nothing, and accepted units were
//! taken out once. A second grant of the same peer for the same request (the request was duplicated) is
//! dropped: its units are lost, never doubled. Lost datagrams lose units. An initiator that starts has empty
//! buckets and no open request. No step compares the clocks of two initiators: a requester closes its
//! requests by its own clock, and closing one early only loses units. Accepting a grant adds no more to a
//! bucket than its capacity. ∎
//!
//! An initiator grants units of a volume only if it has received requests for it; otherwise it is not one of
//! the `k` initiators, and the units that it would grant were never filled in.

use crate::constants::*;
use crate::{Message, Micros, MilliUnits, Nonce, Peer, VolumeUnits};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// The token buckets of this initiator, which the scheduler owns.
pub trait TokenBuckets {
    /// Takes up to `max` unused units out of the volume's bucket and returns how many it took: 0 if this
    /// initiator has received no request for the volume.
    fn take_unused(&mut self, volume: u64, max: MilliUnits) -> MilliUnits;
    /// Adds units to the volume's bucket, up to its capacity.
    fn add(&mut self, volume: u64, units: MilliUnits);
}

/// A request for which grants are still accepted.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct OpenRequest {
    expires_at: Micros,
    volumes: BTreeSet<u64>,
    granted_by: BTreeSet<Peer>,
}

/// Units of a volume that were missing here and have not been requested yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Need {
    /// Units to request from each peer.
    units: MilliUnits,
    expires_at: Micros,
}

/// Totals since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Requests sent; each goes to all other initiators.
    pub requests: u64,
    /// Thousandths of units granted to peers.
    pub granted: u64,
    /// Thousandths of units accepted from peers.
    pub accepted: u64,
    /// Grants that were dropped because their request was not open or their sender had granted already.
    pub dropped: u64,
}

/// The quota exchange of one initiator.
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
    /// Creates the exchange of an initiator that has just started. `incarnation` must be drawn at random, so
    /// that it differs from that of every earlier run.
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

    /// Totals since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Records that units are missing here for a request of a volume that `initiators` initiators serve. Each
    /// of the others will be asked for an equal part.
    pub fn record_need(&mut self, now: Micros, volume: u64, units: MilliUnits, initiators: u32) {
        let Some(others) = initiators.checked_sub(1).filter(|others| *others > 0) else { return };
        let need = self.needs.entry(volume).or_insert(Need { units: 0, expires_at: 0 });
        need.units = need.units.saturating_add(units.div_ceil(others));
        need.expires_at = now + NEED_TIMEOUT;
    }

    /// When to call [`QuotaExchange::poll`] again; `None` while no units are needed.
    pub fn next_timeout(&self) -> Option<Micros> {
        let next_request_at = self.requested_at.map_or(0, |at| at + REQUEST_INTERVAL);
        (!self.needs.is_empty()).then_some(next_request_at)
    }

    /// Returns the request to send to all other initiators now, if one is due.
    pub fn poll(&mut self, now: Micros) -> Option<Message> {
        self.open_requests.retain(|_, request| request.expires_at > now);
        self.needs.retain(|_, need| need.expires_at > now);
        let paused = self.requested_at.is_some_and(|at| now < at + REQUEST_INTERVAL);
        if self.needs.is_empty() || paused {
            return None;
        }
        let needed = self.take_largest_needs();
        let sequence = self.next_sequence;
        // After the last sequence number there are no more requests: a reused number could match an old
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

    /// Removes the largest needs that fit into a datagram; the others wait for the next request.
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

    /// Handles a message from a peer. The answer, if there is one, goes to its sender.
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
            // The units leave this initiator's bucket before any other initiator has them.
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

    /// The open request with this nonce, unless this peer has already answered it.
    fn request_awaiting(&mut self, now: Micros, from: Peer, nonce: Nonce) -> Option<&mut OpenRequest> {
        if nonce.incarnation != self.incarnation {
            return None;
        }
        let request = self.open_requests.get_mut(&nonce.sequence)?;
        let is_open = request.expires_at > now;
        (is_open && !request.granted_by.contains(&from)).then_some(request)
    }
}
