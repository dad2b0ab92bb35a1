//! Bodies that are streamed instead of buffered: their chunks are forwarded with back-pressure from the
//! receiver.

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use std::cell::{Cell, RefCell};
use std::fmt;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

/// Bodies of up to this many bytes are buffered, so that a request can be sent again and a response can be
/// retried.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;
/// Capacity of the channel between a streamed response and its client, in chunks.
pub const STREAMED_CHUNKS: usize = 2;

type Chunks = LocalBoxStream<'static, Result<Bytes, IncompleteBody>>;

/// The part of a long request body that follows the buffered bytes, streamed from the client. Only one
/// attempt can send it: chunks that have been read are not available to another.
pub struct Upload {
    /// Bytes of the entire body; absent if its head does not declare a length.
    length: Option<u64>,
    /// Absent while a reader has them, and once any of them was read.
    chunks: RefCell<Option<Chunks>>,
    consumed: Cell<bool>,
    completed_at: Cell<Option<Instant>>,
    completion: Notify,
}

/// Error: the rest of a body will not arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteBody;

impl Upload {
    /// A body of `length` bytes in total, of which `chunks` are still to arrive.
    pub fn new(
        length: Option<u64>,
        chunks: LocalBoxStream<'static, Result<Bytes, IncompleteBody>>,
    ) -> Upload {
        Upload {
            length,
            chunks: RefCell::new(Some(chunks)),
            consumed: Cell::new(false),
            completed_at: Cell::new(None),
            completion: Notify::new(),
        }
    }

    /// Bytes of the entire body; `None` if its head does not declare a length.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether any chunk has been read, so that the body cannot be sent again.
    pub fn is_consumed(&self) -> bool {
        self.consumed.get()
    }

    /// When the last byte was read; `None` before that.
    pub fn completed_at(&self) -> Option<Instant> {
        self.completed_at.get()
    }

    /// Resolves once the last byte has been read, with the time at which it was.
    pub async fn completed(&self) -> Instant {
        loop {
            let completion = self.completion.notified();
            if let Some(at) = self.completed_at.get() {
                return at;
            }
            completion.await;
        }
    }

    /// A reader for an attempt. `None` if another attempt has a reader or has read some of the body.
    pub fn reader(&self) -> Option<UploadReader<'_>> {
        let chunks = self.chunks.borrow_mut().take()?;
        Some(UploadReader { upload: self, chunks: Some(chunks) })
    }
}

impl fmt::Debug for Upload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Upload").field("length", &self.length).field("consumed", &self.consumed).finish()
    }
}

/// Reads the rest of a body for an attempt. If dropped before anything was read, another attempt may read it.
pub struct UploadReader<'a> {
    upload: &'a Upload,
    chunks: Option<Chunks>,
}

impl UploadReader<'_> {
    /// The next chunk; `None` at the end of the body. Cancel safe: if dropped before it resolves, no chunk is
    /// lost.
    ///
    /// # Errors
    /// The client will not send the rest.
    pub async fn next(&mut self) -> Result<Option<Bytes>, IncompleteBody> {
        let Some(chunks) = &mut self.chunks else { return Ok(None) };
        let chunk = chunks.next().await;
        self.upload.consumed.set(true);
        match chunk {
            Some(chunk) => chunk.map(Some),
            None => {
                self.chunks = None;
                self.upload.completed_at.set(Some(Instant::now()));
                self.upload.completion.notify_waiters();
                Ok(None)
            }
        }
    }
}

impl Drop for UploadReader<'_> {
    fn drop(&mut self) {
        if !self.upload.is_consumed() {
            *self.upload.chunks.borrow_mut() = self.chunks.take();
        }
    }
}

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
