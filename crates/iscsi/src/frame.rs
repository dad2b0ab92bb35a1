//! PDUs out of a stream of bytes.

use crate::pdu::{self, HEADER, Header, Pdu, RejectReason};
use bytes::{Buf, BytesMut};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// The largest data segment taken: what this side declares as its MaxRecvDataSegmentLength.
pub const LARGEST_SEGMENT: usize = 64 * 1024;

/// Why there is no next PDU.
#[derive(Debug)]
pub enum Unreadable {
    /// The stream broke, or ended inside a PDU.
    Io(io::Error),
    /// The stream ended between PDUs.
    End,
    /// A PDU that this side does not take. The stream can go on behind it.
    Rejected(RejectReason, Box<Header>),
    /// A header whose lengths cannot be followed: nothing behind it can be read.
    TooLong(Box<Header>),
}

/// Reads PDUs. A read given up half way loses nothing.
#[derive(Debug)]
pub struct Frames<R> {
    from: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> Frames<R> {
    pub fn new(from: R) -> Frames<R> {
        Frames { from, buffer: BytesMut::new() }
    }

    /// The stream, without what was read of it and not taken.
    pub fn into_inner(self) -> R {
        self.from
    }

    pub async fn next(&mut self) -> Result<Pdu, Unreadable> {
        loop {
            if let Some(pdu) = self.take() {
                return pdu;
            }
            let read = self.from.read_buf(&mut self.buffer).await.map_err(Unreadable::Io)?;
            if read == 0 {
                let whole = self.buffer.is_empty();
                let error = || Unreadable::Io(io::ErrorKind::UnexpectedEof.into());
                return Err(if whole { Unreadable::End } else { error() });
            }
        }
    }

    fn take(&mut self) -> Option<Result<Pdu, Unreadable>> {
        let header: Header = self.buffer.get(..HEADER)?.try_into().ok()?;
        let (additional, data) = pdu::lengths(&header);
        if data > LARGEST_SEGMENT {
            return Some(Err(Unreadable::TooLong(Box::new(header))));
        }
        let whole = HEADER + additional + data.next_multiple_of(4);
        if self.buffer.len() < whole {
            self.buffer.reserve(whole - self.buffer.len());
            return None;
        }
        let mut bytes = self.buffer.split_to(whole);
        bytes.advance(HEADER + additional);
        bytes.truncate(data);
        Some(Pdu::decode(&header, bytes.freeze()).map_err(|r| Unreadable::Rejected(r, Box::new(header))))
    }
}
