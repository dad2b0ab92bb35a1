//! Decides when an initiator polls discovery for the endpoint list: retries, their pace, jitter, hedging and
//! deadlines. It has no sockets, runtime or clock: a driver passes the time and the outcome of each request
//! to [`Schedule`] and carries out the [`Command`]s that it returns.
//!
//! # Guarantee
//!
//! With 5 to 1,024 initiators, after an outage of up to 11 s, every initiator receives the list within
//! [`LIST_RECEIPT_DEADLINE`] of discovery's return, provided that discovery can serve all initiators once in
//! 5 s; with 1 to 4 initiators, once in 3 s. Longer outages, in which initiators poll less often, are not
//! covered: see docs/design/discovery.md.
//!
//! # Why requests are paced and not retried at once
//!
//! Discovery is one service for all initiators. It serves requests one after another and rejects those that
//! would wait too long, and a rejected request still costs it work. Retries that arrive faster than discovery
//! can serve them would therefore keep it rejecting all of them indefinitely. So each initiator sends one
//! request per *cycle*, at a phase drawn at random: all initiators together produce a steady stream of
//! requests, whatever made them poll at the same moment (a restart, an outage, a reset of all watches). If
//! requests have failed for a long time, even this stream may be too much; only then does the cycle grow
//! beyond its usual maximum, up to the poll interval of the settings, a rate that discovery has to sustain.
//!
//! docs/design/discovery.md has the measurements and the alternatives that were considered.

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
