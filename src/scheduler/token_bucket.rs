//! The token bucket of a volume's limit: this initiator's part of the units.

use super::MICROS_PER_SECOND;
use crate::interface::Micros;

/// A token bucket that fills at a rate up to a capacity. The units of a request are reserved when the
/// decision to send it is made, and committed once it has reached a target, which may be much later: a
/// connection can take long to come up. Until then reserved units count towards the capacity. Otherwise the
/// bucket would fill up in their place, and units that have not reached a target yet would be granted a
/// second time.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct TokenBucket {
    available: f64,
    updated_at: Micros,
    reserved: f64,
    /// This initiator's part of the limit's rate, in units per second, from the profile of the last request.
    rate: f64,
    /// The most units that the bucket holds, from the same profile.
    capacity: f64,
}

impl TokenBucket {
    /// A bucket with `available` units at a time, and nothing reserved.
    pub fn new(available: f64, at: Micros) -> TokenBucket {
        TokenBucket { available, updated_at: at, ..TokenBucket::default() }
    }

    /// The bucket at a start of the process: the previous owner of this part may have spent all of it, and
    /// all of the debt that the limit allows.
    pub fn exhausted(debt_limit: f64, started_at: Micros) -> TokenBucket {
        TokenBucket::new(-debt_limit, started_at)
    }

    /// Sets the rate, in units per second, and the most units that the bucket holds.
    pub fn configure(&mut self, rate: f64, capacity: f64) {
        (self.rate, self.capacity) = (rate, capacity);
    }

    /// The units that are available at `now`.
    pub fn available(&self, now: Micros) -> f64 {
        let filled = now.saturating_sub(self.updated_at) as f64 / MICROS_PER_SECOND * self.rate;
        (self.available + filled).min(self.capacity - self.reserved)
    }

    /// The available units and the time for which they hold, for a successor to continue with. Before the
    /// first request the rate is unknown, and the units are passed on as they were restored.
    pub fn snapshot(&self, now: Micros) -> (f64, Micros) {
        if self.capacity > 0.0 { (self.available(now), now) } else { (self.available, self.updated_at) }
    }

    /// Adds units from other initiators; a negative number removes units that were given to them.
    pub fn add(&mut self, now: Micros, units: f64) {
        (self.available, self.updated_at) = (self.available(now) + units, now);
    }

    /// Reserves the units of a request until they are committed or released.
    pub fn reserve(&mut self, now: Micros, units: f64) {
        self.add(now, -units);
        self.reserved += units;
    }

    /// Ends the reservation of units that have reached a target: they are spent.
    pub fn commit(&mut self, now: Micros, units: f64) {
        self.end_reservation(now, units, 0.0);
    }

    /// Ends the reservation of units that will never reach a target: they are available again.
    pub fn release(&mut self, now: Micros, units: f64) {
        self.end_reservation(now, units, units);
    }

    fn end_reservation(&mut self, now: Micros, units: f64, returned: f64) {
        self.add(now, returned);
        self.reserved = (self.reserved - units).max(0.0);
    }

    /// The time in which the bucket fills by `units`, in microseconds.
    pub fn fill_time(&self, units: f64) -> f64 {
        units.max(0.0) / self.rate * MICROS_PER_SECOND
    }

    /// The available units below which this initiator requests more from others, and gives none away.
    pub fn low_threshold(&self, fraction: f64) -> f64 {
        fraction * self.capacity
    }

    /// Whether the bucket holds all that it can, with nothing reserved.
    pub fn is_full(&self, now: Micros) -> bool {
        !self.is_reserved() && self.available(now) >= self.capacity
    }

    /// Whether units are reserved.
    pub fn is_reserved(&self) -> bool {
        self.reserved > 0.0
    }

    /// When the units were last counted.
    pub fn updated_at(&self) -> Micros {
        self.updated_at
    }

    /// Whether the bucket has been unused for so long that a new one would be equivalent.
    pub fn is_idle(&self, now: Micros, after: Micros) -> bool {
        self.reserved == 0.0 && self.updated_at + after <= now
    }
}
