//! The datagrams: 256 bytes at most, with an authentication code that only those who have the fleet's key can
//! make.
//!
//! Version (1 byte), kind (1), incarnation (8), sequence (4), then for each volume its number (8) and
//! thousandths of units (4), then the code (16): BLAKE3 keyed by the fleet's key, over the sender's index and
//! all before it. Numbers are little endian.

use crate::{MAX_VOLUMES_PER_DATAGRAM, Message, Nonce, Peer, VolumeUnits};

/// The most bytes of a datagram: far below what any network between initiators splits into fragments.
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

/// The fleet's key.
pub type Key = [u8; 32];

/// The key that 64 hex digits say; none for any other text.
pub fn parse_key(text: &str) -> Option<Key> {
    blake3::Hash::from_hex(text).ok().map(|hash| *hash.as_bytes())
}

/// Why a datagram is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It is of another version of the format.
    #[error("it is of version {0}")]
    UnknownVersion(u8),
    /// It is torn, too long, or not a whole number of entries.
    #[error("it is torn or too long")]
    BadLength,
    /// Its authentication code is of another key or sender, or its content was changed.
    #[error("its code is not the fleet's")]
    BadCode,
    /// It is neither a request nor a grant.
    #[error("it is of an unknown kind")]
    UnknownKind,
}

/// The sender goes in: a datagram sent again under another's address is not that other's.
fn authentication_code(key: &Key, from: Peer, bytes: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&from.0.to_le_bytes()).update(bytes);
    hasher.finalize()
}

/// A datagram of this initiator, `sender`. Volumes beyond [`MAX_VOLUMES_PER_DATAGRAM`] are left out.
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

/// Decodes a datagram from a peer.
///
/// # Errors
/// It is none of the fleet's, of another version, or torn. Nothing of it is to be used.
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
    // In constant time, as the crate's comparison of hashes is: a stranger must not find a code byte by byte.
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
