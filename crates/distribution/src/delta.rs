//! The changes that lead from one version of a state to another.

use crate::version::{Digest, Version};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A new value for an entry, or its removal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryChange {
    /// The entry's name.
    pub name: Arc<str>,
    /// Its new value; `None` removes the entry.
    pub value: Option<Arc<str>>,
}

/// The changes that lead from one version of a state to another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Delta {
    /// The version that the delta is applied to.
    pub base: Version,
    /// The version after the delta is applied.
    pub to: Version,
    /// The digest of the state at `to`.
    pub digest: Digest,
    /// Sorted by name, with at most one change per name.
    pub changes: Vec<EntryChange>,
}

/// Why a delta cannot be applied. The state stays unchanged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The state is not at the delta's base version.
    #[error("delta is based on another version than the state's")]
    WrongBase,
    /// The delta's version is not newer than the state's.
    #[error("delta does not lead to a newer version than the state's")]
    NotNewer,
    /// The changes are not sorted by name, or a name occurs twice.
    #[error("delta's changes are not sorted by name, or a name occurs twice")]
    Unordered,
    /// The digest of the resulting entries is not the delta's.
    #[error("digest of the resulting entries does not match the delta's digest")]
    DigestMismatch,
}
