//! Random draws of the scheduler: the same seed and events give the same draws.

/// The SplitMix64 generator.
#[derive(Default)]
pub(super) struct RandomDraws {
    state: u64,
}

impl RandomDraws {
    pub fn new(seed: u64) -> RandomDraws {
        RandomDraws { state: seed }
    }

    /// A number from 0 (inclusive) to 1 (exclusive).
    pub fn next_fraction(&mut self) -> f64 {
        self.state = self.state.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }
}
