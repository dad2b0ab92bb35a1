//! Whole sites: when one counts as lost, what holds for its targets meanwhile, and how they return.
//!
//! A single target that fails is the scheduler's: it backs off, and tries it again. When a site is gone, that
//! is done for each of its targets and by every initiator, for as long as it is away, and on its return all
//! turn to it at once. So a site is judged as a whole here.
//!
//! It is lost when most of its targets have failed or left the endpoint list within one window, without a
//! response since; those without a recent attempt are probed first, since silence about a target is no
//! evidence. A lost site is ejected: it gets nothing for an ejection time that doubles with each further loss,
//! since a site that comes and goes must not take the load along each time. After that it is probed, by all
//! initiators in turn, and returns once most of its targets respond. They return as if just started, whether or
//! not they were: slow start then parts among all initiators what they are sent, so that the sum of what returns
//! is paced (the recovery ramp). Where they respond far slower than before the loss, the ramp is restarted.
//!
//! Targets that drained before they left are no evidence: somebody planned that.
//!
//! [`SiteFailover`] is the state machine; it has no sockets and no clock.

#![forbid(unsafe_code)]

mod command;
mod config;
mod failover;
mod latency;
mod shards;
mod site;
mod target;

pub use command::{Command, SiteChange};
pub use config::FailoverConfig;
pub use failover::SiteFailover;
pub use site::Phase;
pub use target::TargetState;

/// A point in time or a span, in microseconds of the driver's monotonic clock.
pub type Micros = u64;
