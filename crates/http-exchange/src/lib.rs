//! HTTP/1.1 connections of a client, and the store that keeps idle ones: the daemon's to its targets, and the
//! replay's to initiators.
//!
//! It speaks through the client codec of the HTTP library: the client above that codec takes a 1xx answer,
//! and whatever comes behind an answer, for the answer to the next request.

#![forbid(unsafe_code)]

pub mod stream;

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{RequestHead, RequestHeadType, ResponseHead, StatusCode};
use bytes::{Buf, Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The most that the head of an answer may take up, and how many 1xx answers may come before it.
const LARGEST_HEAD: usize = 16 * 1024;
const MOST_INFORMATIONAL: usize = 16;
/// What is read at once, at most: no more of an answer is held than that and what its taker holds.
const READ: usize = 16 * 1024;
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The last byte of the request was not written.
    NotWritten,
    /// The connection ended before a byte of an answer came. The request may have run, unless the connection
    /// had served before ([`Link::fresh`]) and was closed for its idleness just then.
    Unheard,
    /// The connection ended, or what came is no answer. The request may have run.
    Broken,
}

/// A target's answer.
#[derive(Debug)]
pub struct Answered {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: Bytes,
}

/// A request's body.
#[derive(Debug)]
pub struct Body<'a, S> {
    /// Its first bytes, or all of it.
    pub held: Bytes,
    /// What comes behind them, and the length of it all, where that is known.
    pub rest: Option<(&'a mut S, Option<u64>)>,
}

impl<S> Body<'_, S> {
    fn size(&self) -> BodySize {
        match self.rest {
            None => BodySize::Sized(self.held.len() as u64),
            Some((_, Some(length))) => BodySize::Sized(length),
            Some((_, None)) => BodySize::Stream,
        }
    }
}

/// The rest of a request's body, as it comes.
pub trait Rest {
    /// The next piece; None: it is whole. Dropped before it resolves, it has taken nothing.
    fn next(&mut self) -> impl Future<Output = Result<Option<Bytes>, Lost>>;
}

/// The rest of a body will not come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lost;

/// Of a body that is held whole.
#[derive(Debug)]
pub struct NoRest;

impl Rest for NoRest {
    async fn next(&mut self) -> Result<Option<Bytes>, Lost> {
        Ok(None)
    }
}

/// What is still to be read of an answer.
enum Reading {
    /// `keep`: another request may be asked then.
    Nothing {
        keep: bool,
    },
    Body {
        codec: ClientPayloadCodec,
        left: u64,
        keep: bool,
    },
    ToTheEnd {
        left: u64,
    },
}

impl std::fmt::Debug for Reading {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            Reading::Nothing { .. } => "nothing",
            Reading::Body { .. } => "a body",
            Reading::ToTheEnd { .. } => "to the end",
        })
    }
}

/// One connection.
#[derive(Debug)]
pub struct Link {
    stream: TcpStream,
    addr: SocketAddr,
    buffer: BytesMut,
    stall: Duration,
    fresh: bool,
    /// The last answer ended where it said, and more may be asked.
    whole: bool,
    reading: Reading,
    #[expect(dead_code, reason = "held for its drop")]
    place: Place,
}

/// Counts a connection.
#[derive(Debug)]
struct Place(Rc<Cell<usize>>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Link {
    /// Whether nothing was ever asked on it.
    pub fn fresh(&self) -> bool {
        self.fresh
    }

    /// Whether another request may be written: the peer has neither closed nor sent what nobody asked for.
    fn quiet(&self) -> bool {
        let peeked = socket2::SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit(); 1]);
        self.buffer.is_empty() && matches!(peeked, Err(e) if e.kind() == io::ErrorKind::WouldBlock)
    }

    /// One exchange, whose answer is held whole and is not larger than `largest`. Dropped half way, or after
    /// a fault, the connection is of no further use.
    pub async fn exchange(
        &mut self,
        head: RequestHead,
        body: Option<&Bytes>,
        largest: usize,
    ) -> Result<Answered, Fault> {
        let body = body.map(|b| Body::<NoRest> { held: b.clone(), rest: None });
        let head = self.ask(head, body, largest as u64).await?;
        let mut content = BytesMut::new();
        while let Some(piece) = self.piece(Some(self.stall)).await? {
            content.extend_from_slice(&piece);
        }
        Ok(Answered { status: head.status, headers: head.headers, body: content.freeze() })
    }

    /// Sends a request and reads the head of its answer, of which no more than `largest` bytes are to come.
    /// The answer may begin before the request is whole; then no more of the request is sent.
    pub async fn ask<S: Rest>(
        &mut self,
        head: RequestHead,
        body: Option<Body<'_, S>>,
        largest: u64,
    ) -> Result<ResponseHead, Fault> {
        (self.whole, self.fresh) = (false, false);
        let mut codec = ClientCodec::default();
        let mut out = BytesMut::new();
        let size = body.as_ref().map_or(BodySize::None, Body::size);
        let encoded =
            codec.encode(Message::Item((RequestHeadType::from(head), size)), &mut out).and_then(|()| {
                match &body {
                    Some(b) if !b.held.is_empty() => {
                        codec.encode(Message::Chunk(Some(b.held.clone())), &mut out)
                    }
                    _ => Ok(()),
                }
            });
        encoded.map_err(|_| Fault::NotWritten)?;
        let rest = body.and_then(|b| b.rest.map(|(rest, _)| rest));
        let early = match rest {
            None => {
                stream::write_all(&self.stream, &out).await.map_err(|_| Fault::NotWritten)?;
                None
            }
            Some(rest) => self.send_rest(&mut codec, out, rest).await?,
        };
        let cut = early.is_some();
        let head = match early {
            Some(head) => head,
            None => self.head(&mut codec).await?,
        };
        let length = framed(&head, largest)?;
        if head.status.is_informational() {
            return Err(Fault::Broken);
        }
        let keep = codec.keep_alive() && !cut && length == Length::Told;
        let bare = matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
        // The codec reads what goes to the end of the stream only of HTTP/1.0 answers.
        self.reading = match (codec.message_type(), length) {
            (_, Length::ToTheEnd) if !bare => Reading::ToTheEnd { left: largest },
            (MessageType::None, _) => Reading::Nothing { keep },
            _ => Reading::Body { codec: codec.into_payload_codec(), left: largest, keep },
        };
        Ok(head)
    }

    /// Writes a long request, and listens meanwhile. None: it is written whole.
    async fn send_rest<S: Rest>(
        &mut self,
        codec: &mut ClientCodec,
        mut out: BytesMut,
        rest: &mut S,
    ) -> Result<Option<ResponseHead>, Fault> {
        let mut ended = false;
        let mut informational = 0;
        loop {
            if out.is_empty() && ended {
                return Ok(None);
            }
            tokio::select! {
                piece = rest.next(), if out.is_empty() && !ended => {
                    let piece = piece.map_err(|_| Fault::NotWritten)?;
                    ended = piece.is_none();
                    codec.encode(Message::Chunk(piece), &mut out).map_err(|_| Fault::NotWritten)?;
                }
                written = self.stream.writable(), if !out.is_empty() => {
                    written.map_err(|_| Fault::NotWritten)?;
                    match self.stream.try_write(&out) {
                        Ok(written) => out.advance(written),
                        Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                        Err(_) => return Err(Fault::NotWritten),
                    }
                }
                read = self.stream.readable() => {
                    read.map_err(|_| Fault::NotWritten)?;
                    match self.stream.try_read_buf(&mut self.buffer) {
                        Ok(0) => return Err(Fault::NotWritten),
                        Ok(_) => {}
                        Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                        Err(_) => return Err(Fault::NotWritten),
                    }
                    while let Some(head) = codec.decode(&mut self.buffer).map_err(|_| Fault::NotWritten)? {
                        if !head.status.is_informational() {
                            return Ok(Some(head));
                        }
                        informational += 1;
                        if informational > MOST_INFORMATIONAL {
                            return Err(Fault::NotWritten);
                        }
                    }
                    if self.buffer.len() > LARGEST_HEAD {
                        return Err(Fault::NotWritten);
                    }
                }
            }
        }
    }

    async fn head(&mut self, codec: &mut ClientCodec) -> Result<ResponseHead, Fault> {
        let mut informational = 0;
        loop {
            match codec.decode(&mut self.buffer).map_err(|_| Fault::Broken)? {
                Some(head)
                    if head.status.is_informational()
                        && head.status != StatusCode::SWITCHING_PROTOCOLS
                        && informational < MOST_INFORMATIONAL =>
                {
                    informational += 1;
                }
                Some(head) => return Ok(head),
                None if self.buffer.len() > LARGEST_HEAD => return Err(Fault::Broken),
                None if self.buffer.is_empty() && informational == 0 => {
                    // Its end without a byte is told by an empty read, again and again.
                    if !self.more(None).await.map_err(|_| Fault::Unheard)? {
                        return Err(Fault::Unheard);
                    }
                }
                None => {
                    let stall = (!self.buffer.is_empty()).then_some(self.stall);
                    if !self.more(stall).await? {
                        return Err(Fault::Broken);
                    }
                }
            }
        }
    }

    /// The next piece of the answer's body, which comes within `stall` of the last. None: the answer is
    /// whole.
    pub async fn piece(&mut self, stall: Option<Duration>) -> Result<Option<Bytes>, Fault> {
        loop {
            match &mut self.reading {
                Reading::Nothing { keep } => {
                    self.whole = *keep && self.buffer.is_empty();
                    return Ok(None);
                }
                Reading::Body { codec, left, keep } => {
                    match codec.decode(&mut self.buffer).map_err(|_| Fault::Broken)? {
                        Some(Some(piece)) => {
                            *left = left.checked_sub(piece.len() as u64).ok_or(Fault::Broken)?;
                            return Ok(Some(piece));
                        }
                        Some(None) => self.reading = Reading::Nothing { keep: *keep && codec.keep_alive() },
                        None if self.buffer.len() > LARGEST_HEAD => return Err(Fault::Broken),
                        None => {
                            if !self.more(stall).await? {
                                return Err(Fault::Broken);
                            }
                        }
                    }
                }
                Reading::ToTheEnd { left } => {
                    if self.buffer.is_empty() {
                        if !self.more(stall).await? {
                            self.reading = Reading::Nothing { keep: false };
                        }
                        continue;
                    }
                    let piece = self.buffer.split().freeze();
                    *left = left.checked_sub(piece.len() as u64).ok_or(Fault::Broken)?;
                    return Ok(Some(piece));
                }
            }
        }
    }

    /// Reads on, within `stall`. False: the stream has ended.
    async fn more(&mut self, stall: Option<Duration>) -> Result<bool, Fault> {
        self.buffer.reserve(READ);
        let read = stream::read_buf(&self.stream, &mut self.buffer);
        let read = match stall {
            Some(stall) => tokio::time::timeout(stall, read).await.map_err(|_| Fault::Broken)?,
            None => read.await,
        };
        read.map(|read| read > 0).map_err(|_| Fault::Broken)
    }
}

/// How an answer says where its body ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Length {
    Told,
    ToTheEnd,
    /// There is no body, and nobody can tell what would come next.
    Untold,
}

/// A head says where its body ends in one way only, and not beyond `largest`.
fn framed(head: &ResponseHead, largest: u64) -> Result<Length, Fault> {
    let headers = &head.headers;
    let chunked = headers.contains_key(TRANSFER_ENCODING);
    let mut lengths = headers.get_all(CONTENT_LENGTH);
    match (lengths.next(), lengths.next()) {
        (None, _) if chunked => Ok(Length::Told),
        // Left open, an answer ends with its connection, and must say so.
        (None, _) => match head.connection_type() {
            actix_http::ConnectionType::Close => Ok(Length::ToTheEnd),
            _ if head.status == StatusCode::OK => Err(Fault::Broken),
            _ => Ok(Length::Untold),
        },
        (Some(length), None) if !chunked => {
            let length = length.to_str().ok().and_then(|l| l.trim().parse::<u64>().ok());
            if length.is_none_or(|l| l > largest) { Err(Fault::Broken) } else { Ok(Length::Told) }
        }
        _ => Err(Fault::Broken),
    }
}

/// The store of idle connections to all targets, and the count of open ones.
#[derive(Clone, Debug)]
pub struct Links {
    /// How many connections may be open.
    most: Rc<Cell<usize>>,
    /// A connection idle this long is not used again; the target would close it soon.
    idle: Duration,
    /// An answer that has begun goes on within this time, or it will not be whole.
    stall: Duration,
    /// How long a connection rests after an answer: what a peer sends behind one shows by then.
    rest: Duration,
    open: Rc<Cell<usize>>,
    /// With the time of the last answer; the oldest first.
    kept: Rc<RefCell<VecDeque<(Instant, Link)>>>,
    /// Targets whose connections end once they carry nothing.
    resting: Rc<RefCell<HashSet<SocketAddr>>>,
}

impl Links {
    pub fn new(most: usize, idle: Duration, stall: Duration, rest: Duration) -> Links {
        Links {
            most: Rc::new(Cell::new(most)),
            idle,
            stall,
            rest,
            open: Rc::default(),
            kept: Rc::default(),
            resting: Rc::default(),
        }
    }

    /// Closes what stands idle for too long or was closed by its target, until the store is let go.
    pub async fn sweep(self) {
        let kept = Rc::downgrade(&self.kept);
        let idle = self.idle;
        drop(self);
        while let Some(kept) = kept.upgrade() {
            let now = Instant::now();
            kept.borrow_mut().retain(|(at, link)| now.saturating_duration_since(*at) < idle && link.quiet());
            drop(kept);
            tokio::time::sleep(SWEEP).await;
        }
    }

    /// An idle connection to the target that is fit for a request, the last used first, else a new one.
    pub async fn take(&self, addr: SocketAddr, timeout: Duration) -> io::Result<Link> {
        let now = Instant::now();
        loop {
            let mut kept = self.kept.borrow_mut();
            let rested = |at: Instant| now.saturating_duration_since(at) >= self.rest;
            let Some(found) = kept.iter().rposition(|(at, link)| link.addr == addr && rested(*at)) else {
                break;
            };
            match kept.remove(found) {
                Some((at, link)) if now.saturating_duration_since(at) < self.idle && link.quiet() => {
                    return Ok(link);
                }
                _ => {}
            }
        }
        if self.open.get() >= self.most.get() {
            // The connection idle for longest, whatever its target, makes room.
            let spare = self.kept.borrow_mut().pop_front();
            spare.ok_or_else(|| io::Error::other("every connection that there may be is in use"))?;
        }
        self.open.set(self.open.get() + 1);
        let place = Place(Rc::clone(&self.open));
        let stream = tokio::time::timeout(timeout, TcpStream::connect(addr)).await??;
        stream.set_nodelay(true)?;
        Ok(Link {
            stream,
            addr,
            buffer: BytesMut::new(),
            stall: self.stall,
            fresh: true,
            whole: false,
            reading: Reading::Nothing { keep: false },
            place,
        })
    }

    /// Keeps a connection whose last answer ended where it should, or on which nothing was asked.
    pub fn keep(&self, link: Link) {
        if (link.whole || link.fresh) && !self.resting.borrow().contains(&link.addr) {
            self.kept.borrow_mut().push_back((Instant::now(), link));
        }
    }

    /// Closes the idle connections to a target: it has gone, or has fallen silent, and they with it.
    pub fn forget(&self, addr: SocketAddr) {
        self.kept.borrow_mut().retain(|(_, link)| link.addr != addr);
    }

    /// Connections that are open.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    /// From now on so many may be open. Idle ones beyond that close at once, the oldest first.
    pub fn resize(&self, most: usize) {
        self.most.set(most);
        while self.open.get() > most && self.kept.borrow_mut().pop_front().is_some() {}
    }

    pub fn close_idle(&self) {
        self.kept.borrow_mut().clear();
    }

    /// From now on no connection to the target is kept, and idle ones close at once.
    pub fn rest(&self, addr: SocketAddr) {
        self.resting.borrow_mut().insert(addr);
        self.forget(addr);
    }

    /// Connections to the target are kept again.
    pub fn wake(&self, addr: SocketAddr) {
        self.resting.borrow_mut().remove(&addr);
    }
}
