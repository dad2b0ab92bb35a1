//! Which initiators are candidates of a target: a bounded number for each, found alike by all without a look
//! at every pair.
//!
//! A target draws in layers. In each it draws one initiator of every block of [`BLOCK_INSTANCES`] consecutive
//! indices, and its rank for the initiator is the layer and hash of the first such draw. So ranks depend on the
//! target's name and the initiator's index alone: whoever joins or leaves changes no rank of others, and fewer
//! layers leave out the worst ranks only.

use crate::SubsetConfig;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Initiators of a block: in each layer an initiator is drawn by one in so many targets. All initiators must have
/// the same figure; why it is 256 is not recorded (docs/design/open-questions.md).
const BLOCK_INSTANCES: u32 = 256;
/// An initiator has this many candidates for each target that it takes, and [`EXTRA_CANDIDATES`] more, in the
/// mean at least: enough that looks at all pairs stay rare.
const CANDIDATES_PER_TARGET: usize = 2;
/// See [`CANDIDATES_PER_TARGET`].
const EXTRA_CANDIDATES: usize = 32;
/// Seeds of scores are initiators' indices; those of draws have a layer above these bits, and a block in them.
const LAYER_SHIFT: u32 = 32;

/// A pair of an initiator and the target that drew it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    /// How early the initiator was drawn: lower ranks come first.
    pub rank: u64,
    pub initiator: u32,
}

/// How many layers each of so many targets draws.
pub(crate) fn layer_count(config: &SubsetConfig, targets: usize) -> u64 {
    let candidates = (CANDIDATES_PER_TARGET * config.size + EXTRA_CANDIDATES) as u64;
    (candidates * u64::from(BLOCK_INSTANCES)).div_ceil(targets.max(1) as u64)
}

/// A target's candidates among `initiators`. `drawn` has an entry for each initiator, and is left as it came: all
/// false.
pub(crate) fn draw_candidates(
    target: &str,
    layers: u64,
    initiators: u32,
    drawn: &mut [bool],
) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for layer in 0..layers {
        for block in 0..initiators.div_ceil(BLOCK_INSTANCES) {
            let seed = (layer + 1) << LAYER_SHIFT | u64::from(block);
            let hash = xxh3_64_with_seed(target.as_bytes(), seed);
            let initiator = block * BLOCK_INSTANCES + hash as u32 % BLOCK_INSTANCES;
            if initiator >= initiators || std::mem::replace(&mut drawn[initiator as usize], true) {
                continue;
            }
            let rank = layer << LAYER_SHIFT | hash >> LAYER_SHIFT;
            candidates.push(Candidate { rank, initiator });
        }
    }
    for candidate in &candidates {
        drawn[candidate.initiator as usize] = false;
    }
    candidates
}

/// How well an initiator and a target suit each other where no draw has said so: higher is better.
pub(crate) fn score(initiator: u32, target: &str) -> u64 {
    xxh3_64_with_seed(target.as_bytes(), u64::from(initiator))
}
