//! One initiator's share of a volume's reserve at a warming target.

use crate::{MICROS_PER_SECOND, Micros, ReservedUnits, SlowStartRule, TargetBudget};
use serde::{Deserialize, Serialize};

/// The fractional parts of its multiples lie evenly from 0 to 1, so that the volumes of one initiator begin
/// apart.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// The smallest rate, in units a second, that a span is divided by.
const SMALLEST_RATE: f64 = 1e-9;
/// The longest span: a volume without a reserve has no pace that could admit anything.
const LONGEST_SPAN_MICROS: f64 = 1e15;

/// Paces the requests of one volume to one warming target, so that the sum over all initiators stays below
/// [`SlowStartRule::reserve_fraction`] of the reserve. Guards against many initiators that each send a little
/// to one target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReservePacer {
    /// From when on the next units may be sent.
    #[serde(rename = "next")]
    next_at: Option<Micros>,
    /// What has not arrived yet, and the span that its units take after their arrival.
    #[serde(default, rename = "on_way")]
    reserved: Option<(ReservedUnits, Micros)>,
    /// Sets its first send apart from those of other volumes at this initiator, from 0 to 1.
    #[serde(default, rename = "shift")]
    phase_shift: f64,
}

impl ReservePacer {
    /// The pacer of the volume with this number.
    pub fn new(volume: u64) -> ReservePacer {
        let phase_shift = (volume as f64 * GOLDEN_RATIO_FRACTION).fract();
        ReservePacer { phase_shift, ..ReservePacer::default() }
    }

    /// From when on the pacer admits these units; `now` or earlier: at once. `rate` is this initiator's share
    /// of the reserve, in units a second.
    pub fn admits_at(
        &self,
        rule: &SlowStartRule,
        target: &TargetBudget,
        now: Micros,
        rate: f64,
        units: f64,
    ) -> Micros {
        // A whole phase is no draw: nothing is known of what went before, and all of the span is waited for.
        let phase = if target.phase < 1.0 { (target.phase + self.phase_shift).fract() } else { 1.0 };
        let first = (ReservePacer::span(rule, target, now, rate, units) as f64 * phase) as Micros;
        let after_reserved = self.reserved.map(|(reserved, span)| reserved.arrives_at(now) + span);
        let next = after_reserved.or(self.next_at).unwrap_or(0);
        next.max(target.notified_at.saturating_add(first))
    }

    /// Takes units for a request that is on its way; the pacer admits nothing more until they have arrived
    /// and their span is over.
    pub fn reserve(
        &mut self,
        rule: &SlowStartRule,
        target: &TargetBudget,
        now: Micros,
        rate: f64,
        reserved: ReservedUnits,
    ) {
        self.reserved = Some((reserved, ReservePacer::span(rule, target, now, rate, reserved.units)));
    }

    /// A request's units have arrived now. Without a reservation of this request nothing happens.
    pub fn commit(&mut self, now: Micros, request: u64) {
        if let Some((reserved, span)) = self.take_reserved(request) {
            self.next_at = Some(reserved.arrives_at(now) + span);
        }
    }

    /// A request never left: its units come back.
    pub fn release(&mut self, request: u64) {
        self.take_reserved(request);
    }

    fn take_reserved(&mut self, request: u64) -> Option<(ReservedUnits, Micros)> {
        self.reserved.take_if(|(reserved, _)| reserved.request == request)
    }

    /// Units were sent and arrived at once, without a reservation.
    pub fn record_arrival(
        &mut self,
        rule: &SlowStartRule,
        target: &TargetBudget,
        now: Micros,
        rate: f64,
        units: f64,
    ) {
        self.next_at = Some(now + ReservePacer::span(rule, target, now, rate, units));
    }

    /// How long these units take at the paced rate.
    fn span(rule: &SlowStartRule, target: &TargetBudget, now: Micros, rate: f64, units: f64) -> Micros {
        let paced_rate = rate * rule.reserve_fraction(target.started, now);
        (units / paced_rate.max(SMALLEST_RATE) * MICROS_PER_SECOND).min(LONGEST_SPAN_MICROS) as Micros
    }
}
