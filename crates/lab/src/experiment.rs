//! Experiments and the options they run with.

use crate::failure::Failure;
use crate::outcome::Outcome;
use std::ops::RangeInclusive;
use std::time::Duration;

/// An experiment of the lab, as `list` prints it.
#[derive(Clone, Copy)]
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// One-line description.
    pub about: &'static str,
    /// Function that runs the experiment.
    pub runner: Runner,
}

/// How an experiment is run.
#[derive(Clone, Copy)]
pub enum Runner {
    /// Runs without options.
    Plain(fn() -> Result<Outcome, Failure>),
    /// Runs once for each of a range of seeds.
    Seeded(fn(&Seeds) -> Result<Outcome, Failure>),
}

/// Seeds that a seeded experiment runs.
#[derive(Clone, Debug)]
pub struct Seeds {
    /// Inclusive range from the command line; `None` selects the experiment's default seeds.
    pub range: Option<RangeInclusive<u64>>,
    /// No further seed is started after this time.
    pub time_limit: Duration,
}

impl Default for Seeds {
    fn default() -> Seeds {
        Seeds { range: None, time_limit: Duration::from_secs(600) }
    }
}
