//! What each requirement asks of the pools that a request could reach.

use super::checker::{Checker, RequestVerdict};
use super::selectors::{attributes_disjoint, attributes_within};
use crate::expectation::{Expectation, Requirement};
use crate::request::RouteRequest;
use crate::settings::PlanSettings;
use crate::target::{ListedState, TargetInfo, TargetSelector};
use std::collections::BTreeSet;

/// What an operator reads where a pool could hold a target that nobody has listed.
const UNLISTED_TARGET_REACHED: &str = "it could reach a box that is not listed yet";

/// The verdict that a request could reach a target, in a state.
fn reaches(name: &str, state: ListedState) -> RequestVerdict {
    let list = vec![format!("{name} {}", state.word())];
    RequestVerdict::Broken { why: format!("it could reach {name}"), list }
}

/// The verdict that a request could reach a target that nobody has listed.
fn reaches_unlisted(state: ListedState) -> RequestVerdict {
    let list = vec![format!("a new box of the pool, {}", state.word())];
    RequestVerdict::Broken { why: UNLISTED_TARGET_REACHED.to_string(), list }
}

impl Checker<'_> {
    /// Whether a requirement holds for a request that takes this route.
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
            // A pool that cannot hold the shard holds no target for it.
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
        banned: &TargetSelector,
        states: &[ListedState],
    ) -> RequestVerdict {
        // No target is given new work in the other states, whatever the routes say.
        let Some(state) = states.iter().copied().find(|state| state.takes_work()) else {
            return RequestVerdict::Holds;
        };
        let mut undecided = BTreeSet::new();
        for pool in pools {
            if let Some(target) = self.members(pool, shard).find(|target| banned.selects(target)) {
                return reaches(&target.name, state);
            }
            if attributes_disjoint(pool, banned, shard) {
                continue;
            }
            if pool.names.is_none() && banned.names.is_none() {
                return reaches_unlisted(state);
            }
            for name in names_in_both(pool, banned).into_iter().filter(|name| !self.is_listed(name)) {
                if pool.is_by_name_only() && banned.is_by_name_only() && shard.is_none() {
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
        let lost = losses_until_none(&first, &second, &wanted_names);
        if lost > without {
            return RequestVerdict::Holds;
        }
        let why = match lost {
            0 => "none of the boxes is reached".to_string(),
            lost => format!("none of the boxes is reached once {lost} of them have gone"),
        };
        self.too_few(pools, Some(wanted), why)
    }

    fn check_rejected(&self, pools: &[&TargetSelector], shard: Option<u32>) -> RequestVerdict {
        if let Some(target) = pools.iter().find_map(|pool| self.members(pool, shard).next()) {
            let list = vec![format!("{} {}", target.name, ListedState::Active.word())];
            return RequestVerdict::Broken { why: format!("{} serves it", target.name), list };
        }
        RequestVerdict::unless_undecided(pools.iter().flat_map(|pool| self.unlisted(pool).cloned()).collect())
    }

    fn check_new_object_targets(&self, pools: &[&TargetSelector], min: usize) -> RequestVerdict {
        let mut counts = pools.iter().map(|pool| self.members(pool, None).count());
        let reachable = counts.find(|count| *count > 0).unwrap_or(0);
        if reachable >= min {
            return RequestVerdict::Holds;
        }
        self.too_few(pools, None, format!("it can go to {reachable} boxes, not {min}"))
    }

    /// The verdict where too few targets are there: that they are too few, or that more are named than listed.
    fn too_few(
        &self,
        pools: &[&TargetSelector],
        wanted: Option<&TargetSelector>,
        why: String,
    ) -> RequestVerdict {
        if self.targets.is_empty() {
            // Without a list nothing can be counted yet.
            return RequestVerdict::Undecided(["any box".to_string()].into());
        }
        let selectors = pools.iter().copied().chain(wanted);
        let unlisted: BTreeSet<String> =
            selectors.flat_map(|selector| self.unlisted(selector).cloned()).collect();
        if !unlisted.is_empty() {
            return RequestVerdict::Undecided(unlisted);
        }
        let list = self.targets.iter().map(|target: &TargetInfo| target.name.clone()).collect();
        RequestVerdict::Broken { why, list }
    }

    /// Why the settings alone break an expectation; none: they do not.
    pub(super) fn broken_by_settings(&self, expectation: &Expectation) -> Option<String> {
        let settings = self.settings;
        match expectation.requirement {
            Requirement::MaxAttempts(max) if settings.max_attempts > max => {
                Some(format!("the settings allow {} attempts, not {max}", settings.max_attempts))
            }
            Requirement::MaxDrainGraceMs(max) if settings.drain_grace_ms > max => Some(format!(
                "the settings allow {} ms after a drain is told, not {max}",
                settings.drain_grace_ms
            )),
            Requirement::MaxUnitsPerSecond(max) => {
                let wanted = expectation.requests.plans.as_ref();
                let applies = |plan: &&PlanSettings| wanted.is_none_or(|names| names.contains(&plan.name));
                settings.plans.iter().filter(applies).find_map(|plan| exceeded(plan, max))
            }
            _ => None,
        }
    }
}

/// Why a plan allows more units a second than `max`; none: it does not.
fn exceeded(plan: &PlanSettings, max: f64) -> Option<String> {
    let name = &plan.name;
    match plan.max_units_per_second {
        None => Some(format!("plan {name} has no limit")),
        Some(limit) if limit > max => Some(format!("plan {name} allows {limit} units a second, not {max}")),
        Some(_) => None,
    }
}

/// The names that both selectors could hold.
fn names_in_both<'s>(a: &'s TargetSelector, b: &'s TargetSelector) -> BTreeSet<&'s String> {
    match (&a.names, &b.names) {
        (Some(a), Some(b)) => a.intersection(b).collect(),
        (Some(names), None) | (None, Some(names)) => names.iter().collect(),
        (None, None) => BTreeSet::new(),
    }
}

/// The fewest targets that must go until none of the wanted is reached: those of the first pool, and where only
/// wanted ones are in it, those of the second as well.
fn losses_until_none(first: &BTreeSet<&str>, second: &BTreeSet<&str>, wanted: &BTreeSet<&str>) -> usize {
    let wanted_in_first = first.intersection(wanted).count();
    if wanted_in_first < first.len() {
        return wanted_in_first;
    }
    let wanted_in_second = second.intersection(wanted).filter(|name| !first.contains(*name)).count();
    first.len() + wanted_in_second
}
