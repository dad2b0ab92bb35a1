//! The route table: routes, pools, and the one place where a request's route is chosen.

use crate::request::RouteRequest;
use crate::request_match::RequestMatch;
use crate::target::{ListedState, TargetInfo, TargetSelector};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::fmt;

/// Where an entry stands: a file, a line from 1, and a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct Origin {
    /// The file's name.
    pub file: String,
    /// The line, from 1.
    pub line: usize,
    /// The key, such as `route[3]`.
    pub key: String,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} line {}: {}", self.file, self.line, self.key)
    }
}

/// A named set of targets.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: String,
    /// The targets in it.
    pub targets: TargetSelector,
    /// Where it stands.
    pub origin: Origin,
}

/// Requests, and the pool that may serve them.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The requests that it matches.
    pub requests: RequestMatch,
    /// The index of its pool.
    pub pool: usize,
    /// The index of the pool that serves where the first has no target; none: such requests are rejected.
    pub fallback: Option<usize>,
    /// Where it stands.
    pub origin: Origin,
}

/// Routes and pools, as one value that does not change.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    pools: Vec<Pool>,
    /// Indices of the routes that name volumes one by one, by those; in the order of the routes.
    by_volume: HashMap<u64, Vec<usize>>,
    /// Indices of all other routes.
    general: Vec<usize>,
}

impl RouteTable {
    /// A table of these. The routes' indices must be those of pools: [`RouteTable::reachable`] panics where one
    /// is not.
    pub fn new(routes: Vec<Route>, pools: Vec<Pool>) -> RouteTable {
        let mut by_volume: HashMap<u64, Vec<usize>> = HashMap::new();
        let mut general = Vec::new();
        for (index, route) in routes.iter().enumerate() {
            match route.requests.single_volumes() {
                Some(volumes) => volumes.for_each(|v| by_volume.entry(v).or_default().push(index)),
                None => general.push(index),
            }
        }
        RouteTable { routes, pools, by_volume, general }
    }

    /// The routes, in the order of precedence among equal prefixes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The pools.
    pub fn pools(&self) -> &[Pool] {
        &self.pools
    }

    /// Whether there is no route.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Indices of the routes that could match a request of this volume.
    pub fn candidates(&self, volume: u64) -> impl Iterator<Item = usize> + '_ {
        let naming = self.by_volume.get(&volume).map_or(&[][..], Vec::as_slice);
        naming.iter().chain(&self.general).copied()
    }

    /// What the routes match that could match a request of this volume.
    pub fn candidate_matches(&self, volume: u64) -> impl Iterator<Item = &RequestMatch> + Clone + '_ {
        let naming = self.by_volume.get(&volume).map_or(&[][..], Vec::as_slice);
        naming.iter().chain(&self.general).map(|index| &self.routes[*index].requests)
    }

    /// Volumes that routes name one by one.
    pub fn named_volumes(&self) -> impl Iterator<Item = u64> + '_ {
        self.by_volume.keys().copied()
    }

    /// Whether a route names this volume by itself.
    pub fn names(&self, volume: u64) -> bool {
        self.by_volume.contains_key(&volume)
    }

    /// The routes that match a request, as their rank: the least comes first.
    fn ranked(&self, request: &RouteRequest<'_>) -> impl Iterator<Item = (Reverse<u8>, usize)> {
        self.candidates(request.volume).filter_map(|index| {
            let prefix = self.routes[index].requests.matched_prefix(request)?;
            Some((Reverse(prefix), index))
        })
    }

    /// The index of a request's route; none: it may reach every target. Precedence is decided here and nowhere
    /// else.
    pub fn route(&self, request: &RouteRequest<'_>) -> Option<usize> {
        self.ranked(request).min().map(|(_, index)| index)
    }

    /// The indices of the routes that match a request, the one that is taken first, each with its prefix's
    /// length in bits.
    pub fn explain(&self, request: &RouteRequest<'_>) -> Vec<(usize, u8)> {
        let mut matching: Vec<_> = self.ranked(request).collect();
        matching.sort_unstable();
        matching.into_iter().map(|(Reverse(prefix), index)| (index, prefix)).collect()
    }

    /// Which of these targets a request for a shard (none: a new object) may reach on a route, in their
    /// order. A target is given by its attributes, its state, and an id that is returned.
    pub fn reachable<'t, Id>(
        &self,
        route: Option<usize>,
        shard: Option<u32>,
        targets: impl Iterator<Item = (&'t TargetInfo, ListedState, Id)> + Clone,
    ) -> Vec<Id> {
        let serving = targets.filter(|(target, state, _)| {
            state.takes_work() && shard.is_none_or(|shard| shard == target.shard)
        });
        let Some(route) = route.map(|index| &self.routes[index]) else {
            return serving.map(|(.., id)| id).collect();
        };
        let members = |pool: usize| -> Vec<Id> {
            let pool = &self.pools[pool].targets;
            serving.clone().filter(|(target, ..)| pool.selects(target)).map(|(.., id)| id).collect()
        };
        let first = members(route.pool);
        match route.fallback {
            Some(fallback) if first.is_empty() => members(fallback),
            _ => first,
        }
    }
}
