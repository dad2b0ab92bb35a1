//! The identity of a state: its version, and the digest of its entries.

use serde::{Deserialize, Serialize};

/// The version of a state; newer states of a source have greater versions. A source that restarts without its
/// last state must choose a greater epoch. Clocks are never compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    /// The incarnation of the source.
    pub epoch: u64,
    /// The number of the state within the epoch, increased by 1 with each state.
    pub number: u64,
}

/// The wrapping sum of all entries' hashes, so that an update costs only in proportion to the number of
/// changed entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(pub u128);

impl Digest {
    /// The digest after an entry is added.
    pub(crate) fn with_entry(self, name: &str, value: &str) -> Digest {
        Digest(self.0.wrapping_add(hash_entry(name, value)))
    }

    /// The digest after an entry is removed.
    pub(crate) fn without_entry(self, name: &str, value: &str) -> Digest {
        Digest(self.0.wrapping_sub(hash_entry(name, value)))
    }
}

/// The name's length is hashed first, so that different entries never hash the same bytes.
fn hash_entry(name: &str, value: &str) -> u128 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&(name.len() as u64).to_le_bytes()).update(name.as_bytes()).update(value.as_bytes());
    let mut hash = [0; 16];
    hasher.finalize_xof().fill(&mut hash);
    u128::from_le_bytes(hash)
}
