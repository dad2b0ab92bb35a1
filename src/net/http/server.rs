//! The front for the platform's clients.

use crate::core::{Handle, Order};
use crate::net::http::message::{self, LARGEST_BODY};
use actix_http::{ConnectionType, HttpMessage, HttpService, Method, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How long a client's connection may stand idle, and how long its first request's head may take.
const IDLE: Duration = Duration::from_secs(75);
/// After an answer that comes before the whole of its request, the rest is read away this long: a reset
/// would take the answer with it.
const LINGER: Duration = Duration::from_secs(1);
/// Beyond this many open connections every answer closes its own, so that idle ones do not use up the
/// descriptors that targets need. The platform allows 1,024 in all.
const MANY: usize = 600;
/// Wait after an accept that failed, as it does while descriptors are short.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// What a connection's handler has at hand.
#[derive(Clone)]
pub struct Front {
    pub core: Handle,
    /// Turns true when connections are to be closed: idle ones at once, the others with their answers.
    pub closing: watch::Receiver<bool>,
    /// Connections open now.
    pub connections: Rc<Cell<usize>>,
}

/// Accepts clients until dropped. Connections go on by themselves.
pub async fn serve(listener: TcpListener, front: Front) -> io::Result<()> {
    let handler = front.clone();
    let closing = front.closing.clone();
    let service = HttpService::<TcpStream, _, _>::build()
        .keep_alive(IDLE)
        .client_request_timeout(IDLE)
        .client_disconnect_timeout(LINGER)
        .tcp_nodelay(true)
        // A client that closes its side has gone: its handler is dropped, which tells the core.
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || turned(closing.clone()))
        .h1(fn_service(move |request: Request| {
            let front = handler.clone();
            async move { Ok::<_, Infallible>(respond(front, request).await) }
        }));
    let service =
        service.new_service(()).await.map_err(|()| io::Error::other("the HTTP service did not start"))?;
    let service = Rc::new(service);
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                // The protocol's messages are small; a failed option costs time, not the connection.
                let _ = stream.set_nodelay(true);
                let service = Rc::clone(&service);
                let open = Count::new(&front.connections);
                actix_rt::spawn(async move {
                    let _open = open;
                    if let Err(error) = service.call((stream, Some(peer))).await {
                        tracing::debug!(%error, "a client's connection ended");
                    }
                });
            }
            Err(error) => {
                tracing::warn!(%error, "accept failed");
                tokio::time::sleep(ACCEPT_AGAIN).await;
            }
        }
    }
}

/// Counts what is open.
struct Count(Rc<Cell<usize>>);

impl Count {
    fn new(count: &Rc<Cell<usize>>) -> Count {
        count.set(count.get() + 1);
        Count(Rc::clone(count))
    }
}

impl Drop for Count {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn turned(mut signal: watch::Receiver<bool>) {
    // Without a sender nothing will ever turn it.
    if signal.wait_for(|on| *on).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn respond(front: Front, mut request: Request) -> Response<Bytes> {
    let mut response = if request.path() == "/up" {
        let up = request.method() == Method::GET && front.core.ready();
        message::status(if up { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    } else {
        match decode(&mut request).await {
            Ok(order) => message::encode(front.core.submit(order).await.answer().await),
            Err(code) => message::status(code),
        }
    };
    if *front.closing.borrow() || front.connections.get() > MANY {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    response
}

async fn decode(request: &mut Request) -> Result<Order, StatusCode> {
    let declared = request.headers().get(actix_http::header::CONTENT_LENGTH);
    let declared = declared.and_then(|l| l.to_str().ok()).and_then(|l| l.parse::<u64>().ok());
    if declared.is_some_and(|length| length > LARGEST_BODY as u64) {
        return Err(StatusCode::PAYLOAD_TOO_LARGE);
    }
    let mut order = message::decode(request.method(), request.uri(), request.headers()).map_err(|part| {
        tracing::debug!(part = part.0, "malformed request");
        StatusCode::BAD_REQUEST
    })?;
    let mut payload: actix_http::Payload<actix_http::BoxedPayloadStream> = request.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_| StatusCode::BAD_REQUEST)?;
        if body.len() + chunk.len() > LARGEST_BODY {
            return Err(StatusCode::PAYLOAD_TOO_LARGE);
        }
        body.extend_from_slice(&chunk);
    }
    order.body = body.freeze();
    Ok(order)
}
