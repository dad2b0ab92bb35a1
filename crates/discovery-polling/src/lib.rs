//! Decides when an initiator polls discovery for the endpoint list: retries, their pace, jitter, hedging and
//! deadlines. It has no sockets, runtime or clock: a driver passes the time and the outcome of each request
//! to [`Schedule`] and carries out the [`Command`]s that it returns.
//!
//! # What it promises
//!
//! With 5 to 1,024 initiators, after an outage of up to 11 s, every initiator has received the list within
//! [`LIST_RECEIPT_DEADLINE`] of discovery's return, as long as discovery serves all initiators once in 5 s; with
//! 1 to 4, as long as it does in 3 s. It is not promised after longer outages, in which initiators poll less
//! often: see docs/design/discovery.md.
//!
//! # Why requests are paced and not retried at once
//!
//! Discovery is one service for all initiators. It serves requests one after another and fails those that
//! would wait too long; a request that it fails still costs it work. Retries that come faster than it can
//! serve them therefore keep it failing all of them, for ever. So each initiator sends one request in a
//! *cycle*, at a phase drawn at random: the sum over all initiators is a steady stream of requests, whatever
//! made them poll at the same moment (a restart, an outage, a reset of all watches). Where requests have
//! failed for long, even this stream may be too much; only then does the cycle grow, up to the poll interval
//! of the settings, which discovery has to bear.
//!
//! docs/design/discovery.md has the measurements and the options that were weighed.

#![forbid(unsafe_code)]

mod config;
mod constants;
mod pacer;
mod request;
mod schedule;

pub use config::{Delivery, PollingConfig, WatchMode};
pub use constants::{LIST_RECEIPT_DEADLINE, MAX_CYCLE};
pub use request::{Command, Outcome, PollRequest, RequestId};
pub use schedule::Schedule;

/// A point in time or a span, in microseconds of the driver's monotonic clock.
pub type Micros = u64;
