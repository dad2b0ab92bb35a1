//! Reads and writes of a stream that may move less than they could.
//!
//! The runtime takes a read that fills only a part of its buffer, or a write of only a part, for the sign
//! that the system has no more, and waits for the next event. Where a call is cut short for another reason no
//! such event comes, and the exchange stands still until its time is up. Here only `WouldBlock` says that
//! there is nothing more to do.

use bytes::BytesMut;
use std::io;
use std::task::{Context, Poll, ready};
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// Whether a call that failed is made again at once: a signal came between.
fn again(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

/// Reads what has come into a buffer; nothing read: the end of the stream. Pending: the task is woken once
/// something has come.
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
            Err(error) if again(&error) => {}
            Err(error) => return Poll::Ready(Err(error)),
        }
    }
}

/// Writes as much as the system takes now.
///
/// # Errors
/// The connection is broken.
pub fn poll_write(stream: &TcpStream, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(cx))?;
        match stream.try_write(bytes) {
            Err(error) if again(&error) => {}
            done => return Poll::Ready(done),
        }
    }
}

/// Reads what has come behind what a buffer holds; 0: the end. Dropped before it resolves, it has read
/// nothing.
///
/// # Errors
/// The connection is broken.
pub async fn read_buf(stream: &TcpStream, buffer: &mut BytesMut) -> io::Result<usize> {
    loop {
        stream.readable().await?;
        match stream.try_read_buf(buffer) {
            Err(error) if again(&error) => {}
            done => return done,
        }
    }
}

/// Writes all of these bytes.
///
/// # Errors
/// The connection is broken; some of them may have been written.
pub async fn write_all(stream: &TcpStream, mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        stream.writable().await?;
        match stream.try_write(bytes) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => bytes = &bytes[written..],
            Err(error) if again(&error) => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}
