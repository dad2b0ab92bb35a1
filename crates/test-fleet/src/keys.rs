//! A rack's memory of keyed writes: a repeat within the span is dropped, a later one runs.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// What a keyed write did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It ran.
    Ran,
    /// It was known, and was dropped.
    Dropped,
}

#[derive(Debug, Default)]
struct Memory {
    span: Duration,
    /// When each key ran last, and how often.
    ran: HashMap<String, (Instant, u64)>,
}

/// The memory that the boxes of a rack share.
#[derive(Clone, Debug, Default)]
pub struct Rack(Rc<RefCell<Memory>>);

impl Rack {
    pub fn new(span: Duration) -> Rack {
        Rack(Rc::new(RefCell::new(Memory { span, ran: HashMap::new() })))
    }

    /// A keyed write comes to be run.
    pub fn take(&self, key: &str, now: Instant) -> Effect {
        let mut memory = self.0.borrow_mut();
        let span = memory.span;
        let (last, times) = memory.ran.entry(key.to_string()).or_insert((now, 0));
        if *times > 0 && now.saturating_duration_since(*last) < span {
            return Effect::Dropped;
        }
        (*last, *times) = (now, *times + 1);
        Effect::Ran
    }

    /// Keys that ran, and those that ran more than once.
    pub fn ran(&self) -> (u64, u64) {
        let memory = self.0.borrow();
        (memory.ran.len() as u64, memory.ran.values().filter(|(_, times)| *times > 1).count() as u64)
    }
}
