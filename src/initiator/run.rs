//! Serving until the initiator is told to stop, followed by a graceful shutdown.

use super::Initiator;
use super::shutdown::{Shutdown, ShutdownSignals};
use crate::net::{Phase, http, iscsi};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;

/// How long the access log's last lines may take to be written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

impl Initiator {
    /// Serves until `stop` resolves, then finishes open requests within the time that the platform allows. If
    /// the future is dropped, serving stops immediately and open requests get no response.
    ///
    /// # Errors
    /// The HTTP listener failed.
    pub async fn run(self, stop: impl Future<Output = ()>) -> std::io::Result<()> {
        let ending = watch::Sender::new(false);
        let signals = ShutdownSignals::default();
        let clients = self.budget.clients.clone();
        let sessions = Rc::new(Cell::new(0));
        if let Some((listener, iscsi)) = self.iscsi {
            let front = iscsi::Front {
                core: self.core.clone(),
                name: iscsi.name,
                luns: iscsi.luns,
                classes: self.classes,
                blocks_per_unit: iscsi.blocks_per_unit,
                ending: ending.subscribe(),
                finishing: signals.finish_sessions.subscribe(),
                phase: self.phase.subscribe(),
                bodies: self.memory.memory.bodies.clone(),
                max_sessions: Rc::clone(&self.budget.max_sessions),
                open_sessions: Rc::clone(&sessions),
            };
            actix_rt::spawn(iscsi::serve(listener, Rc::new(front)));
        }
        let front = http::Front {
            core: self.core.clone(),
            closing: signals.announce_close.subscribe(),
            phase: self.phase.subscribe(),
            clients: clients.clone(),
            memory: self.memory.memory.clone(),
            write_buffer_bytes: self.budget.limits.write_buffer_bytes(),
        };
        let serve = http::serve(self.http, front, signals.stop_accepting.subscribe());
        let watch = self.memory.run();
        let mut front = Box::pin(async move {
            tokio::select! {
                served = serve => served,
                never = watch => match never {},
            }
        });
        match self.handover {
            Some(handover) => handover.spawn(),
            None => drop(self.phase.send_replace(Phase::Serving)),
        }
        actix_rt::spawn(end_sessions_when_draining(self.phase.subscribe(), ending.clone()));
        tokio::select! {
            result = &mut front => return result,
            () = stop => {}
        }

        begin_shutdown_phase(&self.phase);
        ending.send_replace(true);
        let shutdown = Shutdown::begin(self.core, clients, sessions, signals, self.shutdown_time).await;
        let (served, ()) = tokio::join!(front, shutdown.run());
        if let Err(error) = served {
            tracing::warn!(%error, "the listener failed during the shutdown");
        }
        if let Some(log) = &self.reloads.access_log {
            log.wait_until_written(LOG_FLUSH_TIMEOUT).await;
        }
        shutdown.finish();
        Ok(())
    }
}

/// Requests logout on all sessions once another process serves, so that they reconnect to it.
async fn end_sessions_when_draining(mut phase: watch::Receiver<Phase>, ending: watch::Sender<bool>) {
    if phase.wait_for(|phase| *phase == Phase::Draining).await.is_ok() {
        ending.send_replace(true);
    }
}

/// Changes the phase from serving to shutting down; a process that is preparing or draining keeps its phase.
fn begin_shutdown_phase(phase: &watch::Sender<Phase>) {
    phase.send_if_modified(|phase| {
        let serving = *phase == Phase::Serving;
        if serving {
            *phase = Phase::ShuttingDown;
        }
        serving
    });
}
