//! Slow start: the bounds on what is sent to a target that has just started. The budgets and their reasons
//! are in `crates/slow-start`; this module keeps a budget for each target and a pacer for each volume, and
//! applies them to requests.

use super::request::RequestState;
use super::{NEVER, Scheduler};
use crate::interface::{Micros, RequestId, TargetId};
use rowanglade_slow_start::{ReservePacer, ReservedUnits};

/// The reserve pacer of a volume at a warming target, and the rate that it paces.
struct PacedReserve {
    pacer: ReservePacer,
    /// This initiator's part of the volume's reserve at the target, in units per second.
    rate: f64,
}

impl Scheduler {
    /// Whether a target started so recently that it can bear only a part of its capacity.
    pub(super) fn is_warming_up(&self, now: Micros, target: TargetId) -> bool {
        self.targets[&target].started.is_some_and(|started| self.slow_start.is_warming_up(started, now))
    }

    /// When slow start admits a request to a target after `units_before` units of other requests; `now` if
    /// the target is warm. Either budget may admit the request: the initiator's even part, or the volume's
    /// paced reserve.
    ///
    /// Guards against the initiators together overloading a target whose caches and connections are cold.
    pub(super) fn slow_start_admits_at(
        &self,
        now: Micros,
        target: TargetId,
        request: &RequestState,
        units_before: f64,
    ) -> Micros {
        if !self.is_warming_up(now, target) {
            return now;
        }
        if self.ownership.is_transferred {
            return NEVER;
        }
        let budget = &self.targets[&target].slow_start;
        let history_since = self.ownership.history_since.unwrap_or(0);
        let even_units = units_before + request.units;
        let even_part_at = budget.admits_at(&self.slow_start, now, history_since, even_units);
        let Some(reserve) = self.paced_reserve(now, target, request) else { return even_part_at };
        let reserve_at = reserve.pacer.admits_at(&self.slow_start, budget, now, reserve.rate, request.units);
        even_part_at.min(reserve_at)
    }

    /// The reserve pacer of a request's volume at a warming target, and the rate that it paces. Absent: the
    /// request has no plan.
    ///
    /// The reserve is for all targets of the volume together: the rate at one target is at most the target's
    /// part of the volume's nominal rate, as shown by the volume's requests of the last half minute. One
    /// request of mean size is added to the volume's demand, so that its first requests do not claim all of
    /// the reserve for their target.
    fn paced_reserve(&self, now: Micros, target: TargetId, request: &RequestState) -> Option<PacedReserve> {
        let plan = &self.settings.plans[request.plan?.0 as usize];
        let mean_units = self.settings.mean_request_units;
        let volume = self.volumes.get(&request.volume);
        let shard = self.targets.get(&target).map(|state| state.shard);
        let at_shard = volume.and_then(|volume| volume.by_shard.get(shard?));
        let pacer = at_shard.and_then(|usage| usage.reserve_pacer);
        let demand_all = volume.map_or(0.0, |usage| usage.demand_long.sum(now));
        let demand_here = at_shard.map_or(0.0, |usage| usage.demand_long.sum(now)).max(mean_units);
        let nominal = plan.nominal.max(plan.reserve);
        let nominal_here = nominal * demand_here / (demand_all + mean_units).max(demand_here);
        Some(PacedReserve {
            pacer: pacer.unwrap_or_else(|| ReservePacer::new(request.volume.0)),
            rate: nominal_here.min(plan.reserve) / request.initiators,
        })
    }

    /// Reserves the units of a request that is sent to a warming target: from the volume's reserve if the
    /// pacer admits the request, else from this initiator's even part.
    pub(super) fn reserve_slow_start(&mut self, now: Micros, target: TargetId, id: RequestId) {
        let request = &self.requests[&id];
        let (volume, reserve) = (request.volume, self.paced_reserve(now, target, request));
        let reserved = ReservedUnits { request: id.0, units: request.units, arrives_by: request.deadline };
        let rule = &self.slow_start;
        let Some(state) = self.targets.get_mut(&target) else { return };
        let budget = &mut state.slow_start;
        match reserve {
            Some(PacedReserve { mut pacer, rate })
                if pacer.admits_at(rule, budget, now, rate, reserved.units) <= now =>
            {
                pacer.reserve(rule, budget, now, rate, reserved);
                let by_shard = &mut self.volumes.entry(volume).or_default().by_shard;
                by_shard.get_or_insert(state.shard).reserve_pacer = Some(pacer);
            }
            _ => budget.reserve(reserved),
        }
    }

    /// Commits the units of a request that has arrived at its target: they count from now on.
    pub(super) fn commit_slow_start(&mut self, now: Micros, target: TargetId, id: RequestId) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        state.slow_start.commit(now, id.0);
        if let Some(pacer) = self.reserve_pacer_mut(target, id) {
            pacer.commit(now, id.0);
        }
    }

    /// Releases the units of a request that was never sent to its target.
    pub(super) fn release_slow_start(&mut self, target: TargetId, id: RequestId) {
        let Some(state) = self.targets.get_mut(&target) else { return };
        state.slow_start.release(id.0);
        if let Some(pacer) = self.reserve_pacer_mut(target, id) {
            pacer.release(id.0);
        }
    }

    /// The pacer of a request's volume at a target's shard, if it has one.
    fn reserve_pacer_mut(&mut self, target: TargetId, id: RequestId) -> Option<&mut ReservePacer> {
        let shard = self.targets.get(&target)?.shard;
        let volume = self.volumes.get_mut(&self.requests.get(&id)?.volume)?;
        volume.by_shard.get_mut(shard)?.reserve_pacer.as_mut()
    }
}
