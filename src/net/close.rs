//! Detects when a client closes its end of a connection, and closes connections without losing data.
//!
//! Closing a socket that has unread bytes resets the connection, and the client loses what it has not read
//! yet. So writing is shut down first, what still arrives is read and discarded for a bounded time, and only
//! then the socket is closed.

use std::io;
use std::net::Shutdown;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// How long a connection that is being closed is still read at most, so that a client that never closes its
/// side cannot keep the connection open for longer.
pub const LINGER: Duration = Duration::from_secs(1);
/// How many bytes are read and discarded at most, so that a client that keeps sending cannot keep the
/// connection open.
const MAX_DISCARDED_BYTES: usize = 4 << 20;
/// Size of the buffer for discarded bytes.
const DISCARD_BUFFER_BYTES: usize = 4096;

/// Shuts writing down, then reads and discards what arrives until the client has closed its side, the
/// connection fails, or the limit of discarded bytes is reached. The caller bounds the time and closes the
/// stream. Cancel safe.
pub async fn close(stream: &TcpStream) {
    let mut discarded = 0;
    let mut scratch = [0; DISCARD_BUFFER_BYTES];
    if socket2::SockRef::from(stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    while discarded < MAX_DISCARDED_BYTES && stream.readable().await.is_ok() {
        match stream.try_read(&mut scratch) {
            Ok(0) => return,
            Ok(read) => discarded += read,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// Shuts writing down and waits until the client has closed its side, without reading: for a connection between
/// requests. A request that crosses the close stays unread, so that closing the stream resets the connection and the
/// client knows that nothing of it was read. The caller bounds the time and closes the stream. Cancel safe.
pub async fn close_between_requests(stream: &TcpStream) {
    if socket2::SockRef::from(stream).shutdown(Shutdown::Write).is_ok() {
        read_closed(stream).await;
    }
}

/// The number of bytes that the system has received on a connection and that have not been read.
pub fn unread_bytes(stream: &TcpStream) -> u64 {
    // The call fails only on what is no open socket; then nothing more arrives.
    rustix::io::ioctl_fionread(stream).unwrap_or(0)
}

/// Resolves once the peer has closed its side of the connection or reset it, whether or not bytes that it
/// sent before are unread or another task reads them.
///
/// The operating system reports this as an event (EPOLLRDHUP), without a timer. Readiness for reading is of
/// no use, because it lasts as long as bytes are unread. The priority interest becomes ready for the closed
/// side alone, since no stream here is registered for urgent data. Cancel safe: cancelled, it leaves no state
/// behind. If the runtime that drives the stream has shut down it resolves too, since nothing more will
/// arrive.
pub async fn read_closed(stream: &TcpStream) {
    while let Ok(ready) = stream.ready(Interest::PRIORITY).await {
        if ready.is_read_closed() {
            return;
        }
        tokio::task::yield_now().await;
    }
}
