//! The mean latency of a site.

use crate::Micros;

/// Responses of a returning site after which its latency is judged: fewer may be the slow start's own doing.
const MIN_SAMPLES: u32 = 8;
/// The weight of a new sample in the mean: about the last ten responses count.
const SAMPLE_WEIGHT: f64 = 0.2;

/// An exponentially weighted moving average of latencies in microseconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MeanLatency {
    mean: f64,
    samples: u32,
}

impl MeanLatency {
    pub fn add(&mut self, latency: Micros) {
        let weight = if self.samples == 0 { 1.0 } else { SAMPLE_WEIGHT };
        self.mean += weight * (latency as f64 - self.mean);
        self.samples = self.samples.saturating_add(1);
    }

    /// This mean as a percentage of `usual`, if it is over `factor` times as long and there are samples enough
    /// to tell.
    pub fn percent_if_slower(&self, usual: &MeanLatency, factor: f64) -> Option<u64> {
        let can_tell = usual.samples > 0 && self.samples >= MIN_SAMPLES;
        let is_slower = self.mean > factor * usual.mean;
        (can_tell && is_slower).then(|| (100.0 * self.mean / usual.mean.max(1.0)) as u64)
    }
}
