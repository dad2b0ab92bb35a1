//! The periodic tick, and the timer for the next one.

use super::{RESPONSE_MARGIN_MICROS, Scheduler};
use crate::interface::{Action, Micros, ShardId};
use std::collections::BTreeSet;

/// How often queued requests are reconsidered: half of the shortest backoff, and less than any usual latency
/// objective.
const TICK_INTERVAL_MICROS: Micros = 10_000;
/// Idle volumes, keys and buckets are dropped after this time, so that memory use follows the number in use.
/// Volume usage is counted over the same span, so that dropped usage no longer counts.
const IDLE_EXPIRY_MICROS: Micros = 30_000_000;
/// The number of new objects without a shard whose placement may fail in one tick, which then retries no
/// others: each is compared with hundreds of targets, and a tick must not delay requests.
const MAX_FAILED_PLACEMENTS_PER_TICK: usize = 32;

/// The timer that is set, and the time of the last removal of idle state.
#[derive(Default)]
pub(super) struct Timers {
    /// When the next timer fires. The same number is the timer's token.
    wake_at: Option<Micros>,
    swept_at: Micros,
}

impl Timers {
    /// Whether `token` is that of the timer that is set; if so, the timer counts as fired.
    pub fn take_if_current(&mut self, token: u64) -> bool {
        self.wake_at.take_if(|at| *at == token).is_some()
    }
}

impl Scheduler {
    /// Handles everything that depends on time.
    pub(super) fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.cancel_stalled_attempts(now, actions);
        self.answer_at_deadline(now, actions);
        self.expire_unsent(now, actions);
        self.place_unplaced(now);
        self.dispatch_all(now, actions);
        self.evict_surplus_volumes(now);
        self.quota.evict_surplus(now);
        if now >= self.timers.swept_at + IDLE_EXPIRY_MICROS {
            self.remove_idle(now);
        }
    }

    /// Retries the placement of new objects without a shard. New objects that one tick does not reach are the
    /// first at the next.
    fn place_unplaced(&mut self, now: Micros) {
        let mut waiting = self.queues.take_unplaced().into_iter();
        while self.queues.unplaced_count() < MAX_FAILED_PLACEMENTS_PER_TICK
            && let Some(id) = waiting.next()
        {
            self.enqueue(now, id);
        }
        let failed = self.queues.take_unplaced();
        self.queues.set_unplaced(waiting.chain(failed).collect());
    }

    /// Dispatches the ready requests of all shards, beginning with the shard whose first request has the
    /// earliest virtual deadline: units of a volume's limit go to that request, whatever its shard.
    fn dispatch_all(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let first_deadline = |shard: ShardId| {
            let first = self.queues.requests(shard).first()?;
            Some((self.requests[first].virtual_deadline, shard))
        };
        let by_deadline: BTreeSet<(Micros, ShardId)> =
            self.queues.not_empty().filter_map(first_deadline).collect();
        for (_, shard) in by_deadline {
            self.dispatch_ready(now, shard, actions);
        }
    }

    /// Removes idle queues, share levels, buckets, volumes and keys, and removed targets.
    fn remove_idle(&mut self, now: Micros) {
        self.timers.swept_at = now;
        let Scheduler { requests, targets, queues, fair_share, key_order, quota, volumes, .. } = self;
        volumes.retain(|_, volume| volume.last_request_at + IDLE_EXPIRY_MICROS > now);
        targets.drop_removed();
        fair_share.remove_unused(|shard| targets.has_shard(shard) || !queues.requests(shard).is_empty());
        queues.remove_empty(|shard| targets.has_shard(shard));
        key_order.remove_idle(now);
        quota.remove_idle(now, IDLE_EXPIRY_MICROS, |volume| {
            requests.values().any(|request| request.volume == volume)
        });
    }

    /// Sets a timer for the next tick, or for an earlier deadline, while any request has a deadline.
    pub(super) fn set_next_timer(&mut self, now: Micros, actions: &mut Vec<Action>) {
        let Some((deadline, _)) = self.deadlines.first() else { return };
        let response_due = deadline.saturating_sub(RESPONSE_MARGIN_MICROS);
        let at = (now + TICK_INTERVAL_MICROS).min(response_due).max(now);
        if self.timers.wake_at.is_none_or(|wake_at| at < wake_at) {
            self.timers.wake_at = Some(at);
            actions.push(Action::SetTimer { token: at, after: at - now });
        }
    }
}
