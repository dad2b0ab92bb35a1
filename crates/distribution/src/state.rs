//! What is distributed: named entries at a version, with a digest of all of them.

use crate::delta::{ApplyError, Delta, EntryChange};
use crate::version::{Digest, Version};
use std::collections::BTreeMap;
use std::sync::Arc;

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

    /// Of entries, with the digest that they have. Of several entries of one name the last holds.
    pub fn new(version: Version, entries: impl IntoIterator<Item = (Arc<str>, Arc<str>)>) -> State {
        let entries: BTreeMap<Arc<str>, Arc<str>> = entries.into_iter().collect();
        let no_entries = Digest::default();
        let digest = entries.iter().fold(no_entries, |digest, (name, value)| digest.with_entry(name, value));
        State { version, digest, entries: Arc::new(entries) }
    }

    /// Its version.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The digest of its entries.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The value of an entry.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.entries.get(name).map(|value| &**value)
    }

    /// The entries' names and values, in the order of names.
    pub fn entries(&self) -> impl Iterator<Item = (&Arc<str>, &Arc<str>)> {
        self.entries.iter()
    }

    /// The number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether it has no entries.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The delta that makes these changes, to a version that is newer. Of several changes of one name the last
    /// holds.
    pub fn delta(&self, to: Version, mut changes: Vec<EntryChange>) -> Delta {
        // The sort is stable: changes of one name stay in their order.
        changes.sort_by(|a, b| a.name.cmp(&b.name));
        changes.reverse();
        changes.dedup_by(|earlier, last| earlier.name == last.name);
        changes.reverse();
        Delta { base: self.version, to, digest: self.digest_after(&changes), changes }
    }

    fn digest_after(&self, changes: &[EntryChange]) -> Digest {
        let mut digest = self.digest;
        for EntryChange { name, value } in changes {
            if let Some(before) = self.entries.get(name) {
                digest = digest.without_entry(name, before);
            }
            if let Some(value) = value {
                digest = digest.with_entry(name, value);
            }
        }
        digest
    }

    /// The state that a delta makes of this one.
    ///
    /// # Errors
    /// The delta is made for another version, leads to none that is newer, or its digest is not that of what it
    /// makes.
    pub fn apply(&self, delta: &Delta) -> Result<State, ApplyError> {
        if delta.base != self.version {
            return Err(ApplyError::WrongBase);
        }
        if delta.to <= self.version {
            return Err(ApplyError::NotNewer);
        }
        if !delta.changes.is_sorted_by(|a, b| a.name < b.name) {
            return Err(ApplyError::Unordered);
        }
        if self.digest_after(&delta.changes) != delta.digest {
            return Err(ApplyError::DigestMismatch);
        }
        // The copy shares names and values.
        let mut entries = BTreeMap::clone(&self.entries);
        for EntryChange { name, value } in &delta.changes {
            match value {
                Some(value) => entries.insert(Arc::clone(name), Arc::clone(value)),
                None => entries.remove(name),
            };
        }
        Ok(State { version: delta.to, digest: delta.digest, entries: Arc::new(entries) })
    }
}
