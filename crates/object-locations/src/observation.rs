//! Observations of single objects.

use serde::{Deserialize, Serialize};

/// The number of a volume, and that of an object within the volume.
pub type ObjectKey = (u64, u64);
/// The number of a shard.
pub type Shard = u32;

/// What a response has shown about the location of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// A target of this shard served the object.
    #[serde(rename = "at")]
    At(Shard),
    /// A target of this shard rejected the object because its shard does not hold it; the actual shard is not
    /// known.
    #[serde(rename = "notat")]
    NotAt(Shard),
}
