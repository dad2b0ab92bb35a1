//! Reads PDUs from a stream of bytes.

use crate::pdu::{self, HEADER_BYTES, Header, Pdu, RejectReason};
use bytes::{Buf, BytesMut};
use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// The largest data segment in bytes that this side accepts and declares as its MaxRecvDataSegmentLength.
pub const MAX_SEGMENT_BYTES: usize = 64 * 1024;

/// Why no PDU could be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The stream broke, or ended inside a PDU.
    #[error(transparent)]
    Io(io::Error),
    /// The stream ended between PDUs.
    #[error("stream ended between PDUs")]
    End,
    /// A PDU that this side does not support. The next one can still be read.
    #[error("PDU rejected: {0}")]
    Rejected(RejectReason, Box<Header>),
    /// A header with a data segment that exceeds [`MAX_SEGMENT_BYTES`]. No further PDU can be read.
    #[error("data segment exceeds MaxRecvDataSegmentLength of {MAX_SEGMENT_BYTES} bytes")]
    TooLong(Box<Header>),
}

/// Reads PDUs from a stream.
#[derive(Debug)]
pub struct PduReader<R> {
    stream: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> PduReader<R> {
    /// Creates a reader of a stream.
    pub fn new(stream: R) -> PduReader<R> {
        PduReader { stream, buffer: BytesMut::new() }
    }

    /// Returns the stream. Bytes that were read and not returned as PDUs are lost.
    pub fn into_inner(self) -> R {
        self.stream
    }

    /// Whether bytes of a PDU have been read that has not been returned.
    pub fn is_inside_pdu(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// The next PDU. Cancel safe: dropped before it resolves, it has lost nothing.
    ///
    /// # Errors
    /// The stream broke or ended, or the PDU is not supported.
    pub async fn next(&mut self) -> Result<Pdu, ReadError> {
        loop {
            if let Some(pdu) = self.take_buffered() {
                return pdu;
            }
            let read = self.stream.read_buf(&mut self.buffer).await.map_err(ReadError::Io)?;
            if read == 0 {
                return Err(match self.buffer.is_empty() {
                    true => ReadError::End,
                    false => ReadError::Io(io::ErrorKind::UnexpectedEof.into()),
                });
            }
        }
    }

    /// The next PDU, if all of it is in the buffer.
    fn take_buffered(&mut self) -> Option<Result<Pdu, ReadError>> {
        let header: Header = self.buffer.get(..HEADER_BYTES)?.try_into().ok()?;
        let (additional, data) = pdu::lengths(&header);
        if data > MAX_SEGMENT_BYTES {
            return Some(Err(ReadError::TooLong(Box::new(header))));
        }
        let pdu_bytes = HEADER_BYTES + additional + data.next_multiple_of(4);
        if self.buffer.len() < pdu_bytes {
            self.buffer.reserve(pdu_bytes - self.buffer.len());
            return None;
        }
        let mut bytes = self.buffer.split_to(pdu_bytes);
        bytes.advance(HEADER_BYTES + additional);
        bytes.truncate(data);
        let pdu = Pdu::decode(&header, bytes.freeze());
        Some(pdu.map_err(|reason| ReadError::Rejected(reason, Box::new(header))))
    }
}
