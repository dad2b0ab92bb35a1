//! Drain gossip: an initiator that discovery does not answer learns from its peers which targets are
//! draining.
//!
//! Discovery is one service for all initiators. After an outage, or a restart of many initiators, it takes
//! seconds to answer all of them, and those that wait would go on sending to draining targets. So an
//! initiator without an open watch queries a few peers, drawn at random, and a peer whose watch is open
//! answers with the targets that have begun to drain or were removed since the version of the list that the
//! query states. Only initiators without a watch send queries, and only those with one answer, so the gossip
//! costs nothing while discovery answers.
//!
//! # Effect of a report
//!
//! A report can only take a target out of use, and only until discovery itself answers: no target is used
//! because a peer reported it, and a report that is late, duplicated, forged or wrong keeps a target idle for
//! seconds at most. Reports are accepted only as answers to queries of the last seconds. A report that claims
//! a gap advances the position from which this initiator queries: by claiming a gap wrongly, a peer can keep
//! this initiator from receiving other peers' drains until discovery answers.
//!
//! # Reporting thousands of drains
//!
//! All drains are in one order that the initiators share ([`Position`]). A query contains the position up to
//! which its sender has all drains. The answer continues from there in datagrams that each state where they
//! begin and end, and the last one states whether there are more drains. The receiver thus detects a lost
//! datagram, queries again from the gap, and receives all drains eventually; none is omitted silently. The
//! bytes that an initiator sends per second are limited by a budget; an answer that the budget cuts short is
//! counted ([`Counters`]), and the receiver queries again later.
//!
//! This crate has no clock, socket or runtime: a driver passes times and the content of datagrams to
//! [`DrainGossip`] and sends the datagrams that it returns.

#![forbid(unsafe_code)]

mod budget;
mod constants;
mod cursor;
mod gossip;
mod log;
mod message;

pub use constants::{
    BUDGET_BYTES_PER_SECOND, MAX_BURST_BYTES, MAX_DATAGRAM_BYTES, MAX_LOG_ENTRIES, MAX_REPORTS_PER_QUERY,
    MAX_TARGETS_PER_REPORT,
};
pub use gossip::{Counters, DrainGossip, Outgoing};
pub use log::Position;
pub use message::{DecodeError, Message, Report, TargetKey};

/// A point in time or a span, in microseconds of the driver's monotonic clock.
pub type Micros = u64;
