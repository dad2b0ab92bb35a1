//! What the driver has to do, and what it may log.

use crate::Micros;

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Send this target a health check, and pass on whether it responds.
    Probe(String),
    /// What holds for the targets of a site has changed: ask [`crate::SiteFailover::effective_state`] anew.
    SiteChanged {
        /// The site's name.
        site: String,
        /// What has changed.
        change: SiteChange,
    },
}

/// What has changed for a site.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteChange {
    /// It is ejected: its targets get nothing.
    Lost {
        /// How many of its targets fail.
        failing: usize,
        /// How many targets it has.
        targets: usize,
        /// How long it gets nothing, in microseconds.
        ejection_time: Micros,
    },
    /// Its targets are used again, as if just started.
    Returning {
        /// How many of its targets respond.
        responding: usize,
        /// How many targets it has.
        targets: usize,
    },
    /// It responds too slowly: its recovery ramp is restarted.
    RampRestarted {
        /// Its latency, as a percentage of the usual one.
        latency_percent: u64,
    },
    /// Its recovery ramp is over.
    Recovered,
}
