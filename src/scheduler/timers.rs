//! What time alone brings about, and when the scheduler asks to be called again.

use super::{RESPONSE_MARGIN_MICROS, Scheduler};
use crate::interface::{Action, Micros, ShardId};
use std::collections::BTreeSet;

/// How often queued requests are looked at again while there are any: half of the shortest backoff, and
/// below every usual latency objective.
const TICK_INTERVAL_MICROS: Micros = 10_000;
/// Idle volumes, keys and buckets are forgotten after this long, so that memory follows those in use. The
/// same span that volume usage is counted over: what is forgotten counts for nothing.
const IDLE_EXPIRY_MICROS: Micros = 30_000_000;
/// New objects without a shard that are placed again in one tick and find none, at most: each is compared
/// with hundreds of targets, and a tick must not delay requests. How the figure was found is not recorded
/// (docs/design/open-questions.md).
const MAX_FAILED_PLACEMENTS_PER_TICK: usize = 32;

/// The timer that is set, and when idle state was last forgotten.
#[derive(Default)]
pub(super) struct Timers {
    /// When the next timer fires; its token is the same number.
    wake_at: Option<Micros>,
    swept_at: Micros,
}

impl Timers {
    /// Whether this token is that of the timer that is set; if so, it is not set any more.
    pub fn take_if_current(&mut self, token: u64) -> bool {
        self.wake_at.take_if(|at| *at == token).is_some()
    }
}

impl Scheduler {
    /// Looks at everything that time may have changed.
    pub(super) fn tick(&mut self, now: Micros, actions: &mut Vec<Action>) {
        self.cancel_stalled_attempts(now, actions);
        self.answer_at_deadline(now, actions);
        self.give_up_unsent(now, actions);
        self.place_unplaced(now);
        self.dispatch_all(now, actions);
        if now >= self.timers.swept_at + IDLE_EXPIRY_MICROS {
            self.forget_idle(now);
        }
    }

    /// Looks for a shard again for new objects that had none. Those that a bounded look does not reach are
    /// first the next time.
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

    /// Dispatches what is ready at all shards, the one whose first request has the earliest virtual deadline
    /// first: units of a volume's limit go to it, whatever its shard.
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

    /// Forgets idle queues, buckets, volumes and keys, and removed targets.
    fn forget_idle(&mut self, now: Micros) {
        self.timers.swept_at = now;
        let Scheduler { requests, targets, queues, fair_share, key_order, quota, volumes, .. } = self;
        volumes.retain(|_, volume| volume.last_request_at + IDLE_EXPIRY_MICROS > now);
        targets.forget_removed();
        fair_share.forget_unused(|shard| targets.has_shard(shard) || !queues.requests(shard).is_empty());
        queues.forget_empty(|shard| targets.has_shard(shard));
        key_order.forget_idle(now);
        quota.forget_idle(now, IDLE_EXPIRY_MICROS, |volume| {
            requests.values().any(|request| request.volume == volume)
        });
    }

    /// Sets a timer for the next tick, or for a deadline that comes sooner, while a request has a deadline.
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
