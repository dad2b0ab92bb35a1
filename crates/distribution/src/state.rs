//! What is distributed: named entries at a version, with a digest of all of them.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

/// Of all states of one source: newer ones are greater. A source that starts anew without its last state
/// takes a greater epoch; no step compares clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Version {
    pub epoch: u64,
    pub number: u64,
}

/// The sum of all entries' hashes: a change costs in step with what it changes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest(pub u128);

impl Digest {
    fn of(name: &str, value: &str) -> u128 {
        let mut hasher = blake3::Hasher::new();
        // Its length first: no two entries are the same bytes.
        hasher.update(&(name.len() as u64).to_le_bytes()).update(name.as_bytes()).update(value.as_bytes());
        let mut short = [0; 16];
        hasher.finalize_xof().fill(&mut short);
        u128::from_le_bytes(short)
    }
}

/// An entry's new value; absent: it is gone.
pub type Change = (Arc<str>, Option<Arc<str>>);

/// What makes one version of another.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Delta {
    pub base: Version,
    pub to: Version,
    /// Of the state at `to`.
    pub digest: Digest,
    /// In the order of names, each once.
    pub changes: Vec<Change>,
}

/// Why a delta cannot be applied. The state stays as it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Inapplicable {
    #[error("it is made for another version")]
    Base,
    #[error("it does not lead to a newer version")]
    NotNewer,
    #[error("a name stands twice, or out of order")]
    Order,
    #[error("the digest of what it makes is another")]
    Digest,
}

/// All entries at a version. A clone shares them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    version: Version,
    digest: Digest,
    entries: Arc<BTreeMap<Arc<str>, Arc<str>>>,
}

impl State {
    /// Without entries.
    pub fn empty(version: Version) -> State {
        State { version, digest: Digest::default(), entries: Arc::default() }
    }

    /// Of entries, with the digest that they have.
    pub fn new(version: Version, entries: impl IntoIterator<Item = (Arc<str>, Arc<str>)>) -> State {
        let entries: BTreeMap<Arc<str>, Arc<str>> = entries.into_iter().collect();
        let sum = entries.iter().fold(0u128, |sum, (name, value)| sum.wrapping_add(Digest::of(name, value)));
        State { version, digest: Digest(sum), entries: Arc::new(entries) }
    }

    pub fn version(&self) -> Version {
        self.version
    }

    pub fn digest(&self) -> Digest {
        self.digest
    }

    pub fn get(&self, name: &str) -> Option<&str> {
        self.entries.get(name).map(|value| &**value)
    }

    pub fn entries(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>)> {
        self.entries.iter()
    }

    pub fn len(&self) -> usize {
        self.entries.len()
    }

    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The delta that makes these changes, to a version that is newer.
    pub fn delta(&self, to: Version, mut changes: Vec<Change>) -> Delta {
        changes.sort_by(|a, b| a.0.cmp(&b.0));
        // Of several changes of one name the last holds; the sort is stable.
        changes.reverse();
        changes.dedup_by(|later, kept| later.0 == kept.0);
        changes.reverse();
        Delta { base: self.version, to, digest: self.digest_after(&changes), changes }
    }

    fn digest_after(&self, changes: &[Change]) -> Digest {
        let mut sum = self.digest.0;
        for (name, value) in changes {
            if let Some(before) = self.entries.get(name) {
                sum = sum.wrapping_sub(Digest::of(name, before));
            }
            if let Some(value) = value {
                sum = sum.wrapping_add(Digest::of(name, value));
            }
        }
        Digest(sum)
    }

    /// The state that a delta makes of this one.
    ///
    /// # Errors It is made for another version, leads to none that is newer, or its digest is not that of
    /// what it makes.
    pub fn after(&self, delta: &Delta) -> Result<State, Inapplicable> {
        if delta.base != self.version {
            return Err(Inapplicable::Base);
        }
        if delta.to <= self.version {
            return Err(Inapplicable::NotNewer);
        }
        if !delta.changes.is_sorted_by(|a, b| a.0 < b.0) {
            return Err(Inapplicable::Order);
        }
        if self.digest_after(&delta.changes) != delta.digest {
            return Err(Inapplicable::Digest);
        }
        // A copy of the names and values' places, not of themselves.
        let mut entries = BTreeMap::clone(&self.entries);
        for (name, value) in &delta.changes {
            match value {
                Some(value) => entries.insert(Arc::clone(name), Arc::clone(value)),
                None => entries.remove(name),
            };
        }
        Ok(State { version: delta.to, digest: delta.digest, entries: Arc::new(entries) })
    }
}
