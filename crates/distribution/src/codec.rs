//! The form of messages on a wire: a version byte, the content by postcard, and an authentication code of 16
//! bytes, which is BLAKE3 keyed by the fleet's key, over the sender and all before it.

use crate::{Message, NodeId};

/// The most bytes of a message: far above the lists of any fleet.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

const FORMAT: u8 = 1;
const CODE_BYTES: usize = 16;

/// The fleet's key.
pub type Key = [u8; 32];

/// Why a message cannot be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EncodeError {
    /// It cannot be written, which only a lack of memory causes.
    #[error("its content cannot be written")]
    Content,
    /// It is longer than [`MAX_MESSAGE_BYTES`].
    #[error("it is torn or too long")]
    TooLong,
}

/// Why a message is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It is of another version of the format.
    #[error("it is of version {0}")]
    UnknownFormat(u8),
    /// It is torn or too long.
    #[error("it is torn or too long")]
    BadLength,
    /// Its authentication code is of another key or sender, or its content was changed.
    #[error("its code is not the fleet's")]
    BadCode,
    /// Its content is no message.
    #[error("its content cannot be read")]
    Malformed,
}

/// The sender goes in: a message sent again under another's name is not that other's.
fn authentication_code(key: &Key, from: NodeId, bytes: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&from.0.to_le_bytes()).update(bytes);
    hasher.finalize()
}

/// The bytes of a message that `sender` sends.
///
/// # Errors
/// It is longer than any message may be.
pub fn encode(key: &Key, sender: NodeId, message: &Message) -> Result<Vec<u8>, EncodeError> {
    let mut bytes = postcard::to_extend(message, vec![FORMAT]).map_err(|_| EncodeError::Content)?;
    let code = authentication_code(key, sender, &bytes);
    bytes.extend_from_slice(&code.as_bytes()[..CODE_BYTES]);
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(EncodeError::TooLong);
    }
    Ok(bytes)
}

/// Decodes a message that came from `from`.
///
/// # Errors
/// It is none of the fleet's, of another version, or torn. Nothing of it is to be used.
pub fn decode(key: &Key, from: NodeId, bytes: &[u8]) -> Result<Message, DecodeError> {
    let format = *bytes.first().ok_or(DecodeError::BadLength)?;
    if format != FORMAT {
        return Err(DecodeError::UnknownFormat(format));
    }
    let (content, code) = bytes.split_last_chunk::<CODE_BYTES>().ok_or(DecodeError::BadLength)?;
    if bytes.len() > MAX_MESSAGE_BYTES || content.is_empty() {
        return Err(DecodeError::BadLength);
    }
    check_code(key, from, content, code)?;
    postcard::from_bytes(&content[1..]).map_err(|_| DecodeError::Malformed)
}

fn check_code(key: &Key, from: NodeId, content: &[u8], code: &[u8; CODE_BYTES]) -> Result<(), DecodeError> {
    let mut expected = *authentication_code(key, from, content).as_bytes();
    expected[CODE_BYTES..].fill(0);
    let mut received = [0; 32];
    received[..CODE_BYTES].copy_from_slice(code);
    // In constant time, as the crate's comparison of hashes is: a stranger must not find a code byte by byte.
    match blake3::Hash::from(expected) == blake3::Hash::from(received) {
        true => Ok(()),
        false => Err(DecodeError::BadCode),
    }
}
