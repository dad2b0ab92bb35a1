//! How much of something there is a second, lately.

use crate::interface::Micros;

/// Memory of the rates that volumes ask and are served at, in microseconds.
const RATE_SPAN: u64 = 1_000_000;
/// Memory of where a volume's requests go, which a few requests must tell.
const LONG_SPAN: u64 = 30_000_000;

/// A sum that forgets: its rate over about the last second.
pub(super) type Rate = Fading<RATE_SPAN>;
/// The same, over about the last half minute.
pub(super) type LongRate = Fading<LONG_SPAN>;

/// A sum that forgets: what was added a `SPAN` ago counts e times less.
#[derive(Default, Clone, Copy)]
pub(super) struct Fading<const SPAN: u64> {
    sum: f64,
    at: Micros,
}

impl<const SPAN: u64> Fading<SPAN> {
    pub fn add(&mut self, now: Micros, units: f64) {
        *self = Fading { sum: self.sum(now) + units, at: now };
    }

    /// What is left of all that was added.
    pub fn sum(&self, now: Micros) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / SPAN as f64).exp()
    }

    pub fn per_second(&self, now: Micros) -> f64 {
        self.sum(now) * 1e6 / SPAN as f64
    }
}
