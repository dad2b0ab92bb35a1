//! One initiator's share of a volume's reserve at a warming target.

use crate::{MICROS_PER_SECOND, Micros, ReservedUnits, SlowStartRule, TargetBudget};
use serde::{Deserialize, Serialize};

/// Conjugate of the golden ratio. The fractional parts of its multiples are spread evenly from 0 to 1, so
/// that the volumes of one initiator start at different phases.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// Lower bound on rates that a span is divided by, in units per second.
const SMALLEST_RATE: f64 = 1e-9;
/// Upper bound on spans: a volume without a reserve has a rate of zero, and its requests are never admitted.
const LONGEST_SPAN_MICROS: f64 = 1e15;

/// Paces the requests of one volume to one warming target, so that the sum over all initiators stays below
/// [`SlowStartRule::reserve_fraction`] of the reserve. This guards against many initiators that each send
/// only a little to the same target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReservePacer {
    /// Earliest time at which the next units may be sent; absent before the first.
    #[serde(rename = "next")]
    next_at: Option<Micros>,
    /// The units that have not arrived yet, and the span that they take after their arrival.
    #[serde(default, rename = "on_way")]
    reserved: Option<(ReservedUnits, Micros)>,
    /// Offset of the first send from those of the initiator's other volumes, from 0 to 1.
    #[serde(default, rename = "shift")]
    phase_shift: f64,
}

impl ReservePacer {
    /// Creates the pacer of the volume with this number.
    pub fn new(volume: u64) -> ReservePacer {
        let phase_shift = (volume as f64 * GOLDEN_RATIO_FRACTION).fract();
        ReservePacer { phase_shift, ..ReservePacer::default() }
    }

    /// Earliest time at which the pacer admits these units; a time up to `now` means immediately. `rate` is
    /// this initiator's share of the reserve, in units per second.
    pub fn admits_at(
        &self,
        rule: &SlowStartRule,
        target: &TargetBudget,
        now: Micros,
        rate: f64,
        units: f64,
    ) -> Micros {
        // A phase of 1 is not random: nothing is known of earlier sends, so the whole span has to pass.
        let phase = if target.phase < 1.0 { (target.phase + self.phase_shift).fract() } else { 1.0 };
        let first = (ReservePacer::span(rule, target, now, rate, units) as f64 * phase) as Micros;
        let after_reserved = self.reserved.map(|(reserved, span)| reserved.arrives_at(now) + span);
        let next = after_reserved.or(self.next_at).unwrap_or(0);
        next.max(target.notified_at.saturating_add(first))
    }

    /// Reserves units for a request that is about to be sent. The pacer admits no more until they have
    /// arrived and their span has passed.
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

    /// Records that a request's units have arrived now. Does nothing if the request has no reservation.
    pub fn commit(&mut self, now: Micros, request: u64) {
        if let Some((reserved, span)) = self.take_reserved(request) {
            self.next_at = Some(reserved.arrives_at(now) + span);
        }
    }

    /// Returns the units of a request that was never sent.
    pub fn release(&mut self, request: u64) {
        self.take_reserved(request);
    }

    fn take_reserved(&mut self, request: u64) -> Option<(ReservedUnits, Micros)> {
        self.reserved.take_if(|(reserved, _)| reserved.request == request)
    }

    /// Records units that arrived immediately, without a reservation.
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

    /// Time that these units take at the paced rate.
    fn span(rule: &SlowStartRule, target: &TargetBudget, now: Micros, rate: f64, units: f64) -> Micros {
        let paced_rate = rate * rule.reserve_fraction(target.started, now);
        (units / paced_rate.max(SMALLEST_RATE) * MICROS_PER_SECOND).min(LONGEST_SPAN_MICROS) as Micros
    }
}
