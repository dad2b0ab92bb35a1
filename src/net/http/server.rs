//! The listener for the platform's clients.

use crate::core::CoreHandle;
use crate::net::Phase;
use crate::net::accept::{AcceptFailures, AfterFailure, pause};
use crate::net::http::clients::{ClientStream, ConnectionTable};
use crate::net::http::handler::respond;
use actix_http::error::DispatchError;
use actix_http::{HttpService, KeepAlive, Request};
use actix_service::{Service, ServiceFactory, fn_service};
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Bytes of a response that may wait in its connection's buffer before more are fetched.
const WRITE_BUFFER_BYTES: usize = 16 * 1024;
/// How often connections are checked for those that have taken too long: half of the shortest timeout that applies
/// to them.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long the rest of a request is read after a response that came before all of it: a reset would take the
/// response with it.
const LINGER: Duration = Duration::from_secs(1);

/// A client's stream and its address, as the HTTP service takes them.
type AcceptedStream = (ClientStream, Option<SocketAddr>);

/// What the handlers of clients' connections share.
#[derive(Clone)]
pub struct Front {
    /// The core that requests are submitted to.
    pub core: CoreHandle,
    /// Turns true when connections are to be closed: idle ones at once, the others with their responses.
    pub closing: watch::Receiver<bool>,
    /// Clients are accepted while this process serves. Once it leaves, connections close with their next
    /// response.
    pub phase: watch::Receiver<Phase>,
    /// The connections of clients.
    pub clients: ConnectionTable,
    /// Bytes that requests' bodies may still take up together.
    pub body_bytes: Rc<Cell<usize>>,
}

/// Accepts clients until dropped. Connections go on by themselves.
///
/// # Errors
/// The HTTP service could not be started.
pub async fn serve(listener: TcpListener, front: Front) -> io::Result<()> {
    let service = Rc::new(http_service(&front).await?);
    let mut overdue_check = tokio::time::interval(OVERDUE_CHECK_INTERVAL);
    let mut phase = front.phase.clone();
    let mut failures = AcceptFailures::default();
    loop {
        // What is not accepted here waits for the process that serves.
        let accepting = phase.borrow_and_update().accepts();
        let accepted = tokio::select! {
            accepted = listener.accept(), if accepting && front.clients.may_accept() => accepted,
            () = front.clients.connection_closed(), if !front.clients.may_accept() => continue,
            Ok(()) = phase.changed() => continue,
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

/// Makes the HTTP service that runs on each connection.
async fn http_service(
    front: &Front,
) -> io::Result<impl Service<AcceptedStream, Error = DispatchError, Future: 'static> + 'static> {
    let handler = front.clone();
    let closing = front.closing.clone();
    // The connection table times idle connections and heads, those of every request, not just the first.
    let factory = HttpService::<ClientStream, _, _>::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(LINGER)
        .h1_write_buffer_size(WRITE_BUFFER_BYTES)
        .on_connect_ext(|stream: &ClientStream, data| {
            data.insert(Rc::clone(stream.connection()));
        })
        // A client that closes its side has gone: its handler is dropped, which notifies the core.
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || turned_on(closing.clone()))
        .h1(fn_service(move |request: Request| {
            let front = handler.clone();
            async move { Ok::<_, Infallible>(respond(front, request).await) }
        }));
    factory.new_service(()).await.map_err(|()| io::Error::other("the HTTP service did not start"))
}

/// Resolves once the signal is true; without a sender nothing will ever turn it, and it never resolves.
async fn turned_on(mut signal: watch::Receiver<bool>) {
    if signal.wait_for(|on| *on).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Serves a new connection on a task of its own, or rejects it where the table has no capacity.
fn start_connection<S>(service: &Rc<S>, clients: &ConnectionTable, stream: TcpStream, peer: SocketAddr)
where
    S: Service<AcceptedStream, Error = DispatchError>,
    S::Future: 'static,
{
    // The protocol's messages are small; a failed option costs time, not the connection.
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

/// Does what a failed accept asks for before the next one.
async fn recover(failures: &mut AcceptFailures, error: &io::Error, clients: &ConnectionTable) {
    let next = failures.record_failure(error, "clients");
    if matches!(next, AfterFailure::FreeDescriptors(_)) {
        // Something outside the budget has taken the descriptors: a connection that waits for nothing is closed
        // for them.
        clients.evict_one();
    }
    pause(next).await;
}
