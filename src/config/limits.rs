//! The memory and file descriptors that the platform lets the process use.

use super::ConfigError;
use serde::Deserialize;

/// Memory in MB if the configuration sets none.
const DEFAULT_MEMORY_MB: usize = 192;
/// File descriptors if the configuration sets none: the usual limit of a process on Linux.
const DEFAULT_DESCRIPTORS: usize = 1_024;
/// The least memory in MB: a quarter of it, 4 MB, is available to request bodies.
const MIN_MEMORY_MB: usize = 16;
/// The fewest file descriptors. At this limit, little more than the required minimum is left to be shared
/// after the reserved descriptors are taken off.
const MIN_DESCRIPTORS: usize = 64;
/// Request bodies take up at most one part in this many of the memory. The rest is for the process itself,
/// the buffers of its connections and the endpoint list.
const BODY_MEMORY_DIVISOR: usize = 4;
/// The same for the bodies of responses.
const RESPONSE_MEMORY_DIVISOR: usize = 8;
/// The same for long heads of requests and for what clients send ahead of the responses.
const HEAD_MEMORY_DIVISOR: usize = 16;
/// The same for the part of one response that waits to be written to its client.
const WRITE_BUFFER_DIVISOR: usize = 8192;
/// Bounds of that part: the HTTP library allocates twice the smaller one for each connection, and a
/// response up to the larger one is written with one system call.
const MIN_WRITE_BUFFER_BYTES: usize = 4 << 10;
const MAX_WRITE_BUFFER_BYTES: usize = 16 << 10;

/// Memory of the process without clients: the program, its libraries and the endpoint list.
const PROCESS_MEMORY_BYTES: usize = 10 << 20;
/// Memory of a client's connection without bodies and long heads: its buffers on both sides, its task and a request.
const CONNECTION_MEMORY_BYTES: usize = 40 << 10;
/// The fewest client connections, however low the memory limit is.
const MIN_CLIENT_CONNECTIONS: usize = 32;

/// The memory and file descriptors that the platform lets the process use.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory in MB of 2^20 bytes.
    pub memory_mb: usize,
    /// File descriptors, of sockets and files together.
    pub sockets: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { memory_mb: DEFAULT_MEMORY_MB, sockets: DEFAULT_DESCRIPTORS }
    }
}

impl Limits {
    pub(super) fn check(self) -> Result<Limits, ConfigError> {
        at_least("limits.memory_mb", self.memory_mb, MIN_MEMORY_MB)?;
        at_least("limits.sockets", self.sockets, MIN_DESCRIPTORS)?;
        Ok(self)
    }

    /// Bytes that the bodies of all requests may take up together.
    pub fn body_bytes(&self) -> usize {
        self.memory_bytes() / BODY_MEMORY_DIVISOR
    }

    /// Bytes that the bodies of all responses may take up together, beside the part of each that is being written.
    pub fn response_bytes(&self) -> usize {
        self.memory_bytes() / RESPONSE_MEMORY_DIVISOR
    }

    /// Bytes that long heads, and what clients send ahead of the responses, may take up together.
    pub fn head_bytes(&self) -> usize {
        self.memory_bytes() / HEAD_MEMORY_DIVISOR
    }

    /// Bytes of one response that may wait to be written to its client before more of it are read.
    pub fn write_buffer_bytes(&self) -> usize {
        (self.memory_bytes() / WRITE_BUFFER_DIVISOR).clamp(MIN_WRITE_BUFFER_BYTES, MAX_WRITE_BUFFER_BYTES)
    }

    /// Memory in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.memory_mb << 20
    }

    /// Connections of clients for which the memory suffices beside the process itself and what has a budget of its own.
    pub fn client_connections(&self) -> usize {
        let budgets = self.body_bytes() + self.response_bytes() + self.head_bytes();
        let available = self.memory_bytes().saturating_sub(budgets + PROCESS_MEMORY_BYTES);
        (available / CONNECTION_MEMORY_BYTES).max(MIN_CLIENT_CONNECTIONS)
    }
}

fn at_least(key: &str, value: usize, min: usize) -> Result<(), ConfigError> {
    match value < min {
        true => Err(ConfigError::new(key, format!("{value} is below the minimum of {min}"))),
        false => Ok(()),
    }
}
