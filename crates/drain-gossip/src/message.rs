//! The datagram format: one byte for its version, then the message in postcard, which encodes fields and
//! variants by their order and not by their names.

use crate::Position;
use crate::constants::MAX_DATAGRAM_BYTES;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Version of the format. Version 1 was used by earlier builds; a datagram of any other version is rejected.
const FORMAT: u8 = 2;

/// The hash of a target's name, as little-endian bytes, since names have no maximum length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetKey(pub [u8; 8]);

impl TargetKey {
    /// The key of the target with this name, which is the same on every initiator.
    pub fn of(name: &str) -> TargetKey {
        TargetKey(xxh3_64(name.as_bytes()).to_le_bytes())
    }
}

/// A message from one initiator to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests the targets that began to drain or were removed after a position.
    Query {
        /// The sender's round of queries; the answer repeats it.
        #[serde(rename = "number")]
        round: u32,
        /// The sender has all drains up to this position.
        after: Position,
    },
    /// Part of the answer to a query.
    Report(Report),
}

/// Part of an answer: all drains after one position up to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The round of the query that is answered.
    #[serde(rename = "number")]
    pub round: u32,
    /// The position after which this part begins.
    pub after: Position,
    /// The position up to which this part contains all drains.
    pub through: Position,
    /// Whether drains before `after` that the query asked for are unknown to the sender.
    pub gap: bool,
    /// Whether the answer ends here although the sender has more drains.
    pub more: bool,
    /// The targets that are draining or removed, in the order of their positions.
    #[serde(rename = "departed")]
    pub draining: Vec<TargetKey>,
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The datagram has another version of the format.
    #[error("unsupported format version {0}, expected {expected}", expected = FORMAT)]
    UnknownFormat(u8),
    /// The datagram is empty, truncated, too long, or has trailing bytes.
    #[error("datagram is empty, truncated, too long, or has trailing bytes")]
    Malformed,
}

impl Message {
    /// Encodes the message as a datagram.
    pub fn encode(&self) -> Vec<u8> {
        let start = vec![FORMAT];
        // Encoding cannot fail: the buffer grows, and all types are plain.
        postcard::to_extend(self, start).unwrap_or_default()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// The datagram has another version of the format, is truncated or too long, or has trailing bytes.
    pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
        let (format, rest) = bytes.split_first().ok_or(DecodeError::Malformed)?;
        if *format != FORMAT {
            return Err(DecodeError::UnknownFormat(*format));
        }
        if bytes.len() > MAX_DATAGRAM_BYTES {
            return Err(DecodeError::Malformed);
        }
        match postcard::take_from_bytes::<Message>(rest) {
            Ok((message, [])) => Ok(message),
            _ => Err(DecodeError::Malformed),
        }
    }
}
