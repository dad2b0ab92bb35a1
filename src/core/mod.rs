//! The core: the actor that alone owns the module, and the messages it exchanges with fronts, targets and
//! the list. Nothing here knows a wire.

mod access_log;
mod actor;
mod attempt;
mod body;
mod clock;
mod diagnostics;
mod fleet;
mod listing;
mod mailbox;
mod message;
mod replacing;
mod requests;
mod routes;
mod sending;
mod sites;
mod starts;

pub use access_log::AccessLog;
pub use actor::{Core, CoreDependencies};
pub use attempt::{Attempt, Connect, Probe, ProbeReport, Report, TargetMessage};
pub use body::{Content, Download, HELD, Lost, PIECES, Taken, Upload};
pub use clock::{Clock, micros};
pub use diagnostics::{Counters, LONG_STEP, Step};
pub use fleet::{Fleet, Outgoing};
pub use mailbox::{CoreHandle, CoreMailbox, InvalidRequest, MAX_ENTRIES_PER_STEP, Pending, mailbox};
pub use message::*;
pub use routes::{Loaded, Routes};
pub use sites::Watch;
pub use starts::StartTimes;
