//! Which instances are candidates of a target: a bounded number for each, found alike by all without a look
//! at every pair.
//!
//! A target draws in layers. In each it draws one instance of every block of [`BLOCK_INSTANCES`] consecutive
//! indices, and its rank for the instance is the layer and hash of the first such draw. So ranks depend on the
//! target's name and the instance's index alone: whoever joins or leaves changes no rank of others, and fewer
//! layers leave out the worst ranks only.

use crate::SubsetConfig;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Instances of a block: in each layer an instance is drawn by one in so many targets. All instances must have
/// the same figure; why it is 256 is not recorded (docs/design/open-questions.md).
const BLOCK_INSTANCES: u32 = 256;
/// An instance has this many candidates for each target that it takes, and [`EXTRA_CANDIDATES`] more, in the
/// mean at least: enough that looks at all pairs stay rare.
const CANDIDATES_PER_TARGET: usize = 2;
/// See [`CANDIDATES_PER_TARGET`].
const EXTRA_CANDIDATES: usize = 32;
/// Seeds of scores are instances' indices; those of draws have a layer above these bits, and a block in them.
const LAYER_SHIFT: u32 = 32;

/// A pair of an instance and the target that drew it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    /// How early the instance was drawn: lower ranks come first.
    pub rank: u64,
    pub instance: u32,
}

/// How many layers each of so many targets draws.
pub(crate) fn layer_count(config: &SubsetConfig, targets: usize) -> u64 {
    let candidates = (CANDIDATES_PER_TARGET * config.size + EXTRA_CANDIDATES) as u64;
    (candidates * u64::from(BLOCK_INSTANCES)).div_ceil(targets.max(1) as u64)
}

/// A target's candidates among `instances`. `drawn` has an entry for each instance, and is left as it came: all
/// false.
pub(crate) fn draw_candidates(
    target: &str,
    layers: u64,
    instances: u32,
    drawn: &mut [bool],
) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for layer in 0..layers {
        for block in 0..instances.div_ceil(BLOCK_INSTANCES) {
            let seed = (layer + 1) << LAYER_SHIFT | u64::from(block);
            let hash = xxh3_64_with_seed(target.as_bytes(), seed);
            let instance = block * BLOCK_INSTANCES + hash as u32 % BLOCK_INSTANCES;
            if instance >= instances || std::mem::replace(&mut drawn[instance as usize], true) {
                continue;
            }
            let rank = layer << LAYER_SHIFT | hash >> LAYER_SHIFT;
            candidates.push(Candidate { rank, instance });
        }
    }
    for candidate in &candidates {
        drawn[candidate.instance as usize] = false;
    }
    candidates
}

/// How well an instance and a target suit each other where no draw has said so: higher is better.
pub(crate) fn score(instance: u32, target: &str) -> u64 {
    xxh3_64_with_seed(target.as_bytes(), u64::from(instance))
}
