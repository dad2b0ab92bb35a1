//! Checks what clients, targets and discovery recorded during a test against the rules of the protocol.
//!
//! A test rig fills a [`History`]: every request as its client observed it, every attempt as its target
//! observed it, every change of the endpoint list, and when discovery delivered which version to which
//! process. [`check`] returns each [`Breach`]. All times are on one monotonic clock, so the checker needs
//! neither sockets nor a clock of its own.
//!
//! The only tolerance in favour of the program under test is the slack that [`Rules`] states.

#![forbid(unsafe_code)]

mod breach;
mod drains;
mod history;
mod requests;
mod rules;
mod slow_start;

pub use breach::{Breach, BreachKind};
pub use history::{
    Attempt, AttemptOutcome, ClientOutcome, Delivery, EndpointChange, History, Idempotency, Interval, Micros,
    ProcessEnd, ProcessId, Request, TargetState,
};
pub use rules::{Rules, SlowStart};

/// Returns all breaches in a history, ordered by time, then kind, then request id.
pub fn check(history: &History, rules: &Rules) -> Vec<Breach> {
    let mut breaches = requests::check(history, rules);
    breaches.extend(drains::check(history, rules));
    if let Some(slow_start) = &rules.slow_start {
        breaches.extend(slow_start::check(history, slow_start));
    }
    breaches.sort_by(|a, b| (a.at, a.kind, &a.request).cmp(&(b.at, b.kind, &b.request)));
    breaches
}
