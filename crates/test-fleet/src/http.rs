//! A minimal HTTP/1.1 server (RFC 9112) for stubs: one request at a time, with bodies delimited by
//! `Content-Length` only.

use bytes::{Buf, BytesMut};
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The maximum size of a request head in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
/// The maximum size of a request body in bytes.
const MAX_BODY_BYTES: usize = 64 << 10;
const MAX_HEADERS: usize = 32;

/// The head of a request.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    /// The path and query.
    pub target: String,
    headers: Vec<(String, String)>,
    /// The size of the body in bytes; its content is discarded.
    pub body_bytes: usize,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

/// A response to send.
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

    /// Reads the head of the next request. `None` if the client closed the connection after the previous
    /// request. The caller must skip the body before it reads the next head.
    pub async fn read_head(&mut self) -> io::Result<Option<Request>> {
        loop {
            if let Some(request) = self.parse_head()? {
                return Ok(Some(request));
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(invalid_data("request head exceeds the maximum size"));
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
            .ok_or_else(|| invalid_data("Content-Length is not a number or exceeds the maximum body size"))?;
        self.buffer.advance(length);
        Ok(Some(request))
    }

    /// Reads and discards this many bytes of a body.
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

    /// Closes the connection with a TCP reset.
    pub fn reset(self) {
        // If the option cannot be set, the peer sees an orderly close instead, which interrupts its request
        // as well.
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}
