//! Draws the initiators that are candidates of a target: a bounded number for each target, which all
//! initiators compute alike without examining every pair.
//!
//! A target draws in layers. In each layer it draws one initiator from every block of [`BLOCK_SIZE`]
//! consecutive indices; its rank for an initiator is the layer and hash of the first draw of that initiator.
//! So ranks depend only on the target's name and the initiator's index: initiators that join or leave change
//! no other ranks, and fewer layers omit only the worst ranks.

use crate::SubsetConfig;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Initiators per block: in each layer, one in this many targets draws a given initiator. All initiators must
/// use the same value. The best value is an open question (docs/design/open-questions.md).
const BLOCK_SIZE: u32 = 256;
/// An initiator is a candidate of this many targets for each target in its subset, plus [`EXTRA_CANDIDATES`],
/// on average at least: enough that examining all pairs is rarely necessary.
const CANDIDATES_PER_TARGET: usize = 2;
/// Added to the candidates of [`CANDIDATES_PER_TARGET`].
const EXTRA_CANDIDATES: usize = 32;
/// In the seed of a draw, the layer (counted from 1) is shifted by this many bits, and the block takes the bits
/// below. The seed of a score is the initiator's index alone. In a rank, the layer is shifted likewise.
const LAYER_SHIFT: u32 = 32;

/// An initiator drawn by a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Candidate {
    /// Lower ranks come first: the layer of the draw, then its hash.
    pub rank: u64,
    pub initiator: u32,
}

/// Number of layers that each of `targets` targets draws.
pub(crate) fn layer_count(config: &SubsetConfig, targets: usize) -> u64 {
    let candidates = (CANDIDATES_PER_TARGET * config.size + EXTRA_CANDIDATES) as u64;
    (candidates * u64::from(BLOCK_SIZE)).div_ceil(targets.max(1) as u64)
}

/// Draws a target's candidates among `initiators`. `drawn` is scratch space with an entry for each initiator;
/// all entries must be false, and are false again on return.
pub(crate) fn draw_candidates(
    target: &str,
    layers: u64,
    initiators: u32,
    drawn: &mut [bool],
) -> Vec<Candidate> {
    let mut candidates = Vec::new();
    for layer in 0..layers {
        for block in 0..initiators.div_ceil(BLOCK_SIZE) {
            let seed = (layer + 1) << LAYER_SHIFT | u64::from(block);
            let hash = xxh3_64_with_seed(target.as_bytes(), seed);
            let initiator = block * BLOCK_SIZE + hash as u32 % BLOCK_SIZE;
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

/// Score of a pair that has no rank, since the target has not drawn the initiator; higher is better.
pub(crate) fn score(initiator: u32, target: &str) -> u64 {
    xxh3_64_with_seed(target.as_bytes(), u64::from(initiator))
}
