//! The scheduler's timers.

use crate::interface::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Pending timers, ordered by the time at which they fire; each has the scheduler's token.
#[derive(Debug, Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
}

impl Timers {
    pub(super) fn set(&mut self, at: Micros, token: u64) {
        self.heap.push(Reverse((at, token)));
    }

    /// When the next timer fires.
    pub(super) fn next_wake(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// Removes the next timer if it is due, and returns its token.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<u64> {
        self.next_wake().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((_, token))| token)
    }
}
