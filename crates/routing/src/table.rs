//! The route table: routes, pools, and the selection of a request's route.

use crate::request::RouteRequest;
use crate::request_match::RequestMatch;
use crate::target::{ListedState, TargetInfo, TargetSelector};
use std::cmp::Reverse;
use std::collections::HashMap;
use std::fmt;

/// Where an entry is defined: the file, the line and the key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct Origin {
    /// The name of the file.
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
    /// The name that routes refer to.
    pub name: String,
    /// The targets in the pool.
    pub targets: TargetSelector,
    /// Where the pool is defined.
    pub origin: Origin,
}

/// A set of requests, and the pools that may serve them.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name that reports show.
    pub name: String,
    /// The requests that the route matches.
    pub requests: RequestMatch,
    /// The index of the pool.
    pub pool: usize,
    /// The index of the pool that serves requests for which the first has no target; `None` if they are
    /// rejected.
    pub fallback: Option<usize>,
    /// Where the route is defined.
    pub origin: Origin,
}

/// An immutable set of routes and pools.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    routes: Vec<Route>,
    pools: Vec<Pool>,
    /// Indices of the routes that name individual volumes, by volume and in the order of the routes.
    by_volume: HashMap<u64, Vec<usize>>,
    /// Indices of all other routes.
    general: Vec<usize>,
}

impl RouteTable {
    /// Creates a table. The pool indices in the routes must be valid: [`RouteTable::reachable`] panics
    /// otherwise.
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

    /// The routes; of routes with equal prefixes the first takes precedence.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The pools that routes refer to by index.
    pub fn pools(&self) -> &[Pool] {
        &self.pools
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Indices of the routes that may match a request of this volume.
    pub fn candidates(&self, volume: u64) -> impl Iterator<Item = usize> + '_ {
        let naming_routes = self.by_volume.get(&volume).map_or(&[][..], Vec::as_slice);
        naming_routes.iter().chain(&self.general).copied()
    }

    /// The matches of the routes that may match a request of this volume.
    pub fn candidate_matches(&self, volume: u64) -> impl Iterator<Item = &RequestMatch> + Clone + '_ {
        let naming_routes = self.by_volume.get(&volume).map_or(&[][..], Vec::as_slice);
        naming_routes.iter().chain(&self.general).map(|index| &self.routes[*index].requests)
    }

    /// Volumes that routes name individually.
    pub fn named_volumes(&self) -> impl Iterator<Item = u64> + '_ {
        self.by_volume.keys().copied()
    }

    /// Whether a route names this volume individually.
    pub fn names_volume(&self, volume: u64) -> bool {
        self.by_volume.contains_key(&volume)
    }

    /// The routes that match a request, with their ranks: the lowest takes precedence.
    fn ranked(&self, request: &RouteRequest<'_>) -> impl Iterator<Item = (Reverse<u8>, usize)> {
        self.candidates(request.volume).filter_map(|index| {
            let prefix = self.routes[index].requests.matched_prefix(request)?;
            Some((Reverse(prefix), index))
        })
    }

    /// The index of a request's route; `None` if no route matches, so that the request may reach every
    /// target. Only this function decides precedence.
    pub fn route(&self, request: &RouteRequest<'_>) -> Option<usize> {
        self.ranked(request).min().map(|(_, index)| index)
    }

    /// The indices of the routes that match a request, in the order of precedence, each with the length of
    /// its matching prefix in bits.
    pub fn explain(&self, request: &RouteRequest<'_>) -> Vec<(usize, u8)> {
        let mut matching: Vec<_> = self.ranked(request).collect();
        matching.sort_unstable();
        matching.into_iter().map(|(Reverse(prefix), index)| (index, prefix)).collect()
    }

    /// Returns the targets that a request may reach on a route, in their order. `shard` is `None` for a new
    /// object. Each target is given by its attributes, its state, and the id to return.
    pub fn reachable<'t, Id>(
        &self,
        route: Option<usize>,
        shard: Option<u32>,
        targets: impl Iterator<Item = (&'t TargetInfo, ListedState, Id)> + Clone,
    ) -> Vec<Id> {
        let serving = targets.filter(|(target, state, _)| {
            state.accepts_requests() && shard.is_none_or(|shard| shard == target.shard)
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
