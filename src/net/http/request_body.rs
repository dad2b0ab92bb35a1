//! Reads a request's body from its client, within the memory for all bodies.

use super::clients::{BODY_READ_BYTES, ClientConnection, ConnectionTable};
use super::handler::no_capacity;
use super::message::{self, MAX_BODY_BYTES};
use crate::core::{IncompleteBody, MAX_BUFFERED_BODY, MIN_BODY_TIMEOUT, ResponseBody, slowest_transfer};
use crate::net::budget::MemoryReservation;
use actix_http::{BoxedPayloadStream, Payload, Response as HttpResponse, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use std::future::poll_fn;
use std::rc::Rc;
use tokio::time::Instant;

/// How many bytes of a body are read at a time that declares no length: its end is not known beforehand.
const CHUNKED_READ_BYTES: usize = 4 * 1024;

/// The longest first part of a body: it is streamed from the piece on that exceeds [`MAX_BUFFERED_BODY`].
const MAX_FIRST_PART: usize = MAX_BUFFERED_BODY + BODY_READ_BYTES;

/// A request's body, of which a part may have been read.
pub(super) struct RequestBody {
    payload: Payload<BoxedPayloadStream>,
    /// The connection that it arrives on, which reads more only when asked to; absent in tests of the handler alone.
    connection: Option<Rc<ClientConnection>>,
    /// The length that the request's head declares, if any.
    declared_length: Option<u64>,
    started_at: Instant,
    bytes_read: u64,
}

impl RequestBody {
    pub(super) fn new(
        payload: Payload<BoxedPayloadStream>,
        connection: Option<Rc<ClientConnection>>,
        declared_length: Option<u64>,
    ) -> RequestBody {
        RequestBody { payload, connection, declared_length, started_at: Instant::now(), bytes_read: 0 }
    }

    /// How many bytes the connection may read for the next chunk. What follows the body are further requests, which
    /// must not be decoded with it.
    fn read_bytes(&self) -> usize {
        match self.declared_length {
            Some(length) => length.saturating_sub(self.bytes_read).min(BODY_READ_BYTES as u64) as usize,
            None => CHUNKED_READ_BYTES,
        }
    }

    /// When the next chunk must have arrived. Without a limit, an incomplete body would occupy its connection forever.
    fn deadline(&self) -> Instant {
        self.started_at + MIN_BODY_TIMEOUT + slowest_transfer(self.bytes_read)
    }

    /// Reads the next chunk; `None`: the body is complete.
    ///
    /// # Errors
    /// The response to a client that is too slow, breaks off the body, or sends more than [`MAX_BODY_BYTES`].
    async fn next(&mut self) -> Result<Option<Bytes>, HttpResponse<ResponseBody>> {
        let (deadline, bytes) = (self.deadline(), self.read_bytes());
        let next = poll_fn(|cx| {
            let chunk = self.payload.poll_next_unpin(cx);
            if chunk.is_pending() {
                self.connection.iter().for_each(|connection| connection.request_body_bytes(bytes));
            }
            chunk
        });
        let chunk = tokio::time::timeout_at(deadline, next).await;
        let chunk = chunk.map_err(|_| message::empty_response(StatusCode::REQUEST_TIMEOUT))?;
        let chunk = chunk.transpose().map_err(|_| message::empty_response(StatusCode::BAD_REQUEST))?;
        self.bytes_read += chunk.as_ref().map_or(0, |chunk| chunk.len() as u64);
        if chunk.is_none() || self.declared_length == Some(self.bytes_read) {
            self.connection.iter().for_each(|connection| connection.complete_request());
        }
        if self.bytes_read > MAX_BODY_BYTES {
            return Err(message::empty_response(StatusCode::PAYLOAD_TOO_LARGE));
        }
        Ok(chunk)
    }

    /// Reads the body until it is complete or longer than [`MAX_BUFFERED_BODY`]. Returns the bytes, and
    /// whether they are all of the body.
    ///
    /// # Errors
    /// The response to a client whose body cannot be read, or for whose body no memory is left.
    pub(super) async fn read_buffered(
        &mut self,
        clients: &ConnectionTable,
        memory: &mut MemoryReservation,
    ) -> Result<(Bytes, bool), HttpResponse<ResponseBody>> {
        let longest = self.declared_length.unwrap_or(MAX_BODY_BYTES).min(MAX_FIRST_PART as u64) as usize;
        let mut body = BytesMut::new();
        while let Some(chunk) = self.next().await? {
            if body.capacity() == 0 {
                // Allocated at once: a buffer that grew as it is filled would take up to twice the length of the body.
                if !memory.try_grow(longest) {
                    clients.shed_stalled_upload();
                    return Err(no_capacity());
                }
                body.reserve(longest);
            } else if !memory.admits_more() && !clients.shed_stalled_upload() {
                // Reserved memory is not resident before it is written to.
                return Err(no_capacity());
            }
            body.extend_from_slice(&chunk);
            if body.len() > MAX_BUFFERED_BODY {
                return Ok((body.freeze(), false));
            }
        }
        Ok((body.freeze(), true))
    }

    /// Streams the part of the body that follows the buffered one. The memory is released with the stream.
    pub(super) fn into_rest(
        self,
        memory: MemoryReservation,
    ) -> impl Stream<Item = Result<Bytes, IncompleteBody>> {
        futures_util::stream::unfold(Some((self, memory)), async |unread| {
            let (mut body, memory) = unread?;
            match body.next().await {
                Ok(Some(chunk)) => Some((Ok(chunk), Some((body, memory)))),
                Ok(None) => None,
                Err(_) => Some((Err(IncompleteBody), None)),
            }
        })
    }
}
