//! The bodies of responses. A long one is streamed: its chunks are forwarded with back-pressure from the receiver.

use bytes::Bytes;
use tokio::sync::mpsc;

/// Bodies of up to this many bytes are buffered, so that a request can be sent again and a response can be
/// retried.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;
/// Capacity of the channel between a streamed response and its client, in chunks.
pub const STREAMED_CHUNKS: usize = 1;

/// Error: the rest of a body will not arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteBody;

/// The body of a response.
#[derive(Debug)]
pub enum ResponseBody {
    /// All of it, in memory.
    Buffered(Bytes),
    /// A long body, forwarded as it arrives.
    Streamed(BodyStream),
}

/// The body of a long response, as it arrives from the target.
#[derive(Debug)]
pub struct BodyStream {
    /// Bytes of the entire body; absent if its head does not declare a length.
    pub length: Option<u64>,
    /// The chunks. An error, or an end before `length` bytes, means that the rest will not arrive.
    pub chunks: mpsc::Receiver<Result<Bytes, IncompleteBody>>,
}

impl ResponseBody {
    /// Its length in bytes; 0 if not known.
    pub fn length(&self) -> u64 {
        match self {
            ResponseBody::Buffered(body) => body.len() as u64,
            ResponseBody::Streamed(body) => body.length.unwrap_or(0),
        }
    }
}

impl From<Bytes> for ResponseBody {
    fn from(body: Bytes) -> ResponseBody {
        ResponseBody::Buffered(body)
    }
}

/// Streamed bodies are never equal, because their content is not in memory.
impl PartialEq for ResponseBody {
    fn eq(&self, other: &ResponseBody) -> bool {
        matches!((self, other), (ResponseBody::Buffered(a), ResponseBody::Buffered(b)) if a == b)
    }
}
