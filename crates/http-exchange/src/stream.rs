//! Reads and writes that stay correct when the system transfers fewer bytes than it could.
//!
//! The runtime takes a read that fills only a part of its buffer, or a partial write, for a sign that the
//! system has no more, and waits for the next event. If a call was cut short for another reason, no such
//! event comes, and the exchange stalls until it times out. The functions here wait for an event only after
//! `WouldBlock`.

use bytes::BytesMut;
use std::io;
use std::task::{Context, Poll, ready};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Whether a failed call is repeated: the socket was not ready, or a signal interrupted the call.
fn is_retryable(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Reads what has arrived into `buf`; if nothing is read, the stream has ended. Pending: the task is woken
/// once more has arrived.
///
/// # Errors
/// The connection is broken.
pub fn poll_read(stream: &TcpStream, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
    loop {
        ready!(stream.poll_read_ready(cx))?;
        match stream.try_read(buf.initialize_unfilled()) {
            Ok(read) => {
                buf.advance(read);
                return Poll::Ready(Ok(()));
            }
            Err(error) if is_retryable(&error) => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

/// Writes as many bytes as the system accepts now.
///
/// # Errors
/// The connection is broken.
pub fn poll_write(stream: &TcpStream, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match stream.try_write(bytes) {
            Err(error) if is_retryable(&error) => {}
            done => return Poll::Ready(done),
        }
    }
}

/// Appends what has arrived to `buffer`, `max_bytes` or a few more if the buffer has the room, and returns the number of
/// bytes; 0: the stream has ended. The buffer grows only once something has arrived. Cancel safe: dropped before it
/// resolves, it has read nothing.
///
/// # Errors
/// The connection is broken.
pub async fn read_buf(stream: &TcpStream, buffer: &mut BytesMut, max_bytes: usize) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        buffer.reserve(max_bytes);
        match stream.try_read_buf(buffer) {
            Err(error) if is_retryable(&error) => {}
            done => return done,
        }
    }
}

/// Writes all of `bytes`.
///
/// # Errors
/// The connection is broken; some of the bytes may have been written.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(error) if is_retryable(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
