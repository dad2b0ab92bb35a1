//! Sums that decay with time, for rates of the recent past.

use super::MICROS_PER_SECOND;
use crate::interface::Micros;

/// The span of the rates at which volumes are asked for and served: short, since shares follow the demand of
/// the moment. How a second was found is not recorded (docs/design/open-questions.md).
const RATE_SPAN_MICROS: u64 = 1_000_000;
/// The span over which the part of a volume's requests at each shard is counted: a volume that sends one
/// request in some seconds must still have a part at each of its shards (docs/design/slow-start.md).
const LONG_RATE_SPAN_MICROS: u64 = 30_000_000;

/// A rate over about the last second.
pub(super) type Rate = DecayingSum<RATE_SPAN_MICROS>;
/// A rate over about the last half minute.
pub(super) type LongRate = DecayingSum<LONG_RATE_SPAN_MICROS>;

/// A sum in which what was added `SPAN` microseconds ago counts e times less.
#[derive(Default, Clone, Copy)]
pub(super) struct DecayingSum<const SPAN: u64> {
    sum: f64,
    updated_at: Micros,
}

impl<const SPAN: u64> DecayingSum<SPAN> {
    pub fn add(&mut self, now: Micros, units: f64) {
        *self = DecayingSum { sum: self.sum(now) + units, updated_at: now };
    }

    /// What is left of all that was added.
    pub fn sum(&self, now: Micros) -> f64 {
        self.sum * (-(now.saturating_sub(self.updated_at) as f64) / SPAN as f64).exp()
    }

    pub fn per_second(&self, now: Micros) -> f64 {
        self.sum(now) * MICROS_PER_SECOND / SPAN as f64
    }
}
