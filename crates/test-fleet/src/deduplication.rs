//! A deduplication scope's memory of keyed writes: a repeat within the window is suppressed, a later one runs.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// What a keyed write did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyedWrite {
    /// It ran.
    Executed,
    /// Its key was known, and it did not run.
    Suppressed,
}

/// How often a key ran, and when last.
#[derive(Clone, Copy, Debug)]
struct KeyExecutions {
    last_at: Instant,
    count: u64,
}

#[derive(Debug, Default)]
struct Memory {
    window: Duration,
    executions: HashMap<String, KeyExecutions>,
}

/// The memory that the targets of a rack share.
#[derive(Clone, Debug, Default)]
pub struct DeduplicationScope(Rc<RefCell<Memory>>);

impl DeduplicationScope {
    /// A scope that suppresses repeats for `window` after each execution.
    pub fn new(window: Duration) -> DeduplicationScope {
        DeduplicationScope(Rc::new(RefCell::new(Memory { window, executions: HashMap::new() })))
    }

    /// A keyed write comes to be run.
    pub fn execute(&self, key: &str, now: Instant) -> KeyedWrite {
        let mut memory = self.0.borrow_mut();
        let window = memory.window;
        let executions =
            memory.executions.entry(key.to_string()).or_insert(KeyExecutions { last_at: now, count: 0 });
        if executions.count > 0 && now.saturating_duration_since(executions.last_at) < window {
            return KeyedWrite::Suppressed;
        }
        executions.last_at = now;
        executions.count += 1;
        KeyedWrite::Executed
    }

    /// How many keys ran, and how many of them more than once.
    pub fn executed_keys(&self) -> (u64, u64) {
        let memory = self.0.borrow();
        let repeated = memory.executions.values().filter(|executions| executions.count > 1).count();
        (memory.executions.len() as u64, repeated as u64)
    }
}
