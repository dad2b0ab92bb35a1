//! Reads HTTP/1.1 responses (RFC 9112) as a client.

use bytes::BytesMut;
use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// The maximum size of a response head in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_HEADERS: usize = 32;

/// Reads one response, and tracks its progress.
#[derive(Default)]
pub struct ResponseReader {
    /// At least one byte of the response was received.
    pub started: bool,
    /// The connection closes after the response.
    pub closes: bool,
}

/// How the end of a response's body is determined.
enum Framing {
    Length(usize),
    Chunked,
    Close,
}

impl ResponseReader {
    /// Reads a complete response, and returns its status.
    pub async fn read(&mut self, stream: &mut TcpStream) -> io::Result<u16> {
        let mut buffer = BytesMut::new();
        let (status, framing) = loop {
            if let Some((length, status, framing)) = self.parse_head(&buffer)? {
                drop(buffer.split_to(length));
                break (status, framing);
            }
            self.read_more(stream, &mut buffer).await?;
        };
        match framing {
            Framing::Length(length) => {
                while buffer.len() < length {
                    self.read_more(stream, &mut buffer).await?;
                }
            }
            Framing::Chunked => {
                while !buffer.ends_with(b"0\r\n\r\n") {
                    self.read_more(stream, &mut buffer).await?;
                }
            }
            Framing::Close => {
                self.closes = true;
                while stream.read_buf(&mut buffer).await? > 0 {
                    buffer.clear();
                }
            }
        }
        Ok(status)
    }

    async fn read_more(&mut self, stream: &mut TcpStream, buffer: &mut BytesMut) -> io::Result<()> {
        if stream.read_buf(buffer).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.started = true;
        Ok(())
    }

    /// Parses the head: its length in bytes, the status and the body's framing. `None` if the head is
    /// incomplete.
    fn parse_head(&mut self, buffer: &[u8]) -> io::Result<Option<(usize, u16, Framing)>> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut head = httparse::Response::new(&mut headers);
        let invalid_data = |_| io::Error::from(io::ErrorKind::InvalidData);
        let length = match head.parse(buffer).map_err(invalid_data)? {
            httparse::Status::Complete(length) => length,
            httparse::Status::Partial if buffer.len() > MAX_HEAD_BYTES => {
                return Err(io::ErrorKind::InvalidData.into());
            }
            httparse::Status::Partial => return Ok(None),
        };
        let value = |name: &str| {
            let header = head.headers.iter().find(|header| header.name.eq_ignore_ascii_case(name));
            header.and_then(|header| std::str::from_utf8(header.value).ok())
        };
        self.closes = value("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"));
        let framing = match value("content-length").and_then(|value| value.trim().parse().ok()) {
            Some(length) => Framing::Length(length),
            None if value("transfer-encoding").is_some() => Framing::Chunked,
            None => Framing::Close,
        };
        Ok(Some((length, head.code.unwrap_or(0), framing)))
    }
}
