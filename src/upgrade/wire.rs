//! What goes over a link: a length, and a message as JSON. Descriptors go with a message's first byte.

use crate::core::{AdminCommand, HandoverState};
use crate::interface::Micros;
use crate::net::http::EndpointPage;
use bytes::{Buf, BufMut, BytesMut};
use rowanglade_handover::Word;
use rowanglade_object_locations::{ObjectKey, Observation};
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use serde::{Deserialize, Serialize};
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use tokio::io::Interest;
use tokio::net::UnixStream;

/// Far above what the largest fleet's list and state take up.
const LARGEST: usize = 32 << 20;
/// The most descriptors that go with a message: one for each listener.
const MOST_PASSED: usize = 4;

/// What may be known early. It is out of date by the time that everything is given, but for what does not
/// change.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Welcome {
    /// The predecessor's time, on whose clock the successor goes on.
    pub now: Micros,
    /// The list, as discovery told it.
    pub list: EndpointPage,
    pub share: Share,
    /// What the descriptors that come along are, in their order.
    pub listeners: Vec<String>,
}

/// Of what both processes count together, the part that the predecessor still has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Share {
    pub descriptors: usize,
}

/// A message. What it does not carry is absent; fields that another build adds are passed over.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct Message {
    pub word: Option<Word>,
    pub welcome: Option<Box<Welcome>>,
    pub given: Option<Box<HandoverState>>,
    /// An operator's call that came to the other process.
    pub call: Option<AdminCommand>,
    /// Where an object was seen by the other process.
    pub seen: Option<(ObjectKey, Observation)>,
    /// The predecessor has let go of some of its part.
    pub share: Option<Share>,
}

/// Writes a message, with descriptors that the other side gets as its own.
pub async fn send(stream: &UnixStream, message: &Message, fds: &[OwnedFd]) -> io::Result<()> {
    let text = serde_json::to_vec(message)?;
    let mut bytes = BytesMut::with_capacity(text.len() + 4);
    bytes.put_u32(text.len() as u32);
    bytes.extend_from_slice(&text);
    let mut passed: Vec<BorrowedFd<'_>> = fds.iter().map(AsFd::as_fd).collect();
    while !bytes.is_empty() {
        let written = stream
            .async_io(Interest::WRITABLE, || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_PASSED))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                if !passed.is_empty() && !control.push(SendAncillaryMessage::ScmRights(&passed)) {
                    return Err(io::Error::other("more descriptors than go with a message"));
                }
                Ok(sendmsg(stream, &[IoSlice::new(&bytes)], &mut control, SendFlags::NOSIGNAL)?)
            })
            .await?;
        bytes.advance(written);
        passed.clear();
    }
    Ok(())
}

/// Reads messages.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: BytesMut,
    fds: Vec<OwnedFd>,
}

impl Reader {
    /// The next message, with the descriptors that have come until its end. It may be dropped half way.
    pub async fn next(&mut self, stream: &UnixStream) -> io::Result<(Message, Vec<OwnedFd>)> {
        loop {
            if let Some(message) = self.whole()? {
                return Ok((message, std::mem::take(&mut self.fds)));
            }
            let mut part = [0; 16 * 1024];
            let fds = &mut self.fds;
            let read = stream
                .async_io(Interest::READABLE, || {
                    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MOST_PASSED))];
                    let mut control = RecvAncillaryBuffer::new(&mut space);
                    let into = &mut [IoSliceMut::new(&mut part)];
                    let got = recvmsg(stream, into, &mut control, RecvFlags::CMSG_CLOEXEC)?;
                    for message in control.drain() {
                        if let RecvAncillaryMessage::ScmRights(rights) = message {
                            fds.extend(rights);
                        }
                    }
                    Ok(got.bytes)
                })
                .await?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.buffer.extend_from_slice(&part[..read]);
        }
    }

    fn whole(&mut self) -> io::Result<Option<Message>> {
        let Some(length) = self.buffer.first_chunk::<4>() else { return Ok(None) };
        let length = u32::from_be_bytes(*length) as usize;
        if length > LARGEST {
            return Err(io::Error::other("a message longer than any"));
        }
        if self.buffer.len() < length + 4 {
            return Ok(None);
        }
        self.buffer.advance(4);
        Ok(Some(serde_json::from_slice(&self.buffer.split_to(length))?))
    }
}
