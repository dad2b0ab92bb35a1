//! The front for the platform's clients.

use crate::core::{CoreHandle, IncompleteBody, MAX_BUFFERED_BODY, Response, ResponseBody, Upload};
use crate::net::Phase;
use crate::net::accept::{AcceptFailures, AfterFailure};
use crate::net::http::clients::{Busy, Clients, Guarded, Seat};
use crate::net::http::message::{self, LARGEST_BODY};
use actix_http::body::{BodySize, MessageBody};
use actix_http::{
    BoxedPayloadStream, ConnectionType, HttpMessage, HttpService, KeepAlive, Method, Payload, Request,
    Response as HttpResponse, StatusCode, Version,
};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;

/// How long a request's body may take: so long in any case, and a second more for so many bytes. A half body
/// must not keep its connection for ever.
const BODY: Duration = Duration::from_secs(2);
const BYTES_A_SECOND: u64 = 64_000;
/// What the rest of a long body takes up at most, in the buffers that it passes through.
const PASSING: usize = 192 * 1024;
/// An answer's bytes that may wait in its connection's buffer before more are fetched.
const WRITE_BUFFER: usize = 16 * 1024;
/// How often connections are looked through for those that have taken too long.
const SWEEP: Duration = Duration::from_millis(100);
/// After an answer that comes before the whole of its request, the rest is read away this long: a reset
/// would take the answer with it.
const LINGER: Duration = Duration::from_secs(1);
/// When a request may come back for whose body there is no room.
const NO_ROOM_ADVICE: Duration = Duration::from_millis(100);

/// What a connection's handler has at hand.
#[derive(Clone)]
pub struct Front {
    pub core: CoreHandle,
    /// Turns true when connections are to be closed: idle ones at once, the others with their answers.
    pub closing: watch::Receiver<bool>,
    /// Clients are accepted while this process serves. Once it leaves, connections close with their next
    /// answer.
    pub phase: watch::Receiver<Phase>,
    pub clients: Clients,
    /// Bytes that bodies may take up together from now on.
    pub body_bytes: Rc<Cell<usize>>,
}

/// Accepts clients until dropped. Connections go on by themselves.
pub async fn serve(listener: TcpListener, front: Front) -> io::Result<()> {
    let handler = front.clone();
    let closing = front.closing.clone();
    // The book of connections keeps the time of idle ones and of heads, of every request, not just the first.
    let service = HttpService::<Guarded, _, _>::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(LINGER)
        .h1_write_buffer_size(WRITE_BUFFER)
        .on_connect_ext(|stream: &Guarded, data| {
            data.insert(Rc::clone(stream.seat()));
        })
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
    let mut sweep = tokio::time::interval(SWEEP);
    let mut phase = front.phase.clone();
    let mut failures = AcceptFailures::default();
    loop {
        // What is not accepted here waits for the process that serves.
        let accepting = phase.borrow_and_update().accepts();
        let accepted = tokio::select! {
            accepted = listener.accept(), if accepting && front.clients.may_accept() => accepted,
            () = front.clients.closed(), if !front.clients.may_accept() => continue,
            Ok(()) = phase.changed() => continue,
            _ = sweep.tick() => {
                front.clients.sweep();
                continue;
            }
        };
        match accepted {
            Ok((stream, peer)) => {
                failures.succeeded();
                // The protocol's messages are small; a failed option costs time, not the connection.
                let _ = stream.set_nodelay(true);
                let Some(stream) = front.clients.seat(stream) else {
                    tracing::debug!("every connection has a request open; a new one is closed");
                    continue;
                };
                let connection = service.call((stream, Some(peer)));
                actix_rt::spawn(async move {
                    if let Err(error) = connection.await {
                        tracing::debug!(%error, "a client's connection ended");
                    }
                });
            }
            Err(error) => match failures.failed(&error, "clients") {
                AfterFailure::GoOn => {}
                AfterFailure::MakeRoom(wait) => {
                    // What the budget does not know of has taken the descriptors: one that waits for nothing
                    // makes room.
                    front.clients.make_room();
                    tokio::time::sleep(wait).await;
                }
                AfterFailure::Wait(wait) => tokio::time::sleep(wait).await,
            },
        }
    }
}

async fn turned(mut signal: watch::Receiver<bool>) {
    // Without a sender nothing will ever turn it.
    if signal.wait_for(|on| *on).await.is_err() {
        std::future::pending::<()>().await;
    }
}

async fn respond(front: Front, mut request: Request) -> HttpResponse<Sending> {
    let seat = request.conn_data::<Rc<Seat>>().cloned();
    let busy = seat.as_ref().map(Seat::busy);
    let mut response = if seat.as_ref().is_some_and(|seat| seat.closes()) {
        // It came behind a request whose answer was the connection's last: its client sends it again
        // elsewhere.
        message::status(StatusCode::SERVICE_UNAVAILABLE)
    } else if request.path() == "/up" {
        let up = request.method() == Method::GET && front.core.ready();
        message::status(if up { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE })
    } else {
        let left = async {
            match &seat {
                Some(seat) => seat.gone().await,
                None => std::future::pending().await,
            }
        };
        // Dropped with the handler.
        let _waiting = seat.as_ref().map(Seat::waiting);
        tokio::select! {
            biased;
            response = serve_one(&front, &mut request, seat.as_deref()) => response.unwrap_or_else(|error| error),
            // Dropped, what was served tells the core. Nobody reads this answer.
            () = left => {
                tracing::debug!("a client left");
                seat.iter().for_each(|seat| seat.close());
                message::status(StatusCode::REQUEST_TIMEOUT)
            }
        }
    };
    if *front.closing.borrow() || *front.phase.borrow() == Phase::Leaving {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    let mut cut = None;
    if request.version() < Version::HTTP_11 && response.body().size() == BodySize::Stream {
        // Chunks are not known there: the body ends with the connection.
        response.head_mut().no_chunking(true);
        response.head_mut().set_connection_type(ConnectionType::Close);
        cut.clone_from(&seat);
    }
    if let Some(seat) = &seat {
        if seat.closes() {
            response.head_mut().set_connection_type(ConnectionType::Close);
        } else if response.head().connection_type() == ConnectionType::Close {
            seat.close();
        }
    }
    response.map_body(|_, content| Sending { content, busy, cut })
}

/// A body on its way to its client, whose connection is busy with it.
struct Sending {
    content: ResponseBody,
    #[expect(dead_code, reason = "held for its drop")]
    busy: Option<Busy>,
    /// Of a body whose end is the connection's: without a reset, one that breaks off would look whole.
    cut: Option<Rc<Seat>>,
}

impl MessageBody for ResponseBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        match self {
            ResponseBody::Whole(body) => BodySize::Sized(body.len() as u64),
            ResponseBody::Streamed(body) => body.length.map_or(BodySize::Stream, BodySize::Sized),
        }
    }

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        match self.get_mut() {
            ResponseBody::Whole(body) if body.is_empty() => Poll::Ready(None),
            ResponseBody::Whole(body) => Poll::Ready(Some(Ok(std::mem::take(body)))),
            ResponseBody::Streamed(body) => body.chunks.poll_recv(cx).map(|piece| {
                Some(piece?.map_err(|IncompleteBody| io::Error::other("the target's answer broke off")))
            }),
        }
    }
}

impl MessageBody for Sending {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        self.content.size()
    }

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let sending = self.get_mut();
        let piece = Pin::new(&mut sending.content).poll_next(cx);
        if let (Poll::Ready(Some(Err(_))), Some(seat)) = (&piece, &sending.cut) {
            seat.cut();
        }
        piece
    }
}

async fn serve_one(
    front: &Front,
    http_request: &mut Request,
    seat: Option<&Seat>,
) -> Result<HttpResponse<ResponseBody>, HttpResponse<ResponseBody>> {
    let declared = http_request.headers().get(actix_http::header::CONTENT_LENGTH);
    let declared = declared.and_then(|l| l.to_str().ok()).and_then(|l| l.parse::<u64>().ok());
    if declared.is_some_and(|length| length > LARGEST_BODY) {
        return Err(message::status(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let unfit = |part: &dyn std::fmt::Display| {
        tracing::debug!(%part, "a request is turned away");
        message::status(StatusCode::BAD_REQUEST)
    };
    let client = http_request.peer_addr();
    let mut request =
        message::decode(http_request.method(), http_request.uri(), http_request.headers(), client)
            .map_err(|part| unfit(&part))?;
    front.core.validate(&request).map_err(|part| unfit(&part))?;
    let mut room = Room { left: Rc::clone(&front.body_bytes), taken: 0 };
    let mut coming = Coming { payload: http_request.take_payload(), begun: Instant::now(), read: 0 };
    let whole;
    (request.body, whole) = coming.first(&mut room).await?;
    if !whole && request.write {
        if !room.take(PASSING) {
            return Err(message::encode(Response::Rejected { retry_after: NO_ROOM_ADVICE }));
        }
        request.body_rest = Some(Rc::new(Upload::new(declared, Box::pin(coming.rest(room)))));
    }
    if !request.write && !request.body.is_empty() {
        return Err(unfit(&"a read with a body"));
    }
    if let (true, Some(seat)) = (whole, seat) {
        seat.whole();
    }
    let pending = front.core.submit(request).await.map_err(|part| unfit(&part))?;
    Ok(message::encode(pending.response().await))
}

/// What a body has taken of the room for all bodies.
struct Room {
    left: Rc<Cell<usize>>,
    taken: usize,
}

impl Room {
    fn take(&mut self, bytes: usize) -> bool {
        let Some(left) = self.left.get().checked_sub(bytes) else { return false };
        self.left.set(left);
        self.taken += bytes;
        true
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.left.set(self.left.get() + self.taken);
    }
}

/// A request's body, as it comes.
struct Coming {
    payload: Payload<BoxedPayloadStream>,
    begun: Instant,
    read: u64,
}

impl Coming {
    /// The next piece, unless its client is slower than a client may be.
    async fn next(&mut self) -> Result<Option<Bytes>, HttpResponse<ResponseBody>> {
        let until = self.begun + BODY + Duration::from_secs_f64(self.read as f64 / BYTES_A_SECOND as f64);
        let piece = tokio::time::timeout_at(until, self.payload.next()).await;
        let piece = piece.map_err(|_| message::status(StatusCode::REQUEST_TIMEOUT))?;
        let piece = piece.transpose().map_err(|_| message::status(StatusCode::BAD_REQUEST))?;
        self.read += piece.as_ref().map_or(0, |p| p.len() as u64);
        if self.read > LARGEST_BODY {
            return Err(message::status(StatusCode::PAYLOAD_TOO_LARGE));
        }
        Ok(piece)
    }

    /// The body, or the first bytes of a long one; false: there is more.
    async fn first(&mut self, room: &mut Room) -> Result<(Bytes, bool), HttpResponse<ResponseBody>> {
        let mut body = BytesMut::new();
        while let Some(piece) = self.next().await? {
            if !room.take(piece.len()) {
                return Err(message::encode(Response::Rejected { retry_after: NO_ROOM_ADVICE }));
            }
            body.extend_from_slice(&piece);
            if body.len() > MAX_BUFFERED_BODY {
                return Ok((body.freeze(), false));
            }
        }
        Ok((body.freeze(), true))
    }

    /// What comes behind these. Its room is given back with it.
    fn rest(self, room: Room) -> impl futures_util::Stream<Item = Result<Bytes, IncompleteBody>> {
        futures_util::stream::unfold(Some((self, room)), async |coming| {
            let (mut coming, room) = coming?;
            match coming.next().await {
                Ok(Some(piece)) => Some((Ok(piece), Some((coming, room)))),
                Ok(None) => None,
                Err(_) => Some((Err(IncompleteBody), None)),
            }
        })
    }
}
