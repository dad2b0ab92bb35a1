//! A request's body as its client sends it, within the memory for all bodies.

use super::handler::no_capacity;
use super::message::{self, MAX_BODY_BYTES};
use crate::core::{IncompleteBody, MAX_BUFFERED_BODY, ResponseBody};
use actix_http::{BoxedPayloadStream, Payload, Response as HttpResponse, StatusCode};
use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// How long a request's body may take in any case. A half body must not hold its connection for ever.
const MIN_BODY_TIMEOUT: Duration = Duration::from_secs(2);
/// The slowest that a client may send: its body gets a second more for so many bytes.
const MIN_BYTES_PER_SECOND: u64 = 64_000;

/// What a body has reserved of the memory for all bodies. Dropped, it gives it back.
pub(super) struct BodyBudget {
    /// Bytes that all bodies may still take up.
    available: Rc<Cell<usize>>,
    reserved: usize,
}

impl BodyBudget {
    pub(super) fn new(available: Rc<Cell<usize>>) -> BodyBudget {
        BodyBudget { available, reserved: 0 }
    }

    /// Reserves more bytes. False: so many are not available, and nothing is reserved.
    pub(super) fn reserve(&mut self, bytes: usize) -> bool {
        let Some(available) = self.available.get().checked_sub(bytes) else { return false };
        self.available.set(available);
        self.reserved += bytes;
        true
    }
}

impl Drop for BodyBudget {
    fn drop(&mut self) {
        self.available.set(self.available.get() + self.reserved);
    }
}

/// A request's body, of which a part may have been read.
pub(super) struct RequestBody {
    payload: Payload<BoxedPayloadStream>,
    started_at: Instant,
    bytes_read: u64,
}

impl RequestBody {
    pub(super) fn new(payload: Payload<BoxedPayloadStream>) -> RequestBody {
        RequestBody { payload, started_at: Instant::now(), bytes_read: 0 }
    }

    /// When the next piece must have come.
    fn deadline(&self) -> Instant {
        let for_bytes = self.bytes_read as f64 / MIN_BYTES_PER_SECOND as f64;
        self.started_at + MIN_BODY_TIMEOUT + Duration::from_secs_f64(for_bytes)
    }

    /// The next piece; none: the body is complete.
    ///
    /// # Errors
    /// The response to a client that is too slow, breaks off, or sends more than a body may hold.
    async fn next(&mut self) -> Result<Option<Bytes>, HttpResponse<ResponseBody>> {
        let piece = tokio::time::timeout_at(self.deadline(), self.payload.next()).await;
        let piece = piece.map_err(|_| message::status(StatusCode::REQUEST_TIMEOUT))?;
        let piece = piece.transpose().map_err(|_| message::status(StatusCode::BAD_REQUEST))?;
        self.bytes_read += piece.as_ref().map_or(0, |piece| piece.len() as u64);
        if self.bytes_read > MAX_BODY_BYTES {
            return Err(message::status(StatusCode::PAYLOAD_TOO_LARGE));
        }
        Ok(piece)
    }

    /// Reads as much of the body as is held, and whether that is all of it.
    ///
    /// # Errors
    /// The response to a client whose body cannot be read or has no memory left.
    pub(super) async fn read_held(
        &mut self,
        budget: &mut BodyBudget,
    ) -> Result<(Bytes, bool), HttpResponse<ResponseBody>> {
        let mut body = BytesMut::new();
        while let Some(piece) = self.next().await? {
            if !budget.reserve(piece.len()) {
                return Err(no_capacity());
            }
            body.extend_from_slice(&piece);
            if body.len() > MAX_BUFFERED_BODY {
                return Ok((body.freeze(), false));
            }
        }
        Ok((body.freeze(), true))
    }

    /// What comes behind the held part. The memory is given back with the stream.
    pub(super) fn into_rest(self, budget: BodyBudget) -> impl Stream<Item = Result<Bytes, IncompleteBody>> {
        futures_util::stream::unfold(Some((self, budget)), async |unread| {
            let (mut body, budget) = unread?;
            match body.next().await {
                Ok(Some(piece)) => Some((Ok(piece), Some((body, budget)))),
                Ok(None) => None,
                Err(_) => Some((Err(IncompleteBody), None)),
            }
        })
    }
}
