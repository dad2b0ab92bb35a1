//! Which requests are taken, in which order they wait, and what is given up or refused.

use super::*;

impl Scheduler {
    pub(super) fn request(&mut self, now: Micros, r: RequestProfile, actions: &mut Vec<Action>) {
        if self.requests.contains_key(&r.id) {
            return;
        }
        if let Some(b) = self.settings.rules.retry_budget {
            self.taken.push_back(now);
            self.taken.retain(|t| t + b.window > now);
        }
        let Some(class) = r.class.map(|c| c.0 as usize).filter(|c| *c < self.settings.classes.len()) else {
            actions.push(Action::Fail { id: r.id });
            return;
        };
        let c = &self.settings.classes[class];
        let units =
            if r.units.is_finite() && r.units > 0.0 { r.units } else { self.settings.mean_request_units };
        let part = (r.deadline.saturating_sub(now) as f64 * BACKGROUND_WAIT) as Micros;
        let patience = if self.background[class] { part } else { c.latency_objective };
        let held = RequestState {
            class,
            volume: r.volume,
            plan: r.plan.filter(|p| (p.0 as usize) < self.settings.plans.len()),
            key: r.key,
            units,
            placed: r.shard.is_some(),
            shard: r.shard,
            aim: (now + c.latency_objective).min(r.deadline),
            due: (now + c.latency_objective).min(r.deadline),
            patience: if c.ordered_by_key { r.deadline } else { (now + patience).min(r.deadline) },
            deadline: r.deadline,
            reach: r.target_set,
            initiators: if r.initiators == 0 { self.settings.initiators.max(1) } else { r.initiators } as f64,
            ..RequestState::default()
        };
        // Others may have units to spare: they are asked before the store is empty.
        let limit = held.plan.and_then(|p| self.settings.plans[p.0 as usize].limit);
        if let Some(l) = limit {
            let new = Store::used_up(l.debt_limit / held.initiators, self.born.unwrap_or(now));
            let store = self.limits.entry(r.volume).or_insert(new);
            (store.rate, store.cap) = (l.rate / held.initiators, l.burst / held.initiators);
            if store.left(now) - units < LOW_PART * store.cap {
                actions.push(Action::QuotaNeeded {
                    volume: r.volume,
                    units,
                    initiators: held.initiators as u32,
                });
            }
        }
        if let (true, Some(key)) = (c.ordered_by_key, r.key) {
            self.key_queues.entry(key).or_default().requests.push_back(r.id);
        }
        self.requests.insert(r.id, held);
        self.deadlines.insert((r.deadline, r.id));
        if !self.hold(now, r.id, true) {
            self.answer(now, r.id, actions);
        } else if let Some(shard) = self.requests[&r.id].shard {
            self.pump(now, shard, actions);
        }
    }

    /// Puts a request into the queue of its target, or says that it is to be refused.
    pub(super) fn hold(&mut self, now: Micros, id: RequestId, arriving: bool) -> bool {
        if !self.requests[&id].placed && self.requests[&id].tries.iter().all(|t| t.ran == Ran::Never) {
            let shard = self.place(now, id);
            self.requests.entry(id).and_modify(|h| h.shard = shard);
        }
        let h = &self.requests[&id];
        let (class, units, due, background) = (h.class, h.units, h.due, self.background[h.class]);
        // What the volume's limit cannot let through before the client gives up is given up at once.
        if arriving && self.limit(now, h).is_some_and(|(.., fill)| now + fill >= h.deadline) {
            return false;
        }
        let reach = h.reach;
        // Nobody whom its route lets it reach takes work: that is told at once.
        if let (true, Some(reach)) = (arriving, reach)
            && !self
                .reaches
                .get(&reach)
                .is_some_and(|targets| targets.iter().any(|n| self.targets.usable().contains(n)))
        {
            return false;
        }
        let Some(shard) = h.shard else {
            self.unplaced.push(id);
            return true;
        };
        if arriving && reach.is_some() && self.target_of(shard, reach).is_none() {
            return false;
        }
        let within = !arriving || self.within_due(now, id, shard);
        let queue = self.queues.requests(shard).to_vec();
        let at = self.position(&queue, due);
        if let (true, Some(target)) = (arriving, self.target_of(shard, reach)) {
            // Completion: units out and held ahead and its own, over the learned speed, plus the latency.
            let timely = queue[..at].iter().map(|q| &self.requests[q]).filter(|q| q.aim >= now);
            let ahead: f64 = timely.map(|q| q.units).sum();
            let mut sum = self.targets[&target].out_units + ahead + units;
            let free = self.cold_until(now, target, &self.requests[&id], ahead);
            let done = free + self.service(now, target, class, sum);
            // What the volume asks beyond its due goes first where the target is predicted full.
            let last =
                if within { due } else { now + (due.saturating_sub(now) as f64 * BEYOND_PART) as Micros };
            if background && done > last {
                self.requests.entry(id).and_modify(|h| {
                    h.due = h.deadline; // moved later, at most to its class deadline
                    h.aim = if within { h.aim } else { now };
                });
                let at = self.position(&queue, self.requests[&id].due);
                self.insert(shard, id, at);
                return true;
            }
            if !background {
                if done > last {
                    let queue = self.queues.level(shard);
                    if within {
                        let part = units / queue.asked.per_second(now).max(units);
                        // Not so low that it outlasts the trouble: a plan may have no reserve to live on.
                        let fallen = queue.level.min(queue.top) * (-LEVEL_FALL * part).exp();
                        queue.level = fallen.max(LEVEL_FLOOR * queue.top);
                    }
                    return false;
                }
                for q in &queue[at..] {
                    let other = &self.requests[q];
                    let before = now + self.service(now, target, other.class, sum + other.units - units);
                    let after = now + self.service(now, target, other.class, sum + other.units);
                    if !self.background[other.class] && before <= other.due && after > other.due {
                        return false;
                    }
                    sum += other.units;
                }
            }
        }
        self.insert(shard, id, at);
        true
    }

    /// Where a request with this deadline stands: behind earlier ones and those pushed back often enough.
    pub(super) fn position(&self, queue: &[RequestId], due: Micros) -> usize {
        let behind = |q: &RequestId| self.requests[q].due <= due || self.requests[q].pushed >= PUSH_BACKS;
        queue.iter().rposition(behind).map_or(0, |i| i + 1)
    }

    pub(super) fn insert(&mut self, shard: ShardId, id: RequestId, at: usize) {
        for behind in self.queues.insert(shard, at, id) {
            self.requests.entry(*behind).and_modify(|h| h.pushed += 1);
        }
        self.requests.entry(id).and_modify(|h| h.waiting = true);
    }

    /// Counts a request as asked, and tells whether it is inside its volume's due at the shard: the reserve
    /// and the weighted share at the queue's level, of which the part asked through this initiator counts
    /// here.
    pub(super) fn within_due(&mut self, now: Micros, id: RequestId, shard: ShardId) -> bool {
        let h = &self.requests[&id];
        let (units, initiators) = (h.units, h.initiators);
        let Some(plan) = h.plan.map(|p| self.settings.plans[p.0 as usize].clone()) else { return true };
        let told = self.settings.reports_usage_elsewhere;
        let meter_span = 4 * self.settings.meter_period;
        let v = self.volumes.entry(h.volume).or_default();
        v.seen = now;
        v.asked.add(now, units);
        v.lately.add(now, units);
        let whole = v.asked.per_second(now).max(1e-9);
        let p = v.parts.entry(shard).or_default();
        p.asked.add(now, units);
        p.lately.add(now, units);
        let mine = p.asked.per_second(now);
        // What comes through others: told for this shard, else the late meter, else an even part.
        let others = match v.meter.filter(|(at, _)| now < at + meter_span) {
            _ if told => p.elsewhere.per_second(now),
            Some((_, all)) => (all - v.served.per_second(now)).max(0.0) * mine / whole,
            None => plan.nominal * (initiators - 1.0) / initiators * mine / whole,
        };
        let reserve = plan.reserve * mine / whole;
        let over = (mine + others - reserve) / plan.weight.max(1e-9);
        let queue = self.queues.level(shard);
        if queue.level_at == 0 {
            queue.level = f64::INFINITY;
        }
        let passed = now.saturating_sub(queue.level_at) as f64 / 1e6;
        queue.level_at = now.max(1);
        queue.level *= (LEVEL_RISE * passed.min(1.0)).exp();
        queue.asked.add(now, units);
        queue.top = (queue.top * (-passed).exp()).max(over);
        let due = (reserve + queue.level * plan.weight) * mine / (mine + others);
        let gained = due * now.saturating_sub(p.filled) as f64 / 1e6;
        p.credit = (p.credit + gained).min(due.max(units));
        p.filled = now;
        let within = p.credit >= units;
        if within {
            p.credit -= units;
        }
        within
    }

    /// When to come back: the limit has room, and the target takes requests and is predicted to meet the aim.
    pub(super) fn advice(&self, now: Micros, h: &RequestState) -> Micros {
        let fill = self.limit(now, h).map_or(0, |(.., fill)| fill);
        let target = h.shard.and_then(|s| Some((self.target_of(s, h.reach)?, self.queues.requests(s))));
        let busy = target.map_or(Micros::MAX, |(target, queue)| {
            let n = &self.targets[&target];
            let held: f64 = queue.iter().map(|q| self.requests[q].units).sum();
            let done = self.service(now, target, h.class, n.out_units + held + h.units);
            let late = done.saturating_sub(self.settings.classes[h.class].latency_objective);
            late.max(n.rest_until.max(self.cold_until(now, target, h, 0.0)).saturating_sub(now))
        });
        fill.max(busy).max(SHORTEST_ADVICE).min(self.settings.max_retry_after)
    }
}
