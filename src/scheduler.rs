//! Every decision of rowanglade. Its types, events and actions stand in `src/interface.rs`; the rules, each
//! with its reason and its test, are listed in `docs/design/decisions.md`.
//!
//! Each shard has a queue of requests in earliest-deadline order with capped overtakes. Requests are rejected
//! on arrival by predicted completion; background work is always admitted. The units in flight at a target
//! stay below a limit that follows its learned speed.
//!
//! A request passes through the modules in this order:
//!
//! 1. `admission` rejects it or admits it; a new object first gets its shard from `placement`;
//! 2. `queue_order` queues it at its shard;
//! 3. `dispatch` sends it to its target as soon as the rules on sends allow it, or `giving_up` ends its wait;
//! 4. `outcomes` acts on the end of an attempt: `learning` and `backoff` first, then `retry`, which queues
//!    the request again or ends it;
//! 5. `responses` gives it its final response and removes it.
//!
//! `timers` repeats what depends on time alone.

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

/// Microseconds in a second, for rates in units a second.
const MICROS_PER_SECOND: f64 = 1e6;
/// Later than any time that counts, and small enough that times can be added to it.
const NEVER: Micros = 1_000_000_000_000_000;
/// Final responses leave this long before the client's deadline, and no attempt starts after that: a response
/// that reaches the client at its deadline is lost. The figure is not explained
/// (docs/design/open-questions.md).
const RESPONSE_MARGIN_MICROS: Micros = 4_000;

/// What only one process of an initiator may spend: units of limits, and budgets of warming targets.
#[derive(Default)]
struct Ownership {
    /// Since when all that was sent is known here: the first event, or what a predecessor handed over.
    since: Option<Micros>,
    /// Another process has it now.
    is_transferred: bool,
}

/// The decisions of one initiator. [`Scheduler::handle`] takes what happens and returns what to do.
#[derive(Default)]
pub struct Scheduler {
    settings: Settings,
    objectives: Objectives,
    slow_start: SlowStartRule,
    random: RandomDraws,
    ownership: Ownership,
    /// Requests without a final response, or with an attempt in flight.
    requests: BTreeMap<RequestId, RequestState>,
    /// Those without a final response, by their deadline.
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
    /// A scheduler without targets or requests. `seed` decides all random draws. Fails where the settings
    /// cannot be used; see [`Settings::check`].
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

    /// Takes an event that happened at `now`, in microseconds of a clock that only goes forward, and appends
    /// what to do to `actions`. Events about unknown requests, attempts or targets change nothing.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.ownership.since.get_or_insert(now);
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
            Event::TimerFired { token } => {
                if self.timers.take_if_current(token) {
                    self.tick(now, actions);
                }
            }
        }
        self.set_next_timer(now, actions);
    }
}
