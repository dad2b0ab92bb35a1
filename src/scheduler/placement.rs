//! Which shard a new object goes to.

use super::{AIM_PART, Scheduler};
use crate::interface::{Micros, RequestId, ShardId, TargetId, TargetSetId};

/// Targets that are compared for one new object at most. Where there are more, those that this initiator
/// knows best are compared with some drawn at random: a comparison of all would make each request cost what
/// the list is long.
const MOST_COMPARED: usize = 256;
/// Of these, at most so many that have served lately.
const MOST_HEARD: usize = 96;

impl Scheduler {
    /// The shard whose target would complete a new object first, of those compared.
    pub(super) fn place(&mut self, now: Micros, id: RequestId) -> Option<ShardId> {
        let mut best: Option<(u32, f64, ShardId)> = None;
        for target in self.compared(self.requests[&id].reach) {
            let shade = 0.9 + 0.2 * self.rand();
            let (n, h) = (&self.targets[&target], &self.requests[&id]);
            if self.target_of(n.shard, h.reach) != Some(target) || n.rest_until > now {
                continue;
            }
            let held: f64 = self.queues.requests(n.shard).iter().map(|q| self.requests[q].units).sum();
            if self.cold_until(now, target, h, held) > now {
                continue;
            }
            // Before the first answer all cost nothing: every initiator would begin with the same target.
            let cost = shade * self.service(now, target, h.class, n.out_units + held + h.units).max(1) as f64;
            // One never heard costs a new connection: where another is early enough, that buys nothing.
            let rank = match cost <= AIM_PART * self.settings.classes[h.class].latency_objective as f64 {
                true if self.near.contains(&target) => 0,
                true if n.heard.is_some() => 1,
                _ => 2,
            };
            if best.is_none_or(|(r, b, _)| (rank, cost) < (r, b)) {
                best = Some((rank, cost, n.shard));
            }
        }
        best.map(|(.., shard)| shard)
    }

    /// The targets that are compared for a request with this reach: all that may take new work, or of many
    /// the preferred ones, those that have served lately, and some drawn at random.
    fn compared(&mut self, reach: Option<TargetSetId>) -> Vec<TargetId> {
        let reached = reach.map(|reach| self.reaches.get(&reach).map_or(&[][..], |r| r.as_slice()));
        let count = reached.map_or(self.targets.usable().len(), <[TargetId]>::len);
        let known =
            |target: &TargetId| self.targets.usable().contains(target) && self.may_reach(reach, *target);
        if count <= MOST_COMPARED {
            let mut all: Vec<TargetId> = match reached {
                Some(targets) => targets.iter().copied().filter(known).collect(),
                None => self.targets.usable().iter().copied().collect(),
            };
            all.sort_unstable();
            return all;
        }
        let near = self.near.iter().copied().filter(known).take(MOST_COMPARED / 2);
        let heard = self.targets.heard_last().take(MOST_HEARD).filter(known);
        let mut compared: Vec<TargetId> = near.chain(heard).collect();
        while compared.len() < MOST_COMPARED {
            let place = (self.rand() * count as f64) as usize;
            let targets = reach.map(|reach| self.reaches.get(&reach).map_or(&[][..], |r| r.as_slice()));
            let drawn = match targets {
                Some(targets) => targets.get(place).copied(),
                None => self.targets.usable().get_index(place).copied(),
            };
            compared.extend(drawn);
        }
        compared
    }
}
