//! Units that have been sent to a target and have not arrived yet.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// Units that a request has taken from a budget, before they have arrived at the target.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReservedUnits {
    /// The number of the request, of which only one attempt is in transit at a time.
    pub request: u64,
    /// The request's size, in units.
    pub units: f64,
    /// Time by which the units have arrived or never will, even if neither commit nor release was called.
    #[serde(rename = "latest")]
    pub arrives_by: Micros,
}

impl ReservedUnits {
    /// When the units arrive, as far as this is known at `now`.
    pub(crate) fn arrives_at(&self, now: Micros) -> Micros {
        self.arrives_by.min(now)
    }
}
