//! How a process that serves hands all that it owns over to another that was started beside it.
//!
//! Whoever serves owns things of which there must be one owner: the listeners from which clients are
//! accepted, units of limited volumes, budgets of targets in slow start, maintenance. Ownership goes with a
//! lock that the system frees when its holder dies, so at no moment do two processes hold it, and it never
//! stays with a dead one. A link between two processes carries the rest:
//!
//! ```text
//! successor                      predecessor
//!   finds the lock held            owns, serves
//!   Hello ----------------------->
//!         <----------------------- Welcome, with the listeners and all that may be known early
//!   gets ready to serve            goes on serving, with all that it owns
//!   Ready ----------------------->
//!                                  accepts nothing new, spends nothing more
//!         <----------------------- State, with what it owns
//!   holds it, and waits
//!   StateReceived --------------->
//!                                  releases the lock
//!         <----------------------- OwnershipGranted
//!   acquires the lock, serves      finishes what it holds
//! ```
//!
//! Until `StateReceived` has come, the predecessor owns all, and goes on with it when the link breaks. From
//! then on the successor owns it. When a link breaks, either side tries the lock: who gets it is alone, and
//! starts from nothing that the other may have spent meanwhile. So whichever dies, at whichever moment, the
//! other serves on, and nothing is spent twice.
//!
//! [`Handover`] is that conversation, for either side: a state machine without I/O, which takes [`Event`]s
//! and returns [`Action`]s.

#![forbid(unsafe_code)]

mod machine;
mod protocol;
mod timeouts;

pub use machine::{Action, Event, Handover};
pub use protocol::{LinkId, MessageKind, VERSION};
