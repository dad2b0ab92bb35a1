//! The routes that are in force at the start.

use super::Error;
use crate::config::{ConfigError, RouteEvaluation, Routing};
use crate::core::LoadedRoutes;
use crate::net::http;
use rowanglade_routing::check::Decision;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::watch;

/// The version of the initial routes.
const FIRST_VERSION: u64 = 1;

/// The initial routes of an initiator.
pub struct InitialRoutes {
    /// Sender by which another table is put in force.
    pub table: watch::Sender<Arc<LoadedRoutes>>,
    /// Receiver of the table in force, for the core.
    pub in_force: watch::Receiver<Arc<LoadedRoutes>>,
    /// The routes, if some of their expectations need targets that are not listed yet. They are in force
    /// nevertheless, since there is no earlier table.
    pub undecided: Option<Rc<Routing>>,
}

impl InitialRoutes {
    /// Evaluates the expectations of the routes against the cached list.
    ///
    /// # Errors
    /// An expectation is broken.
    pub fn check(routing: Routing, cached_list: Option<&http::EndpointPage>) -> Result<InitialRoutes, Error> {
        let targets = cached_list.map(http::EndpointPage::routable_targets).unwrap_or_default();
        let RouteEvaluation { decision, lines, has_undecided } = routing.evaluate(&targets);
        lines.iter().for_each(|line| tracing::warn!("{line}"));
        if decision == Decision::Refuse {
            return Err(Error::Config(ConfigError::new("expect", lines.join("\n"))));
        }
        let loaded = LoadedRoutes { version: FIRST_VERSION, table: routing.rules.table.clone() };
        let (table, in_force) = watch::channel(Arc::new(loaded));
        Ok(InitialRoutes { table, in_force, undecided: has_undecided.then(|| Rc::new(routing)) })
    }
}
