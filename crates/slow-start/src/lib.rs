//! Limits what each of many initiators sends to a target that has just started, so that all of them together
//! never overload it although no initiator knows what the others send.
//!
//! A target is overloaded when it is sent, within a window, more than a multiple of what its capacity allows
//! at that time. No initiator knows the target's capacity. There are two budgets, and a request that fits
//! into either of them may be sent:
//!
//! - **The even part** ([`TargetBudget`]). The settings give a number of units that a target always accepts
//!   in its first window. It grows as the target warms up at its slowest, and each initiator has an equal
//!   part of it. With more than a hundred initiators that part is less than one request, so on its own it
//!   would leave a target that has just started almost without work until it is warm.
//! - **The reserves** ([`ReservePacer`]). The units reserved for the volumes whose data a target holds are
//!   at most the capacity of the warm target, or the reserves could not be met at all. So if the reserve of
//!   every volume is sent at a fraction of its rate, the target gets at most that fraction of its full
//!   capacity, and it accepts [`SlowStartRule::overload_multiple`] times the fraction of its capacity that
//!   it has reached. The rule holds whatever the other initiators send, since each paces its own share of
//!   the reserve. A volume's reserve covers all its targets: each target that is warming up has its own
//!   pacer, at that target's part of the reserve.
//!
//! A target is overloaded by the requests that arrive, and a request arrives when its connection is
//! established, which may be long after the decision to send it. Until then its units are reserved, and each
//! check counts them as arriving at the time of the check. Once they are committed, they count from the time
//! of their arrival; if the request is never sent, they are returned ([`ReservedUnits`]).
//!
//! Pacers that start at the same time must not send their first requests at the same time: the first request
//! of each waits for a random fraction (the phase) of the time that its units take at the paced rate. This
//! also makes a mass restart of initiators harmless: the phases make up for what a new process does not know
//! of earlier sends.
//!
//! The types that derive `Serialize` are part of the handover between two builds. Their serialized names are
//! fixed; samples in the handover's compatibility test contain them.

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
