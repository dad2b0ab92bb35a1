//! What another table would change: which requests reach other boxes, by classes of requests.

use crate::check::{Points, Terms, volumes};
use crate::sets::Match;
use crate::table::Table;
use crate::target::{BoxState, TargetInfo};
use std::collections::{BTreeMap, BTreeSet};

/// Requests whose boxes change.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// One of them.
    pub request: String,
    /// Classes of requests that change in this way.
    pub classes: usize,
    pub before: Vec<String>,
    pub after: Vec<String>,
}

/// The changes from one table to another, with all these boxes active.
pub fn diff(before: &Table, after: &Table, terms: &Terms, boxes: &[TargetInfo]) -> Vec<Change> {
    let all = Match::default();
    let both: BTreeSet<u64> = volumes(before, &all).into_iter().chain(volumes(after, &all)).collect();
    let shards: BTreeSet<u32> = boxes.iter().map(|b| b.shard).collect();
    let mut changes: BTreeMap<(Vec<String>, Vec<String>), Change> = BTreeMap::new();
    let matches = |table: &'_ Table, volume| -> Vec<Match> {
        table.candidates(volume).map(|p| table.routes()[p].requests.clone()).collect()
    };
    for volume in both {
        let candidates: Vec<Match> =
            matches(before, volume).into_iter().chain(matches(after, volume)).collect();
        for request in Points::of(candidates.iter(), terms, &shards).requests(volume) {
            if request.shard.is_some_and(|s| !shards.contains(&s)) {
                continue;
            }
            let reach = |table: &Table| {
                let listed = boxes.iter().map(|b| (b, BoxState::Active, b.name.clone()));
                table.reach(table.route(&request), request.shard, listed)
            };
            let (was, is) = (reach(before), reach(after));
            if was != is {
                let change = changes.entry((was.clone(), is.clone())).or_insert_with(|| Change {
                    request: request.to_string(),
                    classes: 0,
                    before: was,
                    after: is,
                });
                change.classes += 1;
            }
        }
    }
    changes.into_values().collect()
}
