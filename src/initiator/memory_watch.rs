//! Watches the memory of the process, returns what is free to the system, and logs what holds it.
//!
//! The platform kills a process over its memory limit without a word. A line logged before tells what took the
//! memory.

use crate::core::CoreHandle;
use crate::net::{DescriptorBudget, MemoryBudgets};
use rowanglade_allocator::{heap_usage, release_free_memory};
use std::convert::Infallible;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How often the memory is looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Share of the limit from which on free memory is returned to the system, in percent.
const RELEASE_PERCENT: usize = 33;
/// At least this long passes between two warnings.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);
/// Share of the limit from which on a warning is logged, in percent.
const WARNING_PERCENT: usize = 75;
/// File in which Linux tells of the process's memory.
const STATUS_FILE: &str = "/proc/self/status";

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

/// The resident memory of the process in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ResidentMemory {
    total: usize,
    /// Without mapped files.
    anonymous: usize,
}

impl ResidentMemory {
    /// `None`: the system does not tell.
    fn now() -> Option<ResidentMemory> {
        let status = std::fs::read_to_string(STATUS_FILE).ok()?;
        Some(ResidentMemory {
            total: status_bytes(&status, "VmRSS:")?,
            anonymous: status_bytes(&status, "RssAnon:")?,
        })
    }
}

/// A figure of the status file in bytes; it tells KiB.
fn status_bytes(status: &str, key: &str) -> Option<usize> {
    let line = status.lines().find_map(|line| line.strip_prefix(key))?;
    let kib: usize = line.trim().split(' ').next()?.parse().ok()?;
    Some(kib << 10)
}

impl MemoryWatch {
    /// Returns free memory to the system, and logs a warning while the memory is close to its limit. Runs until dropped.
    pub async fn run(self) -> Infallible {
        let limit = self.budget.limits.memory_bytes();
        let mut warned_at: Option<Instant> = None;
        loop {
            sleep(CHECK_INTERVAL).await;
            let Some(memory) = ResidentMemory::now() else { continue };
            if memory.total >= limit / 100 * RELEASE_PERCENT {
                release_free_memory();
            }
            if memory.total < limit / 100 * WARNING_PERCENT {
                continue;
            }
            if warned_at.is_none_or(|at| at.elapsed() >= WARNING_INTERVAL) {
                warned_at = Some(Instant::now());
                tracing::warn!("memory is close to its limit");
                self.log_parts(memory);
            }
        }
    }

    /// Logs the memory and what may hold it.
    pub fn log(&self) {
        if let Some(memory) = ResidentMemory::now() {
            self.log_parts(memory);
        }
    }

    fn log_parts(&self, memory: ResidentMemory) {
        let limits = self.budget.limits;
        let clients = self.budget.clients.usage();
        let heap = heap_usage();
        tracing::info!(
            allocated = heap.allocated,
            free = heap.free,
            resident = memory.total,
            anonymous = memory.anonymous,
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
            "memory by part"
        );
    }
}
