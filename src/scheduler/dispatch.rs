//! When a request goes to a target: every rule on sends is kept here.

use super::*;

impl Scheduler {
    /// The target that may take a shard's work of requests with this reach.
    pub(super) fn target_of(&self, shard: ShardId, reach: Option<TargetSetId>) -> Option<TargetId> {
        let usable = self.targets.of_shard(shard).filter(|(_, n)| n.state == TargetState::Active);
        let usable = usable.filter(|(id, _)| self.may_reach(reach, *id));
        usable.max_by_key(|(_, n)| n.started).map(|(id, _)| id)
    }

    pub(super) fn may_reach(&self, reach: Option<TargetSetId>, target: TargetId) -> bool {
        reach.is_none_or(|r| {
            self.reaches.get(&r).is_some_and(|targets| targets.binary_search(&target).is_ok())
        })
    }

    pub(super) fn pump(&mut self, now: Micros, shard: ShardId, actions: &mut Vec<Action>) {
        let Some(any) = self.target_of(shard, None) else { return };
        // Deadline order. What missed its aim earns little and would come first: it goes when nothing that
        // can be in time waits. It guards against a hang's backlog, and hurts where late ones earn as much.
        for lapsed in [false, true] {
            let mut at = 0;
            while let Some(&id) = self.queues.requests(shard).get(at) {
                let h = &self.requests[&id];
                let own = if h.reach.is_none() { Some(any) } else { self.target_of(shard, h.reach) };
                let Some(target) = own else {
                    at += 1;
                    continue;
                };
                let n = &self.targets[&target];
                // Background work and what lapsed leave room: tight aims are refused before they can wait.
                let part = if lapsed || self.background[h.class] { BACKGROUND_PART } else { 1.0 };
                let full = !n.out.is_empty() && n.out_units + h.units > part * self.bound(now, target);
                // A dead or full target is tried with one request: a burst would spend the attempts of all.
                let full = full || (n.failing > 0 && !n.out.is_empty());
                // At a target predicted busy background work would only wait, before tight aims.
                let busy = BACKGROUND_AIM_PART * self.tightest as f64;
                let full = full || part < 1.0 && self.closed_form(now, target, n.out_units + h.units) > busy;
                if n.rest_until > now || (full && part == 1.0) {
                    if h.reach.is_none() {
                        return;
                    }
                    // It waits for its own target, not for that of those behind it.
                    at += 1;
                    continue;
                }
                if !full && (h.aim < now) == lapsed && self.send(now, id, target, actions) {
                    self.queues.remove(shard, id);
                } else {
                    at += 1;
                }
            }
        }
    }

    /// The one way out: every rule on sends is kept here. False: not now.
    pub(super) fn send(
        &mut self,
        now: Micros,
        id: RequestId,
        target: TargetId,
        actions: &mut Vec<Action>,
    ) -> bool {
        let h = &self.requests[&id];
        // Rules 1 to 3 are asked again before the first byte; and there are never two attempts at once.
        let out = h.tries.iter().any(|t| t.ran == Ran::Out);
        if out || h.tries.len() as u32 >= self.settings.rules.max_attempts || !self.wanted(now, h, target) {
            return false;
        }
        // Rule 4: this initiator's part of what a cold target bears, in every window.
        if self.cold_until(now, target, h, 0.0) > now {
            return false;
        }
        // Rule 5: requests of one key in turn.
        if let (true, Some(key)) = (self.settings.classes[h.class].ordered_by_key, h.key)
            && let Some(queue) = self.key_queues.get(&key)
            && (queue.requests.front() != Some(&id) || (queue.rests_until > now && h.tries.is_empty()))
        {
            return false;
        }
        // Rule 6: further attempts within their budget.
        let further = !h.tries.is_empty();
        if further && let Some(b) = self.settings.rules.retry_budget {
            self.extra.retain(|t| t + b.window >= now);
            let taken = self.taken.iter().filter(|t| **t + b.window > now).count() as f64;
            if self.extra.len() as f64 + 1.0 > b.minimum + b.ratio * taken {
                return false;
            }
            self.extra.push_back(now);
        }
        // Rule 7: this initiator's part of the volume's limit.
        let (volume, units) = (h.volume, h.units);
        let limit = self.limit(now, h).filter(|_| !further);
        if limit.is_some_and(|(lacking, _)| lacking > 0.0) {
            return false;
        }
        if limit.is_some() {
            self.limits.entry(volume).and_modify(|s| s.take(now, units));
        }
        if self.is_cold(now, target) {
            self.take_cold(now, target, id);
        }
        let predicted = self.closed_form(now, target, self.targets[&target].out_units + units);
        if let Some(h) = self.requests.get_mut(&id) {
            self.targets.take_room(target, (now, id, h.tries.len() as u32), units);
            h.waiting = false;
            h.limit_owed |= limit.is_some();
            h.tries.push(AttemptState { target, sent: now, ran: Ran::Out, lost: false, predicted });
        }
        actions.push(Action::StartAttempt { id, target, timeout: None });
        true
    }

    /// The rules on sends that time and news can turn against an attempt while its connection comes up.
    pub(super) fn wanted(&self, now: Micros, h: &RequestState, target: TargetId) -> bool {
        // Rule 1: nothing is sent for what is over or out of time.
        !h.over && h.deadline > now + ANSWER_EARLY
            // Rule 2: what may have run is sent again only as its class allows.
            && self.may_repeat(now, h, target)
            // Rule 3: nothing new to a target told to drain or gone, and nothing beyond its reach.
            && self.targets.get(&target).is_some_and(|n| n.state == TargetState::Active)
            && self.may_reach(h.reach, target)
    }

    /// Whether an attempt may begin now that its connection is up. A target started since then counts anew.
    pub fn may_start(&self, now: Micros, id: RequestId, attempt: AttemptNumber) -> bool {
        let h = self.requests.get(&id);
        let sent = h.and_then(|h| Some((h, h.tries.get(attempt.0 as usize)?)));
        sent.is_some_and(|(h, t)| {
            let same = self.targets.get(&t.target).is_some_and(|n| n.since <= t.sent);
            t.ran == Ran::Out && !t.lost && same && self.wanted(now, h, t.target)
        })
    }

    /// What a request limit_owed its volume's store is drawn, now that its first attempt is on its way, or
    /// else comes back, since nothing of it was ever sent. An attempt that is out has reached its target.
    pub fn settle(&mut self, now: Micros, id: RequestId, drawn: bool) {
        let out = self.requests.get(&id).and_then(|h| h.tries.last()).filter(|t| t.ran == Ran::Out);
        if let (true, Some(target)) = (drawn, out.map(|t| t.target)) {
            self.settle_cold(now, target, id, true);
        }
        if let Some(h) = self.requests.get_mut(&id).filter(|h| h.limit_owed) {
            h.limit_owed = false;
            self.limits.entry(h.volume).and_modify(|s| s.settle(now, h.units, drawn));
        }
    }

    /// What a request lacks of this initiator's part of its volume's limit, and for how long.
    pub(super) fn limit(&self, now: Micros, h: &RequestState) -> Option<(f64, Micros)> {
        let l = self.settings.plans[h.plan?.0 as usize].limit?;
        let store = self.limits.get(&h.volume).filter(|_| !self.handed);
        let Some(store) = store else { return Some((h.units, NEVER)) };
        let lacking = h.units - store.left(now) - l.debt_limit / h.initiators;
        Some((lacking, (lacking.max(0.0) / store.rate * 1e6).min(NEVER as f64) as Micros))
    }

    /// Takes out of a volume's store what its own requests do not need soon.
    pub(super) fn spare(&mut self, now: Micros, volume: VolumeId, most: f64) -> f64 {
        let Some(store) = self.limits.get_mut(&volume) else { return 0.0 };
        let own = self.volumes.get(&volume).map_or(0.0, |v| v.asked.per_second(now) * KEPT_SECONDS);
        let units = (store.left(now) - own - LOW_PART * store.cap).min(most).max(0.0);
        store.add(now, -units);
        units
    }

    pub(super) fn may_repeat(&self, now: Micros, h: &RequestState, target: TargetId) -> bool {
        let mut ran = h.tries.iter().filter(|t| t.ran == Ran::Maybe);
        match self.settings.classes[h.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => ran.next().is_none(),
            Idempotency::KeyedWithin { scope: group, window } => ran.all(|t| {
                let same = match (group, self.targets.get(&t.target), self.targets.get(&target)) {
                    (DeduplicationScope::All, _, _) => true,
                    (DeduplicationScope::Zone, Some(a), Some(b)) => a.zone == b.zone,
                    (DeduplicationScope::Shard, Some(a), Some(b)) => a.shard == b.shard,
                    _ => false,
                };
                same && now + ANSWER_EARLY < t.sent + window // it has to arrive by then
            }),
        }
    }

    pub(super) fn is_cold(&self, now: Micros, target: TargetId) -> bool {
        self.targets[&target].started.is_some_and(|s| self.cold.is_cold(s, now))
    }

    /// When a request may go to a target with so many units before it; at once where the target is warm.
    pub(super) fn cold_until(&self, now: Micros, target: TargetId, h: &RequestState, before: f64) -> Micros {
        if !self.is_cold(now, target) {
            return now;
        }
        if self.handed {
            return NEVER;
        }
        let n = &self.targets[&target].warming;
        let even = n.even_until(&self.cold, now, self.born.unwrap_or(0), before + h.units);
        let paced = self.reserved(now, target, h);
        even.min(paced.map_or(even, |(pace, rate)| pace.until(&self.cold, n, now, rate, h.units)))
    }
}
