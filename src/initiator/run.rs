//! Serving until the initiator is told to stop, and the orderly shutdown after that.

use super::Initiator;
use crate::core::{CoreHandle, Message};
use crate::net::{Phase, http, iscsi};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

/// For this long after SIGTERM clients may still connect, and a request must be answered whenever it comes.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(750);
/// Idle client connections stay open after SIGTERM, because no other process serves these clients until the
/// next start. They are closed this long before the end, which leaves time to finish open requests.
const FINAL_RESPONSE_TIME: Duration = Duration::from_millis(900);
/// Requests that are open this long before the end are failed, so that each client has its final response.
const FAIL_MARGIN: Duration = Duration::from_millis(100);
/// How long the access log's last lines may take to the disk.
const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// How often a shutdown looks whether connections and requests are left.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

impl Initiator {
    /// Serves until `stop` is ready, then finishes open requests within the time that the platform leaves.
    /// Dropping the future stops serving at once, and leaves open requests without an answer.
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
            body_bytes: Rc::new(Cell::new(self.budget.limits.body_bytes())),
        };
        let mut front = Box::pin(http::serve(self.http, front));
        match self.handover {
            Some(handover) => handover.spawn(),
            None => drop(self.phase.send_replace(Phase::Serving)),
        }
        actix_rt::spawn(end_sessions_when_leaving(self.phase.subscribe(), ending.clone()));
        tokio::select! {
            end = &mut front => return end,
            () = stop => {}
        }

        let shutdown = Shutdown::begin(self.core, clients, self.shutdown_time);
        end_phase(&self.phase);
        ending.send_replace(true);
        shutdown.serve_on(front).await;
        closing.send_replace(true);
        shutdown.finish_requests().await;
        if let Some(log) = &self.reloads.access_log {
            log.settle(LOG_FLUSH_TIMEOUT).await;
        }
        shutdown.end(sessions.get());
        Ok(())
    }
}

/// Asks sessions to log out once this process leaves: they go to the process that serves then.
async fn end_sessions_when_leaving(mut phase: watch::Receiver<Phase>, ending: watch::Sender<bool>) {
    if phase.wait_for(|phase| *phase == Phase::Draining).await.is_ok() {
        ending.send_replace(true);
    }
}

/// Turns a process that serves to its end; one that prepares or leaves stays at that.
fn end_phase(phase: &watch::Sender<Phase>) {
    phase.send_if_modified(|phase| {
        let serving = *phase == Phase::Serving;
        if serving {
            *phase = Phase::ShuttingDown;
        }
        serving
    });
}

/// A shutdown under way.
struct Shutdown {
    core: CoreHandle,
    clients: http::ConnectionTable,
    begun: Instant,
    /// When the program ends, whatever is left then.
    end: Instant,
}

impl Shutdown {
    fn begin(core: CoreHandle, clients: http::ConnectionTable, time: Duration) -> Shutdown {
        let begun = Instant::now();
        tracing::info!(open = core.open_requests(), "shutdown started");
        Shutdown { core, clients, begun, end: begun + time }
    }

    /// Goes on serving clients until they have left, or until the time for the last answers has come.
    async fn serve_on(&self, mut front: impl Future<Output = std::io::Result<()>> + Unpin) {
        self.clients.keep_idle();
        let _ = timeout_at(self.begun + ACCEPT_AFTER_SIGTERM, &mut front).await;
        let _ = timeout_at(self.end - FINAL_RESPONSE_TIME, async {
            tokio::select! {
                _ = &mut front => {}
                () = self.idle() => {}
            }
        })
        .await;
        // The listener is closed with the future, which is dropped here.
    }

    /// Waits for open requests, and fails those that are still open shortly before the end.
    async fn finish_requests(&self) {
        // Sessions were asked to log out. One that stays without an open request does not hold the end up.
        if timeout_at(self.end - FAIL_MARGIN, self.idle()).await.is_err() {
            self.core.send(Message::Shutdown).await;
            let _ = timeout_at(self.end, self.idle()).await;
        }
    }

    fn end(self, sessions: usize) {
        self.clients.close_at_once();
        tracing::info!(
            open = self.core.open_requests(),
            connections = self.clients.open_connections(),
            sessions,
            "shutdown completed"
        );
    }

    /// Polls until no client is connected and no request is open: the end of a program is no time to have
    /// every owner report.
    async fn idle(&self) {
        while self.clients.open_connections() > 0 || self.core.open_requests() > 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
