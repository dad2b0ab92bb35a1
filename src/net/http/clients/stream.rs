//! A client's stream as the HTTP service reads and writes it, and its graceful close.

use super::connection::{ClientConnection, Phase};
use super::head_scanner::HeadScanner;
use super::limits::{HEAD_READ_BYTES, MAX_PIPELINED_BYTES, MAX_PIPELINED_HEADS};
use super::open_streams::CountedStream;
use super::surplus::Surplus;
use super::table::Registration;
use crate::net::close::{LINGER, close};
use rowanglade_http_exchange::stream::{poll_read, poll_write};
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Bytes of one read of which nothing is passed on.
const READ_AHEAD_BYTES: usize = 4096;

/// A client's stream. Once its connection has been ended, it reads as closed and accepts no writes. Dropping
/// it closes the connection gracefully; until that is done the connection stays in the table.
#[derive(Debug)]
pub struct ClientStream {
    stream: Rc<CountedStream>,
    connection: Rc<ClientConnection>,
    /// `None` once the connection is being closed.
    registration: Option<Registration>,
    head_scanner: HeadScanner,
    /// Bytes that were read and not passed on yet.
    surplus: Surplus,
    /// Whether the end of a head was passed on, and the HTTP service has not been able to decode it yet.
    head_passed_on: bool,
    /// Ends of heads, and bytes, that were passed on ahead of the request that the handler is processing.
    pipelined_heads: usize,
    pipelined_bytes: usize,
    /// Whether bytes that follow the surplus have been discarded.
    discarded: bool,
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

/// Why reading ahead has stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReadAhead {
    /// The client has closed its side.
    Ended,
    /// As many bytes as allowed were read.
    LimitReached,
}

impl ClientStream {
    pub(super) fn new(connection: Rc<ClientConnection>, registration: Registration) -> ClientStream {
        let stream = Rc::clone(&connection.stream);
        ClientStream {
            stream,
            connection,
            registration: Some(registration),
            head_scanner: HeadScanner::default(),
            surplus: Surplus::default(),
            head_passed_on: false,
            pipelined_heads: 0,
            pipelined_bytes: 0,
            discarded: false,
        }
    }

    /// The connection's state.
    pub fn connection(&self) -> &Rc<ClientConnection> {
        &self.connection
    }

    /// The socket.
    pub fn tcp(&self) -> &TcpStream {
        &self.stream
    }

    /// What may be read now. Without a limit the HTTP service would read, and decode into many times the memory, all
    /// that a client sends ahead of the responses.
    fn allowance(&mut self) -> Allowance {
        if self.connection.phase() != Phase::Busy {
            (self.pipelined_heads, self.pipelined_bytes) = (0, 0);
            return Allowance::Head;
        }
        if !self.connection.is_request_complete() {
            return match self.connection.body_window() {
                0 => Allowance::KeptBody(self.connection.body_read_ahead()),
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
        ready!(poll_read(&self.stream, cx, &mut part))?;
        let read = part.filled().len();
        buf.advance(read);
        if read == 0 {
            self.connection.read_closed.set(true);
        }
        Poll::Ready(Ok(read))
    }

    /// Reads up to the end of the next head.
    fn read_head(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.head_passed_on && self.connection.phase() != Phase::Busy {
            // The service reads until nothing is left before it decodes.
            self.head_passed_on = false;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let filled_before = buf.filled().len();
        let read = ready!(self.read(cx, buf, HEAD_READ_BYTES))?;
        let end = self.head_scanner.find_end(&buf.filled()[filled_before..]);
        if let Some(end) = end {
            self.surplus.push_front(&buf.filled()[filled_before + end..]);
            buf.set_filled(filled_before + end);
        }
        self.record_unserved_requests();
        let pipelined = self.connection.phase() == Phase::Busy;
        self.head_passed_on = end.is_some() && !pipelined;
        if pipelined {
            self.pipelined_heads += usize::from(end.is_some());
            self.pipelined_bytes += end.unwrap_or(read);
        }
        Poll::Ready(Ok(()))
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
        self.connection.record_body_read(read);
        Poll::Ready(Ok(()))
    }

    /// Reads up to `limit` bytes ahead without passing them on, so that the client's close is detected: the system tells
    /// of it only once all that the client sent before has been read.
    fn read_ahead(
        &mut self,
        cx: &mut Context<'_>,
        keep: impl Fn(&mut ClientStream, &[u8]),
        limit: usize,
    ) -> Poll<io::Result<ReadAhead>> {
        let mut scratch = [0; READ_AHEAD_BYTES];
        let mut read = 0;
        while read < limit {
            let mut part = ReadBuf::new(&mut scratch[..READ_AHEAD_BYTES.min(limit - read)]);
            ready!(poll_read(&self.stream, cx, &mut part))?;
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
        let more = limit.saturating_sub(self.surplus.len());
        match ready!(self.read_ahead(cx, |stream, bytes| stream.surplus.push(bytes), more))? {
            ReadAhead::Ended => Poll::Ready(Ok(())),
            ReadAhead::LimitReached => Poll::Pending,
        }
    }

    /// Keeps pipelined requests, and discards what exceeds [`MAX_PIPELINED_BYTES`].
    fn keep_requests(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let read = self.read_ahead(cx, ClientStream::keep_or_discard, MAX_PIPELINED_BYTES);
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
        if self.discarded || self.surplus.len() + bytes.len() > MAX_PIPELINED_BYTES {
            // The discarded bytes are not served, so the connection cannot continue after what was kept.
            self.discarded = true;
            self.connection.close_after_response();
        } else {
            self.surplus.push(bytes);
        }
    }

    /// Whether the bytes just read are served although the connection was ended meanwhile. If it were closed
    /// on a request, the client could not determine whether the request was executed.
    fn serves_last_read(&self, received: bool) -> bool {
        let registered = self.registration.as_ref().is_some_and(Registration::is_valid);
        received && registered && self.connection.phase() == Phase::Idle
    }

    fn write(&self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        // The HTTP service writes all that it has before it drops a handler. A response that a disconnected
        // client does not read would delay the cancellation of its next request.
        if self.connection.is_ended() || self.connection.is_abandoned() {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        poll_write(&self.stream, cx, bytes)
    }

    /// Shuts writing down. Failure is ignored: it means that the client has closed the connection meanwhile.
    fn shut_down_writing(&self) {
        let _ = socket2::SockRef::from(self.tcp()).shutdown(Shutdown::Write);
    }

    /// Makes the close reset the connection and discard what the system has buffered.
    fn reset_on_close(&self) {
        let _ = socket2::SockRef::from(self.tcp()).set_linger(Some(Duration::ZERO));
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        let read = match self.allowance() {
            Allowance::Head => self.read_head(cx, buf),
            Allowance::Body(limit) => self.read_body(cx, buf, limit),
            Allowance::KeptBody(limit) => self.keep_body(cx, limit),
            Allowance::KeptRequests => self.keep_requests(cx),
        };
        let received = buf.filled().len() > filled_before;
        if self.connection.is_ended() {
            if !self.serves_last_read(received) {
                buf.set_filled(filled_before);
                return Poll::Ready(Ok(()));
            }
            self.connection.resume();
        }
        if read.is_pending() {
            self.connection.wake_on_change(cx.waker());
        } else if received && matches!(self.connection.phase(), Phase::Silent | Phase::Idle) {
            self.connection.set_phase(Phase::Head);
        }
        read
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = self.write(cx, buf);
        match written.is_pending() {
            true => self.connection.record_blocked_write(),
            false => self.connection.record_write_progress(),
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Nothing is buffered here.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.shut_down_writing();
        Poll::Ready(Ok(()))
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        let registration = self.registration.take();
        if self.connection.is_truncated() {
            // A close without a reset would deliver the buffered part as the complete response.
            self.reset_on_close();
            return;
        }
        match registration.filter(|registration| !registration.table().closes_at_once()) {
            Some(registration) => close_gracefully(&self.connection, registration),
            None => self.shut_down_writing(),
        }
    }
}

/// Closes a connection gracefully, on a task of its own. It stays in the table until it is closed or evicted.
/// One that was already evicted does not wait for its client.
fn close_gracefully(connection: &Rc<ClientConnection>, registration: Registration) {
    let connection = Rc::clone(connection);
    let registered = registration.is_valid();
    let linger = if registered { LINGER } else { Duration::ZERO };
    let until = Instant::now() + linger;
    connection.set_phase(Phase::Closing);
    actix_rt::spawn(async move {
        tokio::select! {
            biased;
            () = close(&connection.stream) => {}
            () = connection.evicted.notified(), if registered => {}
            () = tokio::time::sleep_until(until) => {}
        }
        drop(registration);
    });
}
