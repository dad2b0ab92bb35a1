//! Watches the memory of the process, returns what is free to the system, and logs what holds it.
//!
//! The platform kills a process over its memory limit without a word. A line logged before tells what took the
//! memory.

use crate::core::CoreHandle;
use crate::net::budget::{DescriptorBudget, MemoryBudgets, ResidentMemory};
use rowanglade_allocator::{heap_usage, release_free_memory};
use std::convert::Infallible;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often the memory is looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Share of the limit from which on free memory is returned to the system, in percent.
const RELEASE_PERCENT: usize = 33;
/// Share of the limit from which on idle connections to targets are closed, in percent.
const CLOSE_IDLE_PERCENT: usize = 84;
/// At least this long passes between two warnings, unless the memory grows by a step.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);
/// Share of the limit from which on a warning is logged, and the step by which it grows until the next, in percent.
const WARNING_PERCENT: usize = 75;
const WARNING_STEP_PERCENT: usize = 5;

/// Knows what may hold memory.
#[derive(Clone, Debug)]
pub struct MemoryWatch {
    /// The limits, and the connections of clients and targets.
    pub budget: DescriptorBudget,
    /// The memory for heads and bodies.
    pub memory: MemoryBudgets,
    /// Counts the open requests.
    pub core: CoreHandle,
}

impl MemoryWatch {
    /// Returns free memory to the system, and logs a warning while the memory is close to its limit. Runs until dropped.
    pub async fn run(self) -> Infallible {
        let mut warnings = Warnings::default();
        loop {
            sleep(CHECK_INTERVAL).await;
            // Heads that were refused memory by the bound, and not by their budget, are woken by nothing else.
            self.memory.heads.wake_waiting();
            let Some(usage) = self.memory.bound.usage() else { continue };
            let percent = usage.percent_of(self.budget.limits.memory_bytes());
            if percent >= RELEASE_PERCENT {
                release_free_memory();
            }
            if percent >= CLOSE_IDLE_PERCENT {
                self.budget.targets.close_idle();
            }
            if warnings.is_due(percent) {
                tracing::warn!(percent, "memory is close to its limit");
                self.log_parts(usage);
            }
        }
    }

    /// Logs the memory and what may hold it.
    pub fn log(&self) {
        self.log_parts(self.memory.bound.usage().unwrap_or_default());
    }

    fn log_parts(&self, usage: ResidentMemory) {
        let limits = self.budget.limits;
        let clients = self.budget.clients.usage();
        let heap = heap_usage();
        let shed = self.budget.clients.shed_counters();
        let counted = self.memory.bodies.used() + self.memory.responses.used() + self.memory.heads.used();
        tracing::info!(
            unexplained = usage.anonymous.saturating_sub(counted + clients.kept_bytes),
            allocated = heap.allocated,
            free = heap.free,
            resident = usage.total,
            anonymous = usage.anonymous,
            limit = limits.memory_bytes(),
            bodies = self.memory.bodies.used(),
            body_limit = self.memory.bodies.total(),
            responses = self.memory.responses.used(),
            response_limit = self.memory.responses.total(),
            heads = self.memory.heads.used(),
            head_limit = self.memory.heads.total(),
            clients_busy = clients.busy,
            clients_waiting = clients.waiting,
            clients_closing = clients.closing,
            kept_bytes = clients.kept_bytes,
            target_connections = self.budget.targets.open_connections(),
            open_requests = self.core.open_requests(),
            refused_by_bound = self.memory.bound.refused(),
            evicted = shed.evicted,
            shed_uploads = shed.uploads,
            rejected_connections = shed.rejected,
            refused_uploads = shed.refused_uploads,
            refused_responses = shed.refused_responses,
            "memory by part"
        );
    }
}

/// When the next warning is due.
#[derive(Debug, Default)]
struct Warnings {
    /// The time of the last warning, and the share of the limit that it told, in percent.
    last: Option<(Instant, usize)>,
}

impl Warnings {
    /// Whether a warning is due at this share of the limit, in percent.
    fn is_due(&mut self, percent: usize) -> bool {
        if percent < WARNING_PERCENT {
            return false;
        }
        let due = self.last.is_none_or(|(at, last_percent)| {
            at.elapsed() >= WARNING_INTERVAL || percent >= last_percent + WARNING_STEP_PERCENT
        });
        if due {
            self.last = Some((Instant::now(), percent));
        }
        due
    }
}
