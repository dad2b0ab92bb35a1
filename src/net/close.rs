//! How a client's end of a connection is detected, and how a connection is closed. A close over unread bytes
//! resets it, and takes along what the client has not read yet: so writing is shut down, what still arrives is
//! read and dropped for a bounded time, and only then it is closed.

use std::io;
use std::net::Shutdown;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// How long a connection that is being closed is read, at most: a client that never closes its side does not hold
/// it for longer.
pub const LINGER: Duration = Duration::from_secs(1);
/// How much is read and dropped, at most: a client that goes on sending does not hold its connection.
const MAX_DROPPED_BYTES: usize = 4 << 20;
/// How much is read at once of what is dropped.
const DROP_BUFFER_BYTES: usize = 4096;

/// Shuts writing down, and reads and drops what still arrives until the client has closed too. The caller bounds
/// its time and closes the stream. Cancel safe.
pub async fn close(stream: &TcpStream) {
    let mut dropped = 0;
    let mut scratch = [0; DROP_BUFFER_BYTES];
    if socket2::SockRef::from(stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    while dropped < MAX_DROPPED_BYTES && stream.readable().await.is_ok() {
        match stream.try_read(&mut scratch) {
            Ok(0) => return,
            Ok(read) => dropped += read,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}

/// Resolves once the peer has closed its side of the connection or reset it, also where bytes that it sent
/// before are unread, and whether or not somebody reads them.
///
/// The system reports it by an event (EPOLLRDHUP), without a timer. Readiness to read would hold for as long
/// as bytes are unread. The priority interest holds for the closed side alone: no stream here is registered
/// for urgent data. Cancel safe: cancelled, it leaves nothing behind. Without a runtime that drives the stream
/// it resolves too: nothing more will arrive.
pub async fn read_closed(stream: &TcpStream) {
    while let Ok(ready) = stream.ready(Interest::PRIORITY).await {
        if ready.is_read_closed() {
            return;
        }
        tokio::task::yield_now().await;
    }
}
