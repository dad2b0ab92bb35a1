//! Reloading of the configuration while an initiator runs, at SIGHUP and when the list of targets changes.

use super::ReloadError;
use crate::config::{ConfigError, Reload, RouteEvaluation, Routing};
use crate::core::{AccessLog, CoreHandle, LoadedRoutes};
use crate::net::http;
use rowanglade_routing::{Decision, RouteTable, TargetInfo};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{oneshot, watch};

/// Where a running initiator takes a new configuration.
#[derive(Clone, Debug)]
pub struct Reloads {
    pub(super) discovery: watch::Sender<http::DiscoveryAddress>,
    pub(super) access_log: Option<AccessLog>,
    pub(super) table: watch::Sender<Arc<LoadedRoutes>>,
    /// The routes in force from the start, where some of their expectations could not be decided then.
    pub(super) undecided: Option<Rc<Routing>>,
}

impl Reloads {
    /// Takes over what is valid whatever the routes are: discovery's address, and a reopened access log.
    pub fn apply_settings(&self, reload: &Reload) {
        // Also at the same address: another service may stand behind it, and the watch there may have fallen
        // silent.
        let moved = self.discovery.send_replace(reload.discovery) != reload.discovery;
        if let Some(log) = &self.access_log {
            log.reopen();
        }
        tracing::info!(moved, "configuration reloaded");
    }

    /// Puts a table in force in one step, and returns its version. Open requests keep the table they began
    /// with.
    pub fn load_routes(&self, table: RouteTable) -> u64 {
        let mut version = 0;
        self.table.send_modify(|loaded| {
            version = loaded.version + 1;
            *loaded = Arc::new(LoadedRoutes { version, table });
        });
        version
    }

    /// Carries out a decision on routes. Returns them if some of their expectations wait for further targets.
    fn apply_routes(&self, checked: Checked, in_force: bool) -> Option<Undecided> {
        let Checked { reload, decided } = checked;
        let table = &reload.routing.rules.table;
        match decided.decision {
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
        let in_force = in_force || decided.decision == Decision::Load;
        decided.has_undecided.then_some(Undecided { reload, in_force })
    }
}

/// Routes with expectations that cannot be decided before further targets are listed.
struct Undecided {
    reload: Reload,
    /// Whether the routes are in force already.
    in_force: bool,
}

/// A configuration whose expectations were checked against the listed targets.
struct Checked {
    reload: Reload,
    decided: RouteEvaluation,
}

/// Reads and checks a configuration on a thread of its own: thousands of expectations take a second.
///
/// # Errors
/// The configuration cannot be used, or the thread could not be started or panicked.
async fn check(
    read: impl FnOnce() -> Result<Reload, ConfigError> + Send + 'static,
    targets: Vec<TargetInfo>,
) -> Result<Checked, ReloadError> {
    let (result_tx, result) = oneshot::channel();
    let thread = std::thread::Builder::new().name("reload".into()).spawn(move || {
        let checked = read().map(|reload| {
            let decided = reload.routing.evaluate(&targets);
            Checked { reload, decided }
        });
        // Nobody listens any more where the program ends.
        let _ = result_tx.send(checked);
    });
    thread.map_err(ReloadError::Thread)?;
    let checked = result.await.map_err(|_| ReloadError::CheckPanicked)??;
    checked.decided.lines.iter().for_each(|line| tracing::warn!("{line}"));
    Ok(checked)
}

/// Reads the configuration whenever `requested` yields true, until it yields false. Routes that wait for
/// targets are checked again whenever the list that the core has in force changes.
pub async fn keep_reloading(
    mut requested: impl AsyncFnMut() -> bool,
    read: impl Fn() -> Result<Reload, ConfigError> + Send + Clone + 'static,
    reloads: Reloads,
    core: CoreHandle,
) {
    let mut revision = core.endpoint_revision();
    let at_start = reloads.undecided.as_deref().cloned();
    let mut undecided =
        at_start.map(|routing| Undecided { reload: Reload { discovery: None, routing }, in_force: true });
    loop {
        let recheck = tokio::select! {
            requested = requested() => if requested { None } else { return },
            Ok(()) = revision.changed(), if undecided.is_some() => undecided.take(),
        };
        revision.mark_unchanged();
        let targets = core.targets().await;
        let in_force = recheck.as_ref().is_some_and(|undecided| undecided.in_force);
        let is_new = recheck.is_none();
        let checked = match recheck {
            None => check(read.clone(), targets).await,
            Some(Undecided { reload, .. }) => check(move || Ok(reload), targets).await,
        };
        match checked {
            // A file that cannot be used changes nothing: the configuration that was read last stays.
            Err(error) => tracing::error!(%error, "configuration not reloaded"),
            Ok(checked) if is_new && checked.decided.decision == Decision::Refuse => {
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
