//! One request of a client, written in pieces at given times while the client watches its connection.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The most bytes of a response's head.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The shortest time-out of a read, since zero would mean none.
const MIN_READ_TIMEOUT: Duration = Duration::from_millis(1);

/// A request in pieces.
pub struct Request {
    /// Its id.
    pub id: String,
    /// The pieces, each with the time after the first at which it is written.
    pub pieces: Vec<(Duration, Vec<u8>)>,
    /// How long the client waits for the response, counted from the last piece.
    pub time_left: Duration,
}

/// How an exchange ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole response, and whether the connection stays open after it.
    Answered {
        /// The status.
        status: u16,
        /// Whether the connection stays open.
        stays_open: bool,
    },
    /// The connection ended without a whole response.
    Closed,
    /// Nothing came in the client's time and half a second.
    Nothing,
}

/// What the client of a request saw.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    /// When its first byte was written.
    pub began_at: Instant,
    /// When its last byte was written; `None`: it was not.
    pub whole_at: Option<Instant>,
    /// When the exchange ended.
    pub ended_at: Instant,
    /// How it ended.
    pub end: End,
}

/// Whether a connection has ended, or has something to read, before `until`. Returns as soon as it has.
pub fn wait_for_close(stream: &TcpStream, until: Instant) -> bool {
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        if stream.set_read_timeout(Some(left.max(MIN_READ_TIMEOUT))).is_err() {
            return true;
        }
        match stream.peek(&mut [0]) {
            Err(error) if is_timeout(&error) => {}
            _ => return true,
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted)
}

/// Writes a request and reads its response, which may come before the request is whole.
pub fn exchange(stream: &mut TcpStream, request: &Request) -> Exchange {
    let began_at = Instant::now();
    let whole_at = write_pieces(stream, request, began_at);
    // The longest response time counts from the last byte; a later response is lost.
    let until = Instant::now() + request.time_left + Duration::from_millis(500);
    let end = read_response(stream, until);
    Exchange { began_at, whole_at, ended_at: Instant::now(), end }
}

/// Writes the pieces at their times. Returns when the last was written; `None`: the connection ended before, or the
/// response came.
fn write_pieces(stream: &mut TcpStream, request: &Request, began_at: Instant) -> Option<Instant> {
    for (after, bytes) in &request.pieces {
        if wait_for_close(stream, began_at + *after) {
            return None;
        }
        stream.write_all(bytes).ok()?;
    }
    Some(Instant::now())
}

fn read_response(stream: &mut TcpStream, until: Instant) -> End {
    let mut received = Vec::new();
    loop {
        if let Some(end) = whole_response(&received) {
            return end;
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return End::Nothing;
        }
        let _ = stream.set_read_timeout(Some(left.max(MIN_READ_TIMEOUT)));
        let mut buffer = [0; 4096];
        match stream.read(&mut buffer) {
            Ok(read) if read > 0 && received.len() <= MAX_HEAD_BYTES => {
                received.extend_from_slice(&buffer[..read]);
            }
            Err(error) if is_timeout(&error) => {}
            _ => return End::Closed,
        }
    }
}

/// The end of an exchange whose response is whole in `received`. The responses of these runs declare their length.
fn whole_response(received: &[u8]) -> Option<End> {
    let head_end = memchr::memmem::find(received, b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..head_end]).to_ascii_lowercase();
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let value = |name: &str| head.lines().find_map(|line| line.strip_prefix(name)).map(str::trim);
    let length: usize = value("content-length:")?.parse().ok()?;
    let is_whole = received.len() >= head_end + length;
    is_whole.then(|| End::Answered { status, stays_open: value("connection:") != Some("close") })
}

/// Waits until `at`.
pub fn sleep_until(at: Instant) {
    sleep(at.saturating_duration_since(Instant::now()));
}
