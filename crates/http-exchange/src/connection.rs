//! A connection to a server, and the exchange that it carries.

use crate::body::{BodyStream, EmptyStream, RequestBody, encode_request};
use crate::error::ExchangeError;
use crate::pool::OpenSlot;
use crate::response::{CompleteResponse, RemainingBody, deduct_chunk};
use crate::stream;
use actix_codec::{Decoder, Encoder};
use actix_http::h1::{ClientCodec, Message};
use actix_http::{RequestHead, ResponseHead, StatusCode};
use bytes::{Buf, Bytes, BytesMut};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// Most bytes of a response's head, or of a line between two chunks.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most 1xx responses before the final one. A server that sends more is treated as broken.
const MAX_INFORMATIONAL_RESPONSES: usize = 16;
/// Most bytes of one read. A response occupies no more memory than this and what its reader buffers.
const READ_BYTES: usize = 16 * 1024;

/// What a server has done on an idle connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdleState {
    /// Nothing.
    Clean,
    /// It has closed or reset the connection.
    Closed,
    /// It has sent bytes that no request asked for.
    Surplus,
}

/// One connection to a server. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    addr: SocketAddr,
    buffer: BytesMut,
    /// Longest wait for the next bytes of a response that has begun; `None`: without limit.
    stall_timeout: Option<Duration>,
    unused: bool,
    /// Whether the last response ended as its head declared, so that another request may be written.
    response_complete: bool,
    remaining: RemainingBody,
    /// Most bytes of one read.
    read_bytes: usize,
    #[expect(dead_code, reason = "held for its drop")]
    slot: OpenSlot,
}

impl Connection {
    /// Creates a connection from an open stream. Once a response has begun, its next bytes must arrive within
    /// `stall_timeout`.
    pub(crate) fn new(
        stream: TcpStream,
        addr: SocketAddr,
        stall_timeout: Duration,
        slot: OpenSlot,
    ) -> Connection {
        Connection {
            stream,
            addr,
            buffer: BytesMut::new(),
            stall_timeout: Some(stall_timeout),
            unused: true,
            response_complete: false,
            remaining: RemainingBody::Nothing { reusable: false },
            read_bytes: READ_BYTES,
            slot,
        }
    }

    /// The server's address.
    pub(crate) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the most bytes of one read, and so the memory of one chunk of a response, until the next request is sent.
    pub fn set_read_bytes(&mut self, bytes: usize) {
        self.read_bytes = bytes;
    }

    /// Releases the memory of the read buffer if nothing is in it.
    pub fn release_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
    }

    /// Sets how long a response that has begun may make no progress, for the next exchange; `None`: without limit.
    pub fn set_stall_timeout(&mut self, stall_timeout: Option<Duration>) {
        self.stall_timeout = stall_timeout;
    }

    /// Whether no request has been written to the connection yet.
    pub fn is_unused(&self) -> bool {
        self.unused
    }

    /// Whether the connection may be kept for another request.
    pub(crate) fn is_reusable(&self) -> bool {
        self.response_complete || self.unused
    }

    /// What the server has done on the connection since its last response.
    pub(crate) fn idle_state(&self) -> IdleState {
        if !self.buffer.is_empty() {
            return IdleState::Surplus;
        }
        match socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit(); 1]) {
            Ok(1..) => IdleState::Surplus,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => IdleState::Clean,
            Ok(0) | Err(_) => IdleState::Closed,
        }
    }

    /// Carries out one exchange. The response is buffered, and its body has at most `max_bytes`. Not cancel
    /// safe: after a cancellation or an error the connection cannot be used again.
    ///
    /// # Errors
    /// There is no response, or it is invalid.
    pub async fn exchange(
        &mut self,
        head: RequestHead,
        body: Option<&Bytes>,
        max_bytes: usize,
    ) -> Result<CompleteResponse, ExchangeError> {
        let body = body.map(|body| RequestBody::<EmptyStream> { buffered: body.clone(), rest: None });
        let head = self.send(head, body, max_bytes as u64).await?;
        let mut content = BytesMut::new();
        while let Some(chunk) = self.next_chunk(self.stall_timeout).await? {
            content.extend_from_slice(&chunk);
        }
        Ok(CompleteResponse { status: head.status, headers: head.headers, body: content.freeze() })
    }

    /// Sends a request and reads the head of its response, whose body has at most `max_bytes`. If the
    /// response begins before the request is complete, the rest of the request is not sent. Not cancel safe.
    ///
    /// # Errors
    /// There is no response, or its head is invalid.
    pub async fn send<S: BodyStream>(
        &mut self,
        head: RequestHead,
        body: Option<RequestBody<'_, S>>,
        max_bytes: u64,
    ) -> Result<ResponseHead, ExchangeError> {
        self.response_complete = false;
        self.unused = false;
        self.read_bytes = READ_BYTES;
        let mut codec = ClientCodec::default();
        let out = encode_request(&mut codec, head, body.as_ref()).map_err(not_written)?;
        let early_response = match body.and_then(|body| body.rest) {
            None => {
                stream::write_all(&self.stream, &out).await.map_err(not_written)?;
                None
            }
            Some((rest, _)) => self.send_stream(&mut codec, out, rest).await?,
        };
        let request_sent = early_response.is_none();
        let head = match early_response {
            Some(head) => head,
            None => self.read_head(&mut codec).await?,
        };
        self.remaining = RemainingBody::after_head(&head, codec, max_bytes, request_sent)?;
        Ok(head)
    }

    /// Writes a long request, and reads at the same time. Returns the head of an early response; `None`: the
    /// request was written completely.
    async fn send_stream<S: BodyStream>(
        &mut self,
        codec: &mut ClientCodec,
        mut out: BytesMut,
        rest: &mut S,
    ) -> Result<Option<ResponseHead>, ExchangeError> {
        let mut body_complete = false;
        let mut informational_responses = 0;
        while !(out.is_empty() && body_complete) {
            tokio::select! {
                chunk = rest.next(), if out.is_empty() && !body_complete => {
                    let chunk = chunk.map_err(not_written)?;
                    body_complete = chunk.is_none();
                    codec.encode(Message::Chunk(chunk), &mut out).map_err(not_written)?;
                }
                writable = self.stream.writable(), if !out.is_empty() => {
                    writable.map_err(not_written)?;
                    self.write_some(&mut out)?;
                }
                readable = self.stream.readable() => {
                    readable.map_err(not_written)?;
                    let early = self.read_early_head(codec, &mut informational_responses)?;
                    if early.is_some() {
                        return Ok(early);
                    }
                }
            }
        }
        Ok(None)
    }

    /// Writes as many bytes of `out` as the system accepts now, and removes them from it.
    fn write_some(&self, out: &mut BytesMut) -> Result<(), ExchangeError> {
        match self.stream.try_write(out) {
            Ok(written) => out.advance(written),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(not_written(error)),
        }
        Ok(())
    }

    /// Reads what has arrived while a request is being written. Returns the head of a final response once it
    /// is complete.
    fn read_early_head(
        &mut self,
        codec: &mut ClientCodec,
        informational_responses: &mut usize,
    ) -> Result<Option<ResponseHead>, ExchangeError> {
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(0) => return Err(ExchangeError::NotWritten),
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
            Err(error) => return Err(not_written(error)),
        }
        while let Some(head) = codec.decode(&mut self.buffer).map_err(not_written)? {
            if !head.status.is_informational() {
                return Ok(Some(head));
            }
            *informational_responses += 1;
            if *informational_responses > MAX_INFORMATIONAL_RESPONSES {
                return Err(ExchangeError::NotWritten);
            }
        }
        if self.buffer.len() > MAX_HEAD_BYTES {
            return Err(ExchangeError::NotWritten);
        }
        Ok(None)
    }

    /// Reads the head of the final response to a request that was written completely.
    async fn read_head(&mut self, codec: &mut ClientCodec) -> Result<ResponseHead, ExchangeError> {
        let mut informational_responses = 0;
        loop {
            match codec.decode(&mut self.buffer).map_err(broken)? {
                Some(head)
                    if head.status.is_informational()
                        && head.status != StatusCode::SWITCHING_PROTOCOLS
                        && informational_responses < MAX_INFORMATIONAL_RESPONSES =>
                {
                    informational_responses += 1;
                }
                Some(head) => return Ok(head),
                None if self.buffer.len() > MAX_HEAD_BYTES => return Err(ExchangeError::Broken),
                None if self.buffer.is_empty() && informational_responses == 0 => {
                    // The stream ended or was reset before the first byte of a response.
                    if !self.read_more(None).await.map_err(|_| ExchangeError::NoResponse)? {
                        return Err(ExchangeError::NoResponse);
                    }
                }
                None => {
                    let stall_timeout = self.stall_timeout.filter(|_| !self.buffer.is_empty());
                    self.read_required(stall_timeout).await?;
                }
            }
        }
    }

    /// The next chunk of the response's body, which must arrive within `stall_timeout` of the last. `None`:
    /// the response is complete. Cancel safe: dropped before it resolves, it has lost nothing.
    ///
    /// # Errors
    /// The body ends early, stalls, is invalid, or is longer than allowed.
    pub async fn next_chunk(
        &mut self,
        stall_timeout: Option<Duration>,
    ) -> Result<Option<Bytes>, ExchangeError> {
        loop {
            match &mut self.remaining {
                RemainingBody::Nothing { reusable } => {
                    self.response_complete = *reusable && self.buffer.is_empty();
                    return Ok(None);
                }
                RemainingBody::Framed { codec, max_bytes, reusable } => {
                    match codec.decode(&mut self.buffer).map_err(broken)? {
                        Some(Some(chunk)) => {
                            deduct_chunk(max_bytes, &chunk)?;
                            return Ok(Some(chunk));
                        }
                        Some(None) => {
                            let reusable = *reusable && codec.keep_alive();
                            self.remaining = RemainingBody::Nothing { reusable };
                        }
                        None if self.buffer.len() > MAX_HEAD_BYTES => return Err(ExchangeError::Broken),
                        None => self.read_required(stall_timeout).await?,
                    }
                }
                RemainingBody::UntilClose { max_bytes } => {
                    if !self.buffer.is_empty() {
                        let chunk = self.buffer.split().freeze();
                        deduct_chunk(max_bytes, &chunk)?;
                        return Ok(Some(chunk));
                    }
                    if !self.read_more(stall_timeout).await? {
                        self.remaining = RemainingBody::Nothing { reusable: false };
                    }
                }
            }
        }
    }

    /// Reads more of a response that is not complete.
    async fn read_required(&mut self, stall_timeout: Option<Duration>) -> Result<(), ExchangeError> {
        match self.read_more(stall_timeout).await? {
            true => Ok(()),
            false => Err(ExchangeError::Broken),
        }
    }

    /// Reads more, within `stall_timeout`. Returns false at the end of the stream.
    async fn read_more(&mut self, stall_timeout: Option<Duration>) -> Result<bool, ExchangeError> {
        let read = stream::read_buf(&self.stream, &mut self.buffer, self.read_bytes);
        let read = match stall_timeout {
            Some(stall_timeout) => tokio::time::timeout(stall_timeout, read).await.map_err(broken)?,
            None => read.await,
        };
        read.map(|read| read > 0).map_err(broken)
    }
}

fn not_written<E>(_: E) -> ExchangeError {
    ExchangeError::NotWritten
}

fn broken<E>(_: E) -> ExchangeError {
    ExchangeError::Broken
}
