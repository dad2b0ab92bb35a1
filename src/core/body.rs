//! Bodies that are not held whole: they pass through in pieces, no faster than their taker takes them.

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::LocalBoxStream;
use std::cell::{Cell, RefCell};
use std::fmt;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;

/// Bodies up to this size are held whole, so that they can be sent again, or an answer be tried for again.
pub const HELD: usize = 64 * 1024;
/// Pieces of an answer that may wait for its client.
pub const PIECES: usize = 2;

/// What comes behind the held bytes of a long request, as its client sends it. One attempt takes it: what was
/// taken is not there for another.
pub struct Upload {
    /// Of the whole body, where its head tells it.
    length: Option<u64>,
    rest: RefCell<Option<LocalBoxStream<'static, Result<Bytes, Lost>>>>,
    begun: Cell<bool>,
    whole: Cell<Option<Instant>>,
    done: Notify,
}

/// The rest of a body will not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lost;

impl Upload {
    pub fn new(length: Option<u64>, rest: LocalBoxStream<'static, Result<Bytes, Lost>>) -> Upload {
        Upload {
            length,
            rest: RefCell::new(Some(rest)),
            begun: Cell::new(false),
            whole: Cell::new(None),
            done: Notify::new(),
        }
    }

    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether some of it was taken, and cannot be sent again.
    pub fn begun(&self) -> bool {
        self.begun.get()
    }

    /// When the last byte had been passed on.
    pub fn whole(&self) -> Option<Instant> {
        self.whole.get()
    }

    /// Resolves then.
    pub async fn until_whole(&self) -> Instant {
        loop {
            let told = self.done.notified();
            if let Some(at) = self.whole.get() {
                return at;
            }
            told.await;
        }
    }

    /// The rest, for an attempt. None: another has it, or had some of it.
    pub fn take(&self) -> Option<Taken<'_>> {
        let rest = self.rest.borrow_mut().take()?;
        Some(Taken { upload: self, rest: Some(rest) })
    }
}

impl fmt::Debug for Upload {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Upload").field("length", &self.length).field("begun", &self.begun).finish()
    }
}

/// The rest of a body, with an attempt. Dropped before any of it was taken, another attempt may have it.
pub struct Taken<'a> {
    upload: &'a Upload,
    rest: Option<LocalBoxStream<'static, Result<Bytes, Lost>>>,
}

impl Taken<'_> {
    /// The next piece; None: it is whole. Dropped before it resolves, it has taken nothing.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Lost> {
        let Some(rest) = &mut self.rest else { return Ok(None) };
        let piece = rest.next().await;
        self.upload.begun.set(true);
        match piece {
            Some(piece) => piece.map(Some),
            None => {
                self.rest = None;
                self.upload.whole.set(Some(Instant::now()));
                self.upload.done.notify_waiters();
                Ok(None)
            }
        }
    }
}

impl Drop for Taken<'_> {
    fn drop(&mut self) {
        if !self.upload.begun() {
            *self.upload.rest.borrow_mut() = self.rest.take();
        }
    }
}

/// An answer's body.
#[derive(Debug)]
pub enum Content {
    Whole(Bytes),
    Streamed(Download),
}

/// The body of a long answer, as its target sends it.
#[derive(Debug)]
pub struct Download {
    /// Of the whole body, where its head tells it.
    pub length: Option<u64>,
    /// An error: the rest will not come. So does an end where the length tells of more.
    pub pieces: mpsc::Receiver<Result<Bytes, Lost>>,
}

impl Content {
    /// What is known of its length.
    pub fn length(&self) -> u64 {
        match self {
            Content::Whole(body) => body.len() as u64,
            Content::Streamed(body) => body.length.unwrap_or(0),
        }
    }
}

impl From<Bytes> for Content {
    fn from(body: Bytes) -> Content {
        Content::Whole(body)
    }
}

/// Long bodies are never equal: nobody has all of them.
impl PartialEq for Content {
    fn eq(&self, other: &Content) -> bool {
        matches!((self, other), (Content::Whole(a), Content::Whole(b)) if a == b)
    }
}
