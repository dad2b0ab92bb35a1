//! As much of an HTTP/1.1 server (RFC 9112) as a stand-in needs: one request at a time, lengths by
//! `Content-Length` only.

use bytes::{Buf, BytesMut};
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The longest head and the longest body, in bytes.
const LONGEST_HEAD: usize = 16 << 10;
const LONGEST_BODY: usize = 64 << 10;

/// A request, whole.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    headers: Vec<(String, String)>,
    /// Bytes of the body, which nobody looks at.
    pub body: usize,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }
}

/// An answer.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn new(status: u16) -> Answer {
        Answer { status, headers: Vec::new(), body: Vec::new() }
    }
}

/// A connection that requests are read from.
pub struct Connection {
    pub stream: TcpStream,
    buffer: BytesMut,
}

fn bad(problem: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, problem)
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        Connection { stream, buffer: BytesMut::new() }
    }

    /// The head of the next request, and how long its body is; none where the stream ends before one.
    pub async fn head(&mut self) -> io::Result<Option<(Request, usize)>> {
        loop {
            if let Some(found) = self.parse()? {
                return Ok(Some(found));
            }
            if self.buffer.len() > LONGEST_HEAD {
                return Err(bad("too long a head"));
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

    fn parse(&mut self) -> io::Result<Option<(Request, usize)>> {
        let mut headers = [httparse::EMPTY_HEADER; 32];
        let mut head = httparse::Request::new(&mut headers);
        let length = match head.parse(&self.buffer).map_err(|e| bad(&e.to_string()))? {
            httparse::Status::Complete(length) => length,
            httparse::Status::Partial => return Ok(None),
        };
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let request = Request {
            method: head.method.unwrap_or_default().to_string(),
            target: head.path.unwrap_or_default().to_string(),
            headers: head.headers.iter().map(|h| (h.name.to_string(), text(h.value))).collect(),
            body: 0,
        };
        let body = request.header("content-length").map_or(Ok(0), str::parse::<usize>);
        let body = body.ok().filter(|b| *b <= LONGEST_BODY).ok_or_else(|| bad("the body's length"))?;
        self.buffer.advance(length);
        Ok(Some((request, body)))
    }

    /// Reads this much of a body away.
    pub async fn skip(&mut self, mut bytes: usize) -> io::Result<()> {
        loop {
            let here = bytes.min(self.buffer.len());
            self.buffer.advance(here);
            bytes -= here;
            if bytes == 0 {
                return Ok(());
            }
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    pub async fn answer(&mut self, answer: Answer) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {} -\r\nContent-Length: {}\r\n", answer.status, answer.body.len());
        for (name, value) in &answer.headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&answer.body);
        self.stream.write_all(&bytes).await
    }

    /// Ends the connection by a reset.
    pub fn reset(self) {
        // Where the option fails, the other side sees an end instead, which is a break as well.
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(std::time::Duration::ZERO));
    }
}
