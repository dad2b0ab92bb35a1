//! The open tasks of a session.

use crate::core::{InvalidRequest, Response};
use bytes::BytesMut;
use futures_util::future::AbortHandle;
use rowanglade_iscsi::scsi::Command;
use std::collections::HashMap;
use tokio::time::Instant;

/// An open task.
pub(super) enum Task {
    /// A write whose data is not complete.
    ReceivingData(PartialWrite),
    /// A request that is with the core.
    Submitted(AbortHandle),
}

/// A write whose data is not complete.
pub(super) struct PartialWrite {
    pub(super) lun: u64,
    pub(super) command: Command,
    /// Bytes that all of its data has.
    pub(super) length: u32,
    pub(super) data: BytesMut,
    /// When its data must have come.
    pub(super) deadline: Instant,
}

impl PartialWrite {
    pub(super) fn is_complete(&self) -> bool {
        self.data.len() == self.length as usize
    }

    /// Adds data; false: it is not the next, or more than the command has.
    pub(super) fn add(&mut self, offset: u32, data: &[u8]) -> bool {
        let is_next = offset as usize == self.data.len();
        self.data.extend_from_slice(data);
        is_next && self.data.len() <= self.length as usize
    }
}

/// A task that has its response.
pub(super) struct CompletedTask {
    pub(super) itt: u32,
    /// Bytes that a read is expected to transfer; none: it writes.
    pub(super) read_length: Option<u32>,
    pub(super) response: Result<Response, InvalidRequest>,
}

/// When the first write that lacks data must have it.
pub(super) fn data_deadline(tasks: &HashMap<u32, Task>) -> Option<Instant> {
    let deadlines = tasks.values().filter_map(|task| match task {
        Task::ReceivingData(write) => Some(write.deadline),
        Task::Submitted(_) => None,
    });
    deadlines.min()
}

/// The tags of writes that lack data past their time.
pub(super) fn late_writes(tasks: &HashMap<u32, Task>) -> Vec<u32> {
    let now = Instant::now();
    let is_late = |task: &Task| matches!(task, Task::ReceivingData(write) if write.deadline <= now);
    tasks.iter().filter(|(_, task)| is_late(task)).map(|(itt, _)| *itt).collect()
}
