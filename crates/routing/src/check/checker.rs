//! The check of one expectation against the table: every class of equivalent requests is tried.

use super::report::Verdict;
use super::samples::{RequestSamples, sample_volumes};
use crate::expectation::{Expectation, Requirement};
use crate::request::RouteRequest;
use crate::request_match::RequestMatch;
use crate::settings::ServiceSettings;
use crate::table::RouteTable;
use crate::target::{TargetInfo, TargetSelector};
use std::collections::BTreeSet;

/// What expectations are held against.
pub(super) struct Checker<'a> {
    pub(super) table: &'a RouteTable,
    pub(super) settings: &'a ServiceSettings,
    pub(super) targets: &'a [TargetInfo],
    listed: BTreeSet<&'a str>,
    pub(super) shards: BTreeSet<u32>,
    all_targets: TargetSelector,
}

/// Whether a requirement holds for one request.
pub(super) enum RequestVerdict {
    Holds,
    /// It does not, for this reason, and with this endpoint list.
    Broken {
        why: String,
        list: Vec<String>,
    },
    /// It depends on attributes of these targets, which are not listed.
    Undecided(BTreeSet<String>),
}

impl RequestVerdict {
    /// It holds, unless it depends on these targets.
    pub(super) fn unless_undecided(unlisted: BTreeSet<String>) -> RequestVerdict {
        match unlisted.is_empty() {
            true => RequestVerdict::Holds,
            false => RequestVerdict::Undecided(unlisted),
        }
    }
}

impl<'a> Checker<'a> {
    pub(super) fn new(
        table: &'a RouteTable,
        settings: &'a ServiceSettings,
        targets: &'a [TargetInfo],
    ) -> Checker<'a> {
        Checker {
            table,
            settings,
            targets,
            listed: targets.iter().map(|target| target.name.as_str()).collect(),
            shards: targets.iter().map(|target| target.shard).collect(),
            all_targets: TargetSelector::default(),
        }
    }

    /// Whether the endpoint list names the target.
    pub(super) fn is_listed(&self, name: &str) -> bool {
        self.listed.contains(name)
    }

    /// The names in a selector that are not listed.
    pub(super) fn unlisted<'s>(&self, selector: &'s TargetSelector) -> impl Iterator<Item = &'s String> {
        selector.names.iter().flatten().filter(|name| !self.is_listed(name))
    }

    /// The listed targets that a selector holds for a shard.
    pub(super) fn members<'s>(
        &self,
        selector: &'s TargetSelector,
        shard: Option<u32>,
    ) -> impl Iterator<Item = &'a TargetInfo> + use<'s, 'a> {
        let holds_shard = move |target: &&TargetInfo| shard.is_none_or(|shard| shard == target.shard);
        self.targets.iter().filter(holds_shard).filter(|target| selector.selects(target))
    }

    /// The pools that could serve a request of a route: the first, and where it has no target the second.
    pub(super) fn pools(&self, route: Option<usize>) -> Vec<&TargetSelector> {
        let Some(route) = route.map(|index| &self.table.routes()[index]) else {
            return vec![&self.all_targets];
        };
        let indices = [Some(route.pool), route.fallback].into_iter().flatten();
        indices.map(|index| &self.table.pools()[index].targets).collect()
    }

    /// Requests of a volume that stand for all which its routes and this match could tell apart.
    pub(super) fn samples(&self, volume: u64, requests: &RequestMatch) -> RequestSamples<'a> {
        let matches = self.table.candidate_matches(volume).chain([requests]);
        RequestSamples::of(matches, self.settings, &self.shards)
    }

    /// Whether an expectation holds.
    pub(super) fn verdict(&self, expectation: &Expectation) -> Verdict {
        if let Some(why) = self.broken_by_settings(expectation) {
            return Verdict::Broken { why, request: None, list: Vec::new(), route: None };
        }
        if expectation.requirement.is_about_settings() {
            return Verdict::Holds;
        }
        let mut unlisted = BTreeSet::new();
        for volume in sample_volumes(self.table, &expectation.requests) {
            let samples = self.samples(volume, &expectation.requests);
            for request in samples.requests(volume).filter(|request| self.counts(expectation, request)) {
                let route = self.table.route(&request);
                match self.check_request(&expectation.requirement, &request, route) {
                    RequestVerdict::Holds => {}
                    RequestVerdict::Undecided(names) => unlisted.extend(names),
                    RequestVerdict::Broken { why, list } => {
                        let route = route.map(|index| &self.table.routes()[index]);
                        return Verdict::Broken {
                            why,
                            request: Some(request.to_string()),
                            list,
                            route: route.map(|route| (route.name.clone(), route.origin.clone())),
                        };
                    }
                }
            }
        }
        if unlisted.is_empty() { Verdict::Holds } else { Verdict::Undecided { unlisted } }
    }

    /// Whether a request counts for an expectation.
    fn counts(&self, expectation: &Expectation, request: &RouteRequest<'_>) -> bool {
        if !expectation.requests.matches(request) {
            return false;
        }
        let Some(shard) = request.shard else { return true };
        match expectation.requirement {
            Requirement::MinNewObjectTargets(_) => false,
            Requirement::Only(_) | Requirement::Never { .. } => true,
            // A shard that no target holds has none whatever the routes say: only one that is named counts.
            _ => {
                let named = expectation.requests.shards.as_ref();
                self.shards.contains(&shard) || named.is_some_and(|shards| shards.contains(&shard))
            }
        }
    }
}
