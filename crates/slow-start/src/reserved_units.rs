//! Units that are on their way to a target.

use crate::Micros;
use serde::{Deserialize, Serialize};

/// What a request has taken from a budget and has not arrived at its target yet.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReservedUnits {
    /// The request's number. Only one of its attempts is on its way at a time.
    pub request: u64,
    /// The request's size, in units.
    pub units: f64,
    /// When it has arrived or never will, though neither commit nor release was called.
    #[serde(rename = "latest")]
    pub arrives_by: Micros,
}

impl ReservedUnits {
    /// When the units arrive, as far as is known now.
    pub(crate) fn arrives_at(&self, now: Micros) -> Micros {
        self.arrives_by.min(now)
    }
}
