//! The configuration of subsets.

/// How targets are divided among initiators. All initiators must use the same values.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetConfig {
    /// Number of targets in an initiator's subset.
    pub size: usize,
    /// Maximum number of initiators of a target as a multiple of the mean, and the mean as a multiple of the
    /// minimum. At least 1.
    pub spread: f64,
}

impl SubsetConfig {
    /// The minimum and maximum number of initiators of a target. A target may have more than the maximum if
    /// an initiator would have too few targets otherwise.
    pub fn bounds(&self, initiators: u32, targets: usize) -> (usize, usize) {
        let pairs = self.size.min(targets) as f64 * f64::from(initiators);
        let mean = pairs / targets.max(1) as f64;
        let spread = self.spread.max(1.0);
        let min_initiators = (mean / spread).floor() as usize;
        let max_initiators = (mean * spread).ceil().max(1.0) as usize;
        (min_initiators, max_initiators)
    }
}
