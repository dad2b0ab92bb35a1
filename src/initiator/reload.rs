//! Reloads the configuration of a running initiator at SIGHUP, and re-evaluates its routes when the list of
//! targets changes.

use super::ReloadError;
use crate::config::{ConfigError, Reload, RouteEvaluation, Routing};
use crate::core::{AccessLog, CoreHandle, LoadedRoutes};
use crate::net::http;
use rowanglade_routing::{Decision, RouteTable, TargetInfo};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{oneshot, watch};

/// Handles by which a running initiator applies a new configuration.
#[derive(Clone, Debug)]
pub struct Reloads {
    pub(super) discovery: watch::Sender<http::DiscoveryAddress>,
    pub(super) access_log: Option<AccessLog>,
    pub(super) table: watch::Sender<Arc<LoadedRoutes>>,
    /// The initial routes, if some of their expectations could not be decided at the start.
    pub(super) undecided: Option<Rc<Routing>>,
}

impl Reloads {
    /// Applies the settings that do not depend on the routes: discovery's address, and reopening the access
    /// log.
    pub fn apply_settings(&self, reload: &Reload) {
        // Sent even if the address is the same: another service may be behind it, and the current watch may
        // have stopped responding.
        let moved = self.discovery.send_replace(reload.discovery) != reload.discovery;
        if let Some(log) = &self.access_log {
            log.reopen();
        }
        tracing::info!(moved, "configuration reloaded");
    }

    /// Atomically puts a table in force and returns its version. Open requests keep the table they arrived
    /// under.
    pub fn load_routes(&self, table: RouteTable) -> u64 {
        let mut version = 0;
        self.table.send_modify(|loaded| {
            version = loaded.version + 1;
            *loaded = Arc::new(LoadedRoutes { version, table });
        });
        version
    }

    /// Applies the decision on new routes. Returns the routes if some of their expectations need further
    /// targets.
    fn apply_routes(&self, checked: CheckedReload, in_force: bool) -> Option<UndecidedRoutes> {
        let CheckedReload { reload, evaluation } = checked;
        let table = &reload.routing.rules.table;
        match evaluation.decision {
            Decision::Load if in_force => {}
            Decision::Load => {
                let (routes, version) = (table.routes().len(), self.load_routes(table.clone()));
                tracing::info!(version, routes, "routes loaded");
            }
            Decision::Hold => tracing::warn!(in_force, "routes wait for targets that are not listed"),
            Decision::Refuse if in_force => {
                tracing::error!("routes in force break their expectations, a corrected file is needed");
            }
            Decision::Refuse => tracing::error!("waiting routes rejected, keeping those in force"),
        }
        let in_force = in_force || evaluation.decision == Decision::Load;
        evaluation.has_undecided.then_some(UndecidedRoutes { reload, in_force })
    }
}

/// Routes with expectations that cannot be decided until further targets are listed.
struct UndecidedRoutes {
    reload: Reload,
    /// Whether the routes are already in force.
    in_force: bool,
}

/// A configuration whose expectations have been evaluated against the listed targets.
struct CheckedReload {
    reload: Reload,
    evaluation: RouteEvaluation,
}

/// Reads and checks a configuration on its own thread, since evaluating thousands of expectations takes about
/// a second.
///
/// # Errors
/// The configuration is invalid, or the thread could not be started or panicked.
async fn check(
    read_config: impl FnOnce() -> Result<Reload, ConfigError> + Send + 'static,
    targets: Vec<TargetInfo>,
) -> Result<CheckedReload, ReloadError> {
    let (result_tx, result) = oneshot::channel();
    let thread = std::thread::Builder::new().name("reload".into()).spawn(move || {
        let checked = read_config().map(|reload| {
            let evaluation = reload.routing.evaluate(&targets);
            CheckedReload { reload, evaluation }
        });
        // The receiver is dropped when the process exits.
        let _ = result_tx.send(checked);
    });
    thread.map_err(ReloadError::Thread)?;
    let checked = result.await.map_err(|_| ReloadError::CheckPanicked)??;
    checked.evaluation.lines.iter().for_each(|line| tracing::warn!("{line}"));
    Ok(checked)
}

/// Reads the configuration each time that `next_request` resolves to true, and returns when it resolves to
/// false. Undecided routes are re-evaluated each time that the endpoint list in force changes.
pub async fn run_reload_loop(
    mut next_request: impl AsyncFnMut() -> bool,
    read_config: impl Fn() -> Result<Reload, ConfigError> + Send + Clone + 'static,
    reloads: Reloads,
    core: CoreHandle,
) {
    let mut revision = core.endpoint_revision();
    let initial_routes = reloads.undecided.as_deref().cloned();
    let mut undecided = initial_routes
        .map(|routing| UndecidedRoutes { reload: Reload { discovery: None, routing }, in_force: true });
    loop {
        let recheck = tokio::select! {
            requested = next_request() => if requested { None } else { return },
            Ok(()) = revision.changed(), if undecided.is_some() => undecided.take(),
        };
        revision.mark_unchanged();
        let targets = core.targets().await;
        let in_force = recheck.as_ref().is_some_and(|undecided| undecided.in_force);
        let is_new = recheck.is_none();
        let checked = match recheck {
            None => check(read_config.clone(), targets).await,
            Some(UndecidedRoutes { reload, .. }) => check(move || Ok(reload), targets).await,
        };
        match checked {
            // An invalid file changes nothing: the configuration that was read last stays in force.
            Err(error) => tracing::error!(%error, "configuration not reloaded"),
            Ok(checked) if is_new && checked.evaluation.decision == Decision::Refuse => {
                tracing::error!("configuration rejected, keeping the one in force");
            }
            Ok(checked) => {
                if is_new {
                    reloads.apply_settings(&checked.reload);
                }
                undecided = reloads.apply_routes(checked, in_force);
            }
        }
    }
}
