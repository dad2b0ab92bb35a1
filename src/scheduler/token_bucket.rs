//! This initiator's part of the units that a volume's limit has left.

use super::MICROS_PER_SECOND;
use crate::interface::Micros;

/// Units that fill up at a rate, to a cap. A request reserves its units when it is decided to send it, and
/// they are committed once it has reached a target, which may be much later: a connection can take long to
/// come up. Reserved units leave no room that could fill up meanwhile, or it would be granted twice.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct TokenBucket {
    available: f64,
    updated_at: Micros,
    reserved: f64,
    /// This initiator's part of the limit's rate, in units a second, as the last request's profile gives it.
    rate: f64,
    /// The most units that it holds, likewise.
    capacity: f64,
}

impl TokenBucket {
    /// What was available at a time, with nothing reserved.
    pub fn new(available: f64, at: Micros) -> TokenBucket {
        TokenBucket { available, updated_at: at, ..TokenBucket::default() }
    }

    /// What is certain at a start: whoever had this part before may have used all of it up, and all of the
    /// debt that the limit allows.
    pub fn exhausted(debt_limit: f64, started_at: Micros) -> TokenBucket {
        TokenBucket::new(-debt_limit, started_at)
    }

    /// Sets the rate, in units a second, and the most units that it holds.
    pub fn configure(&mut self, rate: f64, capacity: f64) {
        (self.rate, self.capacity) = (rate, capacity);
    }

    /// The units that are available by now.
    pub fn available(&self, now: Micros) -> f64 {
        let filled = now.saturating_sub(self.updated_at) as f64 / MICROS_PER_SECOND * self.rate;
        (self.available + filled).min(self.capacity - self.reserved)
    }

    /// What is available and since when, for a successor to go on with. Before the first request its rate is
    /// not known, and it is passed on as it came.
    pub fn snapshot(&self, now: Micros) -> (f64, Micros) {
        if self.capacity > 0.0 { (self.available(now), now) } else { (self.available, self.updated_at) }
    }

    /// Other initiators gave units, or with a negative number are given some.
    pub fn add(&mut self, now: Micros, units: f64) {
        (self.available, self.updated_at) = (self.available(now) + units, now);
    }

    /// A request takes its units, which stay reserved until they are committed or released.
    pub fn reserve(&mut self, now: Micros, units: f64) {
        self.add(now, -units);
        self.reserved += units;
    }

    /// Reserved units have reached a target: they are spent.
    pub fn commit(&mut self, now: Micros, units: f64) {
        self.end_reservation(now, units, 0.0);
    }

    /// Reserved units will never reach a target: they come back.
    pub fn release(&mut self, now: Micros, units: f64) {
        self.end_reservation(now, units, units);
    }

    fn end_reservation(&mut self, now: Micros, units: f64, returned: f64) {
        self.add(now, returned);
        self.reserved = (self.reserved - units).max(0.0);
    }

    /// How long the bucket takes to fill by so many units, in microseconds.
    pub fn fill_time(&self, units: f64) -> f64 {
        units.max(0.0) / self.rate * MICROS_PER_SECOND
    }

    /// The available units below which other initiators are asked for more, and none are given away.
    pub fn low_mark(&self, fraction: f64) -> f64 {
        fraction * self.capacity
    }

    /// Whether it has not been used for so long that it is as good as new.
    pub fn is_idle(&self, now: Micros, after: Micros) -> bool {
        self.reserved == 0.0 && self.updated_at + after <= now
    }
}
