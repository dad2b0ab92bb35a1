//! Deduplication of keyed writes: a repeat within the window is suppressed, a later one is executed.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The result of a keyed write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyedWrite {
    /// The write was executed.
    Executed,
    /// The key was executed within the window, and the write was suppressed.
    Suppressed,
}

/// How often a key was executed, and when last.
#[derive(Clone, Copy, Debug)]
struct KeyExecutions {
    last_at: Instant,
    count: u64,
}

#[derive(Debug, Default)]
struct KeyMemory {
    window: Duration,
    executions: HashMap<String, KeyExecutions>,
}

/// A deduplication scope, as shared by the targets of a rack. Clones share the memory.
#[derive(Clone, Debug, Default)]
pub struct DeduplicationScope(Rc<RefCell<KeyMemory>>);

impl DeduplicationScope {
    /// Creates a scope that suppresses repeats for `window` after each execution.
    pub fn new(window: Duration) -> DeduplicationScope {
        DeduplicationScope(Rc::new(RefCell::new(KeyMemory { window, executions: HashMap::new() })))
    }

    /// Executes a keyed write, or suppresses it as a repeat.
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

    /// The number of keys that were executed, and how many of them were executed more than once.
    pub fn executed_keys(&self) -> (u64, u64) {
        let memory = self.0.borrow();
        let repeated = memory.executions.values().filter(|executions| executions.count > 1).count();
        (memory.executions.len() as u64, repeated as u64)
    }
}
