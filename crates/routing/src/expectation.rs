//! Operators' expectations of their routes.

use crate::request_match::RequestMatch;
use crate::table::Origin;
use crate::target::{ListedState, TargetSelector};

/// What must hold for every request of an expectation.
#[derive(Clone, Debug, PartialEq)]
pub enum Requirement {
    /// Requests can reach only these targets.
    Only(TargetSelector),
    /// Requests cannot reach these targets while they are in these states.
    Never {
        /// The targets that must not be reached.
        targets: TargetSelector,
        /// The states in which they must not be reached.
        states: Vec<ListedState>,
    },
    /// Requests reach one of these targets while all listed targets are active, even if any `without` of them
    /// are missing.
    Some {
        /// The targets of which one must be reached.
        targets: TargetSelector,
        /// Number of targets that may be missing.
        without: usize,
    },
    /// No target can serve the requests while all listed targets are active.
    Rejected,
    /// Requests get at most this many attempts.
    MaxAttempts(u32),
    /// Requests are sent to a draining target for at most this time, in milliseconds.
    MaxDrainGraceMs(u64),
    /// Volumes get at most this many units per second.
    MaxUnitsPerSecond(f64),
    /// New objects can go to at least this many targets while all listed targets are active.
    MinNewObjectTargets(usize),
}

impl Requirement {
    /// Whether only the settings determine if the requirement is met, and not the routes.
    pub fn is_about_settings(&self) -> bool {
        matches!(
            self,
            Requirement::MaxAttempts(_) | Requirement::MaxDrainGraceMs(_) | Requirement::MaxUnitsPerSecond(_)
        )
    }
}

/// What to do with the configuration while an expectation depends on targets that are not listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WhenUndecided {
    /// Load it with a warning; check again when the endpoint list contains the targets.
    #[default]
    Warn,
    /// Do not load it.
    Refuse,
    /// Load it once the endpoint list contains the targets and the expectation is met.
    Hold,
}

/// A requirement on the routes, for a set of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Expectation {
    /// The name that reports show.
    pub name: String,
    /// The requests for which the requirement must be met.
    pub requests: RequestMatch,
    /// What must hold for each of these requests.
    pub requirement: Requirement,
    /// What to do while the expectation cannot be decided.
    pub when_undecided: WhenUndecided,
    /// Where the expectation is defined.
    pub origin: Origin,
}
