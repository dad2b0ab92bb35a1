//! Volume limits: how many units this initiator may send for a volume, and the quota exchange with other
//! initiators.

use super::request::RequestState;
use super::token_bucket::TokenBucket;
use super::{NEVER, Scheduler};
use crate::interface::{Action, Micros, RequestId, VolumeId};
use std::collections::BTreeMap;

/// Below this fraction of its bucket's capacity an initiator requests units from others, and gives none away:
/// an exchange takes a round trip, and the rest of the bucket has to last for it (docs/design/fleet.md).
const LOW_BUCKET_FRACTION: f64 = 0.25;
/// When an initiator gives units away, it also keeps those that its own requests demand in this many seconds
/// (docs/design/fleet.md).
const KEPT_DEMAND_SECONDS: f64 = 0.5;

/// Most token buckets that are kept: some 100 bytes each.
pub(super) const MAX_BUCKETS: usize = 16_384;
/// How many of them are left by an eviction, so that evictions are rare.
const BUCKETS_AFTER_EVICTION: usize = MAX_BUCKETS / 4 * 3;

/// The token buckets of all volumes with a limit whose requests this initiator has received.
#[derive(Default)]
pub(super) struct QuotaLedger {
    buckets: BTreeMap<VolumeId, TokenBucket>,
    /// When buckets were evicted that were not full. A new bucket may be one of them.
    evicted_at: Micros,
}

/// The units of its volume's limit that a request lacks at this initiator.
pub(super) struct QuotaShortfall {
    /// Zero or negative if no units are lacking.
    pub units: f64,
    /// The time until the bucket has filled up to the request's units, in microseconds.
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

    /// Adds units that another initiator gave to this one. They are lost if there is no bucket for the
    /// volume. Units beyond the bucket's capacity are dropped when the bucket is next read.
    pub fn receive(&mut self, now: Micros, volume: VolumeId, units: f64) {
        self.buckets.entry(volume).and_modify(|bucket| bucket.add(now, units.max(0.0)));
    }

    /// Removes buckets once there are more than [`MAX_BUCKETS`]: full ones, which a new one would equal, and
    /// then those that were used least recently. After that a new bucket starts without units, so that no
    /// volume exceeds its limit.
    pub fn evict_surplus(&mut self, now: Micros) {
        if self.buckets.len() <= MAX_BUCKETS {
            return;
        }
        self.buckets.retain(|_, bucket| !bucket.is_full(now));
        let Some(surplus) = self.buckets.len().checked_sub(BUCKETS_AFTER_EVICTION) else { return };
        let used_at = |(volume, bucket): (&VolumeId, &TokenBucket)| (bucket.updated_at(), *volume);
        let unreserved = self.buckets.iter().filter(|(_, bucket)| !bucket.is_reserved());
        let mut by_use: Vec<(Micros, VolumeId)> = unreserved.map(used_at).collect();
        by_use.sort_unstable();
        for (_, volume) in by_use.iter().take(surplus) {
            self.buckets.remove(volume);
        }
        self.evicted_at = now;
    }

    /// Removes idle buckets of volumes without requests.
    pub fn remove_idle(&mut self, now: Micros, after: Micros, has_requests: impl Fn(VolumeId) -> bool) {
        self.buckets.retain(|volume, bucket| !bucket.is_idle(now, after) || has_requests(*volume));
    }
}

impl Scheduler {
    /// Updates the bucket of an arriving request's volume from its plan, and requests units from other
    /// initiators before the bucket is empty.
    pub(super) fn prepare_quota(&mut self, now: Micros, request: &RequestState, actions: &mut Vec<Action>) {
        let plan = request.plan.map(|plan| &self.settings.plans[plan.0 as usize]);
        let Some(limit) = plan.and_then(|plan| plan.limit) else { return };
        let volume = request.volume;
        let started_at = self.ownership.history_since.unwrap_or(now).max(self.quota.evicted_at);
        let new = TokenBucket::exhausted(limit.debt_limit / request.initiators, started_at);
        let bucket = self.quota.buckets.entry(volume).or_insert(new);
        bucket.configure(limit.rate / request.initiators, limit.burst / request.initiators);
        if bucket.available(now) - request.units < bucket.low_threshold(LOW_BUCKET_FRACTION) {
            let initiators = request.initiators as u32;
            actions.push(Action::QuotaNeeded { volume, units: request.units, initiators });
        }
    }

    /// The units that a request lacks of this initiator's part of its volume's limit. Absent: the request's
    /// plan has no limit. Without a bucket, or while another process owns it, the request lacks all of its
    /// units indefinitely.
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

    /// Whether the units of a request's volume become available only at the client's deadline or later.
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

    /// Commits the reserved units of a request whose first attempt has reached its target: they are spent.
    pub(super) fn commit_quota(&mut self, now: Micros, id: RequestId) {
        if let Some((bucket, units)) = self.end_quota_reservation(id) {
            bucket.commit(now, units);
        }
    }

    /// Releases the reserved units of a request of which no attempt has reached a target, or ever will.
    pub(super) fn release_quota(&mut self, now: Micros, id: RequestId) {
        if let Some((bucket, units)) = self.end_quota_reservation(id) {
            bucket.release(now, units);
        }
    }

    /// Ends a request's reservation, and returns the bucket and the reserved units. Absent: nothing was
    /// reserved, or the bucket is gone.
    fn end_quota_reservation(&mut self, id: RequestId) -> Option<(&mut TokenBucket, f64)> {
        let request = self.requests.get_mut(&id).filter(|request| request.quota_reserved)?;
        request.quota_reserved = false;
        Some((self.quota.buckets.get_mut(&request.volume)?, request.units))
    }

    /// Takes the units that the volume's own requests do not need soon out of its bucket, up to `max_units`,
    /// and offers them to another initiator.
    pub(super) fn offer_quota(
        &mut self,
        now: Micros,
        volume: VolumeId,
        max_units: f64,
        actions: &mut Vec<Action>,
    ) {
        let units = self.quota.buckets.get_mut(&volume).map_or(0.0, |bucket| {
            let demand = self.volumes.get(&volume).map_or(0.0, |usage| usage.demand.per_second(now));
            let kept_units = demand * KEPT_DEMAND_SECONDS;
            let spare_units = bucket.available(now) - kept_units - bucket.low_threshold(LOW_BUCKET_FRACTION);
            let offered_units = spare_units.min(max_units).max(0.0);
            bucket.add(now, -offered_units);
            offered_units
        });
        actions.push(Action::QuotaOffered { volume, units });
    }
}
