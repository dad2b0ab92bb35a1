//! The connections of clients: what each is at, which of them make room for new ones, when a client has gone,
//! and how a connection is closed.
//!
//! A close over unread bytes resets the connection, and takes along what the client has not read yet. So
//! writing is shut down first, what still comes is read and dropped for a bounded while, and only then the
//! connection is closed.

use crate::net::close::{LINGER, close, read_closed};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::Shutdown;
use std::ops::Deref;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// How long a connection may take until it has brought a whole head, and say nothing at all. Clients may take
/// 2 s.
pub const HEAD: Duration = Duration::from_millis(2_400);
/// How long a connection may stand idle between requests; and where too many are idle, for how long it may at
/// least.
pub const IDLE: Duration = Duration::from_secs(2);
/// The same while less than this part of the places is taken. Closing one then buys nothing, and a request
/// may just be on its way on it.
pub const LONG_IDLE: Duration = Duration::from_secs(30);
pub const ROOMY_PART: usize = 4;
/// How long a client may take nothing of what is written to it. A slow one takes a buffer of the system's at
/// a time.
pub const UNREAD: Duration = Duration::from_secs(30);
pub const BRIEFLY: Duration = Duration::from_millis(200);
/// Where room is short, silent connections make it once they have stood for this long, then idle ones. Before
/// that, a request or an answer may just be under way.
pub const SETTLED: Duration = Duration::from_millis(50);

/// Bytes behind a request that is with its handler, at most: clients send one request at a time. What comes
/// beyond them is dropped, and the connection ends with the answers to what came before.
pub const MOST_BEHIND: usize = 32 * 1024;
/// Connections beyond the places that may be told so at once, before they are closed.
const MOST_TURNED_AWAY: usize = 8;
/// Connections that are open and have no place: told so, or evicted for others. At that number no more are
/// accepted until one is closed: a burst of new ones may not take the descriptors that are kept for others.
pub const MOST_PASSING: usize = MOST_TURNED_AWAY + 2;
/// How long one that was told so is read on before it is closed. New connections wait meanwhile, and the time
/// of their requests runs: less than the 0.15 s by which what a target is told may be off.
const TURNED_AWAY_FOR: Duration = Duration::from_millis(50);
const NO_PLACE: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.100\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";

/// The count of open streams, whether or not they have a place.
#[derive(Debug, Default)]
struct Streams {
    open: Cell<usize>,
    closed: Notify,
}

/// A client's stream, which is counted.
#[derive(Debug)]
struct Stream {
    tcp: TcpStream,
    all: Rc<Streams>,
}

impl Stream {
    fn new(tcp: TcpStream, all: &Rc<Streams>) -> Stream {
        all.open.set(all.open.get() + 1);
        Stream { tcp, all: Rc::clone(all) }
    }
}

impl Deref for Stream {
    type Target = TcpStream;

    fn deref(&self) -> &TcpStream {
        &self.tcp
    }
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.all.open.set(self.all.open.get() - 1);
        self.all.closed.notify_one();
    }
}

/// What a connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// It has said nothing yet.
    Silent,
    /// A request's head is coming.
    Head,
    /// A request is with its handler.
    Busy,
    /// Between requests.
    Idle,
    /// It is shut, and what still comes is dropped.
    Closing,
}

/// One connection, as its stream, its handler and the book see it.
#[derive(Debug)]
pub struct Seat {
    stream: Rc<Stream>,
    phase: Cell<Phase>,
    /// All of the request that is with its handler has come.
    whole: Cell<bool>,
    /// An answer has said that it is the last.
    last: Cell<bool>,
    /// What was written last ends with the connection and is not whole.
    cut: Cell<bool>,
    /// A request is with the core, without an answer.
    waiting: Cell<bool>,
    /// The end of what the client sends has been read.
    read_closed: Cell<bool>,
    since: Cell<Instant>,
    /// Since when the client takes nothing of what is written to it.
    unread: Cell<Option<Instant>>,
    ended: Cell<bool>,
    /// Told to what closes the connection: its place is another's.
    hurry: Notify,
    waker: RefCell<Option<Waker>>,
}

impl Seat {
    /// Whether it has to end.
    pub fn ended(&self) -> bool {
        self.ended.get()
    }

    /// All of the request has come that is with its handler: what comes now is behind it.
    pub fn whole(&self) {
        self.whole.set(true);
    }

    /// The present answer is the last: nothing that comes behind it is sent on.
    pub fn close(&self) {
        self.last.set(true);
    }

    /// Whether the last answer is made.
    pub fn closes(&self) -> bool {
        self.last.get()
    }

    /// What was written ends with the connection and breaks off: only a reset tells that it is not whole.
    pub fn cut(&self) {
        self.cut.set(true);
    }

    /// Resolves once the client has closed its side or reset the connection, also where bytes that it sent
    /// before are still unread.
    pub async fn gone(&self) {
        read_closed(&self.stream).await;
    }

    /// A request of this client is with the core for as long as the guard is held.
    pub fn waiting(self: &Rc<Seat>) -> Waiting {
        self.waiting.set(true);
        Waiting(Rc::clone(self))
    }

    fn turn(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// A request is with its handler for as long as the guard is held.
    pub fn busy(self: &Rc<Seat>) -> Busy {
        self.whole.set(false);
        self.turn(Phase::Busy);
        Busy(Rc::clone(self))
    }

    /// What it is at. Its answer made, a connection is busy until its client has taken what is written to it.
    fn phase(&self) -> Phase {
        match self.phase.get() {
            Phase::Idle if self.unread.get().is_some() => Phase::Busy,
            phase => phase,
        }
    }

    pub fn end(&self) {
        self.ended.set(true);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

#[derive(Debug)]
pub struct Busy(Rc<Seat>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.turn(Phase::Idle);
    }
}

/// See [`Seat::waiting`].
#[derive(Debug)]
pub struct Waiting(Rc<Seat>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.waiting.set(false);
    }
}

/// The book of all connections.
#[derive(Clone, Debug)]
pub struct Clients(Rc<Book>);

#[derive(Debug)]
struct Book {
    most: Cell<usize>,
    most_idle: Cell<usize>,
    /// Idle connections stay.
    kept: Cell<bool>,
    /// The program ends, and nothing more is waited for.
    over: Cell<bool>,
    /// Connections that found no place and are being told.
    turned_away: Cell<usize>,
    next: Cell<u64>,
    streams: Rc<Streams>,
    seats: RefCell<BTreeMap<u64, Rc<Seat>>>,
}

impl Clients {
    /// A book with room for so many, of which so many may stand idle for long.
    pub fn new(most: usize, most_idle: usize) -> Clients {
        Clients(Rc::new(Book {
            most: Cell::new(most),
            most_idle: Cell::new(most_idle),
            kept: Cell::new(false),
            over: Cell::new(false),
            turned_away: Cell::new(0),
            next: Cell::new(0),
            streams: Rc::default(),
            seats: RefCell::default(),
        }))
    }

    pub fn open(&self) -> usize {
        self.0.seats.borrow().len()
    }

    /// Whether a new connection may be accepted: not while too many without a place are still open.
    pub fn may_accept(&self) -> bool {
        self.0.streams.open.get().saturating_sub(self.open()) < MOST_PASSING
    }

    /// Resolves once a connection has been closed, perhaps one that was before.
    pub async fn closed(&self) {
        self.0.streams.closed.notified().await;
    }

    /// Ends a connection that waits for nothing. False: there is none.
    pub fn make_room(&self) -> bool {
        let mut seats = self.0.seats.borrow_mut();
        let spared = spare(&seats).and_then(|number| seats.remove(&number));
        spared.is_some_and(|seat| {
            seat.hurry.notify_one();
            seat.end();
            true
        })
    }

    /// From now on there is room for so many. Those beyond it make way as others come.
    pub fn resize(&self, most: usize, most_idle: usize) {
        self.0.most.set(most);
        self.0.most_idle.set(most_idle);
    }

    /// From now on idle connections stay open: when the program is told to end, no new ones come for them.
    pub fn keep(&self) {
        self.0.kept.set(true);
    }

    /// The program ends: what is closed from now on is closed at once.
    pub fn end(&self) {
        self.0.over.set(true);
    }

    /// Takes a new connection in; where all places are taken, one that waits for nothing makes room. None:
    /// all of them have a request open, and the new one is told to come again and closed.
    pub fn seat(&self, stream: TcpStream) -> Option<Guarded> {
        if self.open() >= self.0.most.get() && !self.make_room() {
            self.turn_away(stream);
            return None;
        }
        let stream = Rc::new(Stream::new(stream, &self.0.streams));
        let seat = Rc::new(Seat {
            stream: Rc::clone(&stream),
            phase: Cell::new(Phase::Silent),
            whole: Cell::new(false),
            last: Cell::new(false),
            cut: Cell::new(false),
            waiting: Cell::new(false),
            read_closed: Cell::new(false),
            since: Cell::new(Instant::now()),
            unread: Cell::new(None),
            ended: Cell::new(false),
            hurry: Notify::new(),
            waker: RefCell::default(),
        });
        let number = self.0.next.get();
        self.0.next.set(number + 1);
        self.0.seats.borrow_mut().insert(number, Rc::clone(&seat));
        let place = Some(Place { book: self.clone(), number });
        Some(Guarded { stream, seat, place, behind: 0 })
    }

    /// Answers a connection that found no place, whatever it asks; beyond a number it is just closed.
    fn turn_away(&self, stream: TcpStream) {
        if self.0.turned_away.get() >= MOST_TURNED_AWAY {
            return;
        }
        self.0.turned_away.set(self.0.turned_away.get() + 1);
        let (book, stream) = (self.clone(), Stream::new(stream, &self.0.streams));
        actix_rt::spawn(async move {
            // A new connection has room for so little.
            let _ = stream.try_write(NO_PLACE);
            let _ = tokio::time::timeout(TURNED_AWAY_FOR, close(&stream)).await;
            book.0.turned_away.set(book.0.turned_away.get() - 1);
        });
    }

    /// Ends what has kept silent, taken over a head, or stood idle for too long. Of idle connections beyond
    /// their number the oldest go first: clients may hold only so many, and new clients find none while
    /// others keep theirs without a use.
    pub fn sweep(&self) {
        let now = Instant::now();
        let lasted = |seat: &Seat| now.saturating_duration_since(seat.since.get());
        let seats = self.0.seats.borrow();
        let idle = if seats.len() <= self.0.most.get() / ROOMY_PART { LONG_IDLE } else { IDLE };
        let live = || seats.values().filter(|s| !s.ended.get());
        for seat in live() {
            if seat.unread.get().is_some_and(|since| now.saturating_duration_since(since) >= UNREAD) {
                seat.end();
            }
            let most = match seat.phase() {
                Phase::Silent | Phase::Head => HEAD,
                Phase::Idle if !self.0.kept.get() => idle,
                Phase::Idle | Phase::Busy | Phase::Closing => continue,
            };
            if lasted(seat) >= most {
                seat.end();
            }
        }
        let mut idle: Vec<&Rc<Seat>> = live().filter(|s| s.phase() == Phase::Idle).collect();
        idle.sort_by_key(|s| s.since.get());
        let spare = if self.0.kept.get() { 0 } else { idle.len().saturating_sub(self.0.most_idle.get()) };
        idle.into_iter().take(spare).filter(|s| lasted(s) >= BRIEFLY).for_each(|s| s.end());
    }
}

/// The connection to end for a new one: the one being closed for longest, else the one silent for longest,
/// else the one idle for longest, else the one whose head has taken longest.
fn spare(seats: &BTreeMap<u64, Rc<Seat>>) -> Option<u64> {
    let now = Instant::now();
    let rank = |phase| match phase {
        Phase::Closing => Some(0),
        Phase::Silent => Some(1),
        Phase::Idle => Some(2),
        Phase::Head => Some(3),
        Phase::Busy => None,
    };
    let settled = seats.iter().filter(|(_, s)| now.saturating_duration_since(s.since.get()) >= SETTLED);
    let ranked = settled.filter_map(|(number, s)| Some((rank(s.phase())?, s.since.get(), *number)));
    ranked.min().map(|(.., number)| number)
}

/// Keeps a connection in the book.
#[derive(Debug)]
struct Place {
    book: Clients,
    number: u64,
}

impl Place {
    /// Whether it was not given to another connection.
    fn held(&self) -> bool {
        self.book.0.seats.borrow().contains_key(&self.number)
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        self.book.0.seats.borrow_mut().remove(&self.number);
    }
}

/// A client's stream. Once its seat is ended it reads as closed, and takes nothing more. Dropped, it is
/// closed in order, and keeps its place meanwhile.
#[derive(Debug)]
pub struct Guarded {
    stream: Rc<Stream>,
    seat: Rc<Seat>,
    /// Absent once the connection is being closed.
    place: Option<Place>,
    /// Bytes that came behind the request that is with its handler.
    behind: usize,
}

impl Guarded {
    pub fn seat(&self) -> &Rc<Seat> {
        &self.seat
    }

    /// The stream itself, as far as bytes have come.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Reads what has come. None: nothing has, and the task is woken once something does.
    fn read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(rowanglade_http_exchange::stream::poll_read(&self.stream, cx, buf))?;
        if buf.filled().len() == before {
            self.seat.read_closed.set(true);
        }
        Poll::Ready(Ok(()))
    }

    /// Reads behind a request that is with its handler: more than a client may send is dropped.
    fn read_behind(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.behind < MOST_BEHIND {
            let before = buf.filled().len();
            let read = self.read(cx, buf);
            self.behind += buf.filled().len() - before;
            return read;
        }
        // Nothing of it is served, so the connection cannot go on behind the present answer.
        self.seat.close();
        let mut scratch = [0; 4096];
        for _ in 0..MOST_BEHIND / scratch.len() {
            let mut dropped = ReadBuf::new(&mut scratch);
            ready!(self.read(cx, &mut dropped))?;
            if dropped.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
        // Others have their turn.
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn write(&mut self, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        // Of a client that has gone, an answer that it does not take must not hold up the end of its next
        // request: the HTTP service writes all that it has before it lets go of a handler.
        let gone = self.seat.read_closed.get() && self.seat.waiting.get();
        if self.seat.ended.get() || gone {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        rowanglade_http_exchange::stream::poll_write(&self.stream, cx, bytes)
    }
}

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let busy = self.seat.phase.get() == Phase::Busy;
        if !busy {
            if self.behind >= MOST_BEHIND {
                // What was dropped leaves a gap: the connection reads as closed.
                return Poll::Ready(Ok(()));
            }
            self.behind = 0;
        }
        let read = match busy && self.seat.whole.get() {
            true => self.read_behind(cx, buf),
            false => self.read(cx, buf),
        };
        if self.seat.ended.get() {
            // What came just before the end is served: closed on it, the client could not tell whether it had
            // run.
            let came = buf.filled().len() > before;
            let held = self.place.as_ref().is_some_and(Place::held);
            if !came || self.seat.phase.get() != Phase::Idle || !held {
                buf.set_filled(before);
                return Poll::Ready(Ok(()));
            }
            self.seat.ended.set(false);
        }
        if read.is_pending() {
            *self.seat.waker.borrow_mut() = Some(cx.waker().clone());
        } else if buf.filled().len() > before && matches!(self.seat.phase.get(), Phase::Silent | Phase::Idle)
        {
            self.seat.turn(Phase::Head);
        }
        read
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = self.write(cx, buf);
        match &written {
            Poll::Pending => self.seat.unread.set(self.seat.unread.get().or(Some(Instant::now()))),
            Poll::Ready(_) => {
                self.seat.unread.set(None);
                // The last bytes of an answer may be taken long after it is made.
                if self.seat.phase.get() == Phase::Idle {
                    self.seat.since.set(Instant::now());
                }
            }
        }
        written
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Nothing is held back here.
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        // One that the client has closed meanwhile is shut already.
        let _ = socket2::SockRef::from(&self.stream.tcp).shutdown(Shutdown::Write);
        Poll::Ready(Ok(()))
    }
}

impl Drop for Guarded {
    fn drop(&mut self) {
        let (stream, seat, place) = (Rc::clone(&self.stream), Rc::clone(&self.seat), self.place.take());
        if seat.cut.get() {
            // The system's buffers are of no use to a client that must not take them for all.
            let _ = socket2::SockRef::from(&stream.tcp).set_linger(Some(Duration::ZERO));
            return;
        }
        let Some(place) = place.filter(|place| !place.book.0.over.get()) else {
            let _ = socket2::SockRef::from(&stream.tcp).shutdown(Shutdown::Write);
            return;
        };
        // Where its place was given away, nothing is waited for.
        let wanted = !place.held();
        let until = Instant::now() + if wanted { Duration::ZERO } else { LINGER };
        seat.turn(Phase::Closing);
        let closing = async move {
            tokio::select! {
                biased;
                () = close(&stream) => {}
                () = seat.hurry.notified(), if !wanted => {}
                () = tokio::time::sleep_until(until) => {}
            }
            drop(place);
        };
        actix_rt::spawn(closing);
    }
}
