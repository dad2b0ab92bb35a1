//! A response's body on its way to its client.

use super::clients::{ActiveRequest, ClientConnection};
use crate::core::{IncompleteBody, ResponseBody};
use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

/// A body that is being sent; its connection stays busy until it is dropped.
pub(super) struct HttpBody {
    content: ResponseBody,
    #[expect(dead_code, reason = "held for its drop")]
    active_request: Option<ActiveRequest>,
    /// The connection of a body that ends with it: without a reset, one that breaks off would look complete.
    ends_connection: Option<Rc<ClientConnection>>,
}

impl HttpBody {
    pub(super) fn new(
        content: ResponseBody,
        active_request: Option<ActiveRequest>,
        ends_connection: Option<Rc<ClientConnection>>,
    ) -> HttpBody {
        HttpBody { content, active_request, ends_connection }
    }
}

impl MessageBody for HttpBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        self.content.size()
    }

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<io::Result<Bytes>>> {
        let body = self.get_mut();
        let piece = Pin::new(&mut body.content).poll_next(cx);
        if let (Poll::Ready(Some(Err(_))), Some(connection)) = (&piece, &body.ends_connection) {
            connection.truncate();
        }
        piece
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
                let piece = body.chunks.poll_recv(cx);
                piece.map(|piece| {
                    Some(piece?.map_err(|IncompleteBody| io::Error::other("the target's answer broke off")))
                })
            }
        }
    }
}
