//! The HTTP listener for the platform's clients.

use crate::core::CoreHandle;
use crate::net::Phase;
use crate::net::accept::{AcceptFailures, AcceptRecovery, pause};
use crate::net::budget::MemoryBudgets;
use crate::net::http::clients::{ClientStream, ConnectionTable};
use crate::net::http::handler::respond;
use actix_http::error::DispatchError;
use actix_http::{HttpService, KeepAlive, Request};
use actix_service::{Service, ServiceFactory, fn_service};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

/// Interval between checks for connections that exceed a timeout: half of the shortest one.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between checks for room while new connections wait in the system's queue.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// How long the rest of a request is read if its response came before all of it. Closing over unread bytes
/// would reset the connection, and the client would lose the response.
const LINGER: Duration = Duration::from_secs(1);

/// A client's stream and its address, as the HTTP service takes them.
type AcceptedStream = (ClientStream, Option<SocketAddr>);

/// What the request handlers of all connections share.
#[derive(Clone)]
pub struct Front {
    /// The core that requests are submitted to.
    pub core: CoreHandle,
    /// Turns true when each response announces that it is the last of its connection.
    pub closing: watch::Receiver<bool>,
    /// The serving phase of this process. Clients are accepted while it serves; once it drains, connections
    /// close after their next response.
    pub phase: watch::Receiver<Phase>,
    /// The connections of all HTTP clients.
    pub clients: ConnectionTable,
    /// The memory for heads and bodies.
    pub memory: MemoryBudgets,
    /// Bytes of a response that may wait in its connection's buffer before more of the body are read.
    pub write_buffer_bytes: usize,
}

/// Accepts clients until `stop` turns true or the future is dropped. Their connections run on tasks of their own, and
/// continue after that. What waits in the system's queue when `stop` turns true is accepted before the listener closes.
///
/// # Errors
/// The HTTP service could not be started.
pub async fn serve(listener: TcpListener, front: Front, mut stop: watch::Receiver<bool>) -> io::Result<()> {
    let service = Rc::new(http_service(&front).await?);
    let mut overdue_check = tokio::time::interval(OVERDUE_CHECK_INTERVAL);
    let mut phase = front.phase.clone();
    let mut failures = AcceptFailures::default();
    loop {
        // A connection that is not accepted here waits in the queue for the process that serves.
        let accepting = phase.borrow_and_update().accepts();
        let accepted = tokio::select! {
            accepted = listener.accept(), if accepting && front.clients.may_accept() => accepted,
            () = front.clients.connection_closed(), if !front.clients.may_accept() => continue,
            () = sleep(ROOM_CHECK_INTERVAL), if !front.clients.may_accept() => continue,
            Ok(()) = phase.changed() => continue,
            Ok(_) = stop.wait_for(|stop| *stop) => {
                if accepting {
                    accept_queued(&listener, &service, &front.clients);
                }
                return Ok(());
            }
            _ = overdue_check.tick() => {
                front.clients.end_overdue();
                continue;
            }
        };
        match accepted {
            Ok((stream, peer)) => {
                failures.record_success();
                start_connection(&service, &front.clients, stream, peer);
            }
            Err(error) => recover(&mut failures, &error, &front.clients).await,
        }
    }
}

/// Creates the HTTP service that serves each connection.
async fn http_service(
    front: &Front,
) -> io::Result<impl Service<AcceptedStream, Error = DispatchError, Future: 'static> + 'static> {
    let handler = front.clone();
    // The connection table applies the timeouts for idle connections and for heads, to every request and not
    // just the first.
    let factory = HttpService::<ClientStream, _, _>::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(LINGER)
        .h1_write_buffer_size(front.write_buffer_bytes)
        .on_connect_ext(|stream: &ClientStream, data| {
            data.insert(Rc::clone(stream.connection()));
        })
        // A client that closes its side has disconnected: its handler is dropped, which notifies the core.
        .h1_allow_half_closed(false)
        .h1(fn_service(move |request: Request| {
            let front = handler.clone();
            async move { Ok::<_, Infallible>(respond(front, request).await) }
        }));
    factory.new_service(()).await.map_err(|()| io::Error::other("the HTTP service did not start"))
}

/// Accepts the connections that wait in the system's queue: closing the listener would reset them, with the requests
/// that were written to them. The runtime may not have heard of the latest, so the system is asked itself.
fn accept_queued<S>(listener: &TcpListener, service: &Rc<S>, clients: &ConnectionTable)
where
    S: Service<AcceptedStream, Error = DispatchError>,
    S::Future: 'static,
{
    while let Ok((socket, peer)) = socket2::SockRef::from(listener).accept() {
        let stream = socket.set_nonblocking(true).and_then(|()| TcpStream::from_std(socket.into()));
        if let (Ok(stream), Some(peer)) = (stream, peer.as_socket()) {
            start_connection(service, clients, stream, peer);
        }
    }
}

/// Serves a new connection on a task of its own, or rejects it where the table has no capacity.
fn start_connection<S>(service: &Rc<S>, clients: &ConnectionTable, stream: TcpStream, peer: SocketAddr)
where
    S: Service<AcceptedStream, Error = DispatchError>,
    S::Future: 'static,
{
    // The protocol's messages are small and sent without delay. If the option cannot be set, the connection
    // is only slower.
    let _ = stream.set_nodelay(true);
    let Some(stream) = clients.register(stream) else {
        tracing::debug!("connection rejected, every connection has a request open");
        return;
    };
    let connection = service.call((stream, Some(peer)));
    actix_rt::spawn(async move {
        if let Err(error) = connection.await {
            tracing::debug!(%error, "client connection ended");
        }
    });
}

/// Carries out what the listener does after a failed accept.
async fn recover(failures: &mut AcceptFailures, error: &io::Error, clients: &ConnectionTable) {
    let next = failures.record_failure(error, "clients");
    if matches!(next, AcceptRecovery::FreeDescriptors(_)) {
        // Descriptors outside the budget are in use, so a connection without an open request is closed to
        // free one.
        clients.evict_one();
    }
    pause(next).await;
}
