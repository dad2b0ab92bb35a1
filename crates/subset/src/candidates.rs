//! Which instances are candidates of a target: a bounded number for each, found alike by all without a look
//! at every pair.
//!
//! A target draws in layers. In each it draws one instance of every block of [`BLOCK`] consecutive numbers,
//! and its rank for the instance is the layer and place of the first such draw. So ranks depend on the
//! target's name and the instance's number alone: whoever joins or leaves changes no rank of others, and
//! fewer layers leave out the worst ranks only.

use crate::Rule;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Instances of a block.
const BLOCK: u32 = 256;
/// Candidates that an instance has in the mean, at least: twice as many as it takes, and so many more.
const SPARE: usize = 32;
/// Seeds of scores are instances' numbers; those of draws have a layer above these bits, and a block in them.
const LAYER_SHIFT: u32 = 32;

/// A pair of an instance and the target that drew it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// How early the instance was drawn: lower ranks come first.
    pub rank: u64,
    pub instance: u32,
}

/// The layers that each of so many targets draws.
pub fn layers(rule: &Rule, targets: usize) -> u64 {
    let candidates = (2 * rule.size + SPARE) as u64;
    (candidates * u64::from(BLOCK)).div_ceil(targets.max(1) as u64)
}

/// A target's candidates of `instances`. `seen` has a place for each instance, and is left as it came: all
/// false.
pub fn candidates(target: &str, layers: u64, instances: u32, seen: &mut [bool]) -> Vec<Candidate> {
    let mut found = Vec::new();
    for layer in 0..layers {
        for block in 0..instances.div_ceil(BLOCK) {
            let seed = (layer + 1) << LAYER_SHIFT | u64::from(block);
            let hash = xxh3_64_with_seed(target.as_bytes(), seed);
            let instance = block * BLOCK + hash as u32 % BLOCK;
            if instance < instances && !std::mem::replace(&mut seen[instance as usize], true) {
                found.push(Candidate { rank: layer << LAYER_SHIFT | hash >> LAYER_SHIFT, instance });
            }
        }
    }
    for candidate in &found {
        seen[candidate.instance as usize] = false;
    }
    found
}

/// How well an instance and a target suit each other where no draw has said so.
pub fn score(instance: u32, target: &str) -> u64 {
    xxh3_64_with_seed(target.as_bytes(), u64::from(instance))
}
