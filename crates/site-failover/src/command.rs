//! Commands to the driver, and the changes of a site that it may log.

use crate::Micros;

/// An action that the driver has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send a health check to this target, and report whether it responds.
    Probe(String),
    /// The effective state of a site's targets may have changed: call
    /// [`crate::SiteFailover::effective_state`] again for them.
    SiteChanged {
        /// The site's name.
        site: String,
        /// How the site has changed.
        change: SiteChange,
    },
}

/// A change of a site's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteChange {
    /// The site is ejected: nothing is sent to its targets.
    Lost {
        /// Number of its targets that are failing.
        failing: usize,
        /// Number of its targets that are active, or have recently left the endpoint list without draining.
        targets: usize,
        /// How long nothing is sent to it, in microseconds.
        ejection_time: Micros,
    },
    /// The site's targets are used again, as if they had just started.
    Returning {
        /// Number of its targets that respond.
        responding: usize,
        /// Number of its active targets.
        targets: usize,
    },
    /// The site responds too slowly: its recovery ramp starts again.
    RampRestarted {
        /// Its latency as a percentage of the usual latency.
        latency_percent: u64,
    },
    /// The recovery ramp has ended.
    Recovered,
}
