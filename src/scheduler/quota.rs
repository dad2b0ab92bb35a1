//! Volume limits: how many units this initiator may send for a volume, and what moves between initiators.

use super::request::RequestState;
use super::token_bucket::TokenBucket;
use super::{NEVER, Scheduler};
use crate::interface::{Action, Micros, RequestId, VolumeId};
use std::collections::BTreeMap;

/// Below this fraction of its bucket an initiator asks others for units, and gives none away: an exchange
/// takes a round trip, and the rest of the bucket lasts for it (docs/design/fleet.md).
const LOW_BUCKET_FRACTION: f64 = 0.25;
/// Beside that, an initiator keeps what its own requests ask for in this many seconds
/// (docs/design/fleet.md).
const KEPT_DEMAND_SECONDS: f64 = 0.5;

/// The buckets of all volumes with a limit that this initiator has seen requests of.
#[derive(Default)]
pub(super) struct QuotaLedger {
    buckets: BTreeMap<VolumeId, TokenBucket>,
}

/// What a request lacks of its volume's limit here.
pub(super) struct QuotaShortfall {
    /// Not positive: nothing.
    pub units: f64,
    /// When the bucket has filled up to the request's units, from now on.
    pub fills_in: Micros,
}

impl QuotaLedger {
    pub fn get(&self, volume: VolumeId) -> Option<&TokenBucket> {
        self.buckets.get(&volume)
    }

    pub fn iter(&self) -> impl Iterator<Item = (&VolumeId, &TokenBucket)> {
        self.buckets.iter()
    }

    pub fn insert(&mut self, volume: VolumeId, bucket: TokenBucket) {
        self.buckets.insert(volume, bucket);
    }

    pub fn clear(&mut self) {
        self.buckets.clear();
    }

    /// Another initiator gave up units for this one. They are lost where no bucket is kept, and what passes
    /// the bucket's capacity is cut off when it is next read.
    pub fn receive(&mut self, now: Micros, volume: VolumeId, units: f64) {
        self.buckets.entry(volume).and_modify(|bucket| bucket.add(now, units.max(0.0)));
    }

    /// Forgets idle buckets of volumes without requests.
    pub fn forget_idle(&mut self, now: Micros, after: Micros, has_requests: impl Fn(VolumeId) -> bool) {
        self.buckets.retain(|volume, bucket| !bucket.is_idle(now, after) || has_requests(*volume));
    }
}

impl Scheduler {
    /// Brings the bucket of an arriving request's volume up to date with its plan, and asks other initiators
    /// for units before it is empty.
    pub(super) fn prepare_quota(&mut self, now: Micros, request: &RequestState, actions: &mut Vec<Action>) {
        let plan = request.plan.map(|plan| &self.settings.plans[plan.0 as usize]);
        let Some(limit) = plan.and_then(|plan| plan.limit) else { return };
        let volume = request.volume;
        let started_at = self.ownership.since.unwrap_or(now);
        let new = TokenBucket::exhausted(limit.debt_limit / request.initiators, started_at);
        let bucket = self.quota.buckets.entry(volume).or_insert(new);
        bucket.configure(limit.rate / request.initiators, limit.burst / request.initiators);
        if bucket.available(now) - request.units < bucket.low_mark(LOW_BUCKET_FRACTION) {
            let initiators = request.initiators as u32;
            actions.push(Action::QuotaNeeded { volume, units: request.units, initiators });
        }
    }

    /// What a request lacks of this initiator's part of its volume's limit. Absent: its plan has no limit.
    /// Without a bucket, or while another process owns it, the request lacks all of its units for ever.
    pub(super) fn quota_shortfall(&self, now: Micros, request: &RequestState) -> Option<QuotaShortfall> {
        let limit = self.settings.plans[request.plan?.0 as usize].limit?;
        let bucket = self.quota.get(request.volume).filter(|_| !self.ownership.is_transferred);
        let Some(bucket) = bucket else {
            return Some(QuotaShortfall { units: request.units, fills_in: NEVER });
        };
        let units = request.units - bucket.available(now) - limit.debt_limit / request.initiators;
        let fills_in = bucket.fill_time(units).min(NEVER as f64) as Micros;
        Some(QuotaShortfall { units, fills_in })
    }

    /// Whether a request's volume has its units only after the client has given the request up.
    pub(super) fn quota_fills_too_late(&self, now: Micros, request: &RequestState) -> bool {
        let shortfall = self.quota_shortfall(now, request);
        shortfall.is_some_and(|shortfall| now + shortfall.fills_in >= request.deadline)
    }

    /// Reserves a request's units of its volume's limit, for its first attempt.
    pub(super) fn reserve_quota(&mut self, now: Micros, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.quota_reserved = true;
        let units = request.units;
        self.quota.buckets.entry(request.volume).and_modify(|bucket| bucket.reserve(now, units));
    }

    /// A request's first attempt has reached its target: its units are spent.
    pub(super) fn commit_quota(&mut self, now: Micros, id: RequestId) {
        if let Some((bucket, units)) = self.end_quota_reservation(id) {
            bucket.commit(now, units);
        }
    }

    /// No attempt of a request has reached a target, or ever will: its units come back.
    pub(super) fn release_quota(&mut self, now: Micros, id: RequestId) {
        if let Some((bucket, units)) = self.end_quota_reservation(id) {
            bucket.release(now, units);
        }
    }

    /// Ends a request's reservation, and returns its bucket and its units; absent: it has none.
    fn end_quota_reservation(&mut self, id: RequestId) -> Option<(&mut TokenBucket, f64)> {
        let request = self.requests.get_mut(&id).filter(|request| request.quota_reserved)?;
        request.quota_reserved = false;
        Some((self.quota.buckets.get_mut(&request.volume)?, request.units))
    }

    /// Takes out of a volume's bucket what its own requests do not need soon, for another initiator.
    pub(super) fn offer_quota(
        &mut self,
        now: Micros,
        volume: VolumeId,
        max_units: f64,
        actions: &mut Vec<Action>,
    ) {
        let units = self.quota.buckets.get_mut(&volume).map_or(0.0, |bucket| {
            let demand = self.volumes.get(&volume).map_or(0.0, |usage| usage.demand.per_second(now));
            let kept = demand * KEPT_DEMAND_SECONDS;
            let free = bucket.available(now) - kept - bucket.low_mark(LOW_BUCKET_FRACTION);
            let offered = free.min(max_units).max(0.0);
            bucket.add(now, -offered);
            offered
        });
        actions.push(Action::QuotaOffered { volume, units });
    }
}
