//! Handover of everything that a serving process owns to a successor that is started beside it.
//!
//! The serving process owns resources that must have exactly one owner: the listeners on which clients are
//! accepted, units of limited volumes, budgets of targets in slow start, and maintenance. Ownership is tied
//! to a lock that the system releases when its holder dies. So no two processes hold it at the same time, and
//! it never stays with a dead process. Everything else is exchanged over a link between the two processes:
//!
//! ```text
//! successor                      predecessor
//!   finds the lock held            owns, serves
//!   Hello ----------------------->
//!         <----------------------- Welcome, with the listeners and the state that can be sent in advance
//!   prepares to serve              continues to serve, and to own everything
//!   Ready ----------------------->
//!                                  accepts no new clients, spends nothing
//!         <----------------------- State, with what it owns
//!   stores it, and waits
//!   StateReceived --------------->
//!                                  releases the lock
//!         <----------------------- OwnershipGranted
//!   acquires the lock, serves      finishes its open requests
//! ```
//!
//! Until it receives `StateReceived`, the predecessor owns everything, and it continues as the owner if the
//! link breaks. From then on the successor is the owner. When a link breaks, either side tries to acquire the
//! lock. The process that acquires it is the only owner, and starts without the state that the other process
//! may have spent in the meantime. So whichever process dies at any moment, the other one serves, and nothing
//! is spent twice.
//!
//! [`Handover`] implements this protocol for both sides: a state machine without I/O, which receives
//! [`Event`]s and returns [`Action`]s.

#![forbid(unsafe_code)]

mod machine;
mod protocol;
mod timeouts;

pub use machine::{Action, Event, Handover};
pub use protocol::{LinkId, MessageKind, VERSION};
