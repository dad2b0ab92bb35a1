//! What can be run, and with which options.

use crate::failure::Failure;
use crate::outcome::Outcome;
use std::ops::RangeInclusive;
use std::time::Duration;

/// Something to run, as `list` shows it.
#[derive(Clone, Copy)]
pub struct Experiment {
    /// Its name on the command line.
    pub name: &'static str,
    /// What it is about, in a line.
    pub about: &'static str,
    /// What runs it.
    pub runner: Runner,
}

/// How an experiment is run.
#[derive(Clone, Copy)]
pub enum Runner {
    /// It takes no options.
    Plain(fn() -> Result<Outcome, Failure>),
    /// It plays what seeds draw.
    Seeded(fn(&Seeds) -> Result<Outcome, Failure>),
}

/// The seeds that an experiment plays.
#[derive(Clone, Debug)]
pub struct Seeds {
    /// None: the experiment's own.
    pub range: Option<RangeInclusive<u64>>,
    /// No further seed is begun after so long.
    pub time_limit: Duration,
}

impl Default for Seeds {
    fn default() -> Seeds {
        Seeds { range: None, time_limit: Duration::from_secs(600) }
    }
}
