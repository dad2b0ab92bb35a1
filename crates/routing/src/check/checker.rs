//! Checks one expectation against the table by evaluating a sample of every class of equivalent requests.

use super::report::Verdict;
use super::samples::{RequestSamples, sample_volumes};
use crate::expectation::{Expectation, Requirement};
use crate::request::RouteRequest;
use crate::request_match::RequestMatch;
use crate::settings::ServiceSettings;
use crate::table::RouteTable;
use crate::target::{TargetInfo, TargetSelector};
use std::collections::BTreeSet;

/// The data that expectations are checked against.
pub(super) struct Checker<'a> {
    pub(super) table: &'a RouteTable,
    pub(super) settings: &'a ServiceSettings,
    pub(super) targets: &'a [TargetInfo],
    listed: BTreeSet<&'a str>,
    pub(super) shards: BTreeSet<u32>,
    all_targets: TargetSelector,
}

/// Whether a requirement is met for one request.
pub(super) enum RequestVerdict {
    Holds,
    /// The requirement is not met, for this reason and with this endpoint list.
    Broken {
        reason: String,
        list: Vec<String>,
    },
    /// The result depends on the attributes of these targets, which are not listed.
    Undecided(BTreeSet<String>),
}

impl RequestVerdict {
    /// The requirement is met unless the result depends on unlisted targets.
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

    /// Whether the endpoint list contains the target.
    pub(super) fn is_listed(&self, name: &str) -> bool {
        self.listed.contains(name)
    }

    /// The names in a selector that the endpoint list does not contain.
    pub(super) fn unlisted<'s>(&self, selector: &'s TargetSelector) -> impl Iterator<Item = &'s String> {
        selector.names.iter().flatten().filter(|name| !self.is_listed(name))
    }

    /// The listed targets that a selector selects; only those of a shard if one is given.
    pub(super) fn members<'s>(
        &self,
        selector: &'s TargetSelector,
        shard: Option<u32>,
    ) -> impl Iterator<Item = &'a TargetInfo> + use<'s, 'a> {
        let holds_shard = move |target: &&TargetInfo| shard.is_none_or(|shard| shard == target.shard);
        self.targets.iter().filter(holds_shard).filter(|target| selector.selects(target))
    }

    /// The pools that may serve a request of a route: its pool, and the fallback for when that has no target.
    pub(super) fn pools(&self, route: Option<usize>) -> Vec<&TargetSelector> {
        let Some(route) = route.map(|index| &self.table.routes()[index]) else {
            return vec![&self.all_targets];
        };
        let indices = [Some(route.pool), route.fallback].into_iter().flatten();
        indices.map(|index| &self.table.pools()[index].targets).collect()
    }

    /// Sample requests of a volume, one for each class that its routes and this match can distinguish.
    pub(super) fn samples(&self, volume: u64, requests: &RequestMatch) -> RequestSamples<'a> {
        let matches = self.table.candidate_matches(volume).chain([requests]);
        RequestSamples::of(matches, self.settings, &self.shards)
    }

    /// Checks an expectation.
    pub(super) fn verdict(&self, expectation: &Expectation) -> Verdict {
        if let Some(reason) = self.broken_by_settings(expectation) {
            return Verdict::Broken { reason, request: None, list: Vec::new(), route: None };
        }
        if expectation.requirement.is_about_settings() {
            return Verdict::Holds;
        }
        let mut unlisted = BTreeSet::new();
        for volume in sample_volumes(self.table, &expectation.requests) {
            let samples = self.samples(volume, &expectation.requests);
            for request in samples.requests(volume).filter(|request| self.applies_to(expectation, request)) {
                let route = self.table.route(&request);
                match self.check_request(&expectation.requirement, &request, route) {
                    RequestVerdict::Holds => {}
                    RequestVerdict::Undecided(names) => unlisted.extend(names),
                    RequestVerdict::Broken { reason, list } => {
                        let route = route.map(|index| &self.table.routes()[index]);
                        return Verdict::Broken {
                            reason,
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

    /// Whether an expectation applies to a request.
    fn applies_to(&self, expectation: &Expectation, request: &RouteRequest<'_>) -> bool {
        if !expectation.requests.matches(request) {
            return false;
        }
        let Some(shard) = request.shard else { return true };
        match expectation.requirement {
            Requirement::MinNewObjectTargets(_) => false,
            Requirement::Only(_) | Requirement::Never { .. } => true,
            // No target holds this shard, so no route can reach one. The request counts only if the
            // expectation names the shard.
            _ => {
                let named = expectation.requests.shards.as_ref();
                self.shards.contains(&shard) || named.is_some_and(|shards| shards.contains(&shard))
            }
        }
    }
}
