//! The listener of operators' calls: one call to a connection, read within a time, so many at once.

use crate::core::AdminRequest;
use crate::net::Phase;
use crate::net::accept::{AcceptFailures, AfterFailure};
use crate::net::admin::call::{self, Asked};
use crate::net::close::close;
use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::{ConnectionType, KeepAlive, Request, Response, ServiceConfig, StatusCode};
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::net::{SocketAddr, TcpListener as Bound};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;

/// Calls that may be open at once. At that number the oldest that is not read whole makes room.
pub const MOST_CALLS: usize = 16;
/// Descriptors of the listener's own: its calls, its runtime, and the listener.
pub const OWN_SOCKETS: usize = MOST_CALLS + 6;
/// How long a call's head may take, and how large it may be.
const HEAD: Duration = Duration::from_secs(2);
const LARGEST_HEAD: usize = 8 * 1024;
/// A caller waits for a second; the state's owner has this much of it.
const OWNER: Duration = Duration::from_millis(800);
/// After its answer a connection is read away this long: a reset would take the answer with it.
const LINGER: Duration = Duration::from_millis(500);

/// Whom calls are taken to.
#[derive(Clone, Debug)]
pub struct Service {
    pub operations: mpsc::Sender<AdminRequest>,
    /// Whether there is a list that requests can be served by.
    pub ready: watch::Receiver<bool>,
    pub phase: watch::Receiver<Phase>,
}

/// The listener, which lives as long as this is held.
#[derive(Debug)]
pub struct Admin {
    addr: SocketAddr,
    #[expect(dead_code, reason = "its drop ends the thread")]
    held: oneshot::Sender<()>,
}

impl Admin {
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

/// Starts the thread of a listener that is bound.
pub fn open(listener: Bound, service: Service) -> io::Result<Admin> {
    let addr = listener.local_addr()?;
    listener.set_nonblocking(true)?;
    let (held, end) = oneshot::channel();
    let thread = std::thread::Builder::new().name("admin".into());
    thread.spawn(move || {
        let runtime = match actix_rt::Runtime::new() {
            Ok(runtime) => runtime,
            Err(error) => return tracing::error!(%error, "nobody answers operators"),
        };
        runtime.block_on(async move {
            tokio::select! {
                Err(error) = listen(listener, service) => tracing::error!(%error, "nobody answers operators"),
                _ = end => {}
            }
        });
    })?;
    Ok(Admin { addr, held })
}

/// A call that is open.
struct Open {
    number: u64,
    task: AbortHandle,
    /// Its head is read: it is answered soon.
    whole: Rc<Cell<bool>>,
}

type Calls = Rc<RefCell<VecDeque<Open>>>;

async fn listen(listener: Bound, service: Service) -> io::Result<()> {
    let listener = TcpListener::from_std(listener)?;
    let config = ServiceConfig::new(KeepAlive::Disabled, Duration::ZERO, Duration::ZERO, false, None);
    let calls = Calls::default();
    let mut failures = AcceptFailures::default();
    for number in 0.. {
        let stream = loop {
            match listener.accept().await {
                Ok((stream, _)) => break stream,
                Err(error) => match failures.failed(&error, "operators' calls") {
                    AfterFailure::GoOn => {}
                    AfterFailure::MakeRoom(wait) | AfterFailure::Wait(wait) => tokio::time::sleep(wait).await,
                },
            }
        };
        failures.succeeded();
        make_room(&calls);
        let whole = Rc::new(Cell::new(false));
        let (open, config, service) = (Rc::clone(&calls), config.clone(), service.clone());
        let read = Rc::clone(&whole);
        let task = actix_rt::spawn(async move {
            if let Err(error) = answer(stream, config, &service, &read).await {
                tracing::debug!(%error, "admin connection failed");
            }
            open.borrow_mut().retain(|c| c.number != number);
        });
        calls.borrow_mut().push_back(Open { number, task: task.abort_handle(), whole });
    }
    Ok(())
}

/// At the limit the oldest call that is not read whole goes, else the oldest of all, which has its answer.
fn make_room(calls: &Calls) {
    let mut calls = calls.borrow_mut();
    if calls.len() >= MOST_CALLS {
        let at = calls.iter().position(|c| !c.whole.get()).unwrap_or(0);
        if let Some(call) = calls.remove(at) {
            call.task.abort();
        }
    }
}

async fn answer(
    mut stream: TcpStream,
    config: ServiceConfig,
    service: &Service,
    whole: &Cell<bool>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut codec = Codec::new(config);
    let request = tokio::time::timeout(HEAD, head(&mut stream, &mut codec)).await;
    whole.set(true);
    let mut response = match request.unwrap_or(Ok(Err(StatusCode::REQUEST_TIMEOUT)))? {
        Ok(request) => asked(&request, service).await,
        Err(code) => Response::with_body(code, ()),
    };
    response.head_mut().set_connection_type(ConnectionType::Close);
    let mut bytes = BytesMut::new();
    codec.encode(Message::Item((response, BodySize::Sized(0))), &mut bytes)?;
    stream.write_all(&bytes).await?;
    let _ = tokio::time::timeout(LINGER, close(&stream)).await;
    Ok(())
}

/// Reads a call's head; one that is none is answered with a status.
async fn head(stream: &mut TcpStream, codec: &mut Codec) -> io::Result<Result<Request, StatusCode>> {
    let mut bytes = BytesMut::new();
    loop {
        match codec.decode(&mut bytes) {
            Ok(Some(Message::Item(request))) => return Ok(Ok(request)),
            Ok(Some(Message::Chunk(_))) | Err(_) => return Ok(Err(StatusCode::BAD_REQUEST)),
            Ok(None) if bytes.len() > LARGEST_HEAD => {
                return Ok(Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
            }
            Ok(None) => {}
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

async fn asked(request: &Request, service: &Service) -> Response<()> {
    let phase = *service.phase.borrow();
    let code = match call::read(request.method(), request.path()) {
        Err(no) => return no.response(),
        Ok(Asked::Healthcheck) if *service.ready.borrow() && phase == Phase::Serving => StatusCode::OK,
        Ok(Asked::Healthcheck) => StatusCode::SERVICE_UNAVAILABLE,
        // What holds is another process's to say, and comes from there.
        Ok(Asked::Operation(_)) if phase == Phase::Preparing => StatusCode::SERVICE_UNAVAILABLE,
        Ok(Asked::Operation(call)) => {
            let (done, held) = oneshot::channel();
            let asked = async {
                service.operations.send(AdminRequest { command: call, done }).await.ok()?;
                held.await.ok()
            };
            match tokio::time::timeout(OWNER, asked).await {
                Ok(Some(true)) => StatusCode::OK,
                Ok(Some(false)) => StatusCode::NOT_FOUND,
                // It may still come to hold: called again, the answer is the same.
                Ok(None) | Err(_) => StatusCode::SERVICE_UNAVAILABLE,
            }
        }
    };
    Response::with_body(code, ())
}
