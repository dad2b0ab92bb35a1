//! What each of many initiators may send to a target that has just started, so that all of them together
//! never overload it, though none learns what the others send.
//!
//! A target is overloaded when, for a window, it is sent more than a multiple of what it can do at the time.
//! Its capacity is not known to any initiator. Two budgets stand side by side, and a request that fits into
//! either of them may be sent:
//!
//! - **The even part** ([`TargetBudget`]). The settings name a number of units that a target always bears in
//!   its first window. It grows as the target warms up at its slowest, and each initiator has an equal part.
//!   Over a hundred initiators that part is less than one request, so it alone leaves a target that has just
//!   started almost without work until it is warm.
//! - **The reserves** ([`ReservePacer`]). What is reserved for the volumes whose data a target holds is at
//!   most what the target can do when warm, or the reserves could not be kept at all. So if every volume's
//!   reserve is sent at a fraction of its rate, the target gets at most that fraction of its full capacity;
//!   and it bears [`SlowStartRule::overload_multiple`] times the share of its capacity that it has reached.
//!   The rule holds whoever else sends, since every initiator paces its own share of the reserve. A volume's
//!   reserve is for all its targets together: each one that is warming up has a pacer of its own, at that
//!   target's part of it.
//!
//! Targets are overloaded by what arrives, and a request arrives when its connection is up, which may be long
//! after the decision to send it. What was reserved and has not arrived counts as arriving now, each time it
//! is asked; it counts from its arrival once that is committed, and comes back where it never left
//! ([`ReservedUnits`]).
//!
//! Many pacers that begin at once must not send their first requests at once: the first request of each waits
//! for a random phase of the time that its units take at the paced rate. This also keeps a mass restart of
//! initiators harmless: the phases make up for what a new process does not know of the time before.
//!
//! The types that derive `Serialize` are part of the handover between two builds. Their serialized names are
//! fixed; the samples of the handover's compatibility test hold them.

#![forbid(unsafe_code)]

mod reserve_pacer;
mod reserved_units;
mod rule;
mod target_budget;

pub use reserve_pacer::ReservePacer;
pub use reserved_units::ReservedUnits;
pub use rule::SlowStartRule;
pub use target_budget::TargetBudget;

/// A time or a span, in microseconds.
pub type Micros = u64;

/// Microseconds in a second, for rates in units a second.
const MICROS_PER_SECOND: f64 = 1e6;
