//! The body of a request.

use actix_codec::Encoder;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message};
use actix_http::{RequestHead, RequestHeadType};
use bytes::{Bytes, BytesMut};
use std::io;

/// A request's body.
#[derive(Debug)]
pub struct RequestBody<'a, S> {
    /// Its first bytes, or all of it.
    pub held: Bytes,
    /// What comes behind them, and the length in bytes of it all, where that is known.
    pub rest: Option<(&'a mut S, Option<u64>)>,
}

impl<S> RequestBody<'_, S> {
    pub(crate) fn size(&self) -> BodySize {
        match self.rest {
            None => BodySize::Sized(self.held.len() as u64),
            Some((_, Some(length))) => BodySize::Sized(length),
            Some((_, None)) => BodySize::Stream,
        }
    }
}

/// The rest of a request's body, as it arrives.
pub trait BodyStream {
    /// The next piece; none: the body is complete. Cancel safe: dropped before it resolves, it has taken
    /// nothing.
    ///
    /// # Errors
    /// The rest will not arrive.
    fn next(&mut self) -> impl Future<Output = Result<Option<Bytes>, BodyLost>>;
}

/// The rest of a body will not arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the rest of the body will not arrive")]
pub struct BodyLost;

/// The stream of a body that is held whole: it has nothing.
#[derive(Debug)]
pub struct NoStream;

impl BodyStream for NoStream {
    async fn next(&mut self) -> Result<Option<Bytes>, BodyLost> {
        Ok(None)
    }
}

/// The head of a request and the part of its body that is held.
pub(crate) fn encode_request<S>(
    codec: &mut ClientCodec,
    head: RequestHead,
    body: Option<&RequestBody<'_, S>>,
) -> io::Result<BytesMut> {
    let mut out = BytesMut::new();
    let size = body.map_or(BodySize::None, RequestBody::size);
    codec.encode(Message::Item((RequestHeadType::from(head), size)), &mut out)?;
    if let Some(body) = body.filter(|body| !body.held.is_empty()) {
        codec.encode(Message::Chunk(Some(body.held.clone())), &mut out)?;
    }
    Ok(out)
}
