//! A whole state, compressed for its way.

use crate::state::State;
use crate::version::{Digest, Version};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The most bytes of a decompressed state: far above the lists of any fleet. A forged snapshot must not fill
/// memory.
const MAX_DECOMPRESSED_BYTES: usize = 64 << 20;
/// The level of zstd's own default: a relay compresses each version once.
const COMPRESSION_LEVEL: i32 = 3;

/// A whole state, compressed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The state's version.
    pub version: Version,
    /// The digest of the state's entries.
    pub digest: Digest,
    #[serde(rename = "packed")]
    compressed: Arc<[u8]>,
}

/// Why a snapshot cannot be made, or not be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// It is torn, too long, or no state.
    #[error("its content cannot be read")]
    Malformed,
    /// Its entries do not have its digest.
    #[error("its entries do not have its digest")]
    DigestMismatch,
}

impl Snapshot {
    /// Compresses a state.
    ///
    /// # Errors
    /// The state cannot be written, which only a lack of memory causes.
    pub fn compress(state: &State) -> Result<Snapshot, SnapshotError> {
        let entries: Vec<(&Arc<str>, &Arc<str>)> = state.entries().collect();
        let bytes = postcard::to_stdvec(&entries).map_err(|_| SnapshotError::Malformed)?;
        let compressed =
            zstd::bulk::compress(&bytes, COMPRESSION_LEVEL).map_err(|_| SnapshotError::Malformed)?;
        Ok(Snapshot { version: state.version(), digest: state.digest(), compressed: compressed.into() })
    }

    /// The state.
    ///
    /// # Errors
    /// It is torn, too long, or its entries do not have its digest. Nothing of it is to be used.
    pub fn decompress(&self) -> Result<State, SnapshotError> {
        let bytes = zstd::bulk::decompress(&self.compressed, MAX_DECOMPRESSED_BYTES)
            .map_err(|_| SnapshotError::Malformed)?;
        let entries: Vec<(Arc<str>, Arc<str>)> =
            postcard::from_bytes(&bytes).map_err(|_| SnapshotError::Malformed)?;
        let state = State::new(self.version, entries);
        if state.digest() != self.digest {
            return Err(SnapshotError::DigestMismatch);
        }
        Ok(state)
    }

    /// Its bytes on a wire, nearly.
    pub fn size(&self) -> usize {
        self.compressed.len()
    }
}
