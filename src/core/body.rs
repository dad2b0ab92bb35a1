//! Bodies that are not buffered whole: their chunks pass through, no faster than the receiver takes them.

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use std::cell::{Cell, RefCell};
use std::fmt;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

/// Bodies up to this many bytes are buffered whole, so that a request can be sent again, and a response be
/// tried for again.
pub const MAX_BUFFERED_BODY: usize = 64 * 1024;
/// Chunks of a streamed response that may wait for its client.
pub const STREAMED_CHUNKS: usize = 2;

type Chunks = LocalBoxStream<'static, Result<Bytes, IncompleteBody>>;

/// What follows the buffered bytes of a long request, as its client sends it. One attempt reads it: what was
/// read is not there for another.
pub struct Upload {
    /// Bytes of the whole body, where its head says it.
    length: Option<u64>,
    /// Absent while a reader has it, and once some of it was read.
    chunks: RefCell<Option<Chunks>>,
    consumed: Cell<bool>,
    completed_at: Cell<Option<Instant>>,
    completion: Notify,
}

/// The rest of a body will not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IncompleteBody;

impl Upload {
    /// A body of `length` bytes altogether, of which `chunks` are still to come.
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

    /// Bytes of the whole body; `None` where its head does not say.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether some of it was read, and cannot be sent again.
    pub fn is_consumed(&self) -> bool {
        self.consumed.get()
    }

    /// When the last byte had been read; `None` before that.
    pub fn completed_at(&self) -> Option<Instant> {
        self.completed_at.get()
    }

    /// Resolves once the last byte has been read, with the time of that.
    pub async fn completed(&self) -> Instant {
        loop {
            let completion = self.completion.notified();
            if let Some(at) = self.completed_at.get() {
                return at;
            }
            completion.await;
        }
    }

    /// A reader for an attempt. `None`: another attempt has it, or has read some of it.
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

/// Reads the rest of a body for an attempt. Dropped before any of it was read, another attempt may have it.
pub struct UploadReader<'a> {
    upload: &'a Upload,
    chunks: Option<Chunks>,
}

impl UploadReader<'_> {
    /// The next chunk; `None`: the body is complete. Dropped before it resolves, it has read nothing.
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
    /// All of it.
    Buffered(Bytes),
    /// A long one, which passes through.
    Streamed(BodyStream),
}

/// The body of a long response, as its target sends it.
#[derive(Debug)]
pub struct BodyStream {
    /// Bytes of the whole body, where its head says it.
    pub length: Option<u64>,
    /// An error: the rest will not come. The same holds for an end before `length`.
    pub chunks: mpsc::Receiver<Result<Bytes, IncompleteBody>>,
}

impl ResponseBody {
    /// Its length in bytes; 0 where that is not known.
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

/// Streamed bodies are never equal: nobody has all of them.
impl PartialEq for ResponseBody {
    fn eq(&self, other: &ResponseBody) -> bool {
        matches!((self, other), (ResponseBody::Buffered(a), ResponseBody::Buffered(b)) if a == b)
    }
}
