//! Sorts recorded requests by the time at which they were made.
//!
//! Servers log a request when it ends, and browsers write entries in no particular order. Items that arrive
//! within a window of the newest time seen so far are sorted. An item that arrives later is released with the
//! time of the item released last, and is counted, so that no item is lost.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// A buffer that releases items in order of their times, in microseconds. Items of the same time keep the
/// order of their arrival.
#[derive(Debug)]
pub struct ReorderBuffer<T> {
    window: i64,
    capacity: usize,
    heap: BinaryHeap<Reverse<Entry<T>>>,
    newest_at: i64,
    /// The time of the item that was released last.
    last_released: i64,
    arrived: u64,
    late: u64,
    max_lateness: i64,
    released_early: u64,
}

#[derive(Debug)]
struct Entry<T> {
    at: i64,
    arrived: u64,
    item: T,
}

impl<T> PartialEq for Entry<T> {
    fn eq(&self, other: &Entry<T>) -> bool {
        (self.at, self.arrived) == (other.at, other.arrived)
    }
}
impl<T> Eq for Entry<T> {}
impl<T> PartialOrd for Entry<T> {
    fn partial_cmp(&self, other: &Entry<T>) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl<T> Ord for Entry<T> {
    fn cmp(&self, other: &Entry<T>) -> std::cmp::Ordering {
        (self.at, self.arrived).cmp(&(other.at, other.arrived))
    }
}

impl<T> ReorderBuffer<T> {
    /// Creates a buffer that delays items until a time more than `window` microseconds after theirs was seen,
    /// and stores at most `capacity` of them.
    pub fn new(window: i64, capacity: usize) -> ReorderBuffer<T> {
        ReorderBuffer {
            window: window.max(0),
            capacity: capacity.max(1),
            heap: BinaryHeap::new(),
            newest_at: i64::MIN,
            last_released: i64::MIN,
            arrived: 0,
            late: 0,
            max_lateness: 0,
            released_early: 0,
        }
    }

    /// Adds an item.
    pub fn push(&mut self, at: i64, item: T) {
        self.newest_at = self.newest_at.max(at);
        if at < self.last_released {
            self.late += 1;
            self.max_lateness = self.max_lateness.max(self.last_released.saturating_sub(at));
        }
        self.arrived += 1;
        self.heap.push(Reverse(Entry { at: at.max(self.last_released), arrived: self.arrived, item }));
    }

    /// Removes the next item, with its time, if no earlier item within the window can arrive, or if the
    /// buffer is over capacity.
    pub fn pop(&mut self) -> Option<(i64, T)> {
        let at = self.heap.peek()?.0.at;
        let is_settled = self.newest_at.saturating_sub(self.window) > at;
        if !is_settled && self.heap.len() <= self.capacity {
            return None;
        }
        self.released_early += u64::from(!is_settled);
        self.release()
    }

    /// Removes the next item after the last call of [`ReorderBuffer::push`].
    pub fn finish(&mut self) -> Option<(i64, T)> {
        self.release()
    }

    fn release(&mut self) -> Option<(i64, T)> {
        let Reverse(entry) = self.heap.pop()?;
        self.last_released = entry.at;
        Some((entry.at, entry.item))
    }

    /// The number of items that arrived after the window had passed, and the largest delay of them in
    /// microseconds.
    pub fn late(&self) -> (u64, i64) {
        (self.late, self.max_lateness)
    }

    /// The number of items that were released before their window had passed, because the buffer was over
    /// capacity.
    pub fn released_early(&self) -> u64 {
        self.released_early
    }
}
