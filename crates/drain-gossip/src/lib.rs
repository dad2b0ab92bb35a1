//! Which targets are draining, as initiators report it to each other while discovery does not answer one of
//! them.
//!
//! Discovery is one service for all initiators. After an outage, or a restart of many initiators, it needs
//! seconds to answer all of them, and those that wait would go on sending to targets that drain. So an
//! initiator without an open watch queries a few peers, drawn at random, and one whose watch is open answers
//! with the targets that have begun to drain or were removed since the version that is held. Only those
//! without a watch query, and only those with one answer, so gossip costs nothing while discovery answers.
//!
//! # What a report can do
//!
//! It can only take a target out of use, and only until discovery itself answers: a target is never used
//! because a peer says so, and a report that is late, duplicated, forged or wrong keeps a target idle for
//! seconds at most. Reports are accepted only as answers to queries of the last seconds. One that claims a gap
//! moves the position that is queried from: wrongly claimed by a peer, it can keep other peers' drains from
//! this initiator until discovery answers.
//!
//! # How thousands of drains are reported
//!
//! All drains stand in one order that the initiators share ([`Position`]). A query names the position up to
//! which its sender knows them, an answer goes on from there in datagrams that each name where they begin and
//! end, and the last says whether there is more. So the receiver notices a datagram that was lost, queries
//! from the gap on, and gets all in the end: nothing is left out in silence. What an initiator sends is bounded
//! by a budget of bytes a second; reaching it is counted ([`Counters`]), and the receiver queries again later.
//!
//! There is no clock, socket or runtime here: a driver passes the time and the datagrams' contents to
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
