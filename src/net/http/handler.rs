//! The handler of one request of a platform's client.

use super::clients::ClientConnection;
use super::message::{self, MAX_BODY_BYTES};
use super::request_body::{BodyBudget, RequestBody};
use super::response_body::HttpBody;
use super::server::Front;
use crate::core::{Response, ResponseBody, Upload};
use crate::net::Phase;
use actix_http::body::{BodySize, MessageBody};
use actix_http::header::CONTENT_LENGTH;
use actix_http::{
    ConnectionType, HttpMessage, Method, Request, Response as HttpResponse, StatusCode, Version,
};
use std::fmt::Display;
use std::rc::Rc;
use std::time::Duration;

/// What the rest of a long body takes up at most, in the buffers that it passes through.
const UPLOAD_BUFFER_BYTES: usize = 192 * 1024;
/// Retry-After of a request for whose body there is no memory.
const NO_CAPACITY_RETRY_AFTER: Duration = Duration::from_millis(100);
/// The path at which the platform asks whether this initiator is ready.
const READINESS_PATH: &str = "/up";

/// A response whose body is not being sent yet.
type ContentResponse = HttpResponse<ResponseBody>;

/// Responds to one request. Dropped, which is how the HTTP service reports a client that has gone, it notifies
/// the core.
pub(super) async fn respond(front: Front, mut request: Request) -> HttpResponse<HttpBody> {
    let connection = request.conn_data::<Rc<ClientConnection>>().cloned();
    let active = connection.as_ref().map(ClientConnection::begin_request);
    let mut response = respond_with_content(&front, &mut request, connection.as_ref()).await;
    if *front.closing.borrow() || *front.phase.borrow() == Phase::Draining {
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    let ends_with_connection =
        request.version() < Version::HTTP_11 && response.body().size() == BodySize::Stream;
    if ends_with_connection {
        // Before HTTP/1.1 there are no chunks: the body ends with the connection.
        response.head_mut().no_chunking(true);
        response.head_mut().set_connection_type(ConnectionType::Close);
    }
    if let Some(connection) = &connection {
        if connection.closes_after_response() {
            response.head_mut().set_connection_type(ConnectionType::Close);
        } else if response.head().connection_type() == ConnectionType::Close {
            connection.close_after_response();
        }
    }
    let truncates = connection.filter(|_| ends_with_connection);
    response.map_body(|_, content| HttpBody::new(content, active, truncates))
}

async fn respond_with_content(
    front: &Front,
    request: &mut Request,
    connection: Option<&Rc<ClientConnection>>,
) -> ContentResponse {
    if connection.is_some_and(|connection| connection.closes_after_response()) {
        // It came behind a request whose response was the connection's last: its client sends it again
        // elsewhere.
        return message::status(StatusCode::SERVICE_UNAVAILABLE);
    }
    if request.path() == READINESS_PATH {
        let ready = request.method() == Method::GET && front.core.is_ready();
        return message::status(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
    }
    serve_until_client_closes(front, request, connection).await
}

/// Serves a request for as long as its client stays.
async fn serve_until_client_closes(
    front: &Front,
    request: &mut Request,
    connection: Option<&Rc<ClientConnection>>,
) -> ContentResponse {
    let client_closed = async {
        match connection {
            Some(connection) => connection.client_closed().await,
            None => std::future::pending().await,
        }
    };
    let _awaiting_response = connection.map(ClientConnection::await_response);
    tokio::select! {
        biased;
        response = serve(front, request, connection.map(Rc::as_ref)) => response.unwrap_or_else(|error| error),
        // Dropping what was served notifies the core. Nobody reads this response.
        () = client_closed => {
            tracing::debug!("client closed its connection before the response");
            connection.into_iter().for_each(|connection| connection.close_after_response());
            message::status(StatusCode::REQUEST_TIMEOUT)
        }
    }
}

/// Reads a request, submits it to the core and waits for its response. An error is the response to a request
/// that cannot be submitted.
async fn serve(
    front: &Front,
    http_request: &mut Request,
    connection: Option<&ClientConnection>,
) -> Result<ContentResponse, ContentResponse> {
    let declared_length = declared_length(http_request);
    if declared_length.is_some_and(|length| length > MAX_BODY_BYTES) {
        return Err(message::status(StatusCode::PAYLOAD_TOO_LARGE));
    }
    let client = http_request.peer_addr();
    let mut request =
        message::decode(http_request.method(), http_request.uri(), http_request.headers(), client)
            .map_err(|error| bad_request(&error))?;
    front.core.validate(&request).map_err(|error| bad_request(&error))?;
    let mut budget = BodyBudget::new(Rc::clone(&front.body_bytes));
    let mut body = RequestBody::new(http_request.take_payload());
    let (held, complete) = body.read_held(&mut budget).await?;
    request.body = held;
    if !complete && request.write {
        if !budget.reserve(UPLOAD_BUFFER_BYTES) {
            return Err(no_capacity());
        }
        request.body_rest = Some(Rc::new(Upload::new(declared_length, Box::pin(body.into_rest(budget)))));
    }
    if !request.write && !request.body.is_empty() {
        return Err(bad_request(&"a read with a body"));
    }
    if let (true, Some(connection)) = (complete, connection) {
        connection.complete();
    }
    let pending = front.core.submit(request).await.map_err(|error| bad_request(&error))?;
    Ok(message::encode(pending.response().await))
}

/// The length of a request's body, where its head has it.
fn declared_length(request: &Request) -> Option<u64> {
    request.headers().get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn bad_request(reason: &dyn Display) -> ContentResponse {
    tracing::debug!(%reason, "request rejected as malformed");
    message::status(StatusCode::BAD_REQUEST)
}

/// The response to a request for whose body there is no memory.
pub(super) fn no_capacity() -> ContentResponse {
    message::encode(Response::Rejected { retry_after: NO_CAPACITY_RETRY_AFTER })
}
