//! The table of clients' connections: which is evicted for a new one, what counts as idle, and how a connection
//! is closed.

use rowanglade::net::close::LINGER;
use rowanglade::net::http::ConnectionTable;
use rowanglade::net::http::clients::{
    ActiveRequest, ClientStream, EVICTION_MIN_AGE, HEAD_TIMEOUT, IDLE_TIMEOUT, MAX_PIPELINED_BYTES,
    MAX_UNREGISTERED, SURPLUS_IDLE_TIMEOUT, UNCROWDED_DIVISOR, UNCROWDED_IDLE_TIMEOUT, WRITE_TIMEOUT,
};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Runs a story; paused, time passes only where the story says so, or nothing else is left to do.
fn story(paused: bool, future: impl Future<Output = ()>) {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_all().start_paused(paused).build().expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, future);
}

async fn accepted(listener: &TcpListener) -> (TcpStream, TcpStream) {
    let addr = listener.local_addr().expect("bound");
    let client = TcpStream::connect(addr).await.expect("connected");
    (client, listener.accept().await.expect("accepted").0)
}

// Clients that say nothing, or ask once and stay, held every descriptor, and accept failed for all others.
#[test]
fn silent_and_idle_connections_make_room_and_busy_ones_do_not() {
    story(true, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(2, 1);
        let mut peers = Vec::new();
        let mut register = async || {
            let (peer, stream) = accepted(&listener).await;
            peers.push(peer);
            table.register(stream)
        };
        let busy = register().await.expect("room");
        let open = busy.connection().begin_request();
        let mut silent = register().await.expect("room");
        assert!(register().await.is_none(), "a request may be under way on the one just opened");
        tokio::time::advance(EVICTION_MIN_AGE).await;
        let mut late = register().await.expect("the silent one makes room");
        assert_eq!(silent.read(&mut [0; 1]).await.expect("closed"), 0);
        tokio::time::advance(HEAD_TIMEOUT).await;
        table.end_overdue();
        assert_eq!(late.read(&mut [0; 1]).await.expect("closed"), 0);
        drop((silent, late));
        assert_eq!(
            table.open_connections(),
            2,
            "the one that was swept keeps its place while it is being closed"
        );
        tokio::time::sleep(LINGER + Duration::from_millis(10)).await;
        assert_eq!((table.open_connections(), busy.connection().is_ended()), (1, false));
        drop(open);
        tokio::time::advance(IDLE_TIMEOUT).await;
        table.end_overdue();
        assert!(busy.connection().is_ended());
    });
}

// An idle connection was closed on the request that had just come on it.
#[test]
fn a_request_that_came_before_an_idle_connection_is_closed_is_read() {
    story(false, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(9, 9);
        let (mut peer, stream) = accepted(&listener).await;
        let mut stream = table.register(stream).expect("room");
        drop(stream.connection().begin_request());
        peer.write_all(b"GET").await.expect("written");
        stream.tcp().readable().await.expect("it comes");
        stream.connection().end();
        assert_eq!(stream.read(&mut [0; 9]).await.expect("read"), 3);
        assert!(!stream.connection().is_ended(), "it takes the answer");
        drop(stream.connection().begin_request());
        stream.connection().end();
        assert_eq!(stream.read(&mut [0; 9]).await.expect("closed"), 0);
    });
}

// A request came just as its connection was closed for standing idle, which nobody needed to be closed.
#[test]
fn where_there_is_room_idle_connections_stay_for_long() {
    story(true, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(2 * UNCROWDED_DIVISOR, 2 * UNCROWDED_DIVISOR);
        let mut streams = Vec::new();
        for open in 1..=3 {
            let (peer, stream) = accepted(&listener).await;
            let stream = table.register(stream).expect("room");
            drop(stream.connection().begin_request());
            streams.push((peer, stream));
            tokio::time::advance(IDLE_TIMEOUT).await;
            table.end_overdue();
            let ended = streams.iter().any(|(_, stream)| stream.connection().is_ended());
            assert_eq!(ended, open > 2, "{open} of {} places", 2 * UNCROWDED_DIVISOR);
        }
        streams.truncate(1);
        let table = ConnectionTable::new(2 * UNCROWDED_DIVISOR, 2 * UNCROWDED_DIVISOR);
        let (_peer, stream) = accepted(&listener).await;
        let stream = table.register(stream).expect("room");
        drop(stream.connection().begin_request());
        tokio::time::advance(UNCROWDED_IDLE_TIMEOUT).await;
        table.end_overdue();
        assert!(stream.connection().is_ended(), "not for ever");
    });
}

// A long answer was cut off: its last bytes waited for a slow client, and the connection counted as idle.
#[test]
fn a_connection_whose_client_is_slow_to_take_an_answer_is_not_idle() {
    story(true, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(1, 9);
        let (peer, stream) = accepted(&listener).await;
        let mut slow = table.register(stream).expect("room");
        drop(slow.connection().begin_request());
        let mut filled = 0;
        while let Ok(Ok(written)) =
            tokio::time::timeout(Duration::from_millis(1), AsyncWriteExt::write(&mut slow, &[0; 1 << 16]))
                .await
        {
            filled += written;
        }
        tokio::time::advance(IDLE_TIMEOUT).await;
        table.end_overdue();
        assert!(!slow.connection().is_ended(), "{filled} bytes wait for their client");
        assert!(table.register(accepted(&listener).await.1).is_none(), "it makes no room");
        tokio::time::advance(WRITE_TIMEOUT).await;
        table.end_overdue();
        assert!(slow.connection().is_ended(), "a client that takes nothing at all");
        drop(peer);
    });
}

// A crowd of clients that each ask once and stay held all the connections that clients may have.
#[test]
fn beyond_their_number_idle_connections_are_closed_soon_the_oldest_first() {
    story(true, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(9, 2);
        let mut streams = Vec::new();
        for _ in 0..4 {
            let (peer, stream) = accepted(&listener).await;
            let stream = table.register(stream).expect("room");
            drop(stream.connection().begin_request());
            tokio::time::advance(Duration::from_millis(1)).await;
            streams.push((peer, stream));
        }
        let ended = || {
            table.end_overdue();
            streams.iter().map(|(_, stream)| stream.connection().is_ended()).collect::<Vec<_>>()
        };
        assert_eq!(ended(), [false; 4], "their clients may just go on");
        tokio::time::advance(SURPLUS_IDLE_TIMEOUT).await;
        assert_eq!(ended(), [true, true, false, false]);
        table.keep_idle();
        tokio::time::advance(IDLE_TIMEOUT).await;
        assert_eq!(ended(), [true, true, false, false], "no new ones would come for them");
    });
}

/// A connection whose handler has a whole request, and the client's side of it.
async fn with_a_request(
    table: &ConnectionTable,
    listener: &TcpListener,
) -> (TcpStream, ClientStream, ActiveRequest) {
    let (peer, stream) = accepted(listener).await;
    let stream = table.register(stream).expect("room");
    let busy = stream.connection().begin_request();
    stream.connection().complete();
    (peer, stream, busy)
}

// A close over unread bytes resets the connection, and the last answer went with it.
#[test]
fn closed_over_unread_bytes_a_connection_still_brings_what_was_written() {
    story(false, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(9, 9);
        let (mut peer, mut stream, busy) = with_a_request(&table, &listener).await;
        stream.write_all(b"the last answer").await.expect("written");
        // A request crosses the close, and another one comes after writing was shut down.
        peer.write_all(&[b'x'; 9_000]).await.expect("written");
        stream.tcp().readable().await.expect("it comes");
        drop((busy, stream));
        tokio::task::yield_now().await;
        peer.write_all(&[b'y'; 9_000]).await.expect("nothing is reset");
        let mut read = String::new();
        peer.read_to_string(&mut read).await.expect("an end, not a reset");
        assert_eq!(read, "the last answer");
        drop(peer);
        while table.open_connections() > 0 {
            tokio::task::yield_now().await;
        }
    });
}

// A client that neither closes nor stops sending would hold its connection's place for ever.
#[test]
fn what_is_read_and_dropped_before_a_close_is_bounded_and_makes_room() {
    story(true, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(1, 1);
        let (_first, stream, busy) = with_a_request(&table, &listener).await;
        drop((busy, stream));
        assert_eq!(table.open_connections(), 1, "it waits for its client to close");
        tokio::time::advance(EVICTION_MIN_AGE).await;
        let (_second, stream) = accepted(&listener).await;
        let stream = table.register(stream).expect("one that is being closed makes room");
        assert_eq!(table.open_connections(), 1);
        drop(stream);
        tokio::time::sleep(LINGER + Duration::from_millis(10)).await;
        assert_eq!(table.open_connections(), 0, "not for ever");
    });
}

// Bytes behind a request hid that its client had left, and kept the handler spinning once a buffer was full.
#[test]
fn a_client_that_sends_much_behind_its_request_and_goes_is_seen_to_go() {
    story(false, async {
        for sent in [1, MAX_PIPELINED_BYTES - 1, 4 * MAX_PIPELINED_BYTES] {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
            let table = ConnectionTable::new(9, 9);
            let (mut peer, mut stream, busy) = with_a_request(&table, &listener).await;
            let connection = std::rc::Rc::clone(stream.connection());
            let reading = tokio::task::spawn_local(async move {
                let (mut taken, mut buf) = (0, vec![0; 1 << 16]);
                while let Ok(read @ 1..) = stream.read(&mut buf).await {
                    taken += read;
                }
                (taken, stream)
            });
            peer.write_all(&vec![b'x'; sent]).await.expect("written");
            drop(peer);
            tokio::time::timeout(Duration::from_millis(300), connection.client_closed())
                .await
                .expect("it is seen");
            let (taken, stream) = reading.await.expect("its end is read");
            assert!(taken <= 2 * MAX_PIPELINED_BYTES, "{taken} of {sent} bytes are held");
            assert_eq!(
                connection.closes_after_response(),
                sent > 2 * MAX_PIPELINED_BYTES,
                "what was dropped leaves a gap: {sent}"
            );
            drop((busy, stream));
        }
    });
}

// Unread bytes alone kept the end of their connection from being seen.
#[test]
fn a_client_is_seen_to_go_while_nobody_reads_what_it_sent() {
    story(false, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(9, 9);
        for reset in [false, true] {
            let (mut peer, stream, busy) = with_a_request(&table, &listener).await;
            peer.write_all(&[b'x'; 100]).await.expect("written");
            let waited =
                tokio::time::timeout(Duration::from_millis(120), stream.connection().client_closed()).await;
            assert!(waited.is_err(), "it waits for its answer");
            if reset {
                socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("set");
            }
            drop(peer);
            tokio::time::timeout(Duration::from_millis(300), stream.connection().client_closed())
                .await
                .expect("it is seen");
            drop((busy, stream));
        }
    });
}

// The end was looked for every 50 ms while bytes were unread. Time passes here only where something waits for
// it.
#[test]
fn that_a_client_goes_is_an_event_and_takes_no_time() {
    story(true, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(9, 9);
        for (unread, reset) in [(0, false), (0, true), (100, false), (100, true), (9_000, false)] {
            let (mut peer, stream, busy) = with_a_request(&table, &listener).await;
            peer.write_all(&vec![b'x'; unread]).await.expect("written");
            let connection = std::rc::Rc::clone(stream.connection());
            let gone = tokio::task::spawn_local(async move {
                connection.client_closed().await;
                tokio::time::Instant::now()
            });
            // No multiple of a period at which somebody might look.
            tokio::time::sleep(Duration::from_millis(123)).await;
            assert!(!gone.is_finished(), "it waits for its answer");
            if reset {
                socket2::SockRef::from(&peer).set_linger(Some(Duration::ZERO)).expect("set");
            }
            let left = tokio::time::Instant::now();
            drop(peer);
            let seen = gone.await.expect("it is seen");
            assert_eq!(seen - left, Duration::ZERO, "{unread} bytes unread, reset {reset}");
            drop((busy, stream));
        }
    });
}

// The HTTP service writes what it has before it lets go of a handler: an answer that its client did not take
// kept the request behind it alive when the client had closed its side.
#[test]
fn an_answer_that_is_not_taken_does_not_hold_up_the_end_of_the_request_behind_it() {
    story(false, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(9, 9);
        let (mut peer, mut stream, busy) = with_a_request(&table, &listener).await;
        let waiting = stream.connection().await_response();
        let full = Duration::from_millis(20);
        while tokio::time::timeout(full, AsyncWriteExt::write(&mut stream, &[0; 1 << 16])).await.is_ok() {}
        peer.shutdown().await.expect("its side is closed");
        assert_eq!(stream.read(&mut [0; 9]).await.expect("its end is read"), 0);
        let written = tokio::time::timeout(full, stream.write_all(b"more")).await;
        let error = written.expect("it waits for nobody").expect_err("nobody takes it");
        assert_eq!(error.kind(), std::io::ErrorKind::BrokenPipe);
        drop(waiting);
        let written = tokio::time::timeout(full, stream.write_all(b"more")).await;
        assert!(written.is_err(), "without a request that waits, what was answered may still be taken");
        drop((busy, peer));
    });
}

// A new connection beyond the places was closed without a word: its client had to take that for a failure.
#[test]
fn a_connection_that_finds_no_place_is_told_when_to_come_again() {
    story(false, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(1, 1);
        let (_first, stream, busy) = with_a_request(&table, &listener).await;
        let (mut peer, rejected) = accepted(&listener).await;
        peer.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("written");
        assert!(table.register(rejected).is_none());
        let mut told = String::new();
        peer.read_to_string(&mut told).await.expect("an end, not a reset");
        assert!(told.starts_with("HTTP/1.1 503") && told.contains("Retry-After"), "{told}");
        drop((busy, stream));
    });
}

// A burst of new connections evicted as many idle ones, all of which stayed open until their tasks had a
// turn: together they took twice what clients are given, and the descriptors that discovery needs.
#[test]
fn a_burst_opens_no_more_than_a_few_beyond_the_places() {
    const PLACES: usize = 20;
    story(true, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
        let table = ConnectionTable::new(PLACES, PLACES);
        let mut peers = Vec::new();
        let mut idle = Vec::new();
        for _ in 0..PLACES {
            let (peer, stream) = accepted(&listener).await;
            let stream = table.register(stream).expect("room");
            drop(stream.connection().begin_request());
            peers.push(peer);
            idle.push(stream);
        }
        tokio::time::advance(EVICTION_MIN_AGE).await;
        let mut burst = Vec::new();
        while table.may_accept() {
            let (peer, stream) = accepted(&listener).await;
            burst.extend(table.register(stream));
            peers.push(peer);
        }
        assert_eq!((burst.len(), table.open_connections()), (MAX_UNREGISTERED, PLACES));
        // Those that were evicted are closed once they have had their turn.
        idle.retain(|stream| !stream.connection().is_ended());
        while !table.may_accept() {
            table.connection_closed().await;
        }
        assert_eq!(idle.len(), PLACES - MAX_UNREGISTERED);
    });
}
