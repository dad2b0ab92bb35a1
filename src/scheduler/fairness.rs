//! The fair share of a volume at a shard: its reserve, and a part of the remaining capacity in proportion to
//! its weight.

use super::decaying_sum::Rate;
use super::volume_usage::ShardDemand;
use super::{MICROS_PER_SECOND, Scheduler};
use crate::interface::{Micros, QosPlan, RequestId, ShardId};
use std::collections::BTreeMap;

/// The rate of the share level's exponential growth, per second: while no request within its share is
/// rejected, a shard with free capacity soon admits all requests.
const LEVEL_RISE_PER_SECOND: f64 = 0.5;
/// The exponent by which the share level falls if the whole demand is within the share and rejected; if a
/// fraction of the demand is rejected, the exponent is that fraction of it. Together with the growth rate,
/// the level settles where a twentieth of the units within the share is rejected, which is high enough to use
/// the target fully.
const LEVEL_FALL_PER_REJECTED_FRACTION: f64 = 10.0;
/// The lower bound of the share level, as a fraction of the largest excess: a plan may have no reserve, and
/// its volumes must not stay shut out after an overload.
const MIN_LEVEL_FRACTION: f64 = 0.1;
/// The longest time, in seconds, by which the share level grows at once: a period without requests does not
/// show that more could be served.
const MAX_LEVEL_STEP_SECONDS: f64 = 1.0;
/// The lower bound of weights in divisions.
const SMALLEST_WEIGHT: f64 = 1e-9;

/// The share level of a shard: the units per second beyond its reserve that a volume of weight 1 may request.
#[derive(Default)]
pub(super) struct ShareLevel {
    /// Infinite from the first request until the level is first lowered.
    level: f64,
    updated_at: Micros,
    /// The largest excess of a volume over its reserve, divided by its weight; it decays with a time constant
    /// of a second.
    largest_excess: f64,
    /// Units requested at the shard through this initiator.
    demand: Rate,
}

impl ShareLevel {
    /// Records an arriving request: the share level grows with the time since the last one.
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

    /// Lowers the share level after a request within its fair share was rejected, which shows that the shard
    /// is overloaded.
    pub fn lower(&mut self, now: Micros, rejected_units: f64) {
        let fraction = rejected_units / self.demand.per_second(now).max(rejected_units);
        let lowered_level =
            self.level.min(self.largest_excess) * (-LEVEL_FALL_PER_REJECTED_FRACTION * fraction).exp();
        self.level = lowered_level.max(MIN_LEVEL_FRACTION * self.largest_excess);
    }

    /// Units per second that a volume may request through this initiator within its fair share.
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

    /// Removes the share levels of shards that are no longer in use.
    pub fn remove_unused(&mut self, in_use: impl Fn(ShardId) -> bool) {
        self.levels.retain(|shard, _| in_use(*shard));
    }
}

impl Scheduler {
    /// Records the demand of an arriving request, and returns whether the request is within its volume's fair
    /// share of the shard. A request without a plan always is.
    ///
    /// Guards against a volume that requests all that a target can serve and so makes the requests of other
    /// volumes late.
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
        volume.by_shard.get_or_insert(shard).spend_credit(now, allowed_rate, request.units)
    }
}
