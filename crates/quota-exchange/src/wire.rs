//! The datagram format: at most 256 bytes, with an authentication code that cannot be made without the
//! fleet's key.
//!
//! Version (1 byte), kind (1), incarnation (8), sequence (4), then for each volume its number (8) and
//! thousandths of units (4), then the authentication code (16): BLAKE3 keyed with the fleet's key, over the
//! sender's index and all bytes before the code. Integers are little-endian.

use crate::{MAX_VOLUMES_PER_DATAGRAM, Message, Nonce, Peer, VolumeUnits};

/// Maximum size of a datagram: far below the size at which any network between initiators fragments it.
pub const MAX_DATAGRAM_BYTES: usize = 256;

const VERSION: u8 = 1;
const KIND_REQUEST: u8 = 1;
const KIND_GRANT: u8 = 2;

const INCARNATION_OFFSET: usize = 2;
const SEQUENCE_OFFSET: usize = 10;
const HEAD_BYTES: usize = 14;
const ENTRY_BYTES: usize = 12;
const ENTRY_UNITS_OFFSET: usize = 8;
const CODE_BYTES: usize = 16;

const _: () = assert!(HEAD_BYTES + MAX_VOLUMES_PER_DATAGRAM * ENTRY_BYTES + CODE_BYTES <= MAX_DATAGRAM_BYTES);

/// The key that all initiators of the fleet share.
pub type Key = [u8; 32];

/// Parses a key of 64 hex digits; `None` for any other text.
pub fn parse_key(text: &str) -> Option<Key> {
    blake3::Hash::from_hex(text).ok().map(|hash| *hash.as_bytes())
}

/// Why a datagram was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The datagram has another version of the format.
    #[error("unsupported format version {0}, expected {expected}", expected = VERSION)]
    UnknownVersion(u8),
    /// The datagram is truncated, too long, or ends within an entry.
    #[error("datagram is truncated, too long, or ends within an entry")]
    BadLength,
    /// The authentication code was made with another key or by another sender, or the content was changed.
    #[error("authentication code does not match the fleet's key and the sender")]
    BadCode,
    /// The datagram is neither a request nor a grant.
    #[error("datagram is neither a request nor a grant")]
    UnknownKind,
}

/// The code covers the sender's index: a datagram that is replayed from another peer's address is rejected.
fn authentication_code(key: &Key, from: Peer, bytes: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&from.0.to_le_bytes()).update(bytes);
    hasher.finalize()
}

/// Encodes a datagram of initiator `sender`. Volumes beyond [`MAX_VOLUMES_PER_DATAGRAM`] are left out.
pub fn encode(key: &Key, sender: Peer, message: &Message) -> Vec<u8> {
    let (kind, nonce, entries) = match message {
        Message::Request { nonce, needed } => (KIND_REQUEST, nonce, needed),
        Message::Grant { nonce, granted } => (KIND_GRANT, nonce, granted),
    };
    let mut datagram = vec![VERSION, kind];
    datagram.extend_from_slice(&nonce.incarnation.to_le_bytes());
    datagram.extend_from_slice(&nonce.sequence.to_le_bytes());
    for VolumeUnits { volume, units } in entries.iter().take(MAX_VOLUMES_PER_DATAGRAM) {
        datagram.extend_from_slice(&volume.to_le_bytes());
        datagram.extend_from_slice(&units.to_le_bytes());
    }
    let code = authentication_code(key, sender, &datagram);
    datagram.extend_from_slice(&code.as_bytes()[..CODE_BYTES]);
    datagram
}

/// Decodes a datagram from the peer `from`.
///
/// # Errors
/// The datagram has another version of the format, is truncated or too long, or its code does not match the
/// key and the peer. None of its content may be used.
pub fn decode(key: &Key, from: Peer, datagram: &[u8]) -> Result<Message, DecodeError> {
    if datagram.len() > MAX_DATAGRAM_BYTES {
        return Err(DecodeError::BadLength);
    }
    let version = *datagram.first().ok_or(DecodeError::BadLength)?;
    if version != VERSION {
        return Err(DecodeError::UnknownVersion(version));
    }
    let (content, code) = datagram.split_last_chunk::<CODE_BYTES>().ok_or(DecodeError::BadLength)?;
    let entries = content.get(HEAD_BYTES..).ok_or(DecodeError::BadLength)?;
    if !entries.len().is_multiple_of(ENTRY_BYTES) {
        return Err(DecodeError::BadLength);
    }
    check_code(key, from, content, code)?;
    decode_content(content, entries)
}

fn check_code(key: &Key, from: Peer, content: &[u8], code: &[u8; CODE_BYTES]) -> Result<(), DecodeError> {
    let mut expected = *authentication_code(key, from, content).as_bytes();
    expected[CODE_BYTES..].fill(0);
    let mut received = [0; 32];
    received[..CODE_BYTES].copy_from_slice(code);
    // Compared in constant time, as the crate compares hashes: an attacker must not find a code byte by byte.
    match blake3::Hash::from(expected) == blake3::Hash::from(received) {
        true => Ok(()),
        false => Err(DecodeError::BadCode),
    }
}

fn decode_content(content: &[u8], entries: &[u8]) -> Result<Message, DecodeError> {
    let incarnation = u64_at(content, INCARNATION_OFFSET)?;
    let sequence = u32_at(content, SEQUENCE_OFFSET)?;
    let nonce = Nonce { incarnation, sequence };
    let entries = entries.chunks_exact(ENTRY_BYTES).map(decode_entry).collect::<Result<Vec<_>, _>>()?;
    match content[1] {
        KIND_REQUEST => Ok(Message::Request { nonce, needed: entries }),
        KIND_GRANT => Ok(Message::Grant { nonce, granted: entries }),
        _ => Err(DecodeError::UnknownKind),
    }
}

fn decode_entry(entry: &[u8]) -> Result<VolumeUnits, DecodeError> {
    Ok(VolumeUnits { volume: u64_at(entry, 0)?, units: u32_at(entry, ENTRY_UNITS_OFFSET)? })
}

fn u64_at(bytes: &[u8], offset: usize) -> Result<u64, DecodeError> {
    let bytes = bytes.get(offset..).and_then(<[u8]>::first_chunk);
    bytes.copied().map(u64::from_le_bytes).ok_or(DecodeError::BadLength)
}

fn u32_at(bytes: &[u8], offset: usize) -> Result<u32, DecodeError> {
    let bytes = bytes.get(offset..).and_then(<[u8]>::first_chunk);
    bytes.copied().map(u32::from_le_bytes).ok_or(DecodeError::BadLength)
}
