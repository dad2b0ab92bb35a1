//! The connections of clients: what each is at, and which of them make room for new ones.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// How long a connection may take until it has brought a whole head, and say nothing at all. Clients may take 2 s.
const HEAD: Duration = Duration::from_millis(2_400);
/// How long a connection may stand idle between requests; and where too many are idle, for how long it may at least.
const IDLE: Duration = Duration::from_secs(2);
/// The same while less than this part of the places is taken. Closing one then buys nothing, and a request may just
/// be on its way on it.
const LONG_IDLE: Duration = Duration::from_secs(30);
const ROOMY_PART: usize = 4;
/// How long a client may take nothing of what is written to it. A slow one takes a buffer of the system's at a time.
const UNREAD: Duration = Duration::from_secs(30);
const BRIEFLY: Duration = Duration::from_millis(200);
/// Where room is short, silent connections make it once they have stood for this long, then idle ones. Before
/// that, a request or an answer may just be under way.
const SETTLED: Duration = Duration::from_millis(50);

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
}

/// One connection, as its stream, its handler and the book see it.
#[derive(Debug)]
pub struct Seat {
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// Since when the client takes nothing of what is written to it.
    unread: Cell<Option<Instant>>,
    ended: Cell<bool>,
    waker: RefCell<Option<Waker>>,
}

impl Seat {
    fn turn(&self, phase: Phase) {
        self.phase.set(phase);
        self.since.set(Instant::now());
    }

    /// A request is with its handler for as long as the guard is held.
    pub fn busy(self: &Rc<Seat>) -> Busy {
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

    fn end(&self) {
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

/// The book of all connections.
#[derive(Clone, Debug)]
pub struct Clients(Rc<Book>);

#[derive(Debug)]
struct Book {
    most: Cell<usize>,
    most_idle: Cell<usize>,
    /// Idle connections stay.
    kept: Cell<bool>,
    next: Cell<u64>,
    seats: RefCell<BTreeMap<u64, Rc<Seat>>>,
}

impl Clients {
    /// A book with room for so many, of which so many may stand idle for long.
    pub fn new(most: usize, most_idle: usize) -> Clients {
        Clients(Rc::new(Book {
            most: Cell::new(most),
            most_idle: Cell::new(most_idle),
            kept: Cell::new(false),
            next: Cell::new(0),
            seats: RefCell::default(),
        }))
    }

    pub fn open(&self) -> usize {
        self.0.seats.borrow().len()
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

    /// Takes a new connection in; where all places are taken, one that waits for nothing makes room. None: all of
    /// them have a request open, and the new one is closed.
    pub fn seat(&self, stream: TcpStream) -> Option<Guarded> {
        let mut seats = self.0.seats.borrow_mut();
        if seats.len() >= self.0.most.get() {
            let number = spare(&seats)?;
            seats.remove(&number)?.end();
        }
        let seat = Rc::new(Seat {
            phase: Cell::new(Phase::Silent),
            since: Cell::new(Instant::now()),
            unread: Cell::new(None),
            ended: Cell::new(false),
            waker: RefCell::default(),
        });
        let number = self.0.next.get();
        self.0.next.set(number + 1);
        seats.insert(number, Rc::clone(&seat));
        Some(Guarded { stream, seat, place: Place { book: self.clone(), number } })
    }

    /// Ends what has kept silent, taken over a head, or stood idle for too long. Of idle connections beyond their
    /// number the oldest go first: clients may hold only so many, and new clients find none while others keep
    /// theirs without a use.
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
                Phase::Idle | Phase::Busy => continue,
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

/// The connection to end for a new one: the one silent for longest, else the one idle for longest, else the one
/// whose head has taken longest.
fn spare(seats: &BTreeMap<u64, Rc<Seat>>) -> Option<u64> {
    let now = Instant::now();
    let rank = |phase| match phase {
        Phase::Silent => Some(0),
        Phase::Idle => Some(1),
        Phase::Head => Some(2),
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

/// A client's stream. Once its seat is ended it reads as closed, and takes nothing more.
#[derive(Debug)]
pub struct Guarded {
    stream: TcpStream,
    seat: Rc<Seat>,
    place: Place,
}

impl Guarded {
    pub fn seat(&self) -> &Rc<Seat> {
        &self.seat
    }

    fn write<T>(
        &mut self,
        cx: &mut Context<'_>,
        write: impl FnOnce(Pin<&mut TcpStream>, &mut Context<'_>) -> Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if self.seat.ended.get() {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        }
        write(Pin::new(&mut self.stream), cx)
    }
}

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if self.seat.ended.get() {
            // What came just before the end is served: closed on it, the client could not tell whether it had run.
            let came = buf.filled().len() > before;
            if !came || self.seat.phase.get() != Phase::Idle || !self.place.held() {
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
        let written = self.write(cx, |stream, cx| stream.poll_write(cx, buf));
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

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.write(cx, |stream, cx| stream.poll_flush(cx))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;

    async fn accepted(listener: &TcpListener) -> (TcpStream, TcpStream) {
        let addr = listener.local_addr().expect("bound");
        let client = TcpStream::connect(addr).await.expect("connected");
        (client, listener.accept().await.expect("accepted").0)
    }

    // Clients that say nothing, or ask once and stay, held every descriptor, and accept failed for all others.
    #[test]
    fn silent_and_idle_connections_make_room_and_busy_ones_do_not() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        runtime.expect("a runtime").block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
            let clients = Clients::new(2, 1);
            let mut peers = Vec::new();
            let mut seat = async || {
                let (peer, stream) = accepted(&listener).await;
                peers.push(peer);
                clients.seat(stream)
            };
            let busy = seat().await.expect("room");
            let open = busy.seat().busy();
            let mut silent = seat().await.expect("room");
            assert!(seat().await.is_none(), "a request may be under way on the one just opened");
            tokio::time::advance(SETTLED).await;
            let mut late = seat().await.expect("the silent one makes room");
            assert_eq!(silent.read(&mut [0; 1]).await.expect("closed"), 0);
            tokio::time::advance(HEAD).await;
            clients.sweep();
            assert_eq!(late.read(&mut [0; 1]).await.expect("closed"), 0);
            drop((silent, late));
            assert_eq!((clients.open(), busy.seat().ended.get()), (1, false));
            drop(open);
            tokio::time::advance(IDLE).await;
            clients.sweep();
            assert!(busy.seat().ended.get());
        });
    }

    // An idle connection was closed on the request that had just come on it.
    #[test]
    fn a_request_that_came_before_an_idle_connection_is_closed_is_read() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
            let clients = Clients::new(9, 9);
            let (mut peer, stream) = accepted(&listener).await;
            let mut guarded = clients.seat(stream).expect("room");
            drop(guarded.seat().busy());
            peer.write_all(b"GET").await.expect("written");
            guarded.stream.readable().await.expect("it comes");
            guarded.seat().end();
            assert_eq!(guarded.read(&mut [0; 9]).await.expect("read"), 3);
            assert!(!guarded.seat().ended.get(), "it takes the answer");
            drop(guarded.seat().busy());
            guarded.seat().end();
            assert_eq!(guarded.read(&mut [0; 9]).await.expect("closed"), 0);
        });
    }

    // A request came just as its connection was closed for standing idle, which nobody needed to be closed.
    #[test]
    fn where_there_is_room_idle_connections_stay_for_long() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        runtime.expect("a runtime").block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
            let clients = Clients::new(2 * ROOMY_PART, 2 * ROOMY_PART);
            let mut seats = Vec::new();
            for open in 1..=3 {
                let (peer, stream) = accepted(&listener).await;
                let seat = clients.seat(stream).expect("room");
                drop(seat.seat().busy());
                seats.push((peer, seat));
                tokio::time::advance(IDLE).await;
                clients.sweep();
                let ended = seats.iter().any(|(_, s)| s.seat().ended.get());
                assert_eq!(ended, open > 2, "{open} of {} places", 2 * ROOMY_PART);
            }
            seats.truncate(1);
            let clients = Clients::new(2 * ROOMY_PART, 2 * ROOMY_PART);
            let (_peer, stream) = accepted(&listener).await;
            let seat = clients.seat(stream).expect("room");
            drop(seat.seat().busy());
            tokio::time::advance(LONG_IDLE).await;
            clients.sweep();
            assert!(seat.seat().ended.get(), "not for ever");
        });
    }

    // A long answer was cut off: its last bytes waited for a slow client, and the connection counted as idle.
    #[test]
    fn a_connection_whose_client_is_slow_to_take_an_answer_is_not_idle() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        runtime.expect("a runtime").block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
            let clients = Clients::new(1, 9);
            let (peer, stream) = accepted(&listener).await;
            let mut slow = clients.seat(stream).expect("room");
            drop(slow.seat().busy());
            let mut filled = 0;
            while let Ok(Ok(written)) =
                tokio::time::timeout(Duration::from_millis(1), AsyncWriteExt::write(&mut slow, &[0; 1 << 16]))
                    .await
            {
                filled += written;
            }
            tokio::time::advance(IDLE).await;
            clients.sweep();
            assert!(!slow.seat().ended.get(), "{filled} bytes wait for their client");
            assert!(clients.seat(accepted(&listener).await.1).is_none(), "it makes no room");
            tokio::time::advance(UNREAD).await;
            clients.sweep();
            assert!(slow.seat().ended.get(), "a client that takes nothing at all");
            drop(peer);
        });
    }

    // A crowd of clients that each ask once and stay held all the connections that clients may have.
    #[test]
    fn beyond_their_number_idle_connections_are_closed_soon_the_oldest_first() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
        runtime.expect("a runtime").block_on(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
            let clients = Clients::new(9, 2);
            let mut seats = Vec::new();
            for _ in 0..4 {
                let (peer, stream) = accepted(&listener).await;
                let seat = clients.seat(stream).expect("room");
                drop(seat.seat().busy());
                tokio::time::advance(Duration::from_millis(1)).await;
                seats.push((peer, seat));
            }
            let ended = || {
                clients.sweep();
                seats.iter().map(|(_, s)| s.seat().ended.get()).collect::<Vec<_>>()
            };
            assert_eq!(ended(), [false; 4], "their clients may just go on");
            tokio::time::advance(BRIEFLY).await;
            assert_eq!(ended(), [true, true, false, false]);
            clients.keep();
            tokio::time::advance(IDLE).await;
            assert_eq!(ended(), [true, true, false, false], "no new ones would come for them");
        });
    }
}
