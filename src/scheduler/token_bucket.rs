//! This initiator's part of the units that a volume's limit has left.

use crate::interface::Micros;

/// Units fill up at a rate, to a cap. A request takes its units when it is decided to send it, and draws them
/// from the volume's true store once it has reached a target, which may be much later: a connection can take
/// long to come up. What was taken and has not been drawn leaves no room that could fill up meanwhile, or it
/// would be granted twice.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Store {
    left: f64,
    at: Micros,
    owed: f64,
    /// Units a second, and the most that it holds: this initiator's part, as the last request told of it.
    pub rate: f64,
    pub cap: f64,
}

impl Store {
    /// What was left at a time, with nothing owed. Requests tell of its rate and cap.
    pub fn new((left, at): (f64, Micros)) -> Store {
        Store { left, at, ..Store::default() }
    }

    /// What is certain at a start: whoever had this part before may have used all of it up, the slack too.
    pub fn used_up(slack: f64, born: Micros) -> Store {
        Store::new((-slack, born))
    }

    /// What is left by now.
    pub fn left(&self, now: Micros) -> f64 {
        let filled = now.saturating_sub(self.at) as f64 / 1e6 * self.rate;
        (self.left + filled).min(self.cap - self.owed)
    }

    /// The same, for another to go on with.
    pub fn told(&self, now: Micros) -> (f64, Micros) {
        // Before the first request nothing is known of its filling: it goes on as it came.
        if self.cap > 0.0 { (self.left(now), now) } else { (self.left, self.at) }
    }

    /// Others gave units, or are given some.
    pub fn add(&mut self, now: Micros, units: f64) {
        (self.left, self.at) = (self.left(now) + units, now);
    }

    /// A request takes its units, which it owes from then on.
    pub fn take(&mut self, now: Micros, units: f64) {
        self.add(now, -units);
        self.owed += units;
    }

    /// Units that were owed are drawn, or come back since they never will be.
    pub fn settle(&mut self, now: Micros, units: f64, drawn: bool) {
        self.add(now, if drawn { 0.0 } else { units });
        self.owed = (self.owed - units).max(0.0);
    }

    /// Whether it has not been used for so long that it is as good as new.
    pub fn is_idle(&self, now: Micros, after: Micros) -> bool {
        self.owed == 0.0 && self.at + after <= now
    }
}
