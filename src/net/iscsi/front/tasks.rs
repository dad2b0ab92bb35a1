//! The open tasks of a session.

use crate::core::{InvalidRequest, Response};
use crate::net::budget::MemoryReservation;
use bytes::BytesMut;
use futures_util::future::AbortHandle;
use rowanglade_iscsi::scsi::Command;
use std::collections::HashMap;
use tokio::time::Instant;

/// An open task.
pub(super) enum Task {
    /// A write whose data is not complete.
    ReceivingData(PartialWrite),
    /// A request that was submitted to the core.
    Submitted(AbortHandle),
}

/// A write whose data is not complete.
pub(super) struct PartialWrite {
    pub(super) lun: u64,
    pub(super) command: Command,
    /// Expected length of all its data, in bytes.
    pub(super) length: u32,
    pub(super) data: BytesMut,
    /// The memory of its data, reserved for all of it.
    pub(super) memory: MemoryReservation,
    /// When its data must be complete.
    pub(super) deadline: Instant,
}

impl PartialWrite {
    pub(super) fn is_complete(&self) -> bool {
        self.data.len() == self.length as usize
    }

    /// Adds data. Returns false if it does not follow the previous data, or exceeds the expected length.
    pub(super) fn append(&mut self, offset: u32, data: &[u8]) -> bool {
        let is_next = offset as usize == self.data.len();
        self.data.extend_from_slice(data);
        is_next && self.data.len() <= self.length as usize
    }
}

/// A task whose response is available.
pub(super) struct CompletedTask {
    pub(super) itt: u32,
    /// Expected transfer length of a read in bytes; `None` for a write.
    pub(super) read_length: Option<u32>,
    pub(super) response: Result<Response, InvalidRequest>,
}

/// The earliest deadline of the writes whose data is incomplete.
pub(super) fn data_deadline(tasks: &HashMap<u32, Task>) -> Option<Instant> {
    let deadlines = tasks.values().filter_map(|task| match task {
        Task::ReceivingData(write) => Some(write.deadline),
        Task::Submitted(_) => None,
    });
    deadlines.min()
}

/// The tags of writes whose data is incomplete.
pub(super) fn incomplete_writes(tasks: &HashMap<u32, Task>) -> Vec<u32> {
    let incomplete = tasks.iter().filter(|(_, task)| matches!(task, Task::ReceivingData(_)));
    incomplete.map(|(itt, _)| *itt).collect()
}

/// The tags of writes whose data is incomplete at their deadline.
pub(super) fn overdue_writes(tasks: &HashMap<u32, Task>) -> Vec<u32> {
    let now = Instant::now();
    let is_overdue = |task: &Task| matches!(task, Task::ReceivingData(write) if write.deadline <= now);
    tasks.iter().filter(|(_, task)| is_overdue(task)).map(|(itt, _)| *itt).collect()
}
