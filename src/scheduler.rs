//! The decisions of an initiator: which requests are admitted, when and to which target each is sent, and
//! whether it is retried. The settings, events and actions are defined in `src/interface.rs`; every rule, its
//! reason and its test are listed in `docs/design/decisions.md`.
//!
//! Each shard has a queue in earliest-deadline order with capped overtakes. A request is rejected on arrival
//! when its predicted completion misses its objective; background requests are admitted whatever the
//! prediction. The units in flight at a target stay below a concurrency limit that follows the target's
//! learned speed.
//!
//! A request passes through the modules in this order:
//!
//! 1. `admission` admits or rejects it; `placement` first chooses the shard of a new object;
//! 2. `queue_order` inserts it into the queue of its shard;
//! 3. `dispatch` sends it to its target as soon as the dispatch rules allow it, or `giving_up` expires it;
//! 4. `outcomes` handles the end of an attempt: `learning` and `backoff` update the state of the target, then
//!    `retry` queues the request again or ends it;
//! 5. `responses` gives it its final response and removes it.
//!
//! `timers` runs the periodic tick for everything that depends on time alone.

#![warn(missing_docs)]

use crate::interface::{Action, Event, Micros, RequestId, Settings, SettingsError, VolumeId};
use rowanglade_slow_start::SlowStartRule;
use std::collections::{BTreeMap, BTreeSet};

mod admission;
mod backoff;
mod concurrency_limit;
mod decaying_sum;
mod dispatch;
mod endpoint_updates;
mod estimates;
mod fairness;
mod giving_up;
mod key_order;
mod learning;
mod objectives;
mod outcomes;
mod placement;
mod queue_order;
mod queues;
mod quota;
mod random;
mod request;
mod responses;
mod retry;
mod shutdown;
mod slow_start;
pub mod snapshot;
mod stalled_attempts;
mod target;
mod target_sets;
mod targets;
mod timers;
mod token_bucket;
mod volume_usage;

use estimates::Estimates;
use fairness::FairShare;
use key_order::KeyOrder;
use objectives::Objectives;
use outcomes::AttemptEnd;
use queues::Queues;
use quota::QuotaLedger;
use random::RandomDraws;
use request::RequestState;
use retry::RetryBudgetWindow;
use target_sets::TargetSets;
use targets::Targets;
use timers::Timers;
use volume_usage::{UsageReport, VolumeUsage};

/// Microseconds per second, for rates in units per second.
const MICROS_PER_SECOND: f64 = 1e6;
/// A time later than any that occurs, and small enough that other times can be added to it.
const NEVER: Micros = 1_000_000_000_000_000;
/// A request gets its final response this long before its client's deadline at the latest, and no attempt
/// starts after that: a response that reaches the client at its deadline is lost.
const RESPONSE_MARGIN_MICROS: Micros = 4_000;

/// Ownership of the state that only one process of an initiator may spend: the units of volume limits, and
/// the slow-start budgets of warming targets.
#[derive(Default)]
struct Ownership {
    /// The start of the period in which everything that the initiator sent is known here: the first event, or
    /// the start that a predecessor handed over.
    history_since: Option<Micros>,
    /// Another process owns the state now.
    is_transferred: bool,
}

/// The decisions of one initiator. [`Scheduler::handle`] takes an event and returns the actions that follow
/// from it.
#[derive(Default)]
pub struct Scheduler {
    settings: Settings,
    objectives: Objectives,
    slow_start: SlowStartRule,
    random: RandomDraws,
    ownership: Ownership,
    /// When all responses of this process are due at the latest; absent: no shutdown has started.
    responses_due: Option<Micros>,
    /// Requests without a final response, and finished ones with an attempt in flight.
    requests: BTreeMap<RequestId, RequestState>,
    /// The requests without a final response whose deadline still applies, earliest deadline first.
    deadlines: BTreeSet<(Micros, RequestId)>,
    queues: Queues,
    targets: Targets,
    target_sets: TargetSets,
    key_order: KeyOrder,
    quota: QuotaLedger,
    volumes: BTreeMap<VolumeId, VolumeUsage>,
    fair_share: FairShare,
    estimates: Estimates,
    retry_budget: RetryBudgetWindow,
    timers: Timers,
}

impl Scheduler {
    /// Creates a scheduler without targets or requests. `seed` determines all of its random draws. Returns an
    /// error if the settings are invalid; see [`Settings::check`].
    pub fn new(settings: Settings, seed: u64) -> Result<Scheduler, SettingsError> {
        settings.check()?;
        let margins = vec![1.0; settings.classes.len()];
        Ok(Scheduler {
            objectives: Objectives::new(&settings.classes),
            slow_start: settings.slow_start(),
            random: RandomDraws::new(seed),
            estimates: Estimates { margins, ..Estimates::default() },
            settings,
            ..Scheduler::default()
        })
    }

    /// Handles an event that happened at `now`, in microseconds of a monotonic clock, and appends the
    /// resulting actions to `actions`. Events about unknown requests, attempts or targets change nothing.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.ownership.history_since.get_or_insert(now);
        match event {
            Event::RequestArrived(profile) => self.request_arrived(now, profile, actions),
            Event::AttemptEnded {
                id,
                attempt,
                outcome,
                elapsed,
                request_over,
                used_fraction,
                units_elsewhere,
                ..
            } => {
                let report = UsageReport { outcome, used_fraction, units_elsewhere };
                self.record_usage(now, id, report);
                let end = AttemptEnd { id, attempt, outcome, elapsed, request_over };
                self.attempt_ended(now, end, actions);
            }
            Event::TransferStarted { id, attempt, deadline_applies } => {
                self.transfer_started(id, attempt, deadline_applies);
            }
            Event::ClientGone { id } => self.client_gone(now, id, actions),
            Event::EndpointsChanged { kind, entries } => self.endpoints_changed(now, kind, &entries, actions),
            Event::PreferredTargetsChanged(targets) => {
                self.target_sets.preferred = targets.into_iter().collect();
            }
            Event::TargetSetChanged { set, targets } => self.target_sets.set(set, targets),
            Event::QuotaRequested { volume, max_units } => self.offer_quota(now, volume, max_units, actions),
            Event::QuotaReceived { volume, units } => self.quota.receive(now, volume, units),
            Event::ProbeEnded { .. } => {}
            Event::OwnershipChanged { owned_here } => self.ownership.is_transferred = !owned_here,
            Event::ShutdownStarted { responses_due } => self.shutdown_started(responses_due),
            Event::TimerFired { token } => {
                if self.timers.take_if_current(token) {
                    self.tick(now, actions);
                }
            }
        }
        self.set_next_timer(now, actions);
    }
}
