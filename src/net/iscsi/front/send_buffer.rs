//! PDUs that wait to be written to a client.

use crate::net::close::read_closed;
use bytes::{Buf, BytesMut};
use rowanglade_iscsi::Pdu;
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;

/// PDUs that wait to be written. A client that is slow to read must not keep what it sends from being read: it
/// may abort what waits.
pub(super) struct SendBuffer<'a> {
    writer: &'a mut OwnedWriteHalf,
    unsent: BytesMut,
    /// When the client last took bytes, or the first of the waiting ones was added.
    progress_at: Instant,
}

impl<'a> SendBuffer<'a> {
    pub(super) fn new(writer: &'a mut OwnedWriteHalf) -> SendBuffer<'a> {
        SendBuffer { writer, unsent: BytesMut::new(), progress_at: Instant::now() }
    }

    /// Bytes that wait.
    pub(super) fn len(&self) -> usize {
        self.unsent.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.unsent.is_empty()
    }

    /// When the client last took bytes, or the first of the waiting ones was added.
    pub(super) fn progress_at(&self) -> Instant {
        self.progress_at
    }

    pub(super) fn push(&mut self, pdu: &Pdu) {
        if self.unsent.is_empty() {
            self.progress_at = Instant::now();
        }
        self.unsent.extend_from_slice(&pdu.encode());
    }

    pub(super) fn clear(&mut self) {
        self.unsent.clear();
    }

    /// Resolves once the client has closed its side, also over unread bytes. Cancel safe.
    pub(super) async fn client_closed(&self) {
        read_closed(self.writer.as_ref()).await;
    }

    /// Resolves once the connection may take bytes. Cancel safe.
    pub(super) async fn writable(&self) -> io::Result<()> {
        self.writer.writable().await
    }

    /// Writes what the connection takes now.
    pub(super) fn write(&mut self) -> io::Result<()> {
        match self.writer.try_write(&self.unsent) {
            Ok(written) => {
                self.unsent.advance(written);
                self.progress_at = Instant::now();
                Ok(())
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
        }
    }

    /// Writes all that waits. Not cancel safe: part of it may have been written.
    pub(super) async fn flush(&mut self) -> io::Result<()> {
        self.writer.write_all(&self.unsent).await
    }
}
