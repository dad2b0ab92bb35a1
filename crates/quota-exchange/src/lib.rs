//! Moves unused units of a volume's limit from initiators that do not need them to those that do.
//!
//! [`QuotaExchange`] is the state machine: it receives datagrams with their time, returns datagrams, and
//! changes this initiator's own token buckets. [`wire`] defines the format of the datagrams. This crate has
//! no sockets and no clock.

#![forbid(unsafe_code)]

mod constants;
mod exchange;
mod message;
pub mod wire;

pub use constants::MAX_VOLUMES_PER_DATAGRAM;
pub use exchange::{Counters, QuotaExchange, TokenBuckets};
pub use message::{Message, MilliUnits, Nonce, Peer, VolumeUnits};
pub use wire::{DecodeError, Key, decode, encode};

/// A point in time or a span, in microseconds of the caller's monotonic clock.
pub type Micros = u64;
