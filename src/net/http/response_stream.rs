//! The body of a target's response: held whole, or passed on as it comes.

use super::target::TargetTransport;
use crate::core::{BodyStream, IncompleteBody, MAX_BUFFERED_BODY, ResponseBody, STREAMED_CHUNKS};
use actix_http::header::CONTENT_LENGTH;
use actix_http::{ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use rowanglade_http_exchange::{Connection, ConnectionPool, ExchangeError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// A long response that has begun is its client's: it is given up only after this long without a byte.
const STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads a response's body: whole, unless it is long or slow. Not cancel safe; dropped, it closes the
/// connection.
pub(super) async fn read_content(
    transport: &TargetTransport,
    mut connection: Connection,
    head: &ResponseHead,
) -> Result<ResponseBody, ExchangeError> {
    let length = declared_length(head);
    let declared_long = length.is_some_and(|length| length > MAX_BUFFERED_BODY as u64);
    let hold_until = Instant::now() + transport.hold_time;
    let mut held = BytesMut::new();
    while let Some(piece) = connection.next_piece(Some(transport.stall_timeout)).await? {
        held.extend_from_slice(&piece);
        let long = declared_long || held.len() > MAX_BUFFERED_BODY;
        if long && head.status != StatusCode::OK {
            // No client gets it.
            return Ok(ResponseBody::Buffered(Bytes::new()));
        }
        // For one that is slow to come another attempt would be too late, and held it is no use to its client.
        let slow = Instant::now() >= hold_until && head.status == StatusCode::OK;
        if long || slow {
            return Ok(stream_content(transport, connection, held, length));
        }
    }
    transport.connections.check_in(connection);
    Ok(ResponseBody::Buffered(held.freeze()))
}

/// The length of a response's body in bytes, where its head has it.
fn declared_length(head: &ResponseHead) -> Option<u64> {
    head.headers.get(CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

/// Passes a response on as it comes, on a task of its own.
fn stream_content(
    transport: &TargetTransport,
    connection: Connection,
    first: BytesMut,
    length: Option<u64>,
) -> ResponseBody {
    let (sender, pieces) = mpsc::channel(STREAMED_CHUNKS);
    actix_rt::spawn(forward(transport.connections.clone(), connection, first.freeze(), sender));
    ResponseBody::Streamed(BodyStream { length, chunks: pieces })
}

/// Forwards a long response, no faster than its client takes it. A client that goes takes the connection
/// along.
async fn forward(
    connections: ConnectionPool,
    mut connection: Connection,
    first: Bytes,
    client: mpsc::Sender<Result<Bytes, IncompleteBody>>,
) {
    let mut piece = Ok(Some(first));
    while let Ok(Some(bytes)) = piece {
        if client.send(Ok(bytes)).await.is_err() {
            return;
        }
        piece = tokio::select! {
            piece = connection.next_piece(Some(STREAM_STALL_TIMEOUT)) => piece,
            () = client.closed() => return,
        };
    }
    match piece {
        Ok(_) => connections.check_in(connection),
        Err(_) => drop(client.send(Err(IncompleteBody)).await),
    }
}
