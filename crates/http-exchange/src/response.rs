//! Determines where the body of a response ends.

use crate::error::ExchangeError;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{ConnectionType, ResponseHead, StatusCode};
use bytes::Bytes;
use std::fmt;

/// A response whose body has been read completely.
#[derive(Debug)]
pub struct CompleteResponse {
    /// The status of the final response.
    pub status: StatusCode,
    /// The headers of the final response.
    pub headers: HeaderMap,
    /// All of the body.
    pub body: Bytes,
}

/// How a response marks the end of its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyEnd {
    /// By a length or by chunked encoding.
    Framed,
    /// By the close of the connection.
    ConnectionClose,
    /// The response declares no body, so that it is unknown what the next bytes belong to.
    Unknown,
}

/// Determines how a response marks the end of its body. Only one mark is valid, and a length of at most
/// `max_bytes`.
fn body_end(head: &ResponseHead, max_bytes: u64) -> Result<BodyEnd, ExchangeError> {
    let headers = &head.headers;
    let chunked = headers.contains_key(TRANSFER_ENCODING);
    let mut lengths = headers.get_all(CONTENT_LENGTH);
    match (lengths.next(), lengths.next()) {
        (None, _) if chunked => Ok(BodyEnd::Framed),
        // Without a length, a response ends with its connection, and must announce the close.
        (None, _) => match head.connection_type() {
            ConnectionType::Close => Ok(BodyEnd::ConnectionClose),
            _ if head.status == StatusCode::OK => Err(ExchangeError::Broken),
            _ => Ok(BodyEnd::Unknown),
        },
        (Some(length), None) if !chunked => {
            let length = length.to_str().ok().and_then(|length| length.trim().parse::<u64>().ok());
            let fits = length.is_some_and(|length| length <= max_bytes);
            if fits { Ok(BodyEnd::Framed) } else { Err(ExchangeError::Broken) }
        }
        _ => Err(ExchangeError::Broken),
    }
}

/// The part of a response that has not been read yet.
pub(crate) enum RemainingBody {
    /// Nothing.
    Nothing {
        /// Whether the connection may carry another request.
        reusable: bool,
    },
    /// A body with a length or in chunks.
    Framed {
        /// Finds the end of the body.
        codec: ClientPayloadCodec,
        /// How many more bytes the body may have.
        max_bytes: u64,
        /// Whether the connection may carry another request once the body has been read.
        reusable: bool,
    },
    /// A body that ends with the connection.
    UntilClose {
        /// How many more bytes the body may have.
        max_bytes: u64,
    },
}

impl RemainingBody {
    /// What remains to be read after a response's head. `request_sent`: whether all of its request has been
    /// written.
    ///
    /// # Errors
    /// The head does not declare where the body ends, or declares more than `max_bytes`.
    pub(crate) fn after_head(
        head: &ResponseHead,
        codec: ClientCodec,
        max_bytes: u64,
        request_sent: bool,
    ) -> Result<RemainingBody, ExchangeError> {
        let body_end = body_end(head, max_bytes)?;
        if head.status.is_informational() {
            return Err(ExchangeError::Broken);
        }
        let reusable = codec.keep_alive() && request_sent && body_end == BodyEnd::Framed;
        let bodiless = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        // The codec reads bodies that end with the stream only in HTTP/1.0 responses.
        Ok(match (codec.message_type(), body_end) {
            (_, BodyEnd::ConnectionClose) if !bodiless => RemainingBody::UntilClose { max_bytes },
            (MessageType::None, _) => RemainingBody::Nothing { reusable },
            _ => RemainingBody::Framed { codec: codec.into_payload_codec(), max_bytes, reusable },
        })
    }
}

impl fmt::Debug for RemainingBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            RemainingBody::Nothing { .. } => "nothing",
            RemainingBody::Framed { .. } => "a framed body",
            RemainingBody::UntilClose { .. } => "a body until the close",
        })
    }
}

/// Deducts a chunk from the bytes that the body may still have, or fails if there are fewer.
pub(crate) fn deduct_chunk(max_bytes: &mut u64, chunk: &Bytes) -> Result<(), ExchangeError> {
    *max_bytes = max_bytes.checked_sub(chunk.len() as u64).ok_or(ExchangeError::Broken)?;
    Ok(())
}
