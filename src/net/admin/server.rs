//! The listener of admin calls, on a thread of its own: one call to a connection, a bounded number at once.

use super::connection;
use crate::core::AdminRequest;
use crate::net::Phase;
use crate::net::accept::{AcceptFailures, pause};
use actix_http::{KeepAlive, ServiceConfig};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener as StdTcpListener};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;

/// Calls that may be open at once: operators' scripts make a few. At that number the oldest whose request is
/// not complete is aborted for a new one.
pub const MAX_CALLS: usize = 16;
/// Descriptors of the listener's own: its calls, its runtime, and the listener.
pub const OWN_DESCRIPTORS: usize = MAX_CALLS + 6;

/// What handles calls.
#[derive(Clone, Debug)]
pub struct AdminService {
    /// Where commands go.
    pub commands: mpsc::Sender<AdminRequest>,
    /// Whether there is an endpoint list that requests can be served by.
    pub ready: watch::Receiver<bool>,
    /// What this process does for clients.
    pub phase: watch::Receiver<Phase>,
}

/// The listener, which lives as long as this is held.
#[derive(Debug)]
pub struct AdminListener {
    addr: SocketAddr,
    #[expect(dead_code, reason = "its drop ends the thread")]
    stop: oneshot::Sender<()>,
}

impl AdminListener {
    /// Where it listens.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Starts the thread of a listener that is bound.
///
/// # Errors
/// The listener cannot be used, or the system starts no thread.
pub fn open(listener: StdTcpListener, service: AdminService) -> io::Result<AdminListener> {
    let addr = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let (stop, stopped) = oneshot::channel();
    let thread = std::thread::Builder::new().name("admin".into());
    thread.spawn(move || run(listener, service, stopped))?;
    Ok(AdminListener { addr, stop })
}

/// Serves calls until the listener is stopped.
fn run(listener: StdTcpListener, service: AdminService, stopped: oneshot::Receiver<()>) {
    let runtime = match actix_rt::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => return tracing::error!(%error, "admin listener failed"),
    };
    runtime.block_on(async move {
        tokio::select! {
            Err(error) = listen(listener, service) => tracing::error!(%error, "admin listener failed"),
            _ = stopped => {}
        }
    });
}

async fn listen(listener: StdTcpListener, service: AdminService) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let config = ServiceConfig::new(KeepAlive::Disabled, Duration::ZERO, Duration::ZERO, false, None);
    let calls = OpenCalls::default();
    let mut failures = AcceptFailures::default();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                failures.record_success();
                calls.start(stream, config.clone(), service.clone());
            }
            Err(error) => pause(failures.record_failure(&error, "admin")).await,
        }
    }
}

/// A call that is open.
struct OpenCall {
    id: u64,
    task: AbortHandle,
    /// Its request has been read: it is answered soon.
    request_read: Rc<Cell<bool>>,
}

/// The calls that are open, the oldest first. Clones share them.
#[derive(Clone, Default)]
struct OpenCalls {
    calls: Rc<RefCell<VecDeque<OpenCall>>>,
    next_id: Rc<Cell<u64>>,
}

impl OpenCalls {
    /// Answers a call on a task of its own.
    fn start(&self, stream: TcpStream, config: ServiceConfig, service: AdminService) {
        self.evict_beyond_limit();
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let request_read = Rc::new(Cell::new(false));
        let task = actix_rt::spawn({
            let open_calls = self.clone();
            let request_read = Rc::clone(&request_read);
            async move {
                if let Err(error) = connection::serve(stream, config, &service, &request_read).await {
                    tracing::debug!(%error, "admin call failed");
                }
                open_calls.calls.borrow_mut().retain(|call| call.id != id);
            }
        });
        self.calls.borrow_mut().push_back(OpenCall { id, task: task.abort_handle(), request_read });
    }

    /// At the limit aborts the oldest call whose request has not been read, else the oldest of all, which has
    /// its response.
    fn evict_beyond_limit(&self) {
        let mut calls = self.calls.borrow_mut();
        if calls.len() < MAX_CALLS {
            return;
        }
        let unread = calls.iter().position(|call| !call.request_read.get());
        if let Some(call) = calls.remove(unread.unwrap_or(0)) {
            call.task.abort();
        }
    }
}
