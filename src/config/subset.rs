//! The operator's `subset` table: the choice of preferred targets.

use super::ConfigError;
use crate::settings::Settings;
use rowanglade_subset::{Subset, SubsetConfig};
use serde::Deserialize;

/// The most initiators that targets may be divided among. The time that a change of the endpoint list takes
/// grows with their number.
const MAX_INITIATORS: u32 = 4_096;
/// The `spread` if the table sets none.
const DEFAULT_SPREAD: f64 = 1.25;

/// How many targets this initiator prefers for new objects, and how evenly initiators are spread over
/// targets.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SubsetTable {
    size: usize,
    /// The most initiators that may prefer one target, as a multiple of the average over all targets.
    #[serde(default = "default_spread")]
    spread: f64,
}

fn default_spread() -> f64 {
    DEFAULT_SPREAD
}

impl SubsetTable {
    /// Checks the table against the settings, which have the number of initiators.
    ///
    /// # Errors
    /// A value is out of range, or the settings' initiator number and count don't fit together.
    pub fn check(self, settings: &Settings) -> Result<Subset, ConfigError> {
        if self.size == 0 {
            return Err(ConfigError::new("subset.size", "must be above zero"));
        }
        if !(1.0..=100.0).contains(&self.spread) {
            return Err(ConfigError::new(
                "subset.spread",
                format!("{} is not between 1 and 100", self.spread),
            ));
        }
        let (own_number, initiators) = settings.initiator_number_and_count();
        if !(1..=MAX_INITIATORS).contains(&initiators) {
            let problem =
                format!("settings.siblings is {initiators}, which is not between 1 and {MAX_INITIATORS}");
            return Err(ConfigError::new("subset", problem));
        }
        if own_number >= initiators {
            let problem = format!(
                "settings.my-number is {own_number}, which is not below settings.siblings ({initiators})"
            );
            return Err(ConfigError::new("subset", problem));
        }
        Ok(Subset::new(SubsetConfig { size: self.size, spread: self.spread }, own_number, initiators))
    }
}
