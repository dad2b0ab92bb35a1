//! Checks each kind of requirement against the pools that a request may reach.

use super::checker::{Checker, RequestVerdict};
use super::selectors::{attributes_disjoint, attributes_within};
use crate::expectation::{Expectation, Requirement};
use crate::request::RouteRequest;
use crate::settings::PlanSettings;
use crate::target::{ListedState, TargetInfo, TargetSelector};
use std::collections::BTreeSet;

/// The reason for an operator if a pool may contain a target that is not listed.
const UNLISTED_TARGET_REACHED: &str = "a request could reach a target that is not listed yet";

/// The verdict that a request may reach this target in this state.
fn reaches(name: &str, state: ListedState) -> RequestVerdict {
    let list = vec![format!("{name} {}", state.word())];
    RequestVerdict::Broken { reason: format!("a request could reach {name}"), list }
}

/// The verdict that a request may reach a target that is not listed.
fn reaches_unlisted(state: ListedState) -> RequestVerdict {
    let list = vec![format!("a new target of the pool, {}", state.word())];
    RequestVerdict::Broken { reason: UNLISTED_TARGET_REACHED.to_string(), list }
}

impl Checker<'_> {
    /// Whether a requirement is met for a request with this route.
    pub(super) fn check_request(
        &self,
        requirement: &Requirement,
        request: &RouteRequest<'_>,
        route: Option<usize>,
    ) -> RequestVerdict {
        let pools = self.pools(route);
        let shard = request.shard;
        match requirement {
            Requirement::Only(wanted) => self.check_only(&pools, shard, wanted),
            Requirement::Never { targets, states } => self.check_never(&pools, shard, targets, states),
            Requirement::Some { targets, without } => self.check_some(&pools, shard, targets, *without),
            Requirement::Rejected => self.check_rejected(&pools, shard),
            Requirement::MinNewObjectTargets(min) => self.check_new_object_targets(&pools, *min),
            Requirement::MaxAttempts(_)
            | Requirement::MaxDrainGraceMs(_)
            | Requirement::MaxUnitsPerSecond(_) => RequestVerdict::Holds,
        }
    }

    fn check_only(
        &self,
        pools: &[&TargetSelector],
        shard: Option<u32>,
        wanted: &TargetSelector,
    ) -> RequestVerdict {
        let mut undecided = BTreeSet::new();
        for pool in pools {
            if let Some(target) = self.members(pool, shard).find(|target| !wanted.selects(target)) {
                return reaches(&target.name, ListedState::Active);
            }
            // A pool that cannot contain targets of the shard is never used for the request.
            if shard.is_some_and(|shard| !pool.may_hold_shard(shard)) {
                continue;
            }
            if pool.names.is_none() {
                if wanted.names.is_some() || !attributes_within(pool, wanted, shard) {
                    return reaches_unlisted(ListedState::Active);
                }
                continue;
            }
            for name in self.unlisted(pool) {
                let excluded = wanted.names.as_ref().is_some_and(|names| !names.contains(name));
                if excluded && pool.is_by_name_only() && shard.is_none() {
                    return reaches(name, ListedState::Active);
                }
                if excluded || !attributes_within(pool, wanted, shard) {
                    undecided.insert(name.clone());
                }
            }
        }
        RequestVerdict::unless_undecided(undecided)
    }

    fn check_never(
        &self,
        pools: &[&TargetSelector],
        shard: Option<u32>,
        forbidden: &TargetSelector,
        states: &[ListedState],
    ) -> RequestVerdict {
        // In all other states targets get no new requests, whatever the routes are.
        let Some(state) = states.iter().copied().find(|state| state.accepts_requests()) else {
            return RequestVerdict::Holds;
        };
        let mut undecided = BTreeSet::new();
        for pool in pools {
            if let Some(target) = self.members(pool, shard).find(|target| forbidden.selects(target)) {
                return reaches(&target.name, state);
            }
            if attributes_disjoint(pool, forbidden, shard) {
                continue;
            }
            if pool.names.is_none() && forbidden.names.is_none() {
                return reaches_unlisted(state);
            }
            for name in names_in_both(pool, forbidden).into_iter().filter(|name| !self.is_listed(name)) {
                if pool.is_by_name_only() && forbidden.is_by_name_only() && shard.is_none() {
                    return reaches(name, state);
                }
                undecided.insert(name.clone());
            }
        }
        RequestVerdict::unless_undecided(undecided)
    }

    fn check_some(
        &self,
        pools: &[&TargetSelector],
        shard: Option<u32>,
        wanted: &TargetSelector,
        without: usize,
    ) -> RequestVerdict {
        let names = |selector: &TargetSelector| -> BTreeSet<&str> {
            self.members(selector, shard).map(|target| target.name.as_str()).collect()
        };
        let wanted_targets = self.targets.iter().filter(|target| wanted.selects(target));
        let wanted_names: BTreeSet<&str> = wanted_targets.map(|target| target.name.as_str()).collect();
        let first = names(pools[0]);
        let second = pools.get(1).map(|pool| names(pool)).unwrap_or_default();
        let lost = losses_until_unreachable(&first, &second, &wanted_names);
        if lost > without {
            return RequestVerdict::Holds;
        }
        let reason = match lost {
            0 => "requests reach none of the required targets".to_string(),
            lost => format!("requests reach none of the required targets once {lost} of them are gone"),
        };
        self.verdict_for_too_few(pools, Some(wanted), reason)
    }

    fn check_rejected(&self, pools: &[&TargetSelector], shard: Option<u32>) -> RequestVerdict {
        if let Some(target) = pools.iter().find_map(|pool| self.members(pool, shard).next()) {
            let list = vec![format!("{} {}", target.name, ListedState::Active.word())];
            return RequestVerdict::Broken {
                reason: format!("{} serves a request that must be rejected", target.name),
                list,
            };
        }
        RequestVerdict::unless_undecided(pools.iter().flat_map(|pool| self.unlisted(pool).cloned()).collect())
    }

    fn check_new_object_targets(&self, pools: &[&TargetSelector], min: usize) -> RequestVerdict {
        let mut counts = pools.iter().map(|pool| self.members(pool, None).count());
        let reachable = counts.find(|count| *count > 0).unwrap_or(0);
        if reachable >= min {
            return RequestVerdict::Holds;
        }
        self.verdict_for_too_few(
            pools,
            None,
            format!("the number of targets for new objects is {reachable}, expected at least {min}"),
        )
    }

    /// The verdict for too few targets: undecided if some named targets are not listed yet, broken otherwise.
    fn verdict_for_too_few(
        &self,
        pools: &[&TargetSelector],
        wanted: Option<&TargetSelector>,
        reason: String,
    ) -> RequestVerdict {
        if self.targets.is_empty() {
            // Nothing can be counted without an endpoint list.
            return RequestVerdict::Undecided(["any target".to_string()].into());
        }
        let selectors = pools.iter().copied().chain(wanted);
        let unlisted: BTreeSet<String> =
            selectors.flat_map(|selector| self.unlisted(selector).cloned()).collect();
        if !unlisted.is_empty() {
            return RequestVerdict::Undecided(unlisted);
        }
        let list = self.targets.iter().map(|target: &TargetInfo| target.name.clone()).collect();
        RequestVerdict::Broken { reason, list }
    }

    /// Why the settings alone violate an expectation; `None` if they do not.
    pub(super) fn broken_by_settings(&self, expectation: &Expectation) -> Option<String> {
        let settings = self.settings;
        match expectation.requirement {
            Requirement::MaxAttempts(max) if settings.max_attempts > max => {
                Some(format!("the settings allow {} attempts, expected at most {max}", settings.max_attempts))
            }
            Requirement::MaxDrainGraceMs(max) if settings.drain_grace_ms > max => Some(format!(
                "the settings allow requests to a draining target for {} ms, expected at most {max} ms",
                settings.drain_grace_ms
            )),
            Requirement::MaxUnitsPerSecond(max) => {
                let wanted = expectation.requests.plans.as_ref();
                let applies = |plan: &&PlanSettings| wanted.is_none_or(|names| names.contains(&plan.name));
                settings.plans.iter().filter(applies).find_map(|plan| plan_limit_violation(plan, max))
            }
            _ => None,
        }
    }
}

/// Why a plan violates the limit `max`, in units per second; `None` if it does not.
fn plan_limit_violation(plan: &PlanSettings, max: f64) -> Option<String> {
    let name = &plan.name;
    match plan.max_units_per_second {
        None => Some(format!("plan {name} has no unit limit, expected at most {max} units per second")),
        Some(limit) if limit > max => {
            Some(format!("plan {name} allows {limit} units per second, expected at most {max}"))
        }
        Some(_) => None,
    }
}

/// The names that both selectors may select.
fn names_in_both<'s>(a: &'s TargetSelector, b: &'s TargetSelector) -> BTreeSet<&'s String> {
    match (&a.names, &b.names) {
        (Some(a), Some(b)) => a.intersection(b).collect(),
        (Some(names), None) | (None, Some(names)) => names.iter().collect(),
        (None, None) => BTreeSet::new(),
    }
}

/// The smallest number of targets whose loss leaves no wanted target reachable: the wanted ones in the first
/// pool, and if that pool contains no others, also the wanted ones in the second.
fn losses_until_unreachable(
    first: &BTreeSet<&str>,
    second: &BTreeSet<&str>,
    wanted: &BTreeSet<&str>,
) -> usize {
    let wanted_in_first = first.intersection(wanted).count();
    if wanted_in_first < first.len() {
        return wanted_in_first;
    }
    let wanted_in_second = second.intersection(wanted).filter(|name| !first.contains(*name)).count();
    first.len() + wanted_in_second
}
