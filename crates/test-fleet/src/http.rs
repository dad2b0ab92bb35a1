//! As much of an HTTP/1.1 server (RFC 9112) as a stub needs: one request at a time, lengths by
//! `Content-Length` only.

use bytes::{Buf, BytesMut};
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The longest head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The longest body, in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
const MAX_HEADERS: usize = 32;

/// A request's head.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    /// The path with its query.
    pub target: String,
    headers: Vec<(String, String)>,
    /// Bytes of the body, whose content nobody looks at.
    pub body_bytes: usize,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn new(status: u16) -> Response {
        Response { status, headers: Vec::new(), body: Vec::new() }
    }
}

/// A connection that requests are read from.
pub struct Connection {
    pub stream: TcpStream,
    buffer: BytesMut,
}

fn invalid_data(problem: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, problem)
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        Connection { stream, buffer: BytesMut::new() }
    }

    /// The head of the next request; none where the stream ends before one. Its body is still to be skipped.
    pub async fn read_head(&mut self) -> io::Result<Option<Request>> {
        loop {
            if let Some(request) = self.parse_head()? {
                return Ok(Some(request));
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid_data("too long a head"));
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(io::ErrorKind::UnexpectedEof.into())
                };
            }
        }
    }

    fn parse_head(&mut self) -> io::Result<Option<Request>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Request::new(&mut headers);
        let length = match head.parse(&self.buffer).map_err(|error| invalid_data(&error.to_string()))? {
            httparse::Status::Complete(length) => length,
            httparse::Status::Partial => return Ok(None),
        };
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let mut request = Request {
            method: head.method.unwrap_or_default().to_string(),
            target: head.path.unwrap_or_default().to_string(),
            headers: head.headers.iter().map(|h| (h.name.to_string(), text(h.value))).collect(),
            body_bytes: 0,
        };
        let body_bytes = request.header("content-length").map_or(Ok(0), str::parse::<usize>);
        request.body_bytes = body_bytes
            .ok()
            .filter(|bytes| *bytes <= MAX_BODY_BYTES)
            .ok_or_else(|| invalid_data("the body's length"))?;
        self.buffer.advance(length);
        Ok(Some(request))
    }

    /// Reads this much of a body away.
    pub async fn skip_body(&mut self, mut bytes: usize) -> io::Result<()> {
        loop {
            let buffered = bytes.min(self.buffer.len());
            self.buffer.advance(buffered);
            bytes -= buffered;
            if bytes == 0 {
                return Ok(());
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    pub async fn respond(&mut self, response: Response) -> io::Result<()> {
        let length = response.body.len();
        let mut head = format!("HTTP/1.1 {} -\r\nContent-Length: {length}\r\n", response.status);
        for (name, value) in &response.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&response.body);
        self.stream.write_all(&bytes).await
    }

    /// Ends the connection by a reset.
    pub fn reset(self) {
        // Where the option fails, the other side sees an end instead, which is a break as well.
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}
