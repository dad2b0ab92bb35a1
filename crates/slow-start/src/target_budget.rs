//! One initiator's even part of what a warming target bears.

use crate::{Micros, ReservedUnits, SlowStartRule};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The fraction of the even part that is not spent where it is less than one request. Single requests of many
/// initiators meet in one window by chance; the free half keeps such a window below the bound. How a half was
/// found is not recorded (docs/design/open-questions.md).
const CHANCE_HEADROOM_FRACTION: f64 = 0.5;

/// The smallest rate, and the smallest growth a microsecond, that spans are divided by.
const SMALLEST_RATE: f64 = 1e-9;
const SMALLEST_GROWTH: f64 = 1e-12;

/// A target that warms up, and what this initiator has sent it on account of the even part.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TargetBudget {
    pub(crate) started: Micros,
    /// When this initiator was notified of the start.
    #[serde(rename = "told")]
    pub(crate) notified_at: Micros,
    /// The random phase of the first send, from 0 to 1.
    pub(crate) phase: f64,
    /// When units arrived, and how many.
    #[serde(rename = "sends")]
    arrivals: VecDeque<(Micros, f64)>,
    /// What has not arrived yet.
    #[serde(default, rename = "on_way")]
    reserved: Vec<ReservedUnits>,
}

impl TargetBudget {
    /// A target that started at a time. `phase` is drawn evenly from 0 to 1; 1 waits for a whole span, for a
    /// process that knows nothing of what went before.
    pub fn new(started: Micros, notified_at: Micros, phase: f64) -> TargetBudget {
        TargetBudget { started, notified_at, phase, ..TargetBudget::default() }
    }

    /// From when on the even part admits these units; `now` or earlier: at once.
    ///
    /// `history_since` is when this initiator started: what it sent before that is not known to it. The part
    /// admits what fits beside the arrivals of the last window. Where it is smaller than the request, the
    /// request waits until the part, grown by the target's warming, has made up its units.
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
        // At the initial part the units take `span`; the part grows by `growth` of it a microsecond.
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

    /// What counts against the even part, and from when on.
    fn charges(&self, now: Micros) -> impl Iterator<Item = (Micros, f64)> {
        let reserved = self.reserved.iter().map(move |r| (r.arrives_at(now), r.units));
        self.arrivals.iter().copied().chain(reserved)
    }

    /// Takes units for a request that is on its way.
    pub fn reserve(&mut self, reserved: ReservedUnits) {
        self.reserved.push(reserved);
    }

    /// A request's units have arrived now. Without a reservation of this request nothing happens.
    pub fn commit(&mut self, now: Micros, request: u64) {
        if let Some(reserved) = self.remove_reserved(request) {
            self.arrivals.push_back((reserved.arrives_at(now), reserved.units));
        }
    }

    /// A request never left: its units come back.
    pub fn release(&mut self, request: u64) {
        self.remove_reserved(request);
    }

    fn remove_reserved(&mut self, request: u64) -> Option<ReservedUnits> {
        let place = self.reserved.iter().position(|r| r.request == request)?;
        Some(self.reserved.swap_remove(place))
    }

    /// Units were sent and arrived at once, without a reservation.
    pub fn record_arrival(&mut self, now: Micros, units: f64) {
        self.arrivals.push_back((now, units));
    }
}
