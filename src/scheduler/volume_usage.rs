//! The usage of a volume: what is requested here, served here, and used through other initiators.

use super::Scheduler;
use super::decaying_sum::{LongRate, Rate};
use crate::interface::{Micros, Outcome, QosPlan, RequestId, Settings, ShardId, VolumeId};
use rowanglade_slow_start::ReservePacer;

/// For how many metering periods the last reading of the usage meter is valid: a volume that other initiators
/// no longer use gets no further reading.
const METER_VALID_PERIODS: Micros = 4;
/// The lower bound of rates in divisions, in units per second.
const SMALLEST_RATE: f64 = 1e-9;

/// Most volumes whose usage is kept: some 300 bytes each.
pub(super) const MAX_VOLUMES: usize = 8_192;
/// How many of them are left by an eviction, so that evictions are rare.
const VOLUMES_AFTER_EVICTION: usize = MAX_VOLUMES / 4 * 3;

/// The last reading of the usage meter.
#[derive(Clone, Copy)]
struct MeterReading {
    at: Micros,
    /// Units per second that were served for the volume through all initiators.
    units_per_second: f64,
}

/// A volume's requests at one shard, as this initiator sees them.
#[derive(Default)]
pub(super) struct ShardUsage {
    /// Requested through this initiator.
    demand: Rate,
    /// Served through other initiators, as reported in responses.
    elsewhere: Rate,
    /// Requested over a longer time: shows this shard's part of the volume's requests.
    pub demand_long: LongRate,
    /// Paces the volume's reserve while the shard's target warms up.
    pub reserve_pacer: Option<ReservePacer>,
    /// The units of the fair share that may be spent now.
    credit_units: f64,
    credited_at: Micros,
}

/// A volume's requests by shard. Most volumes have one shard, and there may be thousands of volumes, so this
/// takes no more memory than its entries.
#[derive(Default)]
pub(super) struct ShardUsages(Vec<(ShardId, ShardUsage)>);

/// A volume, as this initiator sees it.
#[derive(Default)]
pub(super) struct VolumeUsage {
    pub demand: Rate,
    served: Rate,
    meter: Option<MeterReading>,
    pub last_request_at: Micros,
    /// Requested at all shards, over a longer time.
    pub demand_long: LongRate,
    pub by_shard: ShardUsages,
}

/// The demand of a volume at one shard, in units per second.
pub(super) struct ShardDemand {
    /// Requested through this initiator.
    pub here: f64,
    /// Requested through other initiators, as far as it is known.
    pub elsewhere: f64,
    /// The part of the volume's reserve at this shard.
    pub reserve: f64,
}

/// What the end of an attempt reports of its volume's usage.
pub(super) struct UsageReport {
    pub outcome: Outcome,
    /// Units served for the volume through all initiators in the meter's last period, as a fraction of its
    /// nominal rate.
    pub used_fraction: Option<f64>,
    /// Units served for the volume at this shard through other initiators since the last report.
    pub units_elsewhere: f64,
}

impl ShardUsages {
    pub fn get(&self, shard: ShardId) -> Option<&ShardUsage> {
        self.0.iter().find(|(other, _)| *other == shard).map(|(_, usage)| usage)
    }

    pub fn get_mut(&mut self, shard: ShardId) -> Option<&mut ShardUsage> {
        self.0.iter_mut().find(|(other, _)| *other == shard).map(|(_, usage)| usage)
    }

    pub fn get_or_insert(&mut self, shard: ShardId) -> &mut ShardUsage {
        let known = self.0.iter().position(|(other, _)| *other == shard);
        let position = known.unwrap_or_else(|| {
            self.0.reserve_exact(1);
            self.0.push((shard, ShardUsage::default()));
            self.0.len() - 1
        });
        &mut self.0[position].1
    }

    pub fn iter(&self) -> impl Iterator<Item = (ShardId, &ShardUsage)> {
        self.0.iter().map(|(shard, usage)| (*shard, usage))
    }

    pub fn values_mut(&mut self) -> impl Iterator<Item = &mut ShardUsage> {
        self.0.iter_mut().map(|(_, usage)| usage)
    }
}

impl VolumeUsage {
    pub fn record_arrival(&mut self, now: Micros, shard: ShardId, units: f64) {
        self.last_request_at = now;
        self.demand.add(now, units);
        self.demand_long.add(now, units);
        let at_shard = self.by_shard.get_or_insert(shard);
        at_shard.demand.add(now, units);
        at_shard.demand_long.add(now, units);
    }

    /// The demand at a shard. The demand through other initiators is the first of these that is known: the
    /// units that responses report for the shard, the usage meter's reading for the volume, or an even part
    /// of the nominal rate. Figures for the whole volume are divided among its shards as this initiator's
    /// requests are.
    pub fn demand(
        &self,
        now: Micros,
        shard: ShardId,
        plan: &QosPlan,
        initiators: f64,
        settings: &Settings,
    ) -> ShardDemand {
        let all_shards = self.demand.per_second(now).max(SMALLEST_RATE);
        let meter_valid_for = METER_VALID_PERIODS * settings.meter_period;
        let at_shard = self.by_shard.get(shard);
        let here = at_shard.map_or(0.0, |usage| usage.demand.per_second(now));
        let elsewhere = match self.meter.filter(|meter| now < meter.at + meter_valid_for) {
            _ if settings.reports_usage_elsewhere => {
                at_shard.map_or(0.0, |usage| usage.elsewhere.per_second(now))
            }
            Some(meter) => {
                let others = (meter.units_per_second - self.served.per_second(now)).max(0.0);
                others * here / all_shards
            }
            None => plan.nominal * (initiators - 1.0) / initiators * here / all_shards,
        };
        ShardDemand { here, elsewhere, reserve: plan.reserve * here / all_shards }
    }
}

impl ShardUsage {
    /// Adds the credit that the allowed rate has earned since the last request, and spends a request's units
    /// if there is enough. The credit is capped at the rate of one second, or one request if that is larger.
    pub fn spend_credit(&mut self, now: Micros, allowed_rate: f64, units: f64) -> bool {
        let gained = allowed_rate * now.saturating_sub(self.credited_at) as f64 / super::MICROS_PER_SECOND;
        self.credit_units = (self.credit_units + gained).min(allowed_rate.max(units));
        self.credited_at = now;
        let enough = self.credit_units >= units;
        if enough {
            self.credit_units -= units;
        }
        enough
    }
}

impl Scheduler {
    /// Drops the usage of the volumes that requested least, once there are more than [`MAX_VOLUMES`].
    ///
    /// Guards against a client that sends each request for another volume: their usage took more memory with
    /// each, without end.
    pub(super) fn evict_surplus_volumes(&mut self, now: Micros) {
        if self.volumes.len() <= MAX_VOLUMES {
            return;
        }
        let demand = |(id, usage): (&VolumeId, &VolumeUsage)| (usage.demand_long.sum(now), *id);
        let mut by_demand: Vec<(f64, VolumeId)> = self.volumes.iter().map(demand).collect();
        let surplus = by_demand.len() - VOLUMES_AFTER_EVICTION;
        by_demand.select_nth_unstable_by(surplus, |(a, _), (b, _)| a.total_cmp(b));
        for (_, volume) in &by_demand[..surplus] {
            self.volumes.remove(volume);
        }
    }

    /// Records what the end of an attempt reports of its volume's usage.
    pub(super) fn record_usage(&mut self, now: Micros, id: RequestId, report: UsageReport) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(volume) = self.volumes.get_mut(&request.volume) else { return };
        if let (Some(used), Some(plan)) = (report.used_fraction, request.plan) {
            let nominal = self.settings.plans[plan.0 as usize].nominal;
            volume.meter = Some(MeterReading { at: now, units_per_second: used * nominal });
        }
        if report.outcome == Outcome::Served {
            volume.served.add(now, request.units);
        }
        let at_shard = request.shard.and_then(|shard| volume.by_shard.get_mut(shard));
        if let Some(at_shard) = at_shard {
            let units = report.units_elsewhere;
            at_shard.elsewhere.add(now, if units.is_finite() { units.max(0.0) } else { 0.0 });
        }
    }
}
