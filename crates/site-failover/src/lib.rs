//! Site failover: detects that a whole site is lost, and controls how its targets are used until they have
//! returned.
//!
//! The scheduler handles single targets that fail, with backoff and retries. When a whole site fails, every
//! initiator would do that for each of its targets for as long as the site is away, and all of them would
//! send to it at once when it returns. So sites are also judged as a whole.
//!
//! A site is lost when most of its targets have failed or left the endpoint list within one window, without a
//! response since. Targets without a recent attempt are probed first, since the absence of attempts is no
//! evidence. A lost site is ejected: nothing is sent to it for an ejection time, which doubles with each
//! further loss, so that a site that fails repeatedly does not receive load and lose it again each time.
//! After that, all initiators probe it in turn, and it returns once most of its targets respond. Its targets
//! return as if they had just started, whether or not they have: slow start then divides what is sent to them
//! among all initiators, so that the load of the returning site grows gradually (the recovery ramp). If the
//! targets respond much more slowly than before the loss, the ramp starts again.
//!
//! Targets that drained before they left the list are no evidence, since their removal was planned.
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
