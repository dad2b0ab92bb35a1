//! The body of a response while it is sent to its client.

use super::clients::{ActiveRequest, ClientConnection, ConnectionSlot};
use crate::core::{IncompleteBody, ResponseBody};
use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

/// Most bytes that are passed to the HTTP service at a time: it copies them behind what waits to be written, into a buffer
/// that keeps its size for as long as the connection lasts.
const PIECE_BYTES: usize = 3 * 1024;

/// A body that is being sent. Its connection is busy until the body is dropped.
pub(super) struct HttpBody {
    content: ResponseBody,
    /// The rest of the last chunk of the content.
    chunk: Bytes,
    #[expect(dead_code, reason = "held for its drop")]
    active_request: Option<ActiveRequest>,
    #[expect(dead_code, reason = "held for its drop")]
    slot: Option<ConnectionSlot>,
    /// The connection, if its close marks the end of the body. An incomplete body then ends with a reset,
    /// since it would look complete otherwise.
    delimiting_connection: Option<Rc<ClientConnection>>,
}

impl HttpBody {
    pub(super) fn new(
        content: ResponseBody,
        active_request: Option<ActiveRequest>,
        slot: Option<ConnectionSlot>,
        delimiting_connection: Option<Rc<ClientConnection>>,
    ) -> HttpBody {
        HttpBody { content, chunk: Bytes::new(), active_request, slot, delimiting_connection }
    }
}

impl MessageBody for HttpBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        self.content.size()
    }

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let body = self.get_mut();
        if body.chunk.is_empty() {
            match ready!(Pin::new(&mut body.content).poll_next(cx)) {
                Some(Ok(chunk)) => body.chunk = chunk,
                Some(Err(error)) => {
                    body.delimiting_connection.iter().for_each(|connection| connection.mark_truncated());
                    return Poll::Ready(Some(Err(error)));
                }
                None => return Poll::Ready(None),
            }
        }
        let bytes = body.chunk.len().min(PIECE_BYTES);
        Poll::Ready(Some(Ok(body.chunk.split_to(bytes))))
    }
}

impl MessageBody for ResponseBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        match self {
            ResponseBody::Buffered(body) => BodySize::Sized(body.len() as u64),
            ResponseBody::Streamed(body) => body.length.map_or(BodySize::Stream, BodySize::Sized),
        }
    }

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        match self.get_mut() {
            ResponseBody::Buffered(body) if body.is_empty() => Poll::Ready(None),
            ResponseBody::Buffered(body) => Poll::Ready(Some(Ok(std::mem::take(body)))),
            ResponseBody::Streamed(body) => {
                let chunk = body.chunks.poll_recv(cx);
                chunk.map(|chunk| {
                    Some(chunk?.map_err(|IncompleteBody| {
                        io::Error::other("target's response ended before its body was complete")
                    }))
                })
            }
        }
    }
}
