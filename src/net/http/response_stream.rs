//! Reads the body of a target's response: buffers it, or streams it to the client.

use super::target::TargetTransport;
use crate::core::{BodyStream, IncompleteBody, MAX_BUFFERED_BODY, ResponseBody, STREAMED_CHUNKS};
use crate::net::budget::MemoryBudget;
use actix_http::header::CONTENT_LENGTH;
use actix_http::{ResponseHead, StatusCode};
use bytes::{Bytes, BytesMut};
use rowanglade_http_exchange::{Connection, ConnectionPool, ExchangeError};
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

/// A long streamed response is aborted after this long without a byte. Part of it has reached its client, so it
/// cannot be retried.
const LONG_STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// The same for a streamed response that may be short: its client waits for its end and not just for its first bytes.
const SHORT_STREAM_STALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Bounds of a piece of a streamed response. Two pieces of the least size for each client need no budget of their own.
const MIN_PIECE_BYTES: usize = 2 * 1024;
const MAX_PIECE_BYTES: usize = 16 * 1024;
/// Pieces become smaller once fewer than this many of the largest fit into the memory that is left, so that responses to
/// clients that do not read leave memory for others.
const PIECES_IN_AVAILABLE_MEMORY: usize = 64;

/// How long the response of an attempt is waited for.
#[derive(Clone, Copy, Debug)]
pub(super) struct ResponsePatience {
    /// When the attempt times out, unless its response is streamed by then.
    pub(super) until: Instant,
    /// Longest wait for the next bytes of a response that is buffered, after which the attempt is given up; `None`:
    /// without limit.
    pub(super) stall_timeout: Option<Duration>,
}

/// Reads the body of a response. It is buffered completely, unless it is long or slow. Not cancel safe;
/// dropping the future closes the connection.
pub(super) async fn read_content(
    transport: &TargetTransport,
    connection: Connection,
    head: &ResponseHead,
    patience: ResponsePatience,
) -> Result<ResponseBody, ExchangeError> {
    match head.status {
        StatusCode::OK => read_served(transport, connection, head, patience).await,
        _ => Ok(read_error(transport, connection).await),
    }
}

/// Reads the body of an error response to its end, so that the connection can be used again. It is not passed to the
/// client, so that a long or incomplete one does no harm.
async fn read_error(transport: &TargetTransport, mut connection: Connection) -> ResponseBody {
    let mut body = BytesMut::new();
    loop {
        match connection.next_chunk(Some(transport.stall_timeout)).await {
            Ok(Some(chunk)) => body.extend_from_slice(&chunk),
            Ok(None) => break,
            Err(_) => return Bytes::new().into(),
        }
        if body.len() > MAX_BUFFERED_BODY {
            return Bytes::new().into();
        }
    }
    transport.connections.check_in(connection);
    body.freeze().into()
}

async fn read_served(
    transport: &TargetTransport,
    mut connection: Connection,
    head: &ResponseHead,
    patience: ResponsePatience,
) -> Result<ResponseBody, ExchangeError> {
    let length = declared_length(head);
    let is_short = length.is_some_and(|length| length <= MAX_BUFFERED_BODY as u64);
    let is_long = length.is_some_and(|length| length > MAX_BUFFERED_BODY as u64);
    let buffer_until = Instant::now() + transport.hold_time;
    let mut buffered = BytesMut::new();
    let mut memory = transport.memory.reservation();
    loop {
        let chunk = if is_short {
            connection.next_chunk(patience.stall_timeout).await?
        } else {
            match timeout_at(buffer_until, connection.next_chunk(None)).await {
                Ok(chunk) => chunk?,
                // A pause does not tell a hung target from one that will send megabytes, and only what is passed on
                // need not be retried.
                Err(_) => {
                    return Ok(stream_content(
                        transport,
                        connection,
                        memory.hold(buffered),
                        length,
                        patience,
                    ));
                }
            }
        };
        let Some(chunk) = chunk else { break };
        buffered.extend_from_slice(&chunk);
        // If a response arrives this slowly, a retry would come too late, so buffering the response does not
        // help the client.
        let slow = Instant::now() >= buffer_until;
        // Without memory for all of it, the client gets what there is.
        let fits = memory.try_resize(buffered.len());
        if is_long || slow || !fits || buffered.len() > MAX_BUFFERED_BODY {
            return Ok(stream_content(transport, connection, memory.hold(buffered), length, patience));
        }
    }
    transport.connections.check_in(connection);
    Ok(ResponseBody::Buffered(memory.hold(buffered)))
}

/// The length in bytes that a response's head declares for its body, if any.
fn declared_length(head: &ResponseHead) -> Option<u64> {
    head.headers.get(CONTENT_LENGTH)?.to_str().ok()?.trim().parse().ok()
}

/// Streams a response to its client, on a task of its own.
fn stream_content(
    transport: &TargetTransport,
    connection: Connection,
    first: Bytes,
    length: Option<u64>,
    patience: ResponsePatience,
) -> ResponseBody {
    let (sender, chunks) = mpsc::channel(STREAMED_CHUNKS);
    let stream = ResponseStream {
        connections: transport.connections.clone(),
        memory: transport.memory.clone(),
        connection,
        client: sender,
        is_long: length.is_some_and(|length| length > MAX_BUFFERED_BODY as u64),
        received_bytes: first.len(),
        due: patience.until,
    };
    actix_rt::spawn(stream.forward(first));
    ResponseBody::Streamed(BodyStream { length, chunks })
}

/// A response that is streamed to its client.
struct ResponseStream {
    connections: ConnectionPool,
    memory: MemoryBudget,
    connection: Connection,
    client: mpsc::Sender<Result<Bytes, IncompleteBody>>,
    /// Whether the response declares that it is long.
    is_long: bool,
    /// Bytes of the body that have been received.
    received_bytes: usize,
    /// When the client's time ends.
    due: Instant,
}

impl ResponseStream {
    /// Forwards the response at the rate at which its client reads it. The connection is closed if the client
    /// disconnects. `first`: the part that has been read.
    async fn forward(mut self, first: Bytes) {
        let mut chunk = Ok(Some(first));
        while let Ok(Some(bytes)) = chunk {
            // The client may take long for the chunk.
            self.connection.release_buffer();
            // An empty chunk would read as the end of a chunked body.
            if !bytes.is_empty() && self.client.send(Ok(bytes)).await.is_err() {
                return;
            }
            chunk = self.next_chunk().await;
        }
        match chunk {
            Ok(_) => self.connections.check_in(self.connection),
            Err(_) => drop(self.client.send(Err(IncompleteBody)).await),
        }
    }

    /// The next chunk. An error if the response ends early, or makes no progress for too long.
    async fn next_chunk(&mut self) -> Result<Option<Bytes>, ExchangeError> {
        let stalled_at = self.stalled_at(Instant::now());
        let piece =
            (self.memory.available() / PIECES_IN_AVAILABLE_MEMORY).clamp(MIN_PIECE_BYTES, MAX_PIECE_BYTES);
        self.connection.set_read_bytes(piece);
        let chunk = tokio::select! {
            chunk = timeout_at(stalled_at, self.connection.next_chunk(None)) => chunk,
            // Nobody waits for the rest.
            () = self.client.closed() => return Err(ExchangeError::Broken),
        };
        let chunk = chunk.map_err(|_| ExchangeError::Broken)??;
        self.received_bytes += chunk.as_ref().map_or(0, Bytes::len);
        Ok(chunk.map(|chunk| {
            let mut memory = self.memory.reservation();
            memory.resize(chunk.len());
            memory.hold(chunk)
        }))
    }

    /// When the response counts as stalled if nothing arrives after `now`.
    fn stalled_at(&self, now: Instant) -> Instant {
        match self.is_long || self.received_bytes > MAX_BUFFERED_BODY {
            true => now + LONG_STREAM_STALL_TIMEOUT,
            false => self.due.max(now + SHORT_STREAM_STALL_TIMEOUT),
        }
    }
}
