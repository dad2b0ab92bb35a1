//! What responses show of one object.

use serde::{Deserialize, Serialize};

/// A volume's number and an object's within it.
pub type ObjectKey = (u64, u64);
/// A shard's number.
pub type Shard = u32;

/// What a response has shown of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// A target of this shard served it.
    #[serde(rename = "at")]
    At(Shard),
    /// A target of this shard rejected it as not held there; which shard holds it was not observed.
    #[serde(rename = "notat")]
    NotAt(Shard),
}
