//! The operator's `subset` table.

use super::ConfigError;
use crate::settings::Settings;
use rowanglade_subset::{Subset, SubsetConfig};
use serde::Deserialize;

/// The most instances that targets are divided among: the time that a change of the list takes grows with
/// them.
const MOST_INSTANCES: u32 = 4_096;

/// How many targets an instance prefers for new objects.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubsetTable {
    size: usize,
    /// How far above the average a target's number of instances may be, as a factor.
    #[serde(default = "default_spread")]
    spread: f64,
}

fn default_spread() -> f64 {
    1.25
}

impl SubsetTable {
    /// Checks the table.
    ///
    /// # Errors
    /// A value is out of range, or the settings' numbers of instances do not fit.
    pub fn check(self, settings: &Settings) -> Result<Subset, ConfigError> {
        if self.size == 0 {
            return Err(ConfigError::new("subset.size", "is zero"));
        }
        if !(1.0..=100.0).contains(&self.spread) {
            return Err(ConfigError::new("subset.spread", format!("{} is not from 1 to 100", self.spread)));
        }
        let (own_index, instances) = settings.instances();
        if !(1..=MOST_INSTANCES).contains(&instances) {
            let problem = format!("settings.siblings is {instances}, not from 1 to {MOST_INSTANCES}");
            return Err(ConfigError::new("subset", problem));
        }
        if own_index >= instances {
            let problem =
                format!("settings.my-number is {own_index}, and settings.siblings only {instances}");
            return Err(ConfigError::new("subset", problem));
        }
        Ok(Subset::new(SubsetConfig { size: self.size, spread: self.spread }, own_index, instances))
    }
}
