//! One admin call: reads its request within a time limit, responds, and closes the connection without a
//! reset.

use super::call::{self, AdminCall};
use super::server::AdminService;
use crate::core::{AdminCommand, AdminRequest};
use crate::net::Phase;
use crate::net::close::close;
use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::{ConnectionType, Request, Response, ServiceConfig, StatusCode};
use bytes::BytesMut;
use std::cell::Cell;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// How long a call's head may take to arrive; operators' scripts send it at once.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Largest head of a call, far above any that a script sends.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// How long the core may take to confirm a command. Callers wait for one second.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a connection is read after its response. Closing it over unread bytes would reset it, and the
/// caller would lose the response.
const LINGER: Duration = Duration::from_millis(500);

/// Reads a call, responds and closes the connection. `request_read` is set once the request has been read.
/// Cancelling closes the connection at once; a command that the core has received still takes effect.
///
/// # Errors
/// The connection broke before the response was written.
pub(super) async fn serve(
    mut stream: TcpStream,
    config: ServiceConfig,
    service: &AdminService,
    request_read: &Cell<bool>,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut codec = Codec::new(config);
    let request = tokio::time::timeout(HEAD_TIMEOUT, read_request(&mut stream, &mut codec)).await;
    request_read.set(true);
    let mut response = match request.unwrap_or(Ok(Err(StatusCode::REQUEST_TIMEOUT)))? {
        Ok(request) => respond(&request, service).await,
        Err(code) => Response::with_body(code, ()),
    };
    response.head_mut().set_connection_type(ConnectionType::Close);
    let mut bytes = BytesMut::new();
    codec.encode(Message::Item((response, BodySize::Sized(0))), &mut bytes)?;
    stream.write_all(&bytes).await?;
    let _ = tokio::time::timeout(LINGER, close(&stream)).await;
    Ok(())
}

/// Reads a call's head, or returns the status to respond with if the head is malformed or too long.
async fn read_request(stream: &mut TcpStream, codec: &mut Codec) -> io::Result<Result<Request, StatusCode>> {
    let mut bytes = BytesMut::new();
    loop {
        match codec.decode(&mut bytes) {
            Ok(Some(Message::Item(request))) => return Ok(Ok(request)),
            Ok(Some(Message::Chunk(_))) | Err(_) => return Ok(Err(StatusCode::BAD_REQUEST)),
            Ok(None) if bytes.len() > MAX_HEAD_BYTES => {
                return Ok(Err(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE));
            }
            Ok(None) => {}
        }
        if stream.read_buf(&mut bytes).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

async fn respond(request: &Request, service: &AdminService) -> Response<()> {
    let status = match call::parse(request.method(), request.path()) {
        Err(error) => return error.response(),
        Ok(AdminCall::Healthcheck) => healthcheck(service),
        Ok(AdminCall::Command(command)) => run_command(command, service).await,
    };
    Response::with_body(status, ())
}

fn healthcheck(service: &AdminService) -> StatusCode {
    let serving = *service.phase.borrow() == Phase::Serving;
    if serving && *service.ready.borrow() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }
}

async fn run_command(command: AdminCommand, service: &AdminService) -> StatusCode {
    if *service.phase.borrow() == Phase::Preparing {
        // The predecessor owns the state until it hands it over.
        return StatusCode::SERVICE_UNAVAILABLE;
    }
    let (reply, confirmed) = oneshot::channel();
    let confirmation = async {
        service.commands.send(AdminRequest { command, reply }).await.ok()?;
        confirmed.await.ok()
    };
    match tokio::time::timeout(COMMAND_TIMEOUT, confirmation).await {
        Ok(Some(true)) => StatusCode::OK,
        Ok(Some(false)) => StatusCode::NOT_FOUND,
        // The command may still take effect. Repeating it is safe and gives the same response.
        Ok(None) | Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}
