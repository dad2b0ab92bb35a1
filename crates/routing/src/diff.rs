//! Compares two tables: which classes of equivalent requests reach other targets.

use crate::check::samples::{RequestSamples, sample_volumes};
use crate::request::RouteRequest;
use crate::request_match::RequestMatch;
use crate::settings::ServiceSettings;
use crate::table::RouteTable;
use crate::target::{ListedState, TargetInfo};
use std::collections::{BTreeMap, BTreeSet};

/// Requests whose targets change in the same way.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// One of these requests.
    pub request: String,
    /// Number of classes of equivalent requests that change in this way.
    pub classes: usize,
    /// Names of the targets that the requests reach with the first table.
    pub before: Vec<String>,
    /// Names of the targets that the requests reach with the second table.
    pub after: Vec<String>,
}

/// The changes from one table to another if all these targets are active.
pub fn diff(
    before: &RouteTable,
    after: &RouteTable,
    settings: &ServiceSettings,
    targets: &[TargetInfo],
) -> Vec<Change> {
    let shards: BTreeSet<u32> = targets.iter().map(|target| target.shard).collect();
    let mut changes: BTreeMap<(Vec<String>, Vec<String>), Change> = BTreeMap::new();
    for volume in volumes_of_both(before, after) {
        let matches = before.candidate_matches(volume).chain(after.candidate_matches(volume));
        for request in RequestSamples::of(matches, settings, &shards).requests(volume) {
            if request.shard.is_some_and(|shard| !shards.contains(&shard)) {
                continue;
            }
            let reached_before = reached_targets(before, &request, targets);
            let reached_after = reached_targets(after, &request, targets);
            if reached_before != reached_after {
                let kind = (reached_before.clone(), reached_after.clone());
                let change = changes.entry(kind).or_insert_with(|| Change {
                    request: request.to_string(),
                    classes: 0,
                    before: reached_before,
                    after: reached_after,
                });
                change.classes += 1;
            }
        }
    }
    changes.into_values().collect()
}

fn volumes_of_both(before: &RouteTable, after: &RouteTable) -> BTreeSet<u64> {
    let all = RequestMatch::default();
    sample_volumes(before, &all).into_iter().chain(sample_volumes(after, &all)).collect()
}

/// The names of the targets that a request reaches.
fn reached_targets(table: &RouteTable, request: &RouteRequest<'_>, targets: &[TargetInfo]) -> Vec<String> {
    let active = targets.iter().map(|target| (target, ListedState::Active, target.name.clone()));
    table.reachable(table.route(request), request.shard, active)
}
