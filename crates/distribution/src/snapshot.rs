//! A complete state, compressed for sending.

use crate::state::State;
use crate::version::{Digest, Version};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The maximum size of a decompressed state in bytes, far above the size of any fleet's endpoint list. Keeps
/// a forged snapshot from exhausting memory.
const MAX_DECOMPRESSED_BYTES: usize = 64 << 20;
/// zstd's own default level; a relay compresses each version only once.
const COMPRESSION_LEVEL: i32 = 3;

/// A complete state, compressed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    /// The state's version.
    pub version: Version,
    /// The digest of the state's entries.
    pub digest: Digest,
    #[serde(rename = "packed")]
    compressed: Arc<[u8]>,
}

/// Why a snapshot cannot be created or decompressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// The state could not be serialized or compressed; or the snapshot is truncated, too large or not a
    /// valid state.
    #[error("snapshot content could not be encoded or decoded")]
    Malformed,
    /// The decompressed entries do not match the snapshot's digest.
    #[error("snapshot entries do not match the snapshot's digest")]
    DigestMismatch,
}

impl Snapshot {
    /// Compresses a state.
    ///
    /// # Errors
    /// The state could not be serialized or compressed; only running out of memory causes this.
    pub fn compress(state: &State) -> Result<Snapshot, SnapshotError> {
        let entries: Vec<(&Arc<str>, &Arc<str>)> = state.entries().collect();
        let bytes = postcard::to_stdvec(&entries).map_err(|_| SnapshotError::Malformed)?;
        let compressed =
            zstd::bulk::compress(&bytes, COMPRESSION_LEVEL).map_err(|_| SnapshotError::Malformed)?;
        Ok(Snapshot { version: state.version(), digest: state.digest(), compressed: compressed.into() })
    }

    /// Decompresses the state.
    ///
    /// # Errors
    /// The snapshot is truncated, too large or malformed, or its entries do not match its digest. The
    /// snapshot must then be dropped.
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

    /// The approximate encoded size in bytes.
    pub fn size(&self) -> usize {
        self.compressed.len()
    }
}
