//! The table: routes, pools, and the one place where a request's route is chosen.

use crate::request::RouteRequest;
use crate::sets::{Match, Selector};
use crate::target::{BoxState, TargetInfo};
use std::collections::HashMap;
use std::fmt;

/// Where something stands: a file and a line, from 1.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Default)]
pub struct Origin {
    pub file: String,
    pub line: usize,
    pub key: String,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} line {}: {}", self.file, self.line, self.key)
    }
}

/// A set of boxes with a name.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    pub name: String,
    pub boxes: Selector,
    pub origin: Origin,
}

/// Requests, and the pool that may serve them.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub name: String,
    pub requests: Match,
    /// The pool's place.
    pub pool: usize,
    /// The pool that serves where the first has nobody; absent: such requests are refused.
    pub fallback: Option<usize>,
    pub origin: Origin,
}

/// Routes and pools, as one value that does not change.
#[derive(Clone, Debug, Default)]
pub struct Table {
    routes: Vec<Route>,
    pools: Vec<Pool>,
    /// Routes that name volumes one by one, by those; in the order of the routes.
    by_volume: HashMap<u64, Vec<usize>>,
    /// All others.
    general: Vec<usize>,
}

impl Table {
    /// A table of these. Pools that routes name by their places are there.
    pub fn new(routes: Vec<Route>, pools: Vec<Pool>) -> Table {
        let (mut by_volume, mut general) = (HashMap::<u64, Vec<usize>>::new(), Vec::new());
        for (place, route) in routes.iter().enumerate() {
            match route.requests.single_volumes() {
                Some(volumes) => volumes.for_each(|v| by_volume.entry(v).or_default().push(place)),
                None => general.push(place),
            }
        }
        Table { routes, pools, by_volume, general }
    }

    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    pub fn pools(&self) -> &[Pool] {
        &self.pools
    }

    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Places of the routes that could match a request of this volume.
    pub fn candidates(&self, volume: u64) -> impl Iterator<Item = usize> + '_ {
        let named = self.by_volume.get(&volume).map_or(&[][..], Vec::as_slice);
        named.iter().chain(&self.general).copied()
    }

    /// Volumes that routes name one by one.
    pub fn named_volumes(&self) -> impl Iterator<Item = u64> + '_ {
        self.by_volume.keys().copied()
    }

    /// Whether a route names this volume by itself.
    pub fn names(&self, volume: u64) -> bool {
        self.by_volume.contains_key(&volume)
    }

    /// The place of a request's route; none: it may reach every box. Precedence is decided here and nowhere
    /// else.
    pub fn route(&self, request: &RouteRequest<'_>) -> Option<usize> {
        let matching = self.candidates(request.volume).filter_map(|place| {
            let prefix = self.routes[place].requests.holds(request)?;
            Some((std::cmp::Reverse(prefix), place))
        });
        matching.min().map(|(_, place)| place)
    }

    /// The routes that match a request, the one that is taken first, each with its prefix's length.
    pub fn explain(&self, request: &RouteRequest<'_>) -> Vec<(usize, u8)> {
        let mut matching: Vec<_> = self
            .candidates(request.volume)
            .filter_map(|p| Some((std::cmp::Reverse(self.routes[p].requests.holds(request)?), p)))
            .collect();
        matching.sort_unstable();
        matching.into_iter().map(|(prefix, place)| (place, prefix.0)).collect()
    }

    /// Which of these boxes a request for a shard (absent: a new object) may reach on a route, in their
    /// order.
    pub fn reach<'b, B>(
        &self,
        route: Option<usize>,
        shard: Option<u32>,
        boxes: impl Iterator<Item = (&'b TargetInfo, BoxState, B)> + Clone,
    ) -> Vec<B> {
        let fits = move |b: &TargetInfo, state: BoxState| {
            state.takes_work() && shard.is_none_or(|shard| shard == b.shard)
        };
        let pool = |pool: Option<usize>| -> Vec<B> {
            let boxes = boxes.clone().filter(|(b, state, _)| fits(b, *state));
            match pool {
                None => boxes.map(|(.., id)| id).collect(),
                Some(p) => boxes.filter(|(b, ..)| self.pools[p].boxes.holds(b)).map(|(.., id)| id).collect(),
            }
        };
        let Some(route) = route.map(|r| &self.routes[r]) else { return pool(None) };
        let first = pool(Some(route.pool));
        match route.fallback {
            Some(fallback) if first.is_empty() => pool(Some(fallback)),
            _ => first,
        }
    }
}
