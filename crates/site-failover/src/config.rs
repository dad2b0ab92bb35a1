//! The configuration of site failover.

use crate::Micros;

/// The settings of site failover, and this initiator's position in the fleet. Durations are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailoverConfig {
    /// How long a failure or a removal counts as evidence.
    pub evidence_window: Micros,
    /// Fraction of a site's targets that must fail for the site to be lost, and respond for it to return.
    pub quorum: f64,
    /// How long nothing is sent to a lost site the first time.
    pub ejection_time: Micros,
    /// Upper bound on the ejection time, which doubles with each further loss.
    pub max_ejection_time: Micros,
    /// Interval at which a lost site is probed after its ejection time, by all initiators together.
    pub probe_interval: Micros,
    /// How long the targets of a site that has returned count as warming up.
    pub recovery_ramp: Micros,
    /// The ramp starts again if a returning site responds this many times slower than before.
    pub slow_factor: f64,
    /// Index of this initiator in the fleet, from 0.
    pub own_index: u32,
    /// Number of initiators in the fleet.
    pub initiators: u32,
}

impl FailoverConfig {
    /// Number of targets that form a quorum of `targets`; at least one.
    pub(crate) fn quorum_size(&self, targets: usize) -> usize {
        ((self.quorum * targets as f64).ceil() as usize).max(1)
    }
}
