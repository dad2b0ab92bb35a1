//! What time alone brings about: last answers, requests given up, and what is forgotten.

use super::*;

/// New objects without a shard that are looked at again in one turn and find none, at most.
const MOST_PLACED_AGAIN: usize = 32;

impl Scheduler {
    pub(super) fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.call_off_lost(now, actions);
        while let Some(&(deadline, id)) = self.deadlines.first()
            && deadline <= now + ANSWER_EARLY
        {
            self.answer(now, id, actions);
        }
        // Given up at once: what waited unsent for too long, and what its limit keeps too long.
        let kept = |h: &RequestState| self.limit(now, h).is_some_and(|(.., fill)| now + fill >= h.deadline);
        let late = |h: &RequestState| kept(h) || h.patience < now;
        let lost = |(_, h): &(_, &RequestState)| h.waiting && h.tries.is_empty() && late(h);
        let lost: Vec<_> = self.requests.iter().filter(lost).map(|(id, _)| *id).collect();
        lost.into_iter().for_each(|id| self.answer(now, id, actions));
        self.place_waiting(now);
        let due = |shard| Some((self.requests[self.queues.requests(shard).first()?].due, shard));
        let by_due: BTreeSet<(Micros, ShardId)> = self.queues.waiting().filter_map(due).collect();
        for (_, shard) in by_due {
            self.pump(now, shard, actions);
        }
        if now >= self.swept + FORGET {
            self.sweep(now);
        }
    }

    /// Looks for a shard again for new objects that had none. Those that a bounded look does not reach are
    /// first the next time.
    fn place_waiting(&mut self, now: Micros) {
        let mut waiting = std::mem::take(&mut self.unplaced).into_iter();
        while self.unplaced.len() < MOST_PLACED_AGAIN
            && let Some(id) = waiting.next()
        {
            self.hold(now, id, false);
        }
        let tried = std::mem::take(&mut self.unplaced);
        self.unplaced = waiting.chain(tried).collect();
    }

    /// Nothing is kept for ever: idle queues, limits and keys, and targets that are gone.
    pub(super) fn sweep(&mut self, now: Micros) {
        self.swept = now;
        let Scheduler { requests, targets, queues, key_queues, limits, volumes, .. } = self;
        volumes.retain(|_, v| v.seen + FORGET > now);
        targets.forget_gone();
        queues.forget(|shard| targets.has_shard(shard));
        key_queues.retain(|_, queue| !queue.requests.is_empty() || queue.rests_until > now);
        limits.retain(|v, l| !l.is_idle(now, FORGET) || requests.values().any(|h| h.volume == *v));
    }

    pub(super) fn next_wake(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let mut at = None;
        if let Some((deadline, _)) = self.deadlines.first() {
            at = Some((now + TICK).min((*deadline).saturating_sub(ANSWER_EARLY)).max(now));
        }
        if let Some(at) = at.filter(|at| self.wake_at.is_none_or(|w| *at < w)) {
            self.wake_at = Some(at);
            actions.push(Action::SetTimer { token: at, after: at - now });
        }
    }
}
