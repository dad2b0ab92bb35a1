//! Exponentially decaying sums, for rates over the recent past.

use super::MICROS_PER_SECOND;
use crate::interface::Micros;

/// The time constant of the rates at which volumes request units and are served. It is short, since shares
/// follow the current demand.
const RATE_SPAN_MICROS: u64 = 1_000_000;
/// The time constant of the rates that show each shard's part of a volume's requests. A volume that sends one
/// request every few seconds must still have a part at each of its shards (docs/design/slow-start.md).
const LONG_RATE_SPAN_MICROS: u64 = 30_000_000;

/// A rate over about the last second.
pub(super) type Rate = DecayingSum<RATE_SPAN_MICROS>;
/// A rate over about the last half minute.
pub(super) type LongRate = DecayingSum<LONG_RATE_SPAN_MICROS>;

/// A sum in which a value that was added `SPAN` microseconds ago has decayed by a factor of e.
#[derive(Default, Clone, Copy)]
pub(super) struct DecayingSum<const SPAN: u64> {
    sum: f64,
    updated_at: Micros,
}

impl<const SPAN: u64> DecayingSum<SPAN> {
    pub fn add(&mut self, now: Micros, units: f64) {
        *self = DecayingSum { sum: self.sum(now) + units, updated_at: now };
    }

    /// The decayed sum of all added values.
    pub fn sum(&self, now: Micros) -> f64 {
        self.sum * (-(now.saturating_sub(self.updated_at) as f64) / SPAN as f64).exp()
    }

    pub fn per_second(&self, now: Micros) -> f64 {
        self.sum(now) * MICROS_PER_SECOND / SPAN as f64
    }
}
