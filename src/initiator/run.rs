//! Serving until the initiator is told to stop, followed by a graceful shutdown.

use super::Initiator;
use crate::core::{CoreHandle, Message};
use crate::net::{Phase, http, iscsi};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

/// For this long after SIGTERM new clients are accepted, and every request must be answered whenever it
/// arrives.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(750);
/// Idle client connections stay open after SIGTERM, because no other process serves these clients until the
/// next start. They are closed this long before the deadline, which leaves time to finish open requests.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(900);
/// The response to every request is due this long before the deadline, which leaves time to write it.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);
/// How long the access log's last lines may take to be written.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// How often the shutdown checks whether connections and requests are left.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Initiator {
    /// Serves until `stop` resolves, then finishes open requests within the time that the platform allows. If
    /// the future is dropped, serving stops immediately and open requests get no response.
    ///
    /// # Errors
    /// The HTTP listener failed.
    pub async fn run(self, stop: impl Future<Output = ()>) -> std::io::Result<()> {
        let ending = watch::Sender::new(false);
        let (closing, closing_rx) = watch::channel(false);
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
                phase: self.phase.subscribe(),
                bodies: self.memory.memory.bodies.clone(),
                max_sessions: Rc::clone(&self.budget.max_sessions),
                open_sessions: Rc::clone(&sessions),
            };
            actix_rt::spawn(iscsi::serve(listener, Rc::new(front)));
        }
        let front = http::Front {
            core: self.core.clone(),
            closing: closing_rx,
            phase: self.phase.subscribe(),
            clients: clients.clone(),
            memory: self.memory.memory.clone(),
            write_buffer_bytes: self.budget.limits.write_buffer_bytes(),
        };
        let (serve, watch) = (http::serve(self.http, front), self.memory.run());
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

        let shutdown = Shutdown::begin(self.core, clients, self.shutdown_time).await;
        begin_shutdown_phase(&self.phase);
        ending.send_replace(true);
        shutdown.serve_remaining_clients(front).await;
        closing.send_replace(true);
        shutdown.finish_requests().await;
        if let Some(log) = &self.reloads.access_log {
            log.wait_until_written(LOG_FLUSH_TIMEOUT).await;
        }
        shutdown.finish(sessions.get());
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

/// A shutdown in progress.
struct Shutdown {
    core: CoreHandle,
    clients: http::ConnectionTable,
    started_at: Instant,
    /// When the process exits, even if connections or requests are left.
    deadline: Instant,
}

impl Shutdown {
    /// Starts a shutdown that takes at most `time`, and tells the core when its last responses are due.
    async fn begin(core: CoreHandle, clients: http::ConnectionTable, time: Duration) -> Shutdown {
        let started_at = Instant::now();
        let deadline = started_at + time;
        tracing::info!(open = core.open_requests(), "shutdown started");
        core.send(Message::Shutdown { responses_due: deadline - RESPONSE_MARGIN }).await;
        Shutdown { core, clients, started_at, deadline }
    }

    /// Continues to serve connected clients until all have disconnected, or until it is time for the final
    /// responses.
    async fn serve_remaining_clients(&self, mut front: impl Future<Output = std::io::Result<()>> + Unpin) {
        self.clients.keep_idle();
        let _ = timeout_at(self.started_at + ACCEPT_AFTER_SIGTERM, &mut front).await;
        let _ = timeout_at(self.deadline - FINAL_RESPONSE_TIME, async {
            tokio::select! {
                _ = &mut front => {}
                () = self.wait_until_idle() => {}
            }
        })
        .await;
        // Dropping the future at the end of this function closes the listener.
    }

    /// Waits for open requests. The core responds to each shortly before the deadline at the latest.
    async fn finish_requests(&self) {
        // Sessions have been asked to log out. A session without open requests does not delay the shutdown.
        let _ = timeout_at(self.deadline, self.wait_until_idle()).await;
    }

    fn finish(self, sessions: usize) {
        self.clients.close_at_once();
        tracing::info!(
            open = self.core.open_requests(),
            connections = self.clients.open_connections(),
            sessions,
            "shutdown completed"
        );
    }

    /// Polls until no client is connected and no request is open. Polling is sufficient for this one-time
    /// wait, and needs no notifications from the owners of connections and requests.
    async fn wait_until_idle(&self) {
        while self.clients.open_connections() > 0 || self.core.open_requests() > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
