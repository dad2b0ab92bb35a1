//! The accounts of what goes to targets that have just started. Whether a request may go is asked in `send`;
//! here its units are taken, and counted from their arrival or given back.

use super::{RequestState, Scheduler};
use crate::interface::{Micros, RequestId, TargetId};
use rowanglade_slow_start::{Pace, Taken};

impl Scheduler {
    /// The pace of a request's volume at a cold target, and this initiator's share of the volume's reserve
    /// there, in units a second. The reserve is for all the volume's targets: a target has no more of it than
    /// its part of what the volume is sized for, as far as requests tell that part lately. One request more
    /// than was seen is counted, so that the first ones of a volume don't claim all of it for their target.
    pub(super) fn reserved(&self, now: Micros, target: TargetId, h: &RequestState) -> Option<(Pace, f64)> {
        let plan = &self.settings.plans[h.plan?.0 as usize];
        let volume = self.volumes.get(&h.volume);
        let part = volume.and_then(|v| v.parts.get(&self.targets.get(&target)?.shard));
        let pace = part.and_then(|p| p.pace).unwrap_or_else(|| Pace::new(u64::from(h.volume.0)));
        let asked = volume.map_or(0.0, |v| v.lately.sum(now));
        let here = part.map_or(0.0, |p| p.lately.sum(now)).max(self.settings.mean_request_units);
        let sized =
            plan.nominal.max(plan.reserve) * here / (asked + self.settings.mean_request_units).max(here);
        Some((pace, sized.min(plan.reserve) / h.initiators))
    }

    /// Takes what goes to a cold target from the volume's reserve, or else from this initiator's even part.
    pub(super) fn take_cold(&mut self, now: Micros, target: TargetId, id: RequestId) {
        let h = &self.requests[&id];
        let (volume, reserved) = (h.volume, self.reserved(now, target, h));
        let taken = Taken { request: id.0, units: h.units, latest: h.deadline };
        let Some(n) = self.targets.get_mut(&target) else { return };
        match reserved {
            Some((mut pace, rate)) if pace.until(&self.cold, &n.warming, now, rate, taken.units) <= now => {
                pace.take(&self.cold, &n.warming, now, rate, taken);
                let parts = &mut self.volumes.entry(volume).or_default().parts;
                parts.entry(n.shard).or_default().pace = Some(pace);
            }
            _ => n.warming.take(taken),
        }
    }

    /// What a request took of a cold target's budgets has arrived there now, or never left.
    pub(super) fn settle_cold(&mut self, now: Micros, target: TargetId, id: RequestId, arrived: bool) {
        let Some(n) = self.targets.get_mut(&target) else { return };
        n.warming.settle(now, id.0, arrived);
        let volume = self.requests.get(&id).and_then(|h| self.volumes.get_mut(&h.volume));
        let part = volume.and_then(|v| v.parts.get_mut(&n.shard));
        if let Some(pace) = part.and_then(|p| p.pace.as_mut()) {
            pace.settle(now, id.0, arrived);
        }
    }
}
