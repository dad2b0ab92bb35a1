//! The scheduler's timers.

use crate::interface::Micros;
use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Timers that have not fired, by their time and the scheduler's token.
#[derive(Debug, Default)]
pub(super) struct Timers {
    heap: BinaryHeap<Reverse<(Micros, u64)>>,
}

impl Timers {
    pub(super) fn set(&mut self, at: Micros, token: u64) {
        self.heap.push(Reverse((at, token)));
    }

    /// When the next one fires.
    pub(super) fn next_wake(&self) -> Option<Micros> {
        self.heap.peek().map(|Reverse((at, _))| *at)
    }

    /// The token of the next timer that is due, which is removed.
    pub(super) fn pop_due(&mut self, now: Micros) -> Option<u64> {
        self.next_wake().filter(|at| *at <= now)?;
        self.heap.pop().map(|Reverse((_, token))| token)
    }
}
