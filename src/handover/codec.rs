//! The encoding of messages on a link: the length in four bytes, big endian, then the message as JSON. File
//! descriptors are attached to a message's first byte.

use super::message::Message;
use bytes::{Buf, BufMut, BytesMut};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use tokio::io::Interest;
use tokio::net::UnixStream;

/// Maximum length of a message, far above the size of the endpoint list and the state of the largest fleet.
const MAX_MESSAGE_BYTES: usize = 32 << 20;
/// Maximum number of descriptors attached to a message: one for each listener.
const MAX_DESCRIPTORS: usize = 4;

/// Sends a message, with descriptors that are duplicated into the other process.
///
/// # Errors
/// The stream broke, or there are more descriptors than a message can carry.
pub async fn send(stream: &UnixStream, message: &Message, descriptors: &[OwnedFd]) -> io::Result<()> {
    let text = serde_json::to_vec(message)?;
    let mut bytes = BytesMut::with_capacity(text.len() + 4);
    bytes.put_u32(text.len() as u32);
    bytes.extend_from_slice(&text);
    let mut unsent_descriptors: Vec<BorrowedFd<'_>> = descriptors.iter().map(AsFd::as_fd).collect();
    while !bytes.is_empty() {
        let written = stream
            .async_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                if !unsent_descriptors.is_empty()
                    && !control.push(SendAncillaryMessage::ScmRights(&unsent_descriptors))
                {
                    return Err(io::Error::other("handover message has more descriptors than the limit"));
                }
                Ok(sendmsg(stream, &[IoSlice::new(&bytes)], &mut control, SendFlags::NOSIGNAL)?)
            })
            .await?;
        bytes.advance(written);
        unsent_descriptors.clear();
    }
    Ok(())
}

/// Reads messages and the descriptors attached to them.
#[derive(Debug, Default)]
pub(super) struct MessageReader {
    buffer: BytesMut,
    descriptors: Vec<OwnedFd>,
}

impl MessageReader {
    /// The next message, with the descriptors received up to its end. Cancel safe.
    ///
    /// # Errors
    /// The stream broke, or the received bytes are not a valid message.
    pub(super) async fn next(&mut self, stream: &UnixStream) -> io::Result<(Message, Vec<OwnedFd>)> {
        loop {
            if let Some(message) = self.complete_message()? {
                return Ok((message, std::mem::take(&mut self.descriptors)));
            }
            let mut chunk = [0; 16 * 1024];
            let descriptors = &mut self.descriptors;
            let read = stream
                .async_io(Interest::READABLE, || {
                    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
                    let mut control = RecvAncillaryBuffer::new(&mut space);
                    let buffers = &mut [IoSliceMut::new(&mut chunk)];
                    let received = recvmsg(stream, buffers, &mut control, RecvFlags::CMSG_CLOEXEC)?;
                    for message in control.drain() {
                        if let RecvAncillaryMessage::ScmRights(rights) = message {
                            descriptors.extend(rights);
                        }
                    }
                    Ok(received.bytes)
                })
                .await?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.buffer.extend_from_slice(&chunk[..read]);
        }
    }

    fn complete_message(&mut self) -> io::Result<Option<Message>> {
        let Some(length) = self.buffer.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(io::Error::other("handover message is longer than the limit"));
        }
        if self.buffer.len() < length + 4 {
            return Ok(None);
        }
        self.buffer.advance(4);
        Ok(Some(serde_json::from_slice(&self.buffer.split_to(length))?))
    }
}
