//! Reads the body of a target's response: buffers it, or streams it to the client.

use super::target::TargetTransport;
use crate::core::{BodyStream, IncompleteBody, MAX_BUFFERED_BODY, ResponseBody, STREAMED_CHUNKS};
use actix_http::header::CONTENT_LENGTH;
use actix_http::{ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use rowanglade_http_exchange::{Connection, ConnectionPool, ExchangeError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// A streamed response is aborted after this long without a byte. Part of it has reached its client, so it
/// cannot be retried.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads the body of a response. It is buffered completely, unless it is long or slow. Not cancel safe;
/// dropping the future closes the connection.
pub(super) async fn read_content(
    transport: &TargetTransport,
    mut connection: Connection,
    head: &ResponseHead,
) -> Result<ResponseBody, ExchangeError> {
    let length = declared_length(head);
    let declared_long = length.is_some_and(|length| length > MAX_BUFFERED_BODY as u64);
    let buffer_until = Instant::now() + transport.hold_time;
    let mut buffered = BytesMut::new();
    while let Some(chunk) = connection.next_chunk(Some(transport.stall_timeout)).await? {
        buffered.extend_from_slice(&chunk);
        let long = declared_long || buffered.len() > MAX_BUFFERED_BODY;
        if long && head.status != StatusCode::OK {
            // The body of an error response is not passed to the client.
            return Ok(ResponseBody::Buffered(Bytes::new()));
        }
        // If a response arrives this slowly, a retry would come too late, so buffering the response does not
        // help the client.
        let slow = Instant::now() >= buffer_until && head.status == StatusCode::OK;
        if long || slow {
            return Ok(stream_content(transport, connection, buffered, length));
        }
    }
    transport.connections.check_in(connection);
    Ok(ResponseBody::Buffered(buffered.freeze()))
}

/// The length in bytes that a response's head declares for its body, if any.
fn declared_length(head: &ResponseHead) -> Option<u64> {
    head.headers.get(CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

/// Streams a response to its client, on a task of its own.
fn stream_content(
    transport: &TargetTransport,
    connection: Connection,
    first: BytesMut,
    length: Option<u64>,
) -> ResponseBody {
    let (sender, chunks) = mpsc::channel(STREAMED_CHUNKS);
    actix_rt::spawn(forward(transport.connections.clone(), connection, first.freeze(), sender));
    ResponseBody::Streamed(BodyStream { length, chunks })
}

/// Forwards a long response at the rate at which its client reads it. The connection is closed if the client
/// disconnects.
async fn forward(
    connections: ConnectionPool,
    mut connection: Connection,
    first: Bytes,
    client: mpsc::Sender<Result<Bytes, IncompleteBody>>,
) {
    let mut chunk = Ok(Some(first));
    while let Ok(Some(bytes)) = chunk {
        if client.send(Ok(bytes)).await.is_err() {
            return;
        }
        chunk = tokio::select! {
            chunk = connection.next_chunk(Some(STREAM_STALL_TIMEOUT)) => chunk,
            () = client.closed() => return,
        };
    }
    match chunk {
        Ok(_) => connections.check_in(connection),
        Err(_) => drop(client.send(Err(IncompleteBody)).await),
    }
}
