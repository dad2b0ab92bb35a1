//! What an initiator hands over to its successor, and what it goes on with after. Nothing is decided here:
//! the state is read out of one module and put into another, which decides with it as the first would have.

use super::targets::Target;
use super::token_bucket::Store;
use super::{Scheduler, Volume};
use crate::interface::{Micros, ShardId, TargetId, VolumeId};
use rowanglade_slow_start as slow_start;
use serde::{Deserialize, Serialize};

/// What is owned and what was learned, with targets and volumes called by `N` and `V`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SchedulerSnapshot<N, V> {
    /// Since when all that was sent is known.
    born: Option<Micros>,
    all: Learned,
    /// For each class, in the settings' order.
    margins: Vec<f64>,
    #[serde(rename = "nodes")]
    targets: Vec<(N, TargetSnapshot)>,
    volumes: Vec<(V, VolumeSnapshot)>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
struct Learned {
    latency: f64,
    speed: f64,
    heard: Option<Micros>,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
struct TargetSnapshot {
    /// What was learned and sent since another start is void.
    started: Option<Micros>,
    learned: Learned,
    rest_until: Micros,
    failing: u32,
    warming: slow_start::Target,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
struct VolumeSnapshot {
    /// Units left of the limit, and when that was so.
    left: Option<(f64, Micros)>,
    /// At each shard whose target is cold, or was.
    paces: Vec<(u32, slow_start::Pace)>,
}

impl<N, V> SchedulerSnapshot<N, V> {
    /// The same, with other names. What `target` or `volume` does not know is left out.
    pub fn named<M, W>(
        self,
        mut target: impl FnMut(N) -> Option<M>,
        mut volume: impl FnMut(V) -> Option<W>,
    ) -> SchedulerSnapshot<M, W> {
        SchedulerSnapshot {
            born: self.born,
            all: self.all,
            margins: self.margins,
            targets: self.targets.into_iter().filter_map(|(n, of)| Some((target(n)?, of))).collect(),
            volumes: self.volumes.into_iter().filter_map(|(v, of)| Some((volume(v)?, of))).collect(),
        }
    }
}

impl Learned {
    fn of(target: &Target) -> Learned {
        Learned { latency: target.latency, speed: target.speed, heard: target.heard }
    }
}

fn paces(volume: &Volume) -> Vec<(u32, slow_start::Pace)> {
    volume.parts.iter().filter_map(|(shard, p)| Some((shard.0, p.pace?))).collect()
}

impl Scheduler {
    /// All of it. It stays here too, until the successor has it for good.
    pub fn handed(&self, now: Micros) -> SchedulerSnapshot<TargetId, VolumeId> {
        let mut volumes: std::collections::BTreeMap<VolumeId, VolumeSnapshot> = self
            .volumes
            .iter()
            .map(|(id, v)| (*id, VolumeSnapshot { left: None, paces: paces(v) }))
            .collect();
        for (id, store) in &self.limits {
            volumes.entry(*id).or_default().left = Some(store.told(now));
        }
        let of_target = |n: &Target| TargetSnapshot {
            started: n.started,
            learned: Learned::of(n),
            rest_until: n.rest_until,
            failing: n.failing,
            warming: n.warming.clone(),
        };
        SchedulerSnapshot {
            born: self.born,
            all: Learned::of(&self.overall),
            margins: self.margins.clone(),
            targets: self.targets.iter().map(|(id, n)| (*id, of_target(n))).collect(),
            volumes: volumes.into_iter().collect(),
        }
    }

    /// Goes on with what another gave, on the same clock. Targets are those of the list that was told here.
    pub fn take(&mut self, given: SchedulerSnapshot<TargetId, VolumeId>) {
        self.born = given.born.or(self.born);
        let all = given.all;
        (self.overall.latency, self.overall.speed, self.overall.heard) = (all.latency, all.speed, all.heard);
        if given.margins.len() == self.margins.len() {
            self.margins = given.margins;
        }
        for (id, of) in given.targets {
            if let Some(n) = self.targets.get_mut(&id).filter(|n| n.started == of.started) {
                (n.latency, n.speed) = (of.learned.latency, of.learned.speed);
                (n.rest_until, n.failing, n.warming) = (of.rest_until, of.failing, of.warming);
                self.targets.heard(id, of.learned.heard);
            }
        }
        for (id, of) in given.volumes {
            if let Some(left) = of.left {
                self.limits.insert(id, Store::new(left));
            }
            let parts = &mut self.volumes.entry(id).or_default().parts;
            for (shard, pace) in of.paces {
                parts.entry(ShardId(shard)).or_default().pace = Some(pace);
            }
        }
    }

    /// Goes on from nothing, as if it had just started: another had what is owned, and may have spent it.
    pub fn forget_owned(&mut self, now: Micros) {
        self.born = Some(now);
        self.limits.clear();
        let parts = self.volumes.values_mut().flat_map(|v| v.parts.values_mut());
        parts.for_each(|p| p.pace = None);
        for n in self.targets.values_mut() {
            n.warming = slow_start::Target::new(n.started.unwrap_or(0), now, 1.0);
        }
    }
}
