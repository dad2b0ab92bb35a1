//! Where the body of a response ends.

use crate::error::ExchangeError;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{ConnectionType, ResponseHead, StatusCode};
use bytes::Bytes;
use std::fmt;

/// A response that is held whole.
#[derive(Debug)]
pub struct CompleteResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// All of its body.
    pub body: Bytes,
}

/// How a response says where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyEnd {
    /// By a length or by chunks.
    Framed,
    /// With the connection.
    ConnectionClose,
    /// There is no body, and nobody can tell what would come next.
    Unknown,
}

/// Finds how a response says where its body ends: in one way only, and not beyond `max_bytes`.
fn body_end(head: &ResponseHead, max_bytes: u64) -> Result<BodyEnd, ExchangeError> {
    let headers = &head.headers;
    let chunked = headers.contains_key(TRANSFER_ENCODING);
    let mut lengths = headers.get_all(CONTENT_LENGTH);
    match (lengths.next(), lengths.next()) {
        (None, _) if chunked => Ok(BodyEnd::Framed),
        // Without a length, a response ends with its connection, and must say so.
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

/// What is still to be read of a response.
pub(crate) enum Unread {
    /// Nothing.
    Nothing {
        /// The connection may carry another request.
        reusable: bool,
    },
    /// A body with a length or in chunks.
    Framed {
        /// Finds the body's end.
        codec: ClientPayloadCodec,
        /// How many bytes more the body may hold.
        max_bytes: u64,
        /// The connection may carry another request once the body has been read.
        reusable: bool,
    },
    /// A body that ends with the connection.
    UntilClose {
        /// How many bytes more the body may hold.
        max_bytes: u64,
    },
}

impl Unread {
    /// What is to be read behind a response's head. `request_sent`: all of its request has been written.
    ///
    /// # Errors
    /// The head does not say where the body ends, or the body is larger than `max_bytes`.
    pub(crate) fn behind_head(
        head: &ResponseHead,
        codec: ClientCodec,
        max_bytes: u64,
        request_sent: bool,
    ) -> Result<Unread, ExchangeError> {
        let body_end = body_end(head, max_bytes)?;
        if head.status.is_informational() {
            return Err(ExchangeError::Broken);
        }
        let reusable = codec.keep_alive() && request_sent && body_end == BodyEnd::Framed;
        let bodiless = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        // The codec reads what goes to the end of the stream only of HTTP/1.0 responses.
        Ok(match (codec.message_type(), body_end) {
            (_, BodyEnd::ConnectionClose) if !bodiless => Unread::UntilClose { max_bytes },
            (MessageType::None, _) => Unread::Nothing { reusable },
            _ => Unread::Framed { codec: codec.into_payload_codec(), max_bytes, reusable },
        })
    }
}

impl fmt::Debug for Unread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Unread::Nothing { .. } => "nothing",
            Unread::Framed { .. } => "a framed body",
            Unread::UntilClose { .. } => "a body until the close",
        })
    }
}

/// Counts a piece of a body against the bytes that it may still hold.
pub(crate) fn count_piece(max_bytes: &mut u64, piece: &Bytes) -> Result<(), ExchangeError> {
    *max_bytes = max_bytes.checked_sub(piece.len() as u64).ok_or(ExchangeError::Broken)?;
    Ok(())
}
