//! The order in which requests were made, out of the one in which they were written down.
//!
//! Servers log a request when it ends, browsers when they like. Whatever comes within a window of the newest
//! time seen is put in order; what comes later than that is let through at the earliest time that is still
//! open, and counted, so that nothing is lost.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Puts items in order of their times, in microseconds. Items of one time keep the order they came in.
#[derive(Debug)]
pub struct ReorderBuffer<T> {
    window: i64,
    most: usize,
    held: BinaryHeap<Reverse<Held<T>>>,
    newest: i64,
    /// The time of the last item let go.
    gone: i64,
    arrived: u64,
    late: u64,
    latest_by: i64,
    released_early: u64,
}

#[derive(Debug)]
struct Held<T> {
    at: i64,
    arrived: u64,
    item: T,
}

impl<T> PartialEq for Held<T> {
    fn eq(&self, other: &Held<T>) -> bool {
        (self.at, self.arrived) == (other.at, other.arrived)
    }
}
impl<T> Eq for Held<T> {}
impl<T> PartialOrd for Held<T> {
    fn partial_cmp(&self, other: &Held<T>) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Held<T> {
    fn cmp(&self, other: &Held<T>) -> std::cmp::Ordering {
        (self.at, self.arrived).cmp(&(other.at, other.arrived))
    }
}

impl<T> ReorderBuffer<T> {
    /// Holds items back for `window` microseconds of their own time, and at most `most` of them.
    pub fn new(window: i64, most: usize) -> ReorderBuffer<T> {
        ReorderBuffer {
            window: window.max(0),
            most: most.max(1),
            held: BinaryHeap::new(),
            newest: i64::MIN,
            gone: i64::MIN,
            arrived: 0,
            late: 0,
            latest_by: 0,
            released_early: 0,
        }
    }

    /// Takes an item.
    pub fn push(&mut self, at: i64, item: T) {
        self.newest = self.newest.max(at);
        if at < self.gone {
            self.late += 1;
            self.latest_by = self.latest_by.max(self.gone.saturating_sub(at));
        }
        self.arrived += 1;
        self.held.push(Reverse(Held { at: at.max(self.gone), arrived: self.arrived, item }));
    }

    /// The next item whose place is settled, with its time.
    pub fn pop(&mut self) -> Option<(i64, T)> {
        let at = self.held.peek()?.0.at;
        let settled = self.newest.saturating_sub(self.window) > at;
        if !settled && self.held.len() <= self.most {
            return None;
        }
        self.released_early += u64::from(!settled);
        self.let_go()
    }

    /// The next item, once no more will come.
    pub fn finish(&mut self) -> Option<(i64, T)> {
        self.let_go()
    }

    fn let_go(&mut self) -> Option<(i64, T)> {
        let Reverse(held) = self.held.pop()?;
        self.gone = held.at;
        Some((held.at, held.item))
    }

    /// Items that came later than the window allows, and by how many microseconds the last of them.
    pub fn late(&self) -> (u64, i64) {
        (self.late, self.latest_by)
    }

    /// Items let go before their window had passed, for want of room.
    pub fn released_early(&self) -> u64 {
        self.released_early
    }
}
