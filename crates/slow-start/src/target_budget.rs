//! One initiator's even part of the load that a warming target accepts.

use crate::{Micros, ReservedUnits, SlowStartRule};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The fraction of the even part that stays unused if the part is less than one request. Single requests of
/// many initiators coincide in one window by chance; the unused half keeps such a window below the bound.
/// Whether half is the best fraction is an open question (docs/design/open-questions.md).
const CHANCE_HEADROOM_FRACTION: f64 = 0.5;

/// Lower bounds on values that spans are divided by: a rate, and a growth per microsecond.
const SMALLEST_RATE: f64 = 1e-9;
const SMALLEST_GROWTH: f64 = 1e-12;

/// A warming target, and what this initiator has sent to it from its even part.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetBudget {
    pub(crate) started: Micros,
    /// When this initiator was notified of the target's start.
    #[serde(rename = "told")]
    pub(crate) notified_at: Micros,
    /// The random phase of the first send, from 0 to 1.
    pub(crate) phase: f64,
    /// When units arrived, and how many.
    #[serde(rename = "sends")]
    arrivals: VecDeque<(Micros, f64)>,
    /// Units that have not arrived yet.
    #[serde(default, rename = "on_way")]
    reserved: Vec<ReservedUnits>,
}

impl TargetBudget {
    /// Creates the budget of a target that started at `started`. `phase` is drawn evenly from 0 to 1; 1 waits
    /// for a whole span, for a process that does not know what was sent earlier.
    pub fn new(started: Micros, notified_at: Micros, phase: f64) -> TargetBudget {
        TargetBudget { started, notified_at, phase, ..TargetBudget::default() }
    }

    /// Earliest time at which the even part admits these units; a time up to `now` means immediately.
    ///
    /// `history_since` is when this initiator started: it does not know what it sent before. The part admits
    /// units that fit in addition to the arrivals of the last window. If the part is smaller than the
    /// request, the request waits until the part, which grows as the target warms up, has accumulated its
    /// units.
    pub fn admits_at(&self, rule: &SlowStartRule, now: Micros, history_since: Micros, units: f64) -> Micros {
        let window = rule.overload_window;
        let (started, window_begin) = (self.started, now.saturating_sub(window));
        let initial = rule.clamped_initial_capacity();
        let grown = rule.min_capacity(started, window_begin) / initial;
        let part = rule.initial_units * grown / f64::from(rule.initiators.max(1));
        let known_since = history_since.max(started);
        let in_window: f64 = self.charges(now).filter(|(at, _)| *at >= window_begin).map(|(_, u)| u).sum();
        if in_window + units <= part {
            return now.max(if known_since > started { known_since + window } else { 0 });
        }
        // At the initial part the units take `span`; the part grows by the fraction `growth` per microsecond.
        let span =
            window as f64 * units * grown / (part * (1.0 - CHANCE_HEADROOM_FRACTION)).max(SMALLEST_RATE);
        let growth = ((1.0 - initial) / initial / rule.duration.max(1) as f64).max(SMALLEST_GROWTH);
        let last = self.charges(now).map(|(at, _)| at).max();
        let (begin, spans) = last.map_or((known_since, self.phase), |at| (at, 1.0));
        let reached = 1.0 + growth * begin.saturating_sub(started) as f64;
        let wait = ((reached.powi(2) + 2.0 * growth * span * spans).sqrt() - 1.0) / growth;
        let made_up_at = started + wait as Micros;
        made_up_at.max(last.map_or(0, |at| at + window))
    }

    /// The units that count against the even part, with the time of their arrival.
    fn charges(&self, now: Micros) -> impl Iterator<Item = (Micros, f64)> {
        let reserved = self.reserved.iter().map(move |r| (r.arrives_at(now), r.units));
        self.arrivals.iter().copied().chain(reserved)
    }

    /// Reserves units for a request that is about to be sent.
    pub fn reserve(&mut self, reserved: ReservedUnits) {
        self.reserved.push(reserved);
    }

    /// Records that a request's units have arrived now. Does nothing if the request has no reservation.
    pub fn commit(&mut self, now: Micros, request: u64) {
        if let Some(reserved) = self.remove_reserved(request) {
            self.arrivals.push_back((reserved.arrives_at(now), reserved.units));
        }
    }

    /// Returns the units of a request that was never sent.
    pub fn release(&mut self, request: u64) {
        self.remove_reserved(request);
    }

    fn remove_reserved(&mut self, request: u64) -> Option<ReservedUnits> {
        let place = self.reserved.iter().position(|r| r.request == request)?;
        Some(self.reserved.swap_remove(place))
    }

    /// Records units that arrived immediately, without a reservation.
    pub fn record_arrival(&mut self, now: Micros, units: f64) {
        self.arrivals.push_back((now, units));
    }
}
