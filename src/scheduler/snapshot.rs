//! Snapshots of a scheduler's state, which an initiator's process hands over to its successor. No decisions
//! are made here: the state is read from one scheduler and restored in another, which then decides as the
//! first would have.
//!
//! The types are messages between two builds; most absent fields have a default. A field must keep its
//! serialized name for ever, or a successor would silently start without it.

use super::Scheduler;
use super::estimates::Estimate;
use super::target::Target;
use super::token_bucket::TokenBucket;
use super::volume_usage::VolumeUsage;
use crate::interface::{Micros, ShardId, TargetId, VolumeId};
use rowanglade_slow_start::{ReservePacer, TargetBudget};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The owned state and the estimates of a scheduler. `T` and `V` identify targets and volumes.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SchedulerSnapshot<T, V> {
    /// The start of the period in which everything that the initiator sent is known.
    #[serde(rename = "born")]
    owned_since: Option<Micros>,
    #[serde(rename = "all")]
    overall: EstimateSnapshot,
    /// For each class, in the order of the settings.
    margins: Vec<f64>,
    #[serde(rename = "nodes")]
    targets: Vec<(T, TargetSnapshot)>,
    volumes: Vec<(V, VolumeSnapshot)>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
struct EstimateSnapshot {
    #[serde(rename = "latency")]
    latency_micros: f64,
    #[serde(rename = "speed")]
    units_per_second: f64,
    #[serde(rename = "heard")]
    last_response_at: Option<Micros>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
struct TargetSnapshot {
    /// The start of the target that the rest of the state belongs to; for another start it is void.
    started: Option<Micros>,
    #[serde(rename = "learned")]
    estimate: EstimateSnapshot,
    #[serde(rename = "rest_until")]
    backoff_until: Micros,
    #[serde(rename = "failing")]
    consecutive_failures: u32,
    #[serde(rename = "warming")]
    slow_start: TargetBudget,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
struct VolumeSnapshot {
    /// The available units of the limit, and the time for which they were computed.
    #[serde(rename = "left")]
    available_units: Option<(f64, Micros)>,
    /// By shard number, for shards whose target is or was warming up.
    #[serde(rename = "paces")]
    reserve_pacers: Vec<(u32, ReservePacer)>,
}

impl<T, V> SchedulerSnapshot<T, V> {
    /// Replaces the identifiers of targets and volumes. A target or volume for which `target` or `volume`
    /// returns no new identifier is left out.
    pub fn map_names<U, W>(
        self,
        mut target: impl FnMut(T) -> Option<U>,
        mut volume: impl FnMut(V) -> Option<W>,
    ) -> SchedulerSnapshot<U, W> {
        let targets = self.targets.into_iter();
        let volumes = self.volumes.into_iter();
        SchedulerSnapshot {
            owned_since: self.owned_since,
            overall: self.overall,
            margins: self.margins,
            targets: targets.filter_map(|(name, state)| Some((target(name)?, state))).collect(),
            volumes: volumes.filter_map(|(name, state)| Some((volume(name)?, state))).collect(),
        }
    }
}

impl From<Estimate> for EstimateSnapshot {
    fn from(estimate: Estimate) -> EstimateSnapshot {
        let Estimate { latency_micros, units_per_second, last_response_at } = estimate;
        EstimateSnapshot { latency_micros, units_per_second, last_response_at }
    }
}

impl From<EstimateSnapshot> for Estimate {
    fn from(snapshot: EstimateSnapshot) -> Estimate {
        let EstimateSnapshot { latency_micros, units_per_second, last_response_at } = snapshot;
        Estimate { latency_micros, units_per_second, last_response_at }
    }
}

impl From<&Target> for TargetSnapshot {
    fn from(target: &Target) -> TargetSnapshot {
        TargetSnapshot {
            started: target.started,
            estimate: target.estimate.into(),
            backoff_until: target.backoff_until,
            consecutive_failures: target.consecutive_failures,
            slow_start: target.slow_start.clone(),
        }
    }
}

fn reserve_pacers(volume: &VolumeUsage) -> Vec<(u32, ReservePacer)> {
    let by_shard = volume.by_shard.iter();
    by_shard.filter_map(|(shard, usage)| Some((shard.0, usage.reserve_pacer?))).collect()
}

impl Scheduler {
    /// The state that a successor continues with. This scheduler keeps it too, until the successor has taken
    /// over for good.
    pub fn snapshot(&self, now: Micros) -> SchedulerSnapshot<TargetId, VolumeId> {
        SchedulerSnapshot {
            owned_since: self.ownership.history_since,
            overall: self.estimates.overall.into(),
            margins: self.estimates.margins.clone(),
            targets: self.targets.iter().map(|(id, target)| (*id, target.into())).collect(),
            volumes: self.volume_snapshots(now).into_iter().collect(),
        }
    }

    fn volume_snapshots(&self, now: Micros) -> BTreeMap<VolumeId, VolumeSnapshot> {
        let mut volumes: BTreeMap<VolumeId, VolumeSnapshot> = BTreeMap::new();
        for (id, usage) in &self.volumes {
            volumes.entry(*id).or_default().reserve_pacers = reserve_pacers(usage);
        }
        for (id, bucket) in self.quota.iter() {
            volumes.entry(*id).or_default().available_units = Some(bucket.snapshot(now));
        }
        volumes
    }

    /// Continues with the state that a predecessor handed over, on the same clock. The state of targets that
    /// are not in this scheduler's endpoint list, or have another start, is dropped.
    pub fn restore(&mut self, snapshot: SchedulerSnapshot<TargetId, VolumeId>) {
        self.ownership.history_since = snapshot.owned_since.or(self.ownership.history_since);
        self.estimates.overall = snapshot.overall.into();
        if snapshot.margins.len() == self.estimates.margins.len() {
            self.estimates.margins = snapshot.margins;
        }
        for (id, state) in snapshot.targets {
            self.restore_target(id, state);
        }
        for (id, state) in snapshot.volumes {
            self.restore_volume(id, state);
        }
    }

    fn restore_target(&mut self, id: TargetId, snapshot: TargetSnapshot) {
        let target = self.targets.get_mut(&id).filter(|target| target.started == snapshot.started);
        let Some(target) = target else { return };
        target.estimate.latency_micros = snapshot.estimate.latency_micros;
        target.estimate.units_per_second = snapshot.estimate.units_per_second;
        target.backoff_until = snapshot.backoff_until;
        target.consecutive_failures = snapshot.consecutive_failures;
        target.slow_start = snapshot.slow_start;
        self.targets.set_last_response(id, snapshot.estimate.last_response_at);
    }

    fn restore_volume(&mut self, id: VolumeId, snapshot: VolumeSnapshot) {
        if let Some((available, at)) = snapshot.available_units {
            self.quota.insert(id, TokenBucket::new(available, at));
        }
        let by_shard = &mut self.volumes.entry(id).or_default().by_shard;
        for (shard, pacer) in snapshot.reserve_pacers {
            by_shard.get_or_insert(ShardId(shard)).reserve_pacer = Some(pacer);
        }
    }

    /// Resets the owned state to that of a process that has just started: another process owned it in the
    /// meantime, and may have spent it.
    pub fn reset_owned_state(&mut self, now: Micros) {
        self.ownership.history_since = Some(now);
        self.quota.clear();
        let shard_usages = self.volumes.values_mut().flat_map(|volume| volume.by_shard.values_mut());
        shard_usages.for_each(|usage| usage.reserve_pacer = None);
        for target in self.targets.values_mut() {
            // A phase of 1 delays the first send by a whole span, since what was sent in the meantime is
            // unknown.
            target.slow_start = TargetBudget::new(target.started.unwrap_or(0), now, 1.0);
        }
    }
}
