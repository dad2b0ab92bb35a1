//! Reads a client's requests no faster than they are handled.
//!
//! The HTTP library reads all that a connection offers, up to 128 KiB, and decodes every head in it before it looks at
//! its own limits. A decoded head takes several KiB for a few hundred bytes, and a piece of a body stays whole until
//! its handler takes it. So the library is given what the handlers can take, and the rest is kept as it came.

use super::connection::{ClientConnection, Phase};
use super::head_scanner::HeadScanner;
use super::limits::{
    FREE_HEAD_BYTES, HEAD_READ_BYTES, MAX_HEAD_BYTES, MAX_PIPELINED_BYTES, MAX_PIPELINED_HEADS,
};
use super::surplus::Surplus;
use crate::net::budget::{MemoryBudget, MemoryReservation};
use rowanglade_http_exchange::stream::poll_read;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use tokio::io::ReadBuf;
use tokio::task::coop::consume_budget;

/// What a read costs of the runtime's budget of 128 units for one turn of a task. With 16 reads a turn, the 61 turns
/// between two looks at the sockets take some milliseconds.
const TURN_UNITS_PER_READ: usize = 8;
/// Bytes of one read of which nothing is passed on.
const READ_AHEAD_BYTES: usize = 4096;

/// The reading side of a client's connection.
#[derive(Debug)]
pub(super) struct RequestReader {
    connection: Rc<ClientConnection>,
    head_scanner: HeadScanner,
    /// Bytes that were read and not passed on yet.
    surplus: Surplus,
    /// Bytes of a head that were passed on since its begin.
    head_bytes: usize,
    /// Bytes that were passed on outside of a request since the HTTP service was last able to decode them.
    undecoded_bytes: usize,
    /// Whether the end of a head is among them.
    head_complete: bool,
    /// Ends of heads, and bytes, that were passed on ahead of the request that the handler is processing.
    pipelined_heads: usize,
    pipelined_bytes: usize,
    /// Whether bytes that follow the surplus have been discarded.
    discarded: bool,
    head_memory: MemoryBudget,
    /// The memory of the head that is arriving.
    head_reservation: MemoryReservation,
    /// The memory of the surplus while a request is handled.
    pipelined_reservation: MemoryReservation,
}

/// What may be read from a connection now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Allowance {
    /// Bytes up to the end of the next head.
    Head,
    /// Up to this many bytes of a body.
    Body(usize),
    /// Nothing until the handler waits for more of the body. Up to this many bytes are kept.
    KeptBody(usize),
    /// Nothing until the handler is done. What arrives is kept, and discarded beyond [`MAX_PIPELINED_BYTES`].
    KeptRequests,
}

/// Where in a client's requests the next byte belongs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestPosition {
    /// To a request of which nothing has been read.
    BetweenRequests,
    /// To the head of a request that has begun.
    InHead,
    /// Behind a whole head that the HTTP service has not handled yet, or to a request that a handler is processing.
    AfterHead,
}

/// Why reading ahead has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadAhead {
    /// The client has closed its side.
    Ended,
    /// As many bytes as allowed were read.
    LimitReached,
}

/// Pending once the task has made as many reads as it may before other tasks run. The HTTP service reads for as long as
/// there is something to read, also while it discards what follows the last request, so that a client that sends at full
/// speed would keep the thread.
fn poll_turn(cx: &mut Context<'_>) -> Poll<()> {
    for _ in 0..TURN_UNITS_PER_READ {
        ready!(pin!(consume_budget()).poll(cx));
    }
    Poll::Ready(())
}

impl RequestReader {
    pub(super) fn new(connection: Rc<ClientConnection>, head_memory: &MemoryBudget) -> RequestReader {
        RequestReader {
            connection,
            head_scanner: HeadScanner::default(),
            surplus: Surplus::default(),
            head_bytes: 0,
            undecoded_bytes: 0,
            head_complete: false,
            pipelined_heads: 0,
            pipelined_bytes: 0,
            discarded: false,
            head_memory: head_memory.clone(),
            head_reservation: head_memory.reservation(),
            pipelined_reservation: head_memory.reservation(),
        }
    }

    /// Reads what the handlers can take. Reading nothing means that the client's stream has ended. Pending: the task is
    /// woken once more has arrived, or by a change of the connection's state.
    pub(super) fn poll_read(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        ready!(poll_turn(cx));
        let read = match self.allowance() {
            Allowance::Head => self.read_head(cx, buf),
            Allowance::Body(limit) => self.read_body(cx, buf, limit),
            Allowance::KeptBody(limit) => self.keep_body(cx, limit),
            Allowance::KeptRequests => self.keep_requests(cx),
        };
        self.connection.set_kept_bytes(self.surplus.len());
        if self.surplus.is_empty() {
            self.pipelined_reservation.resize(0);
        }
        read
    }

    /// Where in the client's requests the next byte belongs.
    pub(super) fn position(&self) -> RequestPosition {
        match self.connection.phase() {
            Phase::Busy => RequestPosition::AfterHead,
            _ if self.head_bytes > 0 => RequestPosition::InHead,
            Phase::Head => RequestPosition::AfterHead,
            Phase::Silent | Phase::Idle | Phase::Closing => RequestPosition::BetweenRequests,
        }
    }

    /// What may be read now. Without a limit the HTTP service would read, and decode into many times the memory, all
    /// that a client sends ahead of the responses.
    fn allowance(&mut self) -> Allowance {
        if self.connection.phase() != Phase::Busy {
            (self.pipelined_heads, self.pipelined_bytes) = (0, 0);
            return Allowance::Head;
        }
        if !self.connection.is_request_complete() {
            return match self.connection.body_reading.window() {
                0 => Allowance::KeptBody(self.connection.body_reading.read_ahead()),
                bytes => Allowance::Body(bytes),
            };
        }
        let full = self.pipelined_heads >= MAX_PIPELINED_HEADS || self.pipelined_bytes >= MAX_PIPELINED_BYTES;
        if full { Allowance::KeptRequests } else { Allowance::Head }
    }

    /// Reads at most `limit` bytes, those that were read earlier first. Returns their number; 0: the client's stream
    /// has ended, which is recorded.
    fn read(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>, limit: usize) -> Poll<io::Result<usize>> {
        if !self.surplus.is_empty() {
            return Poll::Ready(Ok(self.surplus.take(buf, limit)));
        }
        if self.discarded {
            // Bytes are missing after those that were passed on, so the connection reads as closed.
            return Poll::Ready(Ok(0));
        }
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(limit.min(buf.remaining())));
        ready!(poll_read(&self.connection.stream, cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        if read == 0 {
            self.connection.read_closed.set(true);
        }
        Poll::Ready(Ok(read))
    }

    /// Reads up to the end of the next head.
    fn read_head(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let pipelined = self.connection.phase() == Phase::Busy;
        if !pipelined && (self.head_complete || self.undecoded_bytes >= HEAD_READ_BYTES) {
            // The service reads until nothing is left before it decodes.
            (self.head_complete, self.undecoded_bytes) = (false, 0);
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if !pipelined && self.head_bytes > MAX_HEAD_BYTES {
            // The head reads as cut off, so the connection closes.
            return Poll::Ready(Ok(()));
        }
        if !self.reserve_head() {
            // Other heads give memory back when they end, or at their timeout.
            self.head_memory.wake_on_release(cx.waker());
            return Poll::Pending;
        }
        let filled_before = buf.filled().len();
        let complete = if self.surplus.is_empty() {
            ready!(self.read_up_to_head_end(cx, buf))?
        } else {
            self.surplus.take_head(buf, HEAD_READ_BYTES, &mut self.head_scanner)
        };
        self.record_unserved_requests();
        let passed_on = buf.filled().len() - filled_before;
        self.head_bytes = if complete { 0 } else { self.head_bytes + passed_on };
        if complete {
            self.head_reservation.resize(0);
        }
        if pipelined {
            self.pipelined_heads += usize::from(complete);
            self.pipelined_bytes += passed_on;
        } else {
            self.head_complete = complete;
            self.undecoded_bytes += passed_on;
        }
        Poll::Ready(Ok(()))
    }

    /// Reads from the stream, while nothing is kept. Bytes behind the end of a head are kept. Returns whether a head ends.
    fn read_up_to_head_end(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<bool>> {
        let filled_before = buf.filled().len();
        ready!(self.read(cx, buf, HEAD_READ_BYTES))?;
        let end = self.head_scanner.find_end(&buf.filled()[filled_before..]);
        if let Some(end) = end {
            self.surplus.push(&buf.filled()[filled_before + end..]);
            buf.set_filled(filled_before + end);
        }
        Poll::Ready(Ok(end.is_some()))
    }

    /// Reserves memory for the next read of a long head. Returns false if none is left.
    fn reserve_head(&mut self) -> bool {
        let bytes = self.head_bytes + HEAD_READ_BYTES;
        // The HTTP library's buffer doubles as it grows.
        self.head_bytes <= FREE_HEAD_BYTES || self.head_reservation.try_resize(2 * bytes)
    }

    /// Tells the connection whether complete heads have not been passed on, so that they are answered before it closes.
    fn record_unserved_requests(&self) {
        self.connection.set_unserved_requests(self.surplus.contains_head_end(self.head_scanner));
    }

    fn read_body(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
        limit: usize,
    ) -> Poll<io::Result<()>> {
        let read = ready!(self.read(cx, buf, limit))?;
        self.connection.body_reading.record_passed_on(read);
        Poll::Ready(Ok(()))
    }

    /// Reads up to `limit` bytes ahead without passing them on, so that the client's close is detected: the system tells
    /// of it only once all that the client sent before has been read.
    fn read_ahead(
        &mut self,
        cx: &mut Context<'_>,
        keep: impl Fn(&mut RequestReader, &[u8]),
        limit: usize,
    ) -> Poll<io::Result<ReadAhead>> {
        let mut scratch = [0; READ_AHEAD_BYTES];
        let mut read = 0;
        while read < limit {
            let mut part = ReadBuf::new(&mut scratch[..READ_AHEAD_BYTES.min(limit - read)]);
            ready!(poll_read(&self.connection.stream, cx, &mut part))?;
            if part.filled().is_empty() {
                self.connection.read_closed.set(true);
                return Poll::Ready(Ok(ReadAhead::Ended));
            }
            read += part.filled().len();
            keep(self, part.filled());
        }
        Poll::Ready(Ok(ReadAhead::LimitReached))
    }

    /// Keeps more of a body, up to `limit` bytes in all.
    fn keep_body(&mut self, cx: &mut Context<'_>, limit: usize) -> Poll<io::Result<()>> {
        if !self.head_memory.admits_more() {
            // The handler asks for more when it needs it. The system tells of the client's close all the same.
            return Poll::Pending;
        }
        let more = limit.saturating_sub(self.surplus.len());
        match ready!(self.read_ahead(cx, |reader, bytes| reader.surplus.push(bytes), more))? {
            ReadAhead::Ended => Poll::Ready(Ok(())),
            ReadAhead::LimitReached => Poll::Pending,
        }
    }

    /// Keeps pipelined requests, and discards what exceeds [`MAX_PIPELINED_BYTES`].
    fn keep_requests(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let read = self.read_ahead(cx, RequestReader::keep_or_discard, MAX_PIPELINED_BYTES);
        self.record_unserved_requests();
        match ready!(read)? {
            ReadAhead::Ended => Poll::Ready(Ok(())),
            ReadAhead::LimitReached => {
                // Lets other tasks run before it reads on.
                cx.waker().wake_by_ref();
                Poll::Pending
            }
        }
    }

    fn keep_or_discard(&mut self, bytes: &[u8]) {
        let kept_bytes = self.surplus.len() + bytes.len();
        if self.discarded
            || kept_bytes > MAX_PIPELINED_BYTES
            || !self.pipelined_reservation.try_resize(kept_bytes)
        {
            // The discarded bytes are not served, so the connection cannot continue after what was kept.
            self.discarded = true;
            self.connection.close_after_response();
        } else {
            self.surplus.push(bytes);
        }
    }
}
