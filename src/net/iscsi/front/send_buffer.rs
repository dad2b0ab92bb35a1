//! PDUs that wait to be written to a client.

use crate::net::close::{read_closed, unread_bytes};
use bytes::{Buf, BytesMut};
use rowanglade_iscsi::Pdu;
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::time::Instant;

/// PDUs that wait to be written. They are buffered so that PDUs from a client that is slow to read are still
/// read: it may abort the tasks whose responses wait.
pub(super) struct SendBuffer<'a> {
    writer: &'a mut OwnedWriteHalf,
    unsent: BytesMut,
    /// When the client last accepted bytes, or the buffer last became non-empty.
    progress_at: Instant,
}

impl<'a> SendBuffer<'a> {
    pub(super) fn new(writer: &'a mut OwnedWriteHalf) -> SendBuffer<'a> {
        SendBuffer { writer, unsent: BytesMut::new(), progress_at: Instant::now() }
    }

    /// The number of bytes that wait.
    pub(super) fn len(&self) -> usize {
        self.unsent.len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.unsent.is_empty()
    }

    /// When the client last accepted bytes, or the buffer last became non-empty.
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

    /// Resolves once the client has closed its side, also while bytes that it sent are unread. Cancel safe.
    pub(super) async fn client_closed(&self) {
        read_closed(self.writer.as_ref()).await;
    }

    /// The number of bytes that the system has received from the client and that have not been read.
    pub(super) fn unread_bytes(&self) -> u64 {
        unread_bytes(self.writer.as_ref())
    }

    /// Resolves once the connection may accept bytes. Cancel safe.
    pub(super) async fn writable(&self) -> io::Result<()> {
        self.writer.writable().await
    }

    /// Writes as many bytes as the connection accepts now.
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

    /// Writes all bytes that wait. Not cancel safe: part of them may have been written.
    pub(super) async fn flush(&mut self) -> io::Result<()> {
        self.writer.write_all(&self.unsent).await
    }
}
