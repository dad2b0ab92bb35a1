//! Budgets of memory: how many bytes one kind of content may take up in all requests together.

use super::bound::{MemoryBound, MemoryUse};
use crate::config::Limits;
use bytes::Bytes;
use std::fmt;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::Waker;

/// The budgets of all kinds of content that clients and targets can make the process hold.
#[derive(Clone, Debug)]
pub struct MemoryBudgets {
    /// The bodies of requests, on both fronts.
    pub bodies: MemoryBudget,
    /// The bodies of responses, from the target until they are written to the client.
    pub responses: MemoryBudget,
    /// Long heads, and what clients send ahead of the responses.
    pub heads: MemoryBudget,
    /// What the process really takes, whatever the budgets count.
    pub bound: MemoryBound,
}

impl MemoryBudgets {
    /// Budgets without a limit, for tests of single parts.
    pub fn unlimited() -> MemoryBudgets {
        MemoryBudgets {
            bodies: MemoryBudget::unlimited(),
            responses: MemoryBudget::unlimited(),
            heads: MemoryBudget::unlimited(),
            bound: MemoryBound::unlimited(),
        }
    }

    /// The budgets for the limits of the configuration, below the bound on the process.
    pub fn of(limits: &Limits, bound: MemoryBound) -> MemoryBudgets {
        MemoryBudgets {
            bodies: MemoryBudget::below(bound.clone(), limits.body_bytes()),
            responses: MemoryBudget::below(bound.clone(), limits.response_bytes()),
            heads: MemoryBudget::below(bound.clone(), limits.head_bytes()),
            bound,
        }
    }
}

/// The memory for one kind of content. Clones share one budget.
#[derive(Clone)]
pub struct MemoryBudget(Arc<State>);

struct State {
    total: usize,
    bound: MemoryBound,
    /// Bytes that are taken, which may exceed the total by what cannot be refused.
    used: AtomicUsize,
    /// Wakes the tasks that wait for memory.
    waiting: Mutex<Vec<Waker>>,
}

impl MemoryBudget {
    /// A budget of `total` bytes.
    pub fn new(total: usize) -> MemoryBudget {
        MemoryBudget::below(MemoryBound::unlimited(), total)
    }

    /// A budget of `total` bytes, of which more are granted only while the bound admits it.
    pub fn below(bound: MemoryBound, total: usize) -> MemoryBudget {
        MemoryBudget(Arc::new(State { total, bound, used: AtomicUsize::new(0), waiting: Mutex::default() }))
    }

    /// Whether there is memory for more of a content that was reserved before.
    pub fn admits_more(&self) -> bool {
        self.0.bound.admits(MemoryUse::MoreContent)
    }

    /// Wakes the tasks that wait for memory.
    pub fn wake_waiting(&self) {
        let waiting = std::mem::take(&mut *self.0.waiting.lock().unwrap_or_else(PoisonError::into_inner));
        waiting.into_iter().for_each(Waker::wake);
    }

    /// A budget without a limit, for tests of single parts.
    pub fn unlimited() -> MemoryBudget {
        MemoryBudget::new(usize::MAX)
    }

    /// All bytes of the budget.
    pub fn total(&self) -> usize {
        self.0.total
    }

    /// Bytes that are taken.
    pub fn used(&self) -> usize {
        self.0.used.load(Ordering::Relaxed)
    }

    /// Bytes that may still be taken.
    pub fn available(&self) -> usize {
        self.total().saturating_sub(self.used())
    }

    /// A reservation of no bytes.
    pub fn reservation(&self) -> MemoryReservation {
        MemoryReservation { budget: self.clone(), bytes: 0 }
    }

    /// Wakes a task once memory is released.
    pub fn wake_on_release(&self, waker: &Waker) {
        let mut waiting = self.0.waiting.lock().unwrap_or_else(PoisonError::into_inner);
        if !waiting.iter().any(|other| other.will_wake(waker)) {
            waiting.push(waker.clone());
        }
    }

    fn take(&self, bytes: usize) {
        self.0.used.fetch_add(bytes, Ordering::Relaxed);
    }

    fn release(&self, bytes: usize) {
        if bytes == 0 {
            return;
        }
        self.0.used.fetch_sub(bytes, Ordering::Relaxed);
        self.wake_waiting();
    }
}

impl fmt::Debug for MemoryBudget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} of {} bytes", self.used(), self.total())
    }
}

/// Memory that was taken from a budget. Dropping it releases the memory.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: MemoryBudget,
    bytes: usize,
}

impl MemoryReservation {
    /// Whether the process has memory for more of what was reserved: it is not resident before it is written to.
    pub fn admits_more(&self) -> bool {
        self.budget.admits_more()
    }

    /// Reserves `bytes` more. Returns false, and reserves nothing, if they are not available.
    pub fn try_grow(&mut self, bytes: usize) -> bool {
        let enough = bytes <= self.budget.available() && self.budget.0.bound.admits(MemoryUse::NewContent);
        if enough {
            self.budget.take(bytes);
            self.bytes += bytes;
        }
        enough
    }

    /// Changes the reservation to `bytes`. Returns false, and changes nothing, if more are needed than available.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        if bytes > self.bytes {
            return self.try_grow(bytes - self.bytes);
        }
        self.resize(bytes);
        true
    }

    /// Changes the reservation to `bytes`, for memory that is already taken, whether or not it is available.
    pub fn resize(&mut self, bytes: usize) {
        match bytes.checked_sub(self.bytes) {
            Some(more) => self.budget.take(more),
            None => self.budget.release(self.bytes - bytes),
        }
        self.bytes = bytes;
    }
}

impl MemoryReservation {
    /// A copy of the content that keeps the memory reserved until its last reference is dropped. It takes no more than its
    /// length, while what was read may refer to a larger buffer.
    pub fn hold(self, content: impl AsRef<[u8]>) -> Bytes {
        Bytes::from_owner(ReservedContent { content: content.as_ref().into(), memory: self })
    }
}

/// Content with the memory that is reserved for it.
struct ReservedContent {
    content: Box<[u8]>,
    #[expect(dead_code, reason = "held for its drop")]
    memory: MemoryReservation,
}

impl AsRef<[u8]> for ReservedContent {
    fn as_ref(&self) -> &[u8] {
        &self.content
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.budget.release(self.bytes);
    }
}
