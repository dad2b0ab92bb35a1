//! A client's stream as the HTTP service reads and writes it, and its graceful close.

use super::connection::{ClientConnection, Phase};
use super::limits::REJECT_RESPONSE;
use super::open_streams::CountedStream;
use super::request_reader::{RequestPosition, RequestReader};
use super::table::Registration;
use crate::net::budget::MemoryBudget;
use crate::net::close::{LINGER, close, close_between_requests};
use rowanglade_http_exchange::stream::poll_write;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// A client's stream. Once its connection has been ended, it reads as closed and accepts no writes. Dropping
/// it closes the connection gracefully; until that is done the connection stays in the table.
#[derive(Debug)]
pub struct ClientStream {
    stream: Rc<CountedStream>,
    connection: Rc<ClientConnection>,
    /// `None` once the connection is being closed.
    registration: Option<Registration>,
    reader: RequestReader,
    /// Bytes that were written of the 503 to a request whose head has not arrived when the process exits.
    rejection_written: usize,
}

impl ClientStream {
    pub(super) fn new(
        connection: Rc<ClientConnection>,
        registration: Registration,
        head_memory: &MemoryBudget,
    ) -> ClientStream {
        let stream = Rc::clone(&connection.stream);
        let reader = RequestReader::new(Rc::clone(&connection), head_memory);
        ClientStream { stream, connection, registration: Some(registration), reader, rejection_written: 0 }
    }

    /// The connection's state.
    pub fn connection(&self) -> &Rc<ClientConnection> {
        &self.connection
    }

    /// The socket.
    pub fn tcp(&self) -> &TcpStream {
        &self.stream
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

    /// Ends the connection before the process exits, once everything that has arrived was read. Ready: the stream reads
    /// as closed from now on. Pending: a request has its response first, or the client has not read the last one.
    fn poll_finish(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        if self.connection.write_blocked_for(Instant::now()).is_some() {
            return Poll::Pending;
        }
        match self.reader.position() {
            RequestPosition::AfterHead => Poll::Pending,
            RequestPosition::InHead => self.poll_reject(cx),
            // The task is woken again for what the system has received.
            RequestPosition::BetweenRequests if self.connection.unread_bytes() > 0 => Poll::Pending,
            RequestPosition::BetweenRequests => {
                self.connection.close_between_requests();
                Poll::Ready(())
            }
        }
    }

    /// Writes a 503 to a request whose head has begun: its client has a whole response, although the request is not
    /// whole. The HTTP service has written all that it had before, and writes nothing to a request that it has not
    /// decoded. A failed write means that the client has gone.
    fn poll_reject(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        while self.rejection_written < REJECT_RESPONSE.len() {
            let rest = &REJECT_RESPONSE[self.rejection_written..];
            match ready!(poll_write(&self.stream, cx, rest)) {
                Ok(written) if written > 0 => self.rejection_written += written,
                _ => break,
            }
        }
        Poll::Ready(())
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
        if self.connection.has_abandoned_body() {
            return Poll::Ready(Ok(()));
        }
        let filled_before = buf.filled().len();
        let read = self.reader.poll_read(cx, buf);
        let received = buf.filled().len() > filled_before;
        if self.connection.is_ended() {
            if !self.serves_last_read(received) {
                buf.set_filled(filled_before);
                return Poll::Ready(Ok(()));
            }
            self.connection.resume();
        }
        if read.is_pending() {
            if self.connection.is_finishing() && self.poll_finish(cx).is_ready() {
                return Poll::Ready(Ok(()));
            }
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
        let closed = async {
            match connection.closes_between_requests() {
                true => close_between_requests(&connection.stream).await,
                false => close(&connection.stream).await,
            }
        };
        tokio::select! {
            biased;
            () = closed => {}
            () = connection.evicted.notified(), if registered => {}
            () = tokio::time::sleep_until(until) => {}
        }
        drop(registration);
    });
}
