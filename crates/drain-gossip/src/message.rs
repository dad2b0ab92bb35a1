//! The datagrams, which hold 256 bytes at most: a byte for the version of the format, then the message by
//! postcard.

use crate::Position;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// The most bytes of a datagram.
pub const LONGEST: usize = 256;
const FORMAT: u8 = 2;
/// The most bytes before the targets of a report: format, kind, a number of up to 5 bytes, two positions of
/// up to 18, two flags, a count.
const HEAD: usize = 47;
/// Targets that one report names at most.
pub const MOST_TARGETS: usize = (LONGEST - HEAD) / size_of::<TargetKey>();

/// A target's name as a hash, in little-endian bytes: names have no bound on their length.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TargetKey(pub [u8; 8]);

impl TargetKey {
    /// The key of the target with this name; the same on every instance.
    pub fn of(name: &str) -> TargetKey {
        TargetKey(xxh3_64(name.as_bytes()).to_le_bytes())
    }
}

/// What one instance tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks which targets have left or are leaving behind a position.
    Query { number: u32, after: Position },
    /// A part of the answer to the query of that number.
    Report(Report),
}

/// A part of an answer: all departures behind one position up to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The number of the query.
    pub number: u32,
    pub after: Position,
    pub through: Position,
    /// Departures before `after` that the query asked for are not known to the sender.
    pub gap: bool,
    /// The answer ends here for now, and there is more behind it.
    pub more: bool,
    pub departed: Vec<TargetKey>,
}

/// Why a datagram is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    /// Another version of the format.
    #[error("format {0} is not known")]
    Format(u8),
    /// It is empty, torn, too long, or has bytes left over.
    #[error("it cannot be read")]
    Unreadable,
}

impl Message {
    /// The datagram of the message.
    pub fn encode(&self) -> Vec<u8> {
        let start = vec![FORMAT];
        // Nothing that can fail: the buffer grows, and all types are plain.
        postcard::to_extend(self, start).unwrap_or_default()
    }

    /// Reads a datagram.
    ///
    /// # Errors
    /// It is of another format, torn, too long, or names too many targets.
    pub fn decode(bytes: &[u8]) -> Result<Message, Malformed> {
        let (format, rest) = bytes.split_first().ok_or(Malformed::Unreadable)?;
        if *format != FORMAT {
            return Err(Malformed::Format(*format));
        }
        if bytes.len() > LONGEST {
            return Err(Malformed::Unreadable);
        }
        match postcard::take_from_bytes::<Message>(rest) {
            Ok((message, [])) => Ok(message),
            _ => Err(Malformed::Unreadable),
        }
    }
}
