//! The end of a client's connection, seen and made. A close over unread bytes resets it, and takes along what
//! the client has not read yet: so writing is shut down, what still comes is read and dropped for a bounded
//! while, and only then it is closed.

use std::io;
use std::net::Shutdown;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::TcpStream;

/// How long, and how much, is read and dropped.
pub const LINGER: Duration = Duration::from_secs(1);
const MOST_DROPPED: usize = 4 << 20;

/// Shuts writing down, and reads and drops what still comes until the client has closed too.
pub async fn close(stream: &TcpStream) {
    let mut dropped = 0;
    let mut scratch = [0; 4096];
    if socket2::SockRef::from(stream).shutdown(Shutdown::Write).is_err() {
        return;
    }
    while dropped < MOST_DROPPED && stream.readable().await.is_ok() {
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
/// It is told by the system's event (EPOLLRDHUP), without a timer. Readiness to read would hold for as long
/// as bytes are unread. The priority interest holds for the closed side alone: no stream here is registered
/// for urgent data. Cancelled, it leaves nothing behind. Without a runtime that drives the stream it resolves
/// too: nothing more will come.
pub async fn read_closed(stream: &TcpStream) {
    while let Ok(ready) = stream.ready(Interest::PRIORITY).await {
        if ready.is_read_closed() {
            return;
        }
        tokio::task::yield_now().await;
    }
}
