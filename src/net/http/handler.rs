//! Handles one request of an HTTP client.

use super::clients::{ClientConnection, ConnectionSlot};
use super::message::{self, MAX_BODY_BYTES};
use super::request_body::RequestBody;
use super::response_body::HttpBody;
use super::server::Front;
use crate::core::{self, MAX_BUFFERED_BODY, PendingResponse, Response, ResponseBody, Upload, UploadSource};
use crate::net::Phase;
use crate::net::budget::MemoryUse;
use actix_http::body::{BodySize, MessageBody};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{ConnectionType, Method, Request, Response as HttpResponse, StatusCode, Version};
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

/// Most bytes of a body that are read while no target takes them.
const BODY_READ_AHEAD_BYTES: usize = 128 * 1024;
/// Most memory that a streamed body occupies beside its buffered part: what is read ahead, a copy of the buffered part
/// while it is written to the target, and the buffers of the HTTP libraries on both sides.
const UPLOAD_BUFFER_BYTES: usize = BODY_READ_AHEAD_BYTES + MAX_BUFFERED_BODY + 64 * 1024;
/// Retry-After of a request that is rejected because no memory is left for its body.
const NO_CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Path at which the platform checks whether this initiator is ready.
const READINESS_PATH: &str = "/up";

/// A response whose body is not being sent yet.
type ContentResponse = HttpResponse<ResponseBody>;

/// Responds to one request. The HTTP service drops the future when the client disconnects, and the drop
/// notifies the core.
pub(super) async fn respond(front: Front, mut request: Request) -> HttpResponse<HttpBody> {
    let connection = request.conn_data::<Rc<ClientConnection>>().cloned();
    let active = connection.as_ref().map(ClientConnection::begin_request);
    let headers = take_headers(&mut request);
    let has_body =
        declared_length(&headers).is_some_and(|length| length > 0) || headers.contains_key(TRANSFER_ENCODING);
    let response = respond_with_content(&front, &mut request, headers, connection.as_ref()).await;
    let (mut response, slot) = hold_connection(&front, &request, response);
    if *front.closing.borrow() || *front.phase.borrow() == Phase::Draining {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    let is_close_delimited =
        request.version() < Version::HTTP_11 && response.body().size() == BodySize::Stream;
    if is_close_delimited {
        // HTTP/1.0 has no chunked encoding: the body ends with the connection.
        response.head_mut().no_chunking(true);
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    if let Some(connection) =
        connection.as_ref().filter(|connection| has_body && !connection.is_request_complete())
    {
        connection.abandon_body();
    }
    if let Some(connection) = &connection {
        mark_last_response(connection, &mut response, is_close_delimited);
    }
    let delimiting_connection = connection.filter(|_| is_close_delimited);
    response.map_body(|_, content| HttpBody::new(content, active, slot, delimiting_connection))
}

/// Counts the connection of a response that is streamed as held. The response to a read is refused in its place while
/// others hold as many as may be, unless it is short: that is soon over. A write may have run, so its response is passed
/// on.
fn hold_connection(
    front: &Front,
    request: &Request,
    response: ContentResponse,
) -> (ContentResponse, Option<ConnectionSlot>) {
    let ResponseBody::Streamed(body) = response.body() else { return (response, None) };
    let is_long = body.length.is_none_or(|length| length > MAX_BUFFERED_BODY as u64);
    match front.clients.begin_response(is_long && request.method() == Method::GET) {
        Some(slot) => (response, Some(slot)),
        None => (no_capacity(), None),
    }
}

/// Takes the headers out of a request, to be dropped once they are decoded. The HTTP library would keep them until the
/// response, and then with up to 128 heads that it uses again, each with its fields and the buffer that they were read to.
fn take_headers(request: &mut Request) -> HeaderMap {
    std::mem::replace(request.headers_mut(), HeaderMap::new())
}

/// Makes a response the last of its connection if it, or one before it, was to be. While further requests that were
/// read have no response, it is not the last yet: they are answered too.
fn mark_last_response(
    connection: &ClientConnection,
    response: &mut ContentResponse,
    is_close_delimited: bool,
) {
    if response.head().connection_type() == ConnectionType::Close {
        connection.close_after_response();
    }
    if connection.closes_after_response() {
        let is_last = is_close_delimited || !connection.has_unserved_requests();
        let connection_type = if is_last { ConnectionType::Close } else { ConnectionType::KeepAlive };
        response.head_mut().set_connection_type(connection_type);
    }
}

async fn respond_with_content(
    front: &Front,
    request: &mut Request,
    headers: HeaderMap,
    connection: Option<&Rc<ClientConnection>>,
) -> ContentResponse {
    if connection.is_some_and(|connection| connection.closes_after_response()) {
        // The request was pipelined after one whose response was the connection's last. Its client sends it
        // again on another connection.
        return message::empty_response(StatusCode::SERVICE_UNAVAILABLE);
    }
    if request.path() == READINESS_PATH {
        let ready = request.method() == Method::GET && front.core.is_ready();
        return message::empty_response(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
    }
    serve_until_client_closes(front, request, headers, connection).await
}

/// Serves a request until its client closes the connection.
async fn serve_until_client_closes(
    front: &Front,
    request: &mut Request,
    headers: HeaderMap,
    connection: Option<&Rc<ClientConnection>>,
) -> ContentResponse {
    let client_closed = async {
        match connection {
            Some(connection) => connection.client_closed().await,
            None => std::future::pending().await,
        }
    };
    let upload_shed = async {
        match connection {
            Some(connection) => connection.upload_shed().await,
            None => std::future::pending().await,
        }
    };
    let _awaiting_response = connection.map(ClientConnection::await_response);
    tokio::select! {
        biased;
        response = serve(front, request, headers, connection) => response.unwrap_or_else(|error| error),
        // Dropping the request notifies the core. The client does not receive this response.
        () = client_closed => {
            tracing::debug!("client closed its connection before the response");
            connection.into_iter().for_each(|connection| connection.close_after_response());
            message::empty_response(StatusCode::REQUEST_TIMEOUT)
        }
        // Its last byte has not arrived, so no target can have run it.
        () = upload_shed => {
            tracing::debug!("upload gave way to others because its client had stopped");
            no_capacity()
        }
    }
}

/// Reads a request, submits it to the core and waits for its response. An error is the response to a request
/// that cannot be submitted.
async fn serve(
    front: &Front,
    http_request: &mut Request,
    headers: HeaderMap,
    connection: Option<&Rc<ClientConnection>>,
) -> Result<ContentResponse, ContentResponse> {
    let declared_length = declared_length(&headers);
    if declared_length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(message::empty_response(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let client = http_request.peer_addr();
    let mut request = message::decode_request(http_request.method(), http_request.uri(), &headers, client)
        .map_err(|error| bad_request(&error))?;
    drop(headers);
    front.core.validate(&request).map_err(|error| bad_request(&error))?;
    if !front.memory.bound.admits(MemoryUse::Connection) {
        return Err(no_capacity());
    }
    let mut memory = front.memory.bodies.reservation();
    let mut body = RequestBody::new(http_request.take_payload(), connection.cloned(), declared_length);
    let mut upload_slot = None;
    if !has_arrived(&request, connection, declared_length) {
        upload_slot = Some(front.clients.begin_upload().ok_or_else(no_capacity)?);
    }
    let (buffered, complete) = body.read_buffered(&front.clients, &mut memory).await?;
    request.body = buffered;
    if complete {
        upload_slot = None;
    }
    if !complete && request.write {
        if !memory.try_grow(UPLOAD_BUFFER_BYTES) {
            front.clients.shed_stalled_upload();
            return Err(no_capacity());
        }
        if let Some(connection) = connection {
            connection.allow_body_read_ahead(BODY_READ_AHEAD_BYTES);
        }
        let upload = Upload::new(UploadSource {
            length: declared_length,
            buffered_bytes: request.body.len() as u64,
            chunks: Box::pin(body.into_rest(memory)),
            arrived_bytes: arrived_bytes(connection.cloned()),
        });
        request.body_rest = Some(Rc::new(upload));
    }
    if !request.write && !request.body.is_empty() {
        return Err(bad_request(&"read request has a body"));
    }
    if let (true, Some(connection)) = (complete, connection) {
        connection.complete_request();
    }
    let upload = request.body_rest.clone();
    let pending = front.core.submit(request).await.map_err(|error| bad_request(&error))?;
    let response = match upload {
        Some(upload) => response_to_upload(pending, &upload).await,
        None => pending.response().await,
    };
    drop(upload_slot);
    Ok(message::encode_response(response))
}

/// Whether all of a request's body has arrived on this machine, read or not. A body of unknown length has not.
fn has_arrived(
    request: &core::Request,
    connection: Option<&Rc<ClientConnection>>,
    declared_length: Option<u64>,
) -> bool {
    let arrived_bytes = || connection.map_or(u64::MAX, |connection| connection.arrived_body_bytes());
    !request.write || declared_length.is_some_and(|length| length <= arrived_bytes())
}

/// Waits for the response to a request whose body may still be arriving.
async fn response_to_upload(pending: PendingResponse, upload: &Upload) -> Response {
    let response = pending.response();
    tokio::pin!(response);
    tokio::select! {
        biased;
        response = &mut response => return response,
        () = upload.follow_arrival() => {}
    }
    response.await
}

/// Counts the bytes of the current request's body that have arrived on the connection. Without a connection, all of
/// them count as arrived.
fn arrived_bytes(connection: Option<Rc<ClientConnection>>) -> Box<dyn Fn() -> u64> {
    Box::new(move || connection.as_ref().map_or(u64::MAX, |connection| connection.arrived_body_bytes()))
}

/// The length in bytes that a request's head declares for its body, if any.
fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn bad_request(reason: &dyn Display) -> ContentResponse {
    tracing::debug!(%reason, "request rejected as malformed");
    message::empty_response(StatusCode::BAD_REQUEST)
}

/// The response to a request for whose body no memory is left.
pub(super) fn no_capacity() -> ContentResponse {
    message::encode_response(Response::Rejected { retry_after: NO_CAPACITY_RETRY_AFTER })
}
