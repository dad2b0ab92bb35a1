//! One admin call: its request read within a time, its response, and an ordered close.

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

/// How long a call's head may take: operators' scripts send it at once.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// How large a call's head may be: far above any that a script sends.
const MAX_HEAD_BYTES: usize = 8 * 1024;
/// How long the core may take for a command. A caller waits for a second.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(800);
/// How long a connection is read after its response: a reset would take the response with it.
const LINGER: Duration = Duration::from_millis(500);

/// Reads a call, answers it and closes the connection. `request_read` is set once its request has been read.
/// Cancelled, it closes the connection at once; a command that the core has taken still holds.
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

/// Reads a call's head, or the status that answers what is none.
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
        // The predecessor owns the state, and hands it over later.
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
        // It may still come to hold: called again, the response is the same.
        Ok(None) | Err(_) => StatusCode::SERVICE_UNAVAILABLE,
    }
}
