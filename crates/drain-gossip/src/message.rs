//! The datagrams: a byte for the version of the format, then the message by postcard, which writes fields and
//! variants by their order and not by their names.

use crate::Position;
use crate::constants::MAX_DATAGRAM_BYTES;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Version 1 was a format of earlier builds; a datagram of another version is not read.
const FORMAT: u8 = 2;

/// A target's name as a hash, in little-endian bytes: names have no bound on their length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetKey(pub [u8; 8]);

impl TargetKey {
    /// The key of the target with this name; the same on every initiator.
    pub fn of(name: &str) -> TargetKey {
        TargetKey(xxh3_64(name.as_bytes()).to_le_bytes())
    }
}

/// What one initiator sends another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks which targets have begun to drain or were removed behind a position.
    Query {
        /// The sender's round of queries, which the answer repeats.
        #[serde(rename = "number")]
        round: u32,
        /// The sender knows all drains up to here.
        after: Position,
    },
    /// A part of the answer to a query.
    Report(Report),
}

/// A part of an answer: all drains behind one position up to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The round of the query.
    #[serde(rename = "number")]
    pub round: u32,
    /// Where the part begins.
    pub after: Position,
    /// Where the part ends.
    pub through: Position,
    /// Drains before `after` that the query asked for are not known to the sender.
    pub gap: bool,
    /// The answer ends here for now, and there is more behind it.
    pub more: bool,
    /// The targets that are draining or removed, in the order of their positions.
    #[serde(rename = "departed")]
    pub draining: Vec<TargetKey>,
}

/// Why a datagram is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It is of another version of the format.
    #[error("format {0} is not known")]
    UnknownFormat(u8),
    /// It is empty, torn, too long, or has bytes left over.
    #[error("it cannot be read")]
    Malformed,
}

impl Message {
    /// The datagram of the message.
    pub fn encode(&self) -> Vec<u8> {
        let start = vec![FORMAT];
        // Nothing that can fail: the buffer grows, and all types are plain.
        postcard::to_extend(self, start).unwrap_or_default()
    }

    /// Decodes a datagram.
    ///
    /// # Errors
    /// It is of another format, torn, too long, or names too many targets.
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
