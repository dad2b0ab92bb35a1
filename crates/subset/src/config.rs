//! How targets are divided among initiators.

/// How targets are divided among initiators. Every initiator needs the same figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SubsetConfig {
    /// Targets of an initiator.
    pub size: usize,
    /// The most initiators of a target, as a multiple of their mean number, and the mean as a multiple of the
    /// fewest. At least 1.
    pub spread: f64,
}

impl SubsetConfig {
    /// The fewest and the most initiators that a target has. Where an initiator would be short of targets
    /// otherwise, a target may have more.
    pub fn bounds(&self, initiators: u32, targets: usize) -> (usize, usize) {
        let pairs = self.size.min(targets) as f64 * f64::from(initiators);
        let mean = pairs / targets.max(1) as f64;
        let spread = self.spread.max(1.0);
        let fewest = (mean / spread).floor() as usize;
        let most = (mean * spread).ceil().max(1.0) as usize;
        (fewest, most)
    }
}
