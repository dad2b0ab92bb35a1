//! What operators expect of their routes.

use crate::request_match::RequestMatch;
use crate::table::Origin;
use crate::target::{ListedState, TargetSelector};

/// What must hold for every request of an expectation.
#[derive(Clone, Debug, PartialEq)]
pub enum Requirement {
    /// Every target that could be reached is one of these.
    Only(TargetSelector),
    /// No target that is one of these, and in one of these states, is reached.
    Never {
        /// The targets.
        targets: TargetSelector,
        /// The states.
        states: Vec<ListedState>,
    },
    /// One of these is reached while all listed targets are active but for any `without` of them.
    Some {
        /// The targets.
        targets: TargetSelector,
        /// How many targets may be missing.
        without: usize,
    },
    /// No target can serve it, while all listed targets are active.
    Rejected,
    /// So many attempts at most.
    MaxAttempts(u32),
    /// Sends to a target that drains end within this time, in milliseconds.
    MaxDrainGraceMs(u64),
    /// A volume gets so many units a second at most.
    MaxUnitsPerSecond(f64),
    /// New objects can go to so many targets at least, while all listed targets are active.
    MinNewObjectTargets(usize),
}

impl Requirement {
    /// Whether the settings alone decide it, whatever the routes are.
    pub fn is_about_settings(&self) -> bool {
        matches!(
            self,
            Requirement::MaxAttempts(_) | Requirement::MaxDrainGraceMs(_) | Requirement::MaxUnitsPerSecond(_)
        )
    }
}

/// What to do with the configuration while a target that an expectation depends on is not listed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WhenUndecided {
    /// Load it with a warning; check again when the list names the target.
    #[default]
    Warn,
    /// Do not load it.
    Refuse,
    /// Do not load it yet: load it when the list has named the target and the expectation holds.
    Hold,
}

/// An expectation.
#[derive(Clone, Debug, PartialEq)]
pub struct Expectation {
    /// Its name.
    pub name: String,
    /// The requests for which it must hold.
    pub requests: RequestMatch,
    /// What must hold.
    pub requirement: Requirement,
    /// What to do while it cannot be decided.
    pub when_undecided: WhenUndecided,
    /// Where it stands.
    pub origin: Origin,
}
