//! Placement of new objects: the choice of the shard that stores them.

use super::Scheduler;
use super::request::RequestState;
use super::target::Target;
use crate::interface::{Micros, RequestId, ShardId, TargetId, TargetSetId};

/// The most targets that are compared for one new object. If there are more, the preferred targets and those
/// that responded last are compared with some drawn at random: a comparison of all would make the cost of
/// each request grow with the endpoint list.
const MAX_COMPARED_TARGETS: usize = 256;
/// How many of the compared targets are chosen because they responded last, at most; the rest is left for
/// random draws.
const MAX_RECENT_RESPONDERS: usize = 96;
/// A target is early enough if it is predicted to complete the request within this fraction of its objective:
/// a client would not notice the difference to a faster one.
const EARLY_ENOUGH_OBJECTIVE_FRACTION: f64 = 0.5;
/// The smallest random factor on a target's predicted time; [`COST_FACTOR_SPREAD`] is how far above it the
/// factor may be. Initiators that see the same load must not all choose the same target.
const MIN_COST_FACTOR: f64 = 0.9;
const COST_FACTOR_SPREAD: f64 = 0.2;

/// The order in which targets are chosen. Within one rank, the target with the least cost is chosen.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum PlacementRank {
    /// The target is early enough, and preferred by this initiator.
    Preferred,
    /// The target is early enough, and has responded before: it needs no new connection.
    Known,
    Other,
}

/// A target that can take a new object.
struct Choice {
    rank: PlacementRank,
    /// The predicted time in microseconds, multiplied by the random factor.
    cost: f64,
    shard: ShardId,
}

impl Scheduler {
    /// Chooses the shard of a new object of which no attempt can have run. Requests for data that a shard
    /// holds, and requests that may have run, keep their shard.
    pub(super) fn choose_shard(&mut self, now: Micros, id: RequestId) {
        let request = &self.requests[&id];
        if request.shard_is_given || !request.is_proven_not_executed() {
            return;
        }
        let shard = self.place(now, id);
        self.requests.entry(id).and_modify(|request| request.shard = shard);
    }

    /// The shard of the compared target that is best for a new object, by its rank and then by its predicted
    /// time. Absent: none of the compared targets takes it now.
    fn place(&mut self, now: Micros, id: RequestId) -> Option<ShardId> {
        let mut best: Option<Choice> = None;
        for target in self.compared_targets(self.requests[&id].target_set) {
            let factor = MIN_COST_FACTOR + COST_FACTOR_SPREAD * self.random.next_fraction();
            let Some(choice) = self.assess(now, &self.requests[&id], target, factor) else { continue };
            let is_better =
                best.as_ref().is_none_or(|best| (choice.rank, choice.cost) < (best.rank, best.cost));
            if is_better {
                best = Some(choice);
            }
        }
        best.map(|choice| choice.shard)
    }

    /// Assesses a target for a new object. Absent: the target takes none now, since it is not its shard's
    /// serving target, is in backoff, or is warming up and has no slow-start budget for the request.
    fn assess(&self, now: Micros, request: &RequestState, target: TargetId, factor: f64) -> Option<Choice> {
        let state = &self.targets[&target];
        if self.serving_target(state.shard, request.target_set) != Some(target) || state.backoff_until > now {
            return None;
        }
        let queued_units = self.queued_units(state.shard);
        if self.slow_start_admits_at(now, target, request, queued_units) > now {
            return None;
        }
        let units = state.units_in_flight + queued_units + request.units;
        // Before the first response all predicted times are zero. Without the lower bound every initiator
        // would begin with the same target.
        let cost = factor * self.predicted_time(now, target, request.class, units).max(1) as f64;
        Some(Choice { rank: self.placement_rank(request, target, state, cost), cost, shard: state.shard })
    }

    /// The rank of a target for a new object.
    ///
    /// Guards against initiators that each hold a connection to almost every target: a target that has never
    /// responded needs a new connection, which gains nothing where another target is early enough.
    fn placement_rank(
        &self,
        request: &RequestState,
        target: TargetId,
        state: &Target,
        cost: f64,
    ) -> PlacementRank {
        let objective = self.settings.classes[request.class].latency_objective as f64;
        let is_early_enough = cost <= EARLY_ENOUGH_OBJECTIVE_FRACTION * objective;
        if is_early_enough && self.target_sets.preferred.contains(&target) {
            PlacementRank::Preferred
        } else if is_early_enough && state.estimate.last_response_at.is_some() {
            PlacementRank::Known
        } else {
            PlacementRank::Other
        }
    }

    /// The units of the requests that are queued at a shard.
    pub(super) fn queued_units(&self, shard: ShardId) -> f64 {
        self.queues.requests(shard).iter().map(|id| self.requests[id].units).sum()
    }

    /// The targets that are compared for a request with this target set: all active ones, or, if there are
    /// too many, the preferred ones, those that responded last, and some drawn at random.
    fn compared_targets(&mut self, set: Option<TargetSetId>) -> Vec<TargetId> {
        let members = set.map(|set| self.target_sets.members(set));
        let count = members.map_or(self.targets.active().len(), <[TargetId]>::len);
        if count <= MAX_COMPARED_TARGETS {
            let mut all: Vec<TargetId> = match members {
                Some(members) => members.iter().copied().filter(|t| self.is_candidate(set, t)).collect(),
                None => self.targets.active().iter().copied().collect(),
            };
            all.sort_unstable();
            return all;
        }
        let preferred = self.target_sets.preferred.iter().copied().filter(|t| self.is_candidate(set, t));
        let recent = self.targets.latest_responders().take(MAX_RECENT_RESPONDERS);
        let recent = recent.filter(|t| self.is_candidate(set, t));
        let mut compared: Vec<TargetId> = preferred.take(MAX_COMPARED_TARGETS / 2).chain(recent).collect();
        while compared.len() < MAX_COMPARED_TARGETS {
            let index = (self.random.next_fraction() * count as f64) as usize;
            compared.extend(match set {
                Some(set) => self.target_sets.members(set).get(index).copied(),
                None => self.targets.active().get_index(index).copied(),
            });
        }
        compared
    }

    /// Whether a target is active and in a target set.
    fn is_candidate(&self, set: Option<TargetSetId>, target: &TargetId) -> bool {
        self.targets.active().contains(target) && self.target_sets.allows(set, *target)
    }
}
