//! Warnings about routes that no request uses, and pools without targets.

use super::checker::Checker;
use super::report::Warning;
use super::samples::sample_volumes;
use crate::table::{Pool, Route};

impl Checker<'_> {
    /// Routes that no request uses, and pools without targets.
    pub(super) fn warnings(&self) -> Vec<Warning> {
        let routes = self.table.routes().iter().enumerate();
        let unused_routes = routes.filter_map(|(index, route)| self.unused_route(index, route));
        let empty_pools = self.table.pools().iter().filter_map(|pool| self.empty_pool(pool));
        unused_routes.chain(empty_pools).collect()
    }

    fn unused_route(&self, index: usize, route: &Route) -> Option<Warning> {
        // The first route found that takes precedence for a request of this route.
        let mut instead = None;
        for volume in sample_volumes(self.table, &route.requests) {
            let samples = self.samples(volume, &route.requests);
            for request in samples.requests(volume).filter(|request| route.requests.matches(request)) {
                let chosen = self.table.route(&request);
                if chosen == Some(index) {
                    return None;
                }
                instead = instead.or(chosen);
            }
        }
        let reason = match instead.map(|index| &self.table.routes()[index]) {
            None => "no class or plan of the settings matches it".to_string(),
            Some(other) => format!("route {:?} ({}) takes precedence", other.name, other.origin),
        };
        let problem = format!("route {:?} is never used: {reason}", route.name);
        Some(Warning { origin: route.origin.clone(), problem })
    }

    fn empty_pool(&self, pool: &Pool) -> Option<Warning> {
        let empty = self.members(&pool.targets, None).next().is_none();
        if self.targets.is_empty() || !empty {
            return None;
        }
        let problem = format!("pool {:?} contains no listed target", pool.name);
        Some(Warning { origin: pool.origin.clone(), problem })
    }
}
