//! Which requests are within their volume's fair share of a shard: its reserve, and a share of the rest in
//! proportion to its weight.

use super::decaying_sum::Rate;
use super::volume_usage::ShardDemand;
use super::{MICROS_PER_SECOND, Scheduler};
use crate::interface::{Micros, QosPlan, RequestId, ShardId};
use std::collections::BTreeMap;

/// The exponent by which the share level grows in a second: while nothing within the share is rejected, a
/// shard with free capacity soon admits all that is asked for. The figures of the level came with the first
/// version (docs/design/open-questions.md).
const LEVEL_RISE_PER_SECOND: f64 = 0.5;
/// The exponent by which it falls when all that is asked for is within the share and rejected. With the rise
/// it settles where a twentieth of the units within the share is rejected: high enough to use the target
/// fully.
const LEVEL_FALL_PER_REJECTED_FRACTION: f64 = 10.0;
/// It never falls below this fraction of the largest excess: a plan may have no reserve to live on, and its
/// volumes must not stay shut out after an overload.
const MIN_LEVEL_FRACTION: f64 = 0.1;
/// The largest step of time, in seconds, that the level rises at once: while nothing is asked for, nothing
/// shows that more could be served.
const MAX_LEVEL_STEP_SECONDS: f64 = 1.0;
/// The smallest weight that an excess is divided by.
const SMALLEST_WEIGHT: f64 = 1e-9;

/// The share level of a shard: units a second beyond the reserve for a weight of 1.
#[derive(Default)]
pub(super) struct ShareLevel {
    /// Unlimited until it is first asked for.
    level: f64,
    updated_at: Micros,
    /// The largest excess of a volume over its reserve in the last second or so, for a weight of 1.
    largest_excess: f64,
    /// Asked for at the shard through this initiator.
    demand: Rate,
}

impl ShareLevel {
    /// A request has arrived: the level rises with the time since the last one.
    fn record_arrival(&mut self, now: Micros, units: f64, excess: f64) {
        if self.updated_at == 0 {
            self.level = f64::INFINITY;
        }
        let seconds = now.saturating_sub(self.updated_at) as f64 / MICROS_PER_SECOND;
        self.updated_at = now.max(1);
        self.level *= (LEVEL_RISE_PER_SECOND * seconds.min(MAX_LEVEL_STEP_SECONDS)).exp();
        self.demand.add(now, units);
        self.largest_excess = (self.largest_excess * (-seconds).exp()).max(excess);
    }

    /// A request within the fair share was rejected: the shard is overloaded, and the level falls.
    pub fn lower(&mut self, now: Micros, rejected_units: f64) {
        let fraction = rejected_units / self.demand.per_second(now).max(rejected_units);
        let fallen =
            self.level.min(self.largest_excess) * (-LEVEL_FALL_PER_REJECTED_FRACTION * fraction).exp();
        self.level = fallen.max(MIN_LEVEL_FRACTION * self.largest_excess);
    }

    /// Units a second that a volume may ask for through this initiator within its fair share.
    fn allowed_rate(&self, plan: &QosPlan, demand: &ShardDemand) -> f64 {
        let fair_share = demand.reserve + self.level * plan.weight;
        fair_share * demand.here / (demand.here + demand.elsewhere)
    }
}

/// The share levels of all shards.
#[derive(Default)]
pub(super) struct FairShare {
    levels: BTreeMap<ShardId, ShareLevel>,
}

impl FairShare {
    pub fn level_mut(&mut self, shard: ShardId) -> &mut ShareLevel {
        self.levels.entry(shard).or_default()
    }

    /// Forgets the levels of shards that are not in use any more.
    pub fn forget_unused(&mut self, in_use: impl Fn(ShardId) -> bool) {
        self.levels.retain(|shard, _| in_use(*shard));
    }
}

impl Scheduler {
    /// Counts an arriving request as asked for, and returns whether it is within its volume's fair share of
    /// the shard. A request without a plan always is.
    ///
    /// Guards against a volume that asks for all that a target can do and leaves the others' requests late.
    pub(super) fn record_demand_within_share(&mut self, now: Micros, id: RequestId, shard: ShardId) -> bool {
        let request = &self.requests[&id];
        let Some(plan) = request.plan.map(|plan| &self.settings.plans[plan.0 as usize]) else {
            return true;
        };
        let volume = self.volumes.entry(request.volume).or_default();
        volume.record_arrival(now, shard, request.units);
        let demand = volume.demand(now, shard, plan, request.initiators, &self.settings);
        let excess = (demand.here + demand.elsewhere - demand.reserve) / plan.weight.max(SMALLEST_WEIGHT);
        let level = self.fair_share.level_mut(shard);
        level.record_arrival(now, request.units, excess);
        let allowed_rate = level.allowed_rate(plan, &demand);
        volume.by_shard.entry(shard).or_default().spend_credit(now, allowed_rate, request.units)
    }
}
