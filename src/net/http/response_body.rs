//! The body of a response while it is sent to its client.

use super::clients::{ActiveRequest, ClientConnection};
use crate::core::{IncompleteBody, ResponseBody};
use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A body that is being sent. Its connection is busy until the body is dropped.
pub(super) struct HttpBody {
    content: ResponseBody,
    #[expect(dead_code, reason = "held for its drop")]
    active_request: Option<ActiveRequest>,
    /// The connection, if its close marks the end of the body. An incomplete body then ends with a reset,
    /// since it would look complete otherwise.
    delimiting_connection: Option<Rc<ClientConnection>>,
}

impl HttpBody {
    pub(super) fn new(
        content: ResponseBody,
        active_request: Option<ActiveRequest>,
        delimiting_connection: Option<Rc<ClientConnection>>,
    ) -> HttpBody {
        HttpBody { content, active_request, delimiting_connection }
    }
}

impl MessageBody for HttpBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        self.content.size()
    }

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let body = self.get_mut();
        let chunk = Pin::new(&mut body.content).poll_next(cx);
        if let (Poll::Ready(Some(Err(_))), Some(connection)) = (&chunk, &body.delimiting_connection) {
            connection.mark_truncated();
        }
        chunk
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
