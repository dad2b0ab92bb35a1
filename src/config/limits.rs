//! The memory and descriptors that the platform lets the program use.

use super::ConfigError;
use serde::Deserialize;

/// Memory of a configuration that sets none, in MB.
const DEFAULT_MEMORY_MB: usize = 192;
/// Descriptors of a configuration that sets none: Linux's usual limit of a process.
const DEFAULT_DESCRIPTORS: usize = 1_024;
/// The least memory in MB: a quarter of it, 4 MB, is left for bodies.
const MIN_MEMORY_MB: usize = 16;
/// The fewest descriptors: what is reserved leaves hardly more than what must be shared.
const MIN_DESCRIPTORS: usize = 64;
/// Bodies of requests take up at most one part in so many of the memory: the rest is the program's own, the
/// buffers of its connections and the endpoint list.
const BODY_MEMORY_DIVISOR: usize = 4;

/// What the platform lets the program use.
#[derive(Clone, Copy, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Limits {
    /// Memory in MB of 2^20 bytes.
    pub memory_mb: usize,
    /// Descriptors.
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

    /// Bytes that bodies of requests may take up together.
    pub fn body_bytes(&self) -> usize {
        self.memory_mb * (1 << 20) / BODY_MEMORY_DIVISOR
    }
}

fn at_least(key: &str, value: usize, min: usize) -> Result<(), ConfigError> {
    match value < min {
        true => Err(ConfigError::new(key, format!("{value} is under {min}"))),
        false => Ok(()),
    }
}
