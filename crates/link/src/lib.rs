//! HTTP/1.1 connections of a client, and the store that keeps idle ones: the daemon's to its targets, and the
//! replay's to initiators.
//!
//! It speaks through the client codec of the HTTP library: the client above that codec takes a 1xx answer, and
//! whatever comes behind an answer, for the answer to the next request.

#![forbid(unsafe_code)]

use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, HeaderMap, TRANSFER_ENCODING};
use actix_http::{RequestHead, RequestHeadType, StatusCode};
use bytes::{Bytes, BytesMut};
use std::cell::{Cell, RefCell};
use std::collections::{HashSet, VecDeque};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The most that the head of an answer may take up, and how many 1xx answers may come before it.
const LARGEST_HEAD: usize = 16 * 1024;
const MOST_INFORMATIONAL: usize = 16;
/// How often idle connections are looked through.
const SWEEP: Duration = Duration::from_secs(1);

/// Why there is no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The last byte of the request was not written.
    NotWritten,
    /// The connection ended before a byte of an answer came. The request may have run, unless the connection had
    /// served before ([`Link::fresh`]) and was closed for its idleness just then.
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

    /// One exchange. Dropped half way, or after a fault, the connection is of no further use.
    pub async fn exchange(
        &mut self,
        head: RequestHead,
        body: Option<&Bytes>,
        largest: usize,
    ) -> Result<Answered, Fault> {
        (self.whole, self.fresh) = (false, false);
        let mut codec = ClientCodec::default();
        let mut request = BytesMut::new();
        let size = body.map_or(BodySize::None, |b| BodySize::Sized(b.len() as u64));
        let encoded =
            codec.encode(Message::Item((RequestHeadType::from(head), size)), &mut request).and_then(|()| {
                body.map_or(Ok(()), |b| codec.encode(Message::Chunk(Some(b.clone())), &mut request))
            });
        encoded.map_err(|_| Fault::NotWritten)?;
        self.stream.write_all(&request).await.map_err(|_| Fault::NotWritten)?;

        let mut informational = 0;
        let head = loop {
            match codec.decode(&mut self.buffer).map_err(|_| Fault::Broken)? {
                Some(head)
                    if head.status.is_informational()
                        && head.status != StatusCode::SWITCHING_PROTOCOLS
                        && informational < MOST_INFORMATIONAL =>
                {
                    informational += 1;
                }
                Some(head) => break head,
                None if self.buffer.len() > LARGEST_HEAD => return Err(Fault::Broken),
                None if self.buffer.is_empty() && informational == 0 => {
                    self.more(false).await.map_err(|_| Fault::Unheard)?
                }
                None => self.more(!self.buffer.is_empty()).await?,
            }
        };
        let length = framed(&head.headers, largest)?;
        if head.status.is_informational() || (head.status == StatusCode::OK && !length) {
            return Err(Fault::Broken);
        }
        let (mut content, mut keep) = (BytesMut::new(), codec.keep_alive() && length);
        if !matches!(codec.message_type(), MessageType::None) {
            let mut codec = codec.into_payload_codec();
            loop {
                match codec.decode(&mut self.buffer).map_err(|_| Fault::Broken)? {
                    Some(Some(chunk)) if content.len() + chunk.len() > largest => return Err(Fault::Broken),
                    Some(Some(chunk)) => content.extend_from_slice(&chunk),
                    Some(None) => break,
                    None if self.buffer.len() > LARGEST_HEAD => return Err(Fault::Broken),
                    None => self.more(true).await?,
                }
            }
            keep &= codec.keep_alive();
        }
        self.whole = keep && self.buffer.is_empty();
        Ok(Answered { status: head.status, headers: head.headers, body: content.freeze() })
    }

    async fn more(&mut self, begun: bool) -> Result<(), Fault> {
        let read = self.stream.read_buf(&mut self.buffer);
        let read = match begun {
            true => tokio::time::timeout(self.stall, read).await.map_err(|_| Fault::Broken)?,
            false => read.await,
        };
        match read {
            Ok(0) | Err(_) => Err(Fault::Broken),
            Ok(_) => Ok(()),
        }
    }
}

/// Whether a head says where its body ends: in one way only, and not beyond `largest`.
fn framed(headers: &HeaderMap, largest: usize) -> Result<bool, Fault> {
    let chunked = headers.contains_key(TRANSFER_ENCODING);
    let Some(length) = headers.get(CONTENT_LENGTH) else { return Ok(chunked) };
    let length = length.to_str().ok().and_then(|l| l.trim().parse::<usize>().ok());
    if chunked || length.is_none_or(|l| l > largest) { Err(Fault::Broken) } else { Ok(true) }
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
            place,
        })
    }

    /// Keeps a connection whose last answer ended where it should.
    pub fn keep(&self, link: Link) {
        if link.whole && !self.resting.borrow().contains(&link.addr) {
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
