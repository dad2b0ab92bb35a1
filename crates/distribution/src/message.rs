//! What passes between instances, relays and the source, and its form on a wire.
//!
//! A message is a version byte, the content in postcard's form, and a code of 16 bytes: BLAKE3 keyed by the
//! fleet's key, over the sender and all before it. Whole states are compressed by zstd.

use crate::state::{Delta, Digest, State, Version};
use crate::{Millis, NodeId};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// The form's version.
const FORM: u8 = 1;
const CODE: usize = 16;
/// The most bytes of a message, and of an unpacked state: far above the lists of any fleet.
pub const LONGEST: usize = 4 << 20;
const LONGEST_UNPACKED: usize = 64 << 20;
const COMPRESSION: i32 = 3;

/// The fleet's key.
pub type Key = [u8; 32];

/// What a follower has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Held {
    pub version: Version,
    pub digest: Digest,
}

/// Asks for what is newer.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Watch {
    /// Absent: nothing is held, or not to be built on. The whole state is asked for.
    pub held: Option<Held>,
    /// How long the answer may wait for news.
    pub hold: Millis,
    /// Instances at or behind the sender that refuse the newest version that they have.
    pub refusing: u32,
}

/// A whole state, packed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Snapshot {
    pub version: Version,
    pub digest: Digest,
    packed: Arc<[u8]>,
}

impl Snapshot {
    /// # Errors
    /// The state cannot be written, which only a lack of memory causes.
    pub fn pack(state: &State) -> Result<Snapshot, Malformed> {
        let entries: Vec<(&Arc<str>, &Arc<str>)> = state.entries().collect();
        let bytes = postcard::to_stdvec(&entries).map_err(|_| Malformed::Content)?;
        let packed = zstd::bulk::compress(&bytes, COMPRESSION).map_err(|_| Malformed::Content)?;
        Ok(Snapshot { version: state.version(), digest: state.digest(), packed: packed.into() })
    }

    /// # Errors
    /// It is torn, too long, or its entries do not have its digest. Nothing of it is to be used.
    pub fn unpack(&self) -> Result<State, Malformed> {
        let bytes = zstd::bulk::decompress(&self.packed, LONGEST_UNPACKED).map_err(|_| Malformed::Content)?;
        let entries: Vec<(Arc<str>, Arc<str>)> =
            postcard::from_bytes(&bytes).map_err(|_| Malformed::Content)?;
        let state = State::new(self.version, entries);
        if state.digest() == self.digest { Ok(state) } else { Err(Malformed::Digest) }
    }

    /// Its bytes on a wire, nearly.
    pub fn size(&self) -> usize {
        self.packed.len()
    }
}

/// What a relay has for a follower.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Body {
    /// Nothing is newer.
    Same,
    /// From older to newer, each the base of the next: whoever passes them on can serve followers at any of
    /// them.
    Deltas(Vec<Delta>),
    Snapshot(Snapshot),
    /// The relay's state at that version is another: the whole state must be asked for.
    Differs,
    /// The relay has nothing newer, and is itself behind.
    Older,
    /// The relay has nothing yet.
    Empty,
    /// It has as many followers as it may.
    Busy,
}

/// An answer to a [`Watch`].
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// Whom it came through, the source first.
    pub path: Vec<NodeId>,
    /// How long ago the source was heard: a span, so that no two clocks are compared.
    pub age: Millis,
    pub body: Body,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    Watch(Watch),
    Answer(Answer),
}

/// Why a message is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Malformed {
    #[error("it is of version {0}")]
    Form(u8),
    #[error("it is torn or too long")]
    Length,
    #[error("its code is not the fleet's")]
    Code,
    #[error("its content cannot be read")]
    Content,
    #[error("its entries do not have its digest")]
    Digest,
}

/// The sender goes in: a message sent again under another's name is not that other's.
fn code(key: &Key, from: NodeId, bytes: &[u8]) -> blake3::Hash {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(&from.0.to_le_bytes()).update(bytes);
    hasher.finalize()
}

/// # Errors
/// It is longer than any message may be.
pub fn encode(key: &Key, from: NodeId, message: &Message) -> Result<Vec<u8>, Malformed> {
    let bytes = postcard::to_extend(message, vec![FORM]).map_err(|_| Malformed::Content)?;
    let code = code(key, from, &bytes);
    let bytes = [&bytes[..], &code.as_bytes()[..CODE]].concat();
    if bytes.len() <= LONGEST { Ok(bytes) } else { Err(Malformed::Length) }
}

/// # Errors
/// It is none of the fleet's, of another version, or torn. Nothing of it is to be used.
pub fn decode(key: &Key, from: NodeId, bytes: &[u8]) -> Result<Message, Malformed> {
    let form = *bytes.first().ok_or(Malformed::Length)?;
    if form != FORM {
        return Err(Malformed::Form(form));
    }
    let (said, told) = bytes.split_last_chunk::<CODE>().ok_or(Malformed::Length)?;
    if bytes.len() > LONGEST || said.is_empty() {
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
    postcard::from_bytes(&said[1..]).map_err(|_| Malformed::Content)
}
