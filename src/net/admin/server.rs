//! The admin listener, on a thread of its own. Each connection carries one call, and the number of open calls
//! is bounded.

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

/// Calls that may be open at once; operators' scripts make few. At the limit, the oldest call whose request
/// has not been read completely is aborted for a new one.
pub const MAX_CALLS: usize = 16;
/// Descriptors of the admin listener: its calls, its runtime, and the listening socket.
pub const OWN_DESCRIPTORS: usize = MAX_CALLS + 6;

/// What the handlers of all calls share.
#[derive(Clone, Debug)]
pub struct AdminService {
    /// Sends commands to the core.
    pub commands: mpsc::Sender<AdminRequest>,
    /// Whether there is an endpoint list to serve requests with.
    pub ready: watch::Receiver<bool>,
    /// The serving phase of this process.
    pub phase: watch::Receiver<Phase>,
}

/// A running admin listener. Dropping it ends its thread.
#[derive(Debug)]
pub struct AdminListener {
    addr: SocketAddr,
    #[expect(dead_code, reason = "its drop ends the thread")]
    stop: oneshot::Sender<()>,
}

impl AdminListener {
    /// The address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Starts the admin thread on a bound listener.
///
/// # Errors
/// The listener cannot be used, or the system cannot start a thread.
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

/// An open call.
struct OpenCall {
    id: u64,
    task: AbortHandle,
    /// Whether its request has been read, so that a response follows soon.
    request_read: Rc<Cell<bool>>,
}

/// The open calls, oldest first. Clones share them.
#[derive(Clone, Default)]
struct OpenCalls {
    calls: Rc<RefCell<VecDeque<OpenCall>>>,
    next_id: Rc<Cell<u64>>,
}

impl OpenCalls {
    /// Handles a call on a task of its own.
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

    /// At the limit, aborts the oldest call whose request has not been read. If all have been read, aborts
    /// the oldest one, which already has its response.
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
