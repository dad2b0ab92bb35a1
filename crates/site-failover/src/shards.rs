//! Index of targets by shard.

use std::collections::{BTreeMap, BTreeSet};

/// The names of the targets of each shard.
#[derive(Clone, Debug, Default)]
pub(crate) struct ShardIndex(BTreeMap<u32, BTreeSet<String>>);

impl ShardIndex {
    pub fn insert(&mut self, shard: u32, target: &str) {
        self.0.entry(shard).or_default().insert(target.to_string());
    }

    pub fn remove(&mut self, shard: u32, target: &str) {
        let Some(targets) = self.0.get_mut(&shard) else { return };
        targets.remove(target);
        if targets.is_empty() {
            self.0.remove(&shard);
        }
    }

    pub fn targets_of(&self, shard: u32) -> impl Iterator<Item = &String> {
        self.0.get(&shard).into_iter().flatten()
    }
}
