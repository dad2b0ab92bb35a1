//! What makes one version of another.

use crate::version::{Digest, Version};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// An entry's new value.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryChange {
    /// The entry's name.
    pub name: Arc<str>,
    /// Its new value; none: it is removed.
    pub value: Option<Arc<str>>,
}

/// What makes one version of another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Delta {
    /// The version that it is applied to.
    pub base: Version,
    /// The version that it makes.
    pub to: Version,
    /// The digest of the state at `to`.
    pub digest: Digest,
    /// In the order of names, each once.
    pub changes: Vec<EntryChange>,
}

/// Why a delta cannot be applied. The state stays as it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// It is made for another version.
    #[error("it is made for another version")]
    WrongBase,
    /// It does not lead to a newer version.
    #[error("it does not lead to a newer version")]
    NotNewer,
    /// A name stands twice, or out of order.
    #[error("a name stands twice, or out of order")]
    Unordered,
    /// The digest of what it makes is another.
    #[error("the digest of what it makes is another")]
    DigestMismatch,
}
