//! The operator's `subset` table.

use super::ConfigError;
use crate::settings::Settings;
use rowanglade_subset::{Subset, SubsetConfig};
use serde::Deserialize;

/// The most initiators that targets are divided among: the time that a change of the endpoint list takes grows
/// with them.
const MAX_INITIATORS: u32 = 4_096;
/// How far above the average a target's number of initiators may be where the file does not say, as a factor.
const DEFAULT_SPREAD: f64 = 1.25;

/// How many targets an initiator prefers for new objects.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubsetTable {
    size: usize,
    /// How far above the average a target's number of initiators may be, as a factor.
    #[serde(default = "default_spread")]
    spread: f64,
}

fn default_spread() -> f64 {
    DEFAULT_SPREAD
}

impl SubsetTable {
    /// Checks the table.
    ///
    /// # Errors
    /// A value is out of range, or the settings' numbers of initiators do not fit.
    pub fn check(self, settings: &Settings) -> Result<Subset, ConfigError> {
        if self.size == 0 {
            return Err(ConfigError::new("subset.size", "is zero"));
        }
        if !(1.0..=100.0).contains(&self.spread) {
            return Err(ConfigError::new("subset.spread", format!("{} is not from 1 to 100", self.spread)));
        }
        let (own_number, initiators) = settings.initiator_number_and_count();
        if !(1..=MAX_INITIATORS).contains(&initiators) {
            let problem = format!("settings.siblings is {initiators}, not from 1 to {MAX_INITIATORS}");
            return Err(ConfigError::new("subset", problem));
        }
        if own_number >= initiators {
            let problem =
                format!("settings.my-number is {own_number}, and settings.siblings only {initiators}");
            return Err(ConfigError::new("subset", problem));
        }
        Ok(Subset::new(SubsetConfig { size: self.size, spread: self.spread }, own_number, initiators))
    }
}
