//! The datagrams: 256 bytes at most, with a code that only those who have the fleet's key can make.
//!
//! Version (1 byte), kind (1), incarnation (8), number (4), then for each volume its number (8) and
//! thousandths of units (4), then the code (16): BLAKE3 keyed by the fleet's key, over the sender's number
//! and all before it. Numbers are little endian.

use crate::exchange::{MOST_VOLUMES, Message, Nonce, Peer};

/// The most bytes of a datagram.
pub const LONGEST: usize = 256;
const VERSION: u8 = 1;
const HEAD: usize = 14;
const ENTRY: usize = 12;
const CODE: usize = 16;
const WANT: u8 = 1;
const GRANT: u8 = 2;

const _: () = assert!(HEAD + MOST_VOLUMES * ENTRY + CODE <= LONGEST);

/// The fleet's key.
pub type Key = [u8; 32];

/// The key that 64 hex digits say.
pub fn key(text: &str) -> Option<Key> {
    blake3::Hash::from_hex(text).ok().map(|hash| *hash.as_bytes())
}

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    #[error("it is of version {0}")]
    Version(u8),
    #[error("it is torn or too long")]
    Length,
    #[error("its code is not the fleet's")]
    Code,
    #[error("it is of an unknown kind")]
    Kind,
}

/// The sender goes in: a datagram sent again under another's address is not that other's.
fn code(key: &Key, from: Peer, bytes: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&from.0.to_le_bytes()).update(bytes);
    hasher.finalize()
}

/// A datagram of this instance's.
pub fn encode(key: &Key, me: Peer, message: &Message) -> Vec<u8> {
    let (kind, nonce, entries) = match message {
        Message::Want { nonce, lacks } => (WANT, nonce, lacks),
        Message::Grant { nonce, gives } => (GRANT, nonce, gives),
    };
    let mut out = vec![VERSION, kind];
    out.extend_from_slice(&nonce.incarnation.to_le_bytes());
    out.extend_from_slice(&nonce.number.to_le_bytes());
    for (volume, units) in entries.iter().take(MOST_VOLUMES) {
        out.extend_from_slice(&volume.to_le_bytes());
        out.extend_from_slice(&units.to_le_bytes());
    }
    let code = code(key, me, &out);
    out.extend_from_slice(&code.as_bytes()[..CODE]);
    out
}

/// What a datagram from a peer says.
///
/// # Errors
/// It is none of the fleet's, of another version, or torn. Nothing of it is to be used.
pub fn decode(key: &Key, from: Peer, bytes: &[u8]) -> Result<Message, Malformed> {
    let (Some(version), true) = (bytes.first(), bytes.len() <= LONGEST) else {
        return Err(Malformed::Length);
    };
    if *version != VERSION {
        return Err(Malformed::Version(*version));
    }
    let (said, told) = bytes.split_last_chunk::<CODE>().ok_or(Malformed::Length)?;
    let entries = said.get(HEAD..).ok_or(Malformed::Length)?;
    if !entries.len().is_multiple_of(ENTRY) {
        return Err(Malformed::Length);
    }
    // In constant time, as the crate's comparison of hashes is.
    let mut whole = *code(key, from, said).as_bytes();
    whole[CODE..].fill(0);
    let mut other = [0; 32];
    other[..CODE].copy_from_slice(told);
    if blake3::Hash::from(whole) != blake3::Hash::from(other) {
        return Err(Malformed::Code);
    }
    let u64_at = |b: &[u8]| b.first_chunk().copied().map(u64::from_le_bytes).ok_or(Malformed::Length);
    let u32_at = |b: &[u8]| b.first_chunk().copied().map(u32::from_le_bytes).ok_or(Malformed::Length);
    let nonce = Nonce { incarnation: u64_at(&said[2..])?, number: u32_at(&said[10..])? };
    let entry = |e: &[u8]| Ok((u64_at(e)?, u32_at(&e[8..])?));
    let entries = entries.chunks_exact(ENTRY).map(entry).collect::<Result<Vec<_>, _>>()?;
    match said[1] {
        WANT => Ok(Message::Want { nonce, lacks: entries }),
        GRANT => Ok(Message::Grant { nonce, gives: entries }),
        _ => Err(Malformed::Kind),
    }
}
