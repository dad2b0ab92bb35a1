//! A graceful shutdown: its schedule from the request for it to the exit, and what happens at each of its times.
//!
//! Each client connection ends between requests, or with a whole response. `docs/design/endings.md` ("The program")
//! has the table of the times, of what is due at each, and of the tests.

use crate::core::{CoreHandle, Message};
use crate::net::http;
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

/// For this long after the request for shutdown new clients are accepted even if none is connected.
const MIN_ACCEPT_TIME: Duration = Duration::from_millis(750);
/// Responses announce the close of their connection from this long before the exit on. Clients that send requests one
/// after another then leave by themselves, and none of their requests crosses the close.
const CLOSE_ANNOUNCEMENT_TIME: Duration = Duration::from_millis(500);
/// The listener closes this long before the exit. A client sends its first request right after it has connected, so
/// that the request is read before the last responses.
const ACCEPT_MARGIN: Duration = Duration::from_millis(150);
/// The last responses are due this long before the exit, which leaves time to write them.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);
/// How often the shutdown checks whether connections and requests are left.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The last responses have at least this many poll intervals to be written, also if the process was stopped meanwhile
/// and the exit is due.
const MIN_LAST_POLLS: usize = 10;

/// The times of a shutdown.
#[derive(Clone, Copy, Debug)]
struct ShutdownSchedule {
    /// From then on the shutdown ends as soon as no client is connected and no request is open.
    may_end_at: Instant,
    /// From then on each response announces the close of its connection.
    announce_close_at: Instant,
    /// When the listener closes.
    stop_accepting_at: Instant,
    /// When each request has its response, and connections without a request close.
    responses_due: Instant,
    /// When the process exits, even if connections or requests are left.
    exit_at: Instant,
}

impl ShutdownSchedule {
    fn new(started_at: Instant, time: Duration) -> ShutdownSchedule {
        let exit_at = started_at + time;
        let stop_accepting_at = exit_at - ACCEPT_MARGIN;
        ShutdownSchedule {
            may_end_at: stop_accepting_at.min(started_at + MIN_ACCEPT_TIME),
            announce_close_at: exit_at - CLOSE_ANNOUNCEMENT_TIME,
            stop_accepting_at,
            responses_due: exit_at - RESPONSE_MARGIN,
            exit_at,
        }
    }
}

/// What a shutdown tells the fronts. Each turns true once.
#[derive(Debug)]
pub(super) struct ShutdownSignals {
    /// Each response announces the close of its connection.
    pub(super) announce_close: watch::Sender<bool>,
    /// The listener closes. Its task drops the receiver once that is done.
    pub(super) stop_accepting: watch::Sender<bool>,
    /// Sessions end once their commands have responses.
    pub(super) finish_sessions: watch::Sender<bool>,
}

impl Default for ShutdownSignals {
    fn default() -> ShutdownSignals {
        ShutdownSignals {
            announce_close: watch::Sender::new(false),
            stop_accepting: watch::Sender::new(false),
            finish_sessions: watch::Sender::new(false),
        }
    }
}

/// A shutdown in progress.
pub(super) struct Shutdown {
    core: CoreHandle,
    clients: http::ConnectionTable,
    /// The number of open sessions.
    sessions: Rc<Cell<usize>>,
    signals: ShutdownSignals,
    schedule: ShutdownSchedule,
}

impl Shutdown {
    /// Starts a shutdown that takes at most `time`, and tells the core when its last responses are due.
    pub(super) async fn begin(
        core: CoreHandle,
        clients: http::ConnectionTable,
        sessions: Rc<Cell<usize>>,
        signals: ShutdownSignals,
        time: Duration,
    ) -> Shutdown {
        let schedule = ShutdownSchedule::new(Instant::now(), time);
        tracing::info!(
            open = core.open_requests(),
            connections = clients.open_connections(),
            "shutdown started"
        );
        clients.keep_idle();
        core.send(Message::Shutdown { responses_due: schedule.responses_due }).await;
        Shutdown { core, clients, sessions, signals, schedule }
    }

    /// Serves until all clients have disconnected or the time is over, and ends their connections.
    pub(super) async fn run(&self) {
        self.wait_until_idle_or(self.schedule.announce_close_at).await;
        self.signals.announce_close.send_replace(true);
        self.wait_until_idle_or(self.schedule.stop_accepting_at).await;
        self.signals.stop_accepting.send_replace(true);
        self.signals.stop_accepting.closed().await;
        self.wait_until_idle_or(self.schedule.responses_due).await;
        self.clients.finish();
        self.signals.finish_sessions.send_replace(true);
        self.wait_for_last_writes().await;
    }

    /// Ends the shutdown: what is still open is closed without waiting for its client.
    pub(super) fn finish(&self) {
        self.clients.close_at_once();
        tracing::info!(
            open = self.core.open_requests(),
            connections = self.clients.open_connections(),
            sessions = self.sessions.get(),
            "shutdown completed"
        );
    }

    /// Waits until no client is connected and no request is open, or until `at`. Sessions have been asked to log out: one
    /// without an open request does not delay the shutdown.
    async fn wait_until_idle_or(&self, at: Instant) {
        let idle = async {
            sleep_until(self.schedule.may_end_at).await;
            while !self.is_idle() {
                sleep(POLL_INTERVAL).await;
            }
        };
        let _ = timeout_at(at, idle).await;
    }

    /// Waits until the last responses are written and connections are closed. Polls are counted beside the time: if the
    /// process was stopped until after the exit was due, the tasks that write the responses have not run yet.
    async fn wait_for_last_writes(&self) {
        for poll in 0.. {
            let had_time = poll >= MIN_LAST_POLLS;
            let all_closed = self.is_idle() && (had_time || self.sessions.get() == 0);
            if all_closed || (had_time && Instant::now() >= self.schedule.exit_at) {
                return;
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    fn is_idle(&self) -> bool {
        self.clients.open_connections() == 0 && self.core.open_requests() == 0
    }
}
