//! What names a state: its version, and the digest of its entries.

use serde::{Deserialize, Serialize};

/// The version of a state; of one source, newer ones are greater. A source that starts anew without its last
/// state takes a greater epoch; no step compares clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// Which life of the source.
    pub epoch: u64,
    /// Counts the states of that life.
    pub number: u64,
}

/// The sum of all entries' hashes: a change costs in step with what it changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(pub u128);

impl Digest {
    /// The digest of this one's entries and a further one.
    pub(crate) fn with_entry(self, name: &str, value: &str) -> Digest {
        Digest(self.0.wrapping_add(hash_entry(name, value)))
    }

    /// The digest of this one's entries but for one of them.
    pub(crate) fn without_entry(self, name: &str, value: &str) -> Digest {
        Digest(self.0.wrapping_sub(hash_entry(name, value)))
    }
}

/// The length of the name goes first: no two entries are the same bytes.
fn hash_entry(name: &str, value: &str) -> u128 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(name.len() as u64).to_le_bytes()).update(name.as_bytes()).update(value.as_bytes());
    let mut hash = [0; 16];
    hasher.finalize_xof().fill(&mut hash);
    u128::from_le_bytes(hash)
}
