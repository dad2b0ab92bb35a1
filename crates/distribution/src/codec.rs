//! The wire format of messages: a version byte, the content encoded by postcard, and an authentication code
//! of 16 bytes. The code is BLAKE3, keyed by the fleet's key, over the sender's id and all bytes before the
//! code.

use crate::{Message, NodeId};

/// The maximum size of an encoded message in bytes, far above the size of any fleet's endpoint list.
pub const MAX_MESSAGE_BYTES: usize = 4 << 20;

const FORMAT_VERSION: u8 = 1;
const CODE_BYTES: usize = 16;

/// The fleet's secret key for authentication codes.
pub type Key = [u8; 32];

/// Why a message cannot be encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EncodeError {
    /// The content could not be serialized; only running out of memory causes this.
    #[error("message content could not be serialized")]
    Content,
    /// The encoded message is longer than [`MAX_MESSAGE_BYTES`].
    #[error("encoded message is longer than {} bytes", MAX_MESSAGE_BYTES)]
    TooLong,
}

/// Why a received message is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The version byte is not the supported one.
    #[error("unsupported message format version {0}, expected {expected}", expected = FORMAT_VERSION)]
    UnknownFormat(u8),
    /// The message is truncated or longer than [`MAX_MESSAGE_BYTES`].
    #[error("message is truncated or longer than {} bytes", MAX_MESSAGE_BYTES)]
    BadLength,
    /// The authentication code does not match: another key or sender, or changed content.
    #[error("authentication code does not match the fleet's key, the sender and the content")]
    BadCode,
    /// The content, although authenticated, does not decode to a message.
    #[error("message content could not be decoded")]
    Malformed,
}

/// Covers the sender's id, so that a message replayed under another sender's id is rejected.
fn authentication_code(key: &Key, from: NodeId, bytes: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&from.0.to_le_bytes()).update(bytes);
    hasher.finalize()
}

/// Encodes a message that `sender` sends.
///
/// # Errors
/// The message is longer than [`MAX_MESSAGE_BYTES`], or memory ran out.
pub fn encode(key: &Key, sender: NodeId, message: &Message) -> Result<Vec<u8>, EncodeError> {
    let mut bytes = postcard::to_extend(message, vec![FORMAT_VERSION]).map_err(|_| EncodeError::Content)?;
    let code = authentication_code(key, sender, &bytes);
    bytes.extend_from_slice(&code.as_bytes()[..CODE_BYTES]);
    if bytes.len() > MAX_MESSAGE_BYTES {
        return Err(EncodeError::TooLong);
    }
    Ok(bytes)
}

/// Decodes a message received from `from`.
///
/// # Errors
/// The authentication code does not match, the format version is unsupported, or the message is truncated,
/// too long or malformed. The message must then be dropped.
pub fn decode(key: &Key, from: NodeId, bytes: &[u8]) -> Result<Message, DecodeError> {
    let format = *bytes.first().ok_or(DecodeError::BadLength)?;
    if format != FORMAT_VERSION {
        return Err(DecodeError::UnknownFormat(format));
    }
    let (content, code) = bytes.split_last_chunk::<CODE_BYTES>().ok_or(DecodeError::BadLength)?;
    if bytes.len() > MAX_MESSAGE_BYTES || content.is_empty() {
        return Err(DecodeError::BadLength);
    }
    verify_code(key, from, content, code)?;
    postcard::from_bytes(&content[1..]).map_err(|_| DecodeError::Malformed)
}

fn verify_code(key: &Key, from: NodeId, content: &[u8], code: &[u8; CODE_BYTES]) -> Result<(), DecodeError> {
    let mut expected = *authentication_code(key, from, content).as_bytes();
    expected[CODE_BYTES..].fill(0);
    let mut received = [0; 32];
    received[..CODE_BYTES].copy_from_slice(code);
    // `blake3::Hash` compares in constant time, so that an attacker cannot find a code byte by byte from
    // response times.
    match blake3::Hash::from(expected) == blake3::Hash::from(received) {
        true => Ok(()),
        false => Err(DecodeError::BadCode),
    }
}
