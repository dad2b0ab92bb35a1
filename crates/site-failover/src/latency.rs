//! The mean latency of a site's responses.

use crate::Micros;

/// Number of responses of a returning site before its latency is judged: fewer may only reflect its slow
/// start.
const MIN_SAMPLES: u32 = 8;
/// Weight of a new sample in the mean, so that about the last ten responses count.
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

    /// Returns this mean as a percentage of `usual` if it exceeds `usual` by more than `factor` and there are
    /// enough samples for a comparison.
    pub fn percent_if_slower(&self, usual: &MeanLatency, factor: f64) -> Option<u64> {
        let has_enough_samples = usual.samples > 0 && self.samples >= MIN_SAMPLES;
        let is_slower = self.mean > factor * usual.mean;
        (has_enough_samples && is_slower).then(|| (100.0 * self.mean / usual.mean.max(1.0)) as u64)
    }
}
