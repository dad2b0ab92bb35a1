//! The distributed state: named entries at a version, with a digest over all entries.

use crate::delta::{ApplyError, Delta, EntryChange};
use crate::version::{Digest, Version};
use std::collections::BTreeMap;
use std::sync::Arc;

/// All entries at a version. Clones share the entries.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    version: Version,
    digest: Digest,
    entries: Arc<BTreeMap<Arc<str>, Arc<str>>>,
}

impl State {
    /// A state without entries.
    pub fn empty(version: Version) -> State {
        State { version, digest: Digest::default(), entries: Arc::default() }
    }

    /// A state of these entries, with their digest. If a name occurs more than once, the last value applies.
    pub fn new(version: Version, entries: impl IntoIterator<Item = (Arc<str>, Arc<str>)>) -> State {
        let entries: BTreeMap<Arc<str>, Arc<str>> = entries.into_iter().collect();
        let no_entries = Digest::default();
        let digest = entries.iter().fold(no_entries, |digest, (name, value)| digest.with_entry(name, value));
        State { version, digest, entries: Arc::new(entries) }
    }

    /// The version that the source assigned.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The digest over all entries.
    pub fn digest(&self) -> Digest {
        self.digest
    }

    /// The value of an entry. `None` if there is no entry of that name.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.entries.get(name).map(|value| &**value)
    }

    /// The entries' names and values, sorted by name.
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

    /// The delta from this state to version `to` with these changes. If a name occurs more than once, the
    /// last change applies.
    pub fn delta(&self, to: Version, mut changes: Vec<EntryChange>) -> Delta {
        // The sort is stable: changes of the same name keep their order.
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

    /// Applies a delta and returns the resulting state.
    ///
    /// # Errors
    /// The delta's base is not this state's version, its version is not newer, its changes are unsorted, or
    /// the result does not match its digest.
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
        // The copied map shares the names and values.
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
