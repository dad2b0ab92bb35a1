//! The figures that an operator sets.

use crate::Micros;

/// The figures that an operator sets, and this initiator's place in the fleet. Spans are in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FailoverConfig {
    /// A failure or a removal counts as evidence for this long.
    pub evidence_window: Micros,
    /// A site is lost when this part of its targets fails, and returns when this part responds.
    pub quorum: f64,
    /// A lost site gets nothing for this long at first.
    pub ejection_time: Micros,
    /// The ejection time doubles with each further loss up to this.
    pub max_ejection_time: Micros,
    /// After its ejection time a lost site is probed this often, by all initiators together.
    pub probe_interval: Micros,
    /// How long a returned target counts as warming up.
    pub recovery_ramp: Micros,
    /// The ramp is restarted where a returning site responds this many times slower than before.
    pub slow_factor: f64,
    /// This initiator's index among all, from 0.
    pub own_index: u32,
    /// How many initiators there are.
    pub initiators: u32,
}

impl FailoverConfig {
    /// How many of so many targets are a quorum: one at least.
    pub(crate) fn quorum_of(&self, targets: usize) -> usize {
        ((self.quorum * targets as f64).ceil() as usize).max(1)
    }
}
