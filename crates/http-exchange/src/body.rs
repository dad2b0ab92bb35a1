//! The body of a request.

use actix_codec::Encoder;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message};
use actix_http::{RequestHead, RequestHeadType};
use bytes::{Bytes, BytesMut};
use std::io;

/// The body of a request, of which a part may still have to arrive.
#[derive(Debug)]
pub struct RequestBody<'a, S> {
    /// The first bytes of the body, or all of it.
    pub buffered: Bytes,
    /// The rest of the body, and the length in bytes of the whole body if it is known; `None`: all of the
    /// body is buffered.
    pub rest: Option<(&'a mut S, Option<u64>)>,
}

impl<S> RequestBody<'_, S> {
    pub(crate) fn size(&self) -> BodySize {
        match self.rest {
            None => BodySize::Sized(self.buffered.len() as u64),
            Some((_, Some(length))) => BodySize::Sized(length),
            Some((_, None)) => BodySize::Stream,
        }
    }
}

/// The rest of a request's body, as it arrives.
pub trait BodyStream {
    /// The next chunk; `None`: the body is complete. Cancel safe: dropped before it resolves, it has consumed
    /// nothing.
    ///
    /// # Errors
    /// The rest will not arrive.
    fn next(&mut self) -> impl Future<Output = Result<Option<Bytes>, BodyAborted>>;
}

/// The rest of a body will not arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("request body ended before it was complete")]
pub struct BodyAborted;

/// The stream of a body that is buffered completely: it is empty.
#[derive(Debug)]
pub struct EmptyStream;

impl BodyStream for EmptyStream {
    async fn next(&mut self) -> Result<Option<Bytes>, BodyAborted> {
        Ok(None)
    }
}

/// Encodes a request's head and the buffered part of its body.
pub(crate) fn encode_request<S>(
    codec: &mut ClientCodec,
    head: RequestHead,
    body: Option<&RequestBody<'_, S>>,
) -> io::Result<BytesMut> {
    let mut out = BytesMut::new();
    let size = body.map_or(BodySize::None, RequestBody::size);
    codec.encode(Message::Item((RequestHeadType::from(head), size)), &mut out)?;
    if let Some(body) = body.filter(|body| !body.buffered.is_empty()) {
        codec.encode(Message::Chunk(Some(body.buffered.clone())), &mut out)?;
    }
    Ok(out)
}
